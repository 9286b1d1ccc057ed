package clusterrig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestShippedScenariosLoad(t *testing.T) {
	if len(Shipped()) == 0 {
		t.Error("no scenario is shipped")
	}
	for _, name := range Shipped() {
		if _, err := Load(name, nil); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestScenarioProblemsAreReported(t *testing.T) {
	const link = "[[step]]\ndo = \"link\"\nwho = [\"m-0\"]\n"
	for _, test := range []struct{ name, text, want string }{
		{"too few members", "members = 1", "members"},
		{"misspelt key", "memebrs = 3", "did you mean"},
		{"duration without unit", "lasts = 10", "unit"},
		{"step without action", "[[step]]\n", "step[1].do"},
		{"unknown key of a section", "[fleet]\nx=1", "fleet.x"},
		{"unknown action", "[[step]]\ndo = \"explode\"\nwho = [\"m-0\"]", "none of kill"},
		{"unknown member", "[[step]]\ndo = \"kill\"\nwho = [\"m-9\"]", "no member"},
		{"action without members", "[[step]]\ndo = \"kill\"", ":2: step[1].who"},
		{"link with one end", link, "two ends"},
		{"expectation of nobody", "[[step]]\ndo = \"wait\"\nexpect = \"dead\"", "expected of nobody"},
		{"steps out of order", "[[step]]\ndo = \"heal\"\nat = \"2s\"\n[[step]]\ndo = \"heal\"\nat = \"1s\"",
			"before the step above"},
		{"fraction above one", link + "to = [\"m-1\"]\ndrop = 2", "drop"},
		{"unknown expectation", link + "to = [\"m-1\"]\nexpect = \"maybe\"", "expect"},
	} {
		t.Run(test.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "s.toml")
			must(t, os.WriteFile(file, []byte(test.text), 0o600))
			if _, err := Load(file, nil); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("%q: %v, not %q", test.text, err, test.want)
			}
		})
	}
	if _, err := Load("nowhere", map[string]string{"members": "3"}); err == nil {
		t.Error("a scenario that is not there was read")
	}
}

// The figures in docs/fleet-view.md were measured with these keys.
func TestDefaultFleetTOML(t *testing.T) {
	const want = "probe = \"200ms\"\nprobe_timeout = \"100ms\"\ngossip = \"100ms\"\nsuspicion_mult = 4\n" +
		"rejoin = \"500ms\"\nsync_each = \"500ms\"\ngone_after = \"2s\"\n"
	if got := DefaultFleetTOML(); got != want {
		t.Errorf("the keys are\n%s, not\n%s", got, want)
	}
}
