package agentsettings_test

import (
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/agentsettings"
)

const settingsPage = "../../../docs/fleet-settings.md"

// pageRow is a row of the key tables of the settings page.
type pageRow struct {
	path         string // of the key, for example size_limits.fds
	defaultValue string // in JSON, "" for a required key
}

// TestPageListsExactlyTheKeysThatAreRead compares the keys in docs/fleet-settings.md with those that Parse
// reads. It finds the latter by trying every path that can be composed of the words in the source and on the
// page: with a value that is valid for no key, Parse either fails or returns different settings, or it does
// not read the key.
func TestPageListsExactlyTheKeysThatAreRead(t *testing.T) {
	words := sourceStrings(t)
	var listed []string
	for _, row := range pageRows(t) {
		listed = append(listed, row.path)
		words = append(words, strings.Split(row.path, ".")...)
	}
	slices.Sort(words)
	words = slices.Compact(words)

	var read []string
	for _, word := range words {
		if isRead(word) {
			read = append(read, word)
		}
		for _, field := range words {
			if path := word + "." + field; isRead(path) {
				read = append(read, path)
			}
		}
	}
	slices.Sort(read)
	slices.Sort(listed)
	qt.Assert(t, listed, qt.DeepEquals, read)
}

// TestPageGivesTheDefaults checks that a document that sets a key to the default on the page yields the same
// settings as one without the key, and that a key without a default is required.
func TestPageGivesTheDefaults(t *testing.T) {
	const required = `"office":"a","ip":"b","inner_ports":[1,2]`
	without, err := agentsettings.Parse([]byte("{" + required + "}"))
	qt.Assert(t, err, qt.IsNil)
	for _, row := range pageRows(t) {
		t.Run(row.path, func(t *testing.T) {
			if row.defaultValue == "" {
				_, err := agentsettings.Parse([]byte(`{}`))
				qt.Assert(t, err, qt.ErrorMatches, "(?s).*"+row.path+": .*")
				return
			}
			with, err := agentsettings.Parse([]byte("{" + required + "," + member(row.path, row.defaultValue) + "}"))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, with, qt.DeepEquals, without)
		})
	}
}

// isRead reports whether Parse reads the key at a path of one or two names. Strings, numbers, booleans and
// lists reject the object that is given as the value; a map of strings accepts it, which changes the
// settings.
func isRead(path string) bool {
	const misfit = `{"misfit":"text"}`
	absent := `{}`
	if section, _, nested := strings.Cut(path, "."); nested {
		absent = "{" + member(section, "{}") + "}"
	}
	return outcome("{"+member(path, misfit)+"}") != outcome(absent)
}

// member returns the member of the top-level JSON object that sets the value at a path.
func member(path, value string) string {
	if section, name, nested := strings.Cut(path, "."); nested {
		return fmt.Sprintf("%q:{%q:%s}", section, name, value)
	}
	return fmt.Sprintf("%q:%s", path, value)
}

// outcome returns the settings and the error that Parse returns for a document, as text.
func outcome(document string) string {
	settings, err := agentsettings.Parse([]byte(document))
	return fmt.Sprintf("%+v %v", settings, err)
}

// sourceStrings returns the string literals in the parser's source that can be keys.
func sourceStrings(t *testing.T) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "settings.go", nil, 0)
	qt.Assert(t, err, qt.IsNil)
	var words []string
	ast.Inspect(file, func(node ast.Node) bool {
		literal, ok := node.(*ast.BasicLit)
		if !ok || literal.Kind != token.STRING {
			return true
		}
		word, err := strconv.Unquote(literal.Value)
		qt.Assert(t, err, qt.IsNil)
		if word != "" && !strings.ContainsAny(word, " ./") {
			words = append(words, word)
		}
		return true
	})
	return words
}

// pageRows returns the rows of all tables on the page whose first column has the heading "key".
func pageRows(t *testing.T) []pageRow {
	t.Helper()
	page, err := os.ReadFile(settingsPage)
	qt.Assert(t, err, qt.IsNil)
	var rows []pageRow
	inTable := false
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(line, "|")
		switch {
		case !strings.HasPrefix(line, "|"):
			inTable = false
		case strings.TrimSpace(cells[1]) == "key":
			inTable = true
		case inTable && !strings.HasPrefix(line, "| ---"):
			rows = append(rows, parsePageRow(t, cells))
		}
	}
	qt.Assert(t, rows, qt.Not(qt.HasLen), 0)
	return rows
}

func parsePageRow(t *testing.T, cells []string) pageRow {
	t.Helper()
	row := pageRow{path: strings.Trim(cells[1], " `")}
	if value := strings.TrimSpace(cells[3]); value != "required" {
		row.defaultValue = strings.Trim(value, "`")
		qt.Assert(t, json.Valid([]byte(row.defaultValue)), qt.IsTrue, qt.Commentf("default of %s", row.path))
	}
	return row
}
