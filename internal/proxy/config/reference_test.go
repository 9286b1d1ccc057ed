package config

import (
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cresshub/internal/settingsfile"
)

// The page and the first file come from the same fields as the checks.
func TestReferenceAndInitialFileMatchTheTags(t *testing.T) {
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
	commented := strings.ReplaceAll(InitialFile(), "\n#", "\n") // every default as the file would hold it
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
	for _, f := range schema().Fields { // bounds that can be read, and defaults within them
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
