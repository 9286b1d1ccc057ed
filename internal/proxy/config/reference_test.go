package config

import (
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cresshub/internal/settingsfile"
)

// The reference page and the initial file are derived from the same fields as the checks: the page is up to
// date, and Load accepts the file as written and with every default uncommented.
func TestReferenceAndInitialFileMatchTags(t *testing.T) {
	page, err := os.ReadFile("../../../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Reference(), string(page)); diff != "" {
		t.Errorf("docs/CONFIGURATION.md is stale; write it by \"bin/cresshub config docs\":\n%s", diff)
	}
	if _, err := loadTOML(InitialFile()); err != nil {
		t.Error(err)
	}
	commented := strings.ReplaceAll(InitialFile(), "\n#", "\n") // with every default in effect
	var lines []string
	for l := range strings.Lines(commented) {
		key, _, set := strings.Cut(l, " = ")
		if set && strings.Trim(key, "abcdefghijklmnopqrstuvwxyz_") == "" || strings.HasPrefix(l, "[") {
			lines = append(lines, l)
		}
	}
	if _, err := loadTOML(strings.Join(lines, "")); err != nil {
		t.Error(err)
	}
	for _, f := range schema().Fields { // each default is valid and within its bounds
		if descriptions[f.Path] == "" || f.Reload != settingsfile.Live && f.Reload != settingsfile.Restart &&
			f.Reload != settingsfile.AtStart {
			t.Errorf("%s: doc %q, reload %q", f.Path, descriptions[f.Path], f.Reload)
		}
		if !f.Required {
			if _, err := f.Decode(settingsfile.Text(f.Default)); err != nil {
				t.Errorf("%s: %v", f.Path, err)
			}
		}
	}
}
