package nettest

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The package takes a testing.TB, so that a program which imports it would link the package testing.
func TestOnlyTestsImportThisPackage(t *testing.T) {
	checked := 0
	for _, dir := range []string{"balance", "cmd", "internal", "lab"} {
		root := filepath.Join("../../..", dir)
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			isProgram := strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go")
			if err != nil || entry.IsDir() || !isProgram {
				return err
			}
			source, err := os.ReadFile(path)
			if strings.Contains(string(source), `"cresshub/internal/testbed/nettest"`) {
				t.Errorf("%s imports nettest", path)
			}
			checked++
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if checked < 100 {
		t.Errorf("only %d files were checked", checked)
	}
}
