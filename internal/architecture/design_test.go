package architecture

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestDesignNotesNameTestsThatExist: the pages in docs/design name the tests by which a promise is held.
func TestDesignNotesNameTestsThatExist(t *testing.T) {
	tests := map[string]bool{}
	declaration := regexp.MustCompile(`(?m)^func (Test\w+|Fuzz\w+)\(`)
	eachFile(t, "_test.go", func(_, text string) {
		for _, match := range declaration.FindAllStringSubmatch(text, -1) {
			tests[match[1]] = true
		}
	})
	for page, text := range designNotes(t) {
		for _, name := range regexp.MustCompile(`\b(Test|Fuzz)[A-Z]\w+`).FindAllString(text, -1) {
			if !tests[name] {
				t.Errorf("%s names %s, which is no test", page, name)
			}
		}
	}
}

// TestProtocolRulesNameFunctionsThatExist: docs/design/protocol-rules.md names the function that carries each
// sentence as file:function, without a folder for internal/router/dataplane.
func TestProtocolRulesNameFunctionsThatExist(t *testing.T) {
	files := map[string]string{}
	eachFile(t, ".go", func(path, text string) { files[path] = text })
	page := designNotes(t)["protocol-rules.md"]
	references := regexp.MustCompile(`([\w/]+\.go):(\w+)`).FindAllStringSubmatch(page, -1)
	if len(references) == 0 {
		t.Error("protocol-rules.md names no function")
	}
	for _, reference := range references {
		path, name := reference[1], reference[2]
		if !strings.Contains(path, "/") {
			path = "dataplane/" + path
		}
		declaration := regexp.MustCompile(`(?m)^(func (\([^)]*\) )?|type |var )` + name + `\b`)
		if !declaration.MatchString(files["internal/router/"+path]) {
			t.Errorf("%s has no %s", path, name)
		}
	}
}

// designNotes returns the pages in docs/design by their names.
func designNotes(t *testing.T) map[string]string {
	t.Helper()
	pages := map[string]string{}
	folder := filepath.Join(root, "docs/design")
	entries, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		text, err := os.ReadFile(filepath.Join(folder, entry.Name()))
		if err != nil {
			t.Fatal(err)
		}
		pages[entry.Name()] = string(text)
	}
	return pages
}

// eachFile calls visit with each file of the code whose name has an ending, by its path from the root.
func eachFile(t *testing.T, ending string, visit func(path, text string)) {
	t.Helper()
	for _, folder := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ending) {
				return err
			}
			text, err := os.ReadFile(path)
			if err == nil {
				visit(strings.TrimPrefix(path, root+"/"), string(text))
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
