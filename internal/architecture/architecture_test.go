// Package architecture has no code but tests: they compare the imports of each package with the list in
// docs/PACKAGES.md, so that page and code cannot part, and keep test helpers out of the programs.
package architecture

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"os/exec"
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

// testHelpers finds the packages whose entry ends in "for tests", before what it imports.
func testHelpers(t *testing.T) (helpers []string) {
	t.Helper()
	page, err := os.ReadFile(filepath.Join(root, "docs/PACKAGES.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, list, _ := strings.Cut(string(page), "## List")
	for _, entry := range strings.Split(list, "\n- `")[1:] {
		name, rest, _ := strings.Cut(entry, "`")
		purpose, _, _ := strings.Cut(rest, "Imports:")
		if strings.HasSuffix(strings.Join(strings.Fields(purpose), " "), " for tests.") {
			helpers = append(helpers, name)
		}
	}
	return helpers
}

// imports finds what each package of the project imports of it, tests left aside.
func imports(t *testing.T) map[string][]string {
	t.Helper()
	all := map[string][]string{}
	for name, paths := range importPaths(t) {
		all[name] = []string{}
		for _, path := range paths {
			if own, ok := strings.CutPrefix(path, "cresshub/"); ok {
				all[name] = append(all[name], own)
			}
		}
	}
	return all
}

// importPaths finds every import path of each package of the project, tests left aside.
func importPaths(t *testing.T) map[string][]string {
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
		all[name] = append(all[name], []string{}...) // a package without imports is one too
		for _, i := range f.Imports {
			p, _ := strconv.Unquote(i.Path.Value)
			if !slices.Contains(all[name], p) {
				all[name] = append(all[name], p)
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

// ofTesting says whether the import path is the package testing or one below it.
func ofTesting(path string) bool {
	return path == "testing" || strings.HasPrefix(path, "testing/")
}

func TestOnlyTestHelpersImportTesting(t *testing.T) {
	helpers := testHelpers(t)
	importing := 0
	for name, paths := range importPaths(t) {
		if !slices.ContainsFunc(paths, ofTesting) {
			continue
		}
		importing++
		if !slices.Contains(helpers, name) {
			t.Errorf("%s imports testing, and its entry in docs/PACKAGES.md does not end in \"for tests\"", name)
		}
	}
	if importing < 3 || len(helpers) < importing {
		t.Errorf("%d packages import testing, %d are listed as test helpers", importing, len(helpers))
	}
}

func TestOnlyTestsAndTestHelpersImportTestHelpers(t *testing.T) {
	helpers := testHelpers(t)
	for name, all := range imports(t) {
		for _, i := range all {
			if slices.Contains(helpers, i) && !slices.Contains(helpers, name) {
				t.Errorf("%s imports %s, which is for tests", name, i)
			}
		}
	}
}

// The dependencies in other modules count as well, which imports does not read.
func TestProgramsDoNotLinkTesting(t *testing.T) {
	list := exec.Command("go", "list", "-deps", "./cmd/...")
	list.Dir = root
	output, err := list.Output()
	if err != nil {
		t.Fatal(err)
	}
	linked := strings.Fields(string(output))
	for _, path := range linked {
		if ofTesting(path) {
			t.Errorf("a program under cmd links %s", path)
		}
	}
	for _, path := range []string{"cresshub/cmd/cresshub", "cresshub/cmd/cresshub-fleet", "cresshub/balance"} {
		if !slices.Contains(linked, path) {
			t.Errorf("go list does not name %s", path)
		}
	}
}
