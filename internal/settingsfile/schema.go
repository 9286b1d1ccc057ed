// Package settingsfile reads settings into structs whose field tags declare each key's default, bounds and
// allowed values. The proxy's configuration and the simulation's scenarios are such structs.
//
// A Schema is built from a struct type. Each source of settings becomes a Layer: a TOML file by ReadTOML,
// environment variables and flags by the caller. A Builder merges layers in order of precedence and decodes
// the result into the struct. An error doesn't stop reading: all errors are collected as SettingErrors, each
// with its file and line if it has one, and often a likely fix.
//
// A field of the struct with the tag key is one setting:
//
//	Timeout time.Duration `key:"timeout" default:"2s" min:"10ms" max:"1m" reload:"live"`
//
// A key without the tag default must be set. A field that is a struct is a section; a field that is a slice
// of structs is a list of tables.
//
// A Schema is safe for concurrent use; the other types are not.
package settingsfile

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// The values of the tag reload: when a changed key takes effect in a running program.
const (
	Live    = "live"    // immediately
	Restart = "restart" // after a restart
	AtStart = "start"   // never: it is read at the start only, and later changes are ignored
)

// The values of the tag form: the syntax that a string must have.
const (
	formAddress         = "address" // host:port to connect to
	formOptionalAddress = "address?"
	formListen          = "listen" // host:port to listen on; port 0 is allowed
	formOptionalListen  = "listen?"
	formHex             = "hex"  // up to 16 hex digits, or empty
	formName            = "name" // not empty
)

// Field is one key that may be set, as its tags describe it.
type Field struct {
	Path     string // as "section.key", in a list of tables as "list[].key"
	Type     reflect.Type
	Default  string // as written in the file; also "" if the key must be set
	Required bool   // has no default
	Min, Max string // bounds, as written in the file; "" for none
	Enum     []string
	Form     string
	Reload   string // Live, Restart or AtStart; Restart without a tag
	Index    []int  // for reflect.Value.FieldByIndex of the struct; for a key in a list, of the list's element
}

// Size is a number of bytes.
type Size int64

var (
	durationType = reflect.TypeFor[time.Duration]()
	sizeType     = reflect.TypeFor[Size]()
)

// Schema describes the keys and the lists of tables of a struct type.
type Schema struct {
	Fields    []*Field // in the struct's order
	EnvPrefix string   // of the environment variables that set keys; "" if none do
	Help      string   // part of error messages: where all keys are listed

	byPath map[string]*Field
	lists  map[string]int // index of a list's field in the struct, by key
}

// NewSchema reads the tags of a struct type.
func NewSchema[T any](envPrefix, help string) *Schema {
	s := &Schema{byPath: map[string]*Field{}, lists: map[string]int{}, EnvPrefix: envPrefix, Help: help}
	s.addFields(reflect.TypeFor[T](), "", nil)
	for _, f := range s.Fields {
		s.byPath[f.Path] = f
	}
	return s
}

// addFields adds the fields of a struct, whose keys get the given prefix.
func (s *Schema) addFields(t reflect.Type, prefix string, index []int) {
	for i := range t.NumField() {
		sf := t.Field(i)
		key, ok := sf.Tag.Lookup("key")
		if !ok {
			continue
		}
		at := append(append([]int(nil), index...), i)
		switch {
		case sf.Type.Kind() == reflect.Struct:
			s.addFields(sf.Type, prefix+key+".", at)
		case sf.Type.Kind() == reflect.Slice && sf.Type.Elem().Kind() == reflect.Struct:
			s.lists[key] = i
			s.addFields(sf.Type.Elem(), key+"[].", nil)
		default:
			s.Fields = append(s.Fields, newField(prefix+key, sf, at))
		}
	}
}

func newField(path string, sf reflect.StructField, index []int) *Field {
	f := &Field{Path: path, Type: sf.Type, Min: sf.Tag.Get("min"), Max: sf.Tag.Get("max"),
		Form: sf.Tag.Get("form"), Reload: cmp.Or(sf.Tag.Get("reload"), Restart), Index: index}
	value, ok := sf.Tag.Lookup("default")
	f.Default, f.Required = value, !ok
	if words := sf.Tag.Get("enum"); words != "" {
		f.Enum = strings.Split(words, "|")
	}
	return f
}

// Kind returns a description of the key's type for messages and documentation.
func (f *Field) Kind() string {
	switch {
	case len(f.Enum) > 0:
		return "one of " + strings.Join(f.Enum, ", ")
	case f.Type == durationType:
		return "time with a unit"
	case f.Type == sizeType:
		return "size with a unit"
	case f.isAddress():
		return "host:port"
	case f.Form == formHex:
		return "hex digits"
	}
	switch f.Type.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "whole number"
	case reflect.Float64:
		return "number"
	case reflect.Slice:
		return "list of words"
	}
	return "text"
}

func (f *Field) isAddress() bool {
	switch f.Form {
	case formAddress, formOptionalAddress, formListen, formOptionalListen:
		return true
	}
	return false
}

// Allowed returns the range of allowed values for messages and documentation; "" if it has no lower bound.
func (f *Field) Allowed() string {
	switch {
	case f.Min != "" && f.Max != "":
		return f.Min + " to " + f.Max
	case f.Min != "":
		return "from " + f.Min + " on"
	}
	return ""
}

// EnvVar returns the environment variable that sets a key; "" for keys in lists of tables, and if the schema
// has no EnvPrefix.
func (s *Schema) EnvVar(f *Field) string {
	if s.EnvPrefix == "" || strings.Contains(f.Path, "[]") {
		return ""
	}
	return s.EnvPrefix + strings.ToUpper(strings.ReplaceAll(f.Path, ".", "_"))
}

// Lists returns the index of each list of tables' field in the struct, by the list's key.
func (s *Schema) Lists() map[string]int { return s.lists }

// Key identifies the field, and the table of a list, that the path of one value refers to.
type Key struct {
	Field string // path of the Field: "class[].aim" for "class.2.aim"
	List  string // list of tables that contains it: "class"; "" for none
	Table int    // index of the table in the list, from 0
}

// Resolve returns what the path of one value refers to, and whether there is such a key.
func (s *Schema) Resolve(path string) (Key, bool) {
	list, rest, _ := strings.Cut(path, ".")
	if _, isList := s.lists[list]; !isList {
		_, ok := s.byPath[path]
		return Key{Field: path}, ok
	}
	number, rest, _ := strings.Cut(rest, ".")
	table, err := strconv.Atoi(number)
	field := list + "[]." + rest
	_, ok := s.byPath[field]
	return Key{Field: field, List: list, Table: table}, ok && err == nil
}

// Display returns a path as messages show it, with tables numbered from 1: "class.0.aim" is "class[1].aim".
func (s *Schema) Display(path string) string {
	parts := strings.Split(path, ".")
	if _, ok := s.lists[parts[0]]; ok && len(parts) > 1 && isNumber(parts[1]) {
		n, _ := strconv.Atoi(parts[1])
		parts[0] = fmt.Sprintf("%s[%d]", parts[0], n+1)
		parts = slices.Delete(parts, 1, 2)
	}
	return strings.Join(parts, ".")
}

func isNumber(s string) bool { return s != "" && strings.Trim(s, "0123456789") == "" }

// Suggest returns the end of the message for an unknown key: the key that was probably meant, or Help if none
// is close.
func (s *Schema) Suggest(path string) string {
	key, _ := s.Resolve(path)
	var all []string
	for _, f := range s.Fields {
		all = append(all, f.Path)
	}
	for list := range s.lists {
		all = append(all, list)
	}
	match := Closest(key.Field, all)
	if match == "" {
		match = s.inOtherSection(key.Field)
	}
	if match == "" {
		return "; " + s.Help
	}
	if key.List != "" {
		match = strings.Replace(match, key.List+"[].", fmt.Sprintf("%s[%d].", key.List, key.Table+1), 1)
	}
	return "; did you mean " + strings.ReplaceAll(match, "[].", ".") + "?"
}

// inOtherSection returns the first key that has the same name in another section, or "" if there is none.
func (s *Schema) inOtherSection(field string) string {
	_, name, nested := strings.Cut(field, ".")
	if !nested {
		return ""
	}
	for _, f := range s.Fields {
		if _, other, ok := strings.Cut(f.Path, "."); ok && other == name {
			return f.Path
		}
	}
	return ""
}

// HasSection reports whether a section or a list of tables has that name.
func (s *Schema) HasSection(name string) bool {
	for _, f := range s.Fields {
		if strings.HasPrefix(f.Path, name+".") {
			return true
		}
	}
	return false
}

// suggestSection is like Suggest, for the name of an unknown section.
func (s *Schema) suggestSection(name string) string {
	var all []string
	for _, f := range s.Fields {
		if section, _, ok := strings.Cut(f.Path, "."); ok {
			all = append(all, strings.TrimSuffix(section, "[]"))
		}
	}
	if match := Closest(name, all); match != "" {
		return "; did you mean " + match + "?"
	}
	return "; " + s.Help
}
