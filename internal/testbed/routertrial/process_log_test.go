package routertrial

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"cresshub/internal/invariant"
	"cresshub/internal/testbed/routerstandin"
)

// routerSource returns the source of the router, all files joined, without tests.
func routerSource(c *qt.C) string {
	var source strings.Builder
	err := filepath.WalkDir("../../router", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := os.ReadFile(path)
		source.Write(file)
		return err
	})
	c.Assert(err, qt.IsNil)
	return source.String()
}

// The messages of panics are those of the router: one that was changed there alone would blind every trial
// without a test that fails.
func TestPanicMessagesAreTheRouters(t *testing.T) {
	c := qt.New(t)
	source := routerSource(c)
	for _, message := range []string{clientPanicMessage, handlerPanicMessage} {
		c.Check(strings.Count(source, `Msg("`+message), qt.Equals, 1, qt.Commentf(message))
	}
}

// violationsOf returns how many violations of a rule were recorded.
func (f *Fleet) violationsOf(rule routerstandin.Rule) int {
	for _, verdict := range f.Observations.Judge() {
		if verdict.Rule == rule {
			return verdict.Violations
		}
	}
	return 0
}

// Each line that reports a fault of the program is a violation, with the line in its details, whether or not
// the trial keeps a log.
func TestFaultInALogIsAViolation(t *testing.T) {
	broken := &invariant.ViolationError{Check: invariant.FenceRises, Detail: "fence 1 after 2"}
	for message, violations := range map[string]int{
		"agent: started": 0,
		clientPanicMessage + ", connection closed": 1,
		handlerPanicMessage:                        1,
		broken.Error():                             1,
	} {
		t.Run(message, func(t *testing.T) {
			c := qt.New(t)
			var line bytes.Buffer
			logger := zerolog.New(&line)
			logger.Error().Bytes("stack", []byte("goroutine 1 [running]:\n")).Msg(message)

			f := &Fleet{Observations: routerstandin.NewObservations(bounds)}
			_, err := f.logOf("front-north-1").Write(line.Bytes())
			c.Assert(err, qt.IsNil)
			c.Assert(f.violationsOf(routerstandin.RuleInvariant), qt.Equals, violations)
		})
	}
}

// A trial that keeps no log watches the logs of its processes too.
func TestLogIsWatchedWithoutALogOfTheTrial(t *testing.T) {
	c := qt.New(t)
	f := &Fleet{Observations: routerstandin.NewObservations(bounds)}
	m := &Machine{Name: "front-north-1", fleet: f}
	_, err := m.command(nil).Log.Write([]byte(`{"message":"` + handlerPanicMessage + `"}`))
	c.Assert(err, qt.IsNil)
	c.Assert(f.violationsOf(routerstandin.RuleInvariant), qt.Equals, 1)
}
