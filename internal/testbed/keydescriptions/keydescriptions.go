// Package keydescriptions generates the Go file in which a program has the descriptions of its settings, and
// checks that the file agrees with its source. The source is the comments on the fields of a struct (see
// package settingsfile), which a program can't read from its own code.
//
// A comment has the form "key: TEXT." and may go on with further paragraphs for readers of the code, which
// are no part of the description. Sections are structs with a key, lists of tables are slices of structs; all
// are in one folder.
//
// It is for tests only: it takes a testing.TB, and registers the flag -update of `go test`, which writes the
// file anew.
package keydescriptions

import (
	"errors"
	"flag"
	"fmt"
	"go/ast"
	"go/format"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the file of descriptions anew")

// textWidth is the longest text in a line of the generated file, so that any key fits before it.
const textWidth = 70

// File is a generated file with a variable of type map[string]string, the descriptions by path of key.
type File struct {
	Name     string            // path of the file from the folder of the test
	Package  string            // that the file belongs to
	Variable string            // name of the variable
	Doc      string            // comment on the variable, with its slashes
	Command  string            // that writes the file, for its first line and for failures
	Compiled map[string]string // value of the variable
	Keys     []string          // paths of all keys, in the order of the file
	Source   Source            // of the descriptions
}

// Source is where the comments are.
type Source struct {
	Folder string // of the Go files, from the folder of the test
	Struct string // name of the struct of all settings
}

// Check fails the test unless the file and the variable hold the comments on the fields, of all keys and of
// nothing else. With -update it writes the file instead.
func Check(tb testing.TB, file File) {
	tb.Helper()
	comments, err := file.Source.comments()
	if err != nil {
		tb.Fatal(err)
	}
	code, err := file.code(comments)
	if err != nil {
		tb.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(file.Name, code, 0o644); err != nil {
			tb.Fatal(err)
		}
		return
	}
	held, err := os.ReadFile(file.Name)
	if err != nil {
		tb.Fatal(err)
	}
	if diff := cmp.Diff(string(code), string(held)); diff != "" {
		tb.Errorf("%s is stale; write it by %q:\n%s", file.Name, file.Command, diff)
	}
	if diff := cmp.Diff(comments, file.Compiled); diff != "" {
		tb.Errorf("the descriptions are not the comments:\n%s", diff)
	}
	for _, path := range file.Keys {
		if comments[path] == "" {
			tb.Errorf("%s has no comment", path)
		}
		delete(comments, path)
	}
	for path := range comments {
		tb.Errorf("%s is described and no key", path)
	}
}

// comments returns the descriptions in the comments by path of key, or what is wrong with any of them.
func (s Source) comments() (map[string]string, error) {
	structs, err := s.structs()
	if err != nil {
		return nil, err
	}
	if structs[s.Struct] == nil {
		return nil, fmt.Errorf("%s has no struct %s", s.Folder, s.Struct)
	}
	reader := commentReader{structs: structs, comments: map[string]string{}}
	reader.read(s.Struct, "")
	return reader.comments, errors.Join(reader.problems...)
}

// structs returns the struct types of the folder by name.
func (s Source) structs() (map[string]*ast.StructType, error) {
	files, err := filepath.Glob(filepath.Join(s.Folder, "*.go"))
	if err != nil {
		return nil, err
	}
	structs := map[string]*ast.StructType{}
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments)
		if err != nil {
			return nil, err
		}
		ast.Inspect(parsed, func(node ast.Node) bool {
			if spec, ok := node.(*ast.TypeSpec); ok {
				if structType, ok := spec.Type.(*ast.StructType); ok {
					structs[spec.Name.Name] = structType
				}
			}
			return true
		})
	}
	return structs, nil
}

// commentReader collects the descriptions of a struct and of its sections and tables.
type commentReader struct {
	structs  map[string]*ast.StructType
	comments map[string]string // by path of key
	problems []error
}

// read adds the descriptions of the fields of a struct, whose paths begin with prefix.
func (r *commentReader) read(structName, prefix string) {
	for _, field := range r.structs[structName].Fields.List {
		if field.Tag == nil {
			continue
		}
		tag, err := strconv.Unquote(field.Tag.Value)
		if err != nil {
			r.problems = append(r.problems, err)
			continue
		}
		key := reflect.StructTag(tag).Get("key")
		if section := r.structNamed(field.Type); section != "" {
			r.read(section, prefix+key+".")
			continue
		}
		if list, ok := field.Type.(*ast.ArrayType); ok {
			if table := r.structNamed(list.Elt); table != "" {
				r.read(table, key+"[].")
				continue
			}
		}
		description, ok := parseComment(field.Doc.Text(), key)
		if !ok {
			r.problems = append(r.problems, fmt.Errorf("%s%s: the comment is %q, not of the form \"%s: TEXT.\"",
				prefix, key, field.Doc.Text(), key))
		}
		r.comments[prefix+key] = description
	}
}

// structNamed returns the name that a type is, if it is that of a struct of the folder.
func (r *commentReader) structNamed(fieldType ast.Expr) string {
	if name, ok := fieldType.(*ast.Ident); ok && r.structs[name.Name] != nil {
		return name.Name
	}
	return ""
}

// parseComment returns the description of a key in the comment on its field; ok is false without one.
func parseComment(comment, key string) (description string, ok bool) {
	paragraph, _, _ := strings.Cut(comment, "\n\n")
	text := strings.Join(strings.Fields(paragraph), " ")
	text, hasKey := strings.CutPrefix(text, key+": ")
	text, hasPeriod := strings.CutSuffix(text, ".")
	return text, hasKey && hasPeriod && text != ""
}

// code returns what the file holds for these descriptions.
func (file File) code(comments map[string]string) ([]byte, error) {
	var code strings.Builder
	fmt.Fprintf(&code, "// Code generated by %q; DO NOT EDIT.\n\npackage %s\n\n", file.Command, file.Package)
	fmt.Fprintf(&code, "%s\nvar %s = map[string]string{\n", file.Doc, file.Variable)
	for _, path := range file.Keys {
		fmt.Fprintf(&code, "%q: %s,\n", path, quoteLines(comments[path]))
	}
	code.WriteString("}\n")
	return format.Source([]byte(code.String()))
}

// quoteLines returns a text as a Go expression over as many lines as textWidth needs.
func quoteLines(text string) string {
	lines := []string{""}
	for _, word := range strings.SplitAfter(text, " ") {
		if last := len(lines) - 1; len(lines[last])+len(word) <= textWidth {
			lines[last] += word
		} else {
			lines = append(lines, word)
		}
	}
	for i := range lines {
		lines[i] = strconv.Quote(lines[i])
	}
	return strings.Join(lines, " +\n")
}
