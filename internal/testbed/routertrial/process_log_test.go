package routertrial

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/testbed/routerstandin"
)

// A panic that a trial's log shows is a violation. The message is compared with the router's source, since a
// message that was changed there alone would blind every trial without a test that fails.
func TestPanicInALogIsAViolation(t *testing.T) {
	c := qt.New(t)
	logged := 0
	err := filepath.WalkDir("../../router", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		logged += strings.Count(string(source), `Msg("`+panicMessage)
		return err
	})
	c.Assert(err, qt.IsNil)
	c.Assert(logged, qt.Equals, 1)

	f := &Fleet{Observations: routerstandin.NewObservations(bounds)}
	log := &namedLog{fleet: f, name: "front-north-1"}
	for _, line := range []string{`{"level":"info","message":"agent: started"}`,
		`{"level":"error","message":"` + panicMessage + `, connection closed"}`,
		`{"level":"error","message":"invariant fence_rises: fence 1 after 2"}`} {
		_, err := log.Write([]byte(line))
		c.Assert(err, qt.IsNil)
	}
	for _, verdict := range f.Observations.Judge() {
		if verdict.Rule == routerstandin.RuleInvariant {
			c.Assert(verdict.Violations, qt.Equals, 2)
		}
	}
}
