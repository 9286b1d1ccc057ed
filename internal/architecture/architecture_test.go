// Package architecture has no code but a test: it compares the imports of each package with the list in
// docs/PACKAGES.md, so that page and code cannot part.
package architecture

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const root = "../.."

// table reads the entries "- `package`: what it does. Imports: `one`, `another`." in their order.
func table(t *testing.T) (order []string, may map[string][]string) {
	t.Helper()
	page, err := os.ReadFile(filepath.Join(root, "docs/PACKAGES.md"))
	if err != nil {
		t.Fatal(err)
	}
	may = map[string][]string{}
	quoted := regexp.MustCompile("`([^`]+)`")
	_, list, _ := strings.Cut(string(page), "## List")
	for _, entry := range strings.Split(list, "\n- `")[1:] {
		name, rest, _ := strings.Cut(entry, "`")
		order = append(order, name)
		_, listed, _ := strings.Cut(rest, "Imports:")
		for _, m := range quoted.FindAllStringSubmatch(listed, -1) {
			may[name] = append(may[name], m[1])
		}
	}
	return order, may
}

// imports finds what each package of the project imports of it, tests left aside.
func imports(t *testing.T) map[string][]string {
	t.Helper()
	all := map[string][]string{}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		dir, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		name := filepath.ToSlash(dir)
		all[name] = append(all[name], []string{}...)
		for _, i := range f.Imports {
			p, _ := strconv.Unquote(i.Path.Value)
			if own, ok := strings.CutPrefix(p, "cresshub/"); ok && !slices.Contains(all[name], own) {
				all[name] = append(all[name], own)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}

func TestImportsPointDownwards(t *testing.T) {
	order, may := table(t)
	found := imports(t)
	for name, all := range found {
		at := slices.Index(order, name)
		if at < 0 {
			t.Errorf("%s is not in the list of docs/PACKAGES.md", name)
			continue
		}
		for _, i := range all {
			if !slices.Contains(may[name], i) {
				t.Errorf("%s imports %s, which the list does not allow", name, i)
			}
			if slices.Index(order, i) <= at {
				t.Errorf("%s imports %s, which stands above it", name, i)
			}
		}
		for _, i := range may[name] {
			if !slices.Contains(all, i) {
				t.Errorf("the list says that %s imports %s, and it does not", name, i)
			}
		}
	}
	if len(order) != len(found) || len(found) < 10 {
		t.Errorf("%d packages in the list, %d in the code", len(order), len(found))
	}
}
