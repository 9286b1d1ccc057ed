// Package settingsfile reads settings into structs whose tags carry each key's default, bounds and allowed
// words. The proxy's configuration and the laboratory's scenarios are such structs.
//
// A Schema is made of a struct type. Each source of settings becomes a Layer: a TOML file by ReadTOML,
// environment variables and flags by the caller. A Builder merges layers in order of precedence and decodes
// the result into the struct. Mistakes don't end the reading: all of them are collected as SettingErrors,
// each with its file and line, and the likely fix.
//
// A field of the struct with the tag key is one setting:
//
//	Timeout time.Duration `key:"timeout" default:"2s" min:"10ms" max:"1m" reload:"live"`
//
// A key without default must be set. A field that is a struct is a section, one that is a slice of structs a
// list of tables.
//
// A Schema may be used from any goroutine; the other types belong to one.
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

// The values of the tag reload: how a changed key reaches a running program.
const (
	Live    = "live"    // at once
	Restart = "restart" // by a restart
	AtStart = "start"   // not at all: it is read at the start, and a change is passed over
)

// The values of the tag form: what a text must look like.
const (
	formAddress         = "address" // host:port that is connected to
	formOptionalAddress = "address?"
	formListen          = "listen" // host:port that is listened at; port 0 is allowed
	formOptionalListen  = "listen?"
	formHex             = "hex"  // up to 16 hex digits, or empty
	formName            = "name" // not empty
)

// Field is one key that may be set, as its tags describe it.
type Field struct {
	Path     string // as "section.key", in a list of tables as "list[].key"
	Type     reflect.Type
	Default  string // as the file would have it; "" also where the key must be set
	Required bool   // has no default
	Min, Max string // bounds, as the file would have them; "" for none
	Enum     []string
	Form     string
	Reload   string // Live, Restart or AtStart; Restart without a tag
	Index    []int  // of the struct's field, as for reflect.Value.FieldByIndex; in a list, of its table's field
}

// Size is a number of bytes.
type Size int64

var (
	durationType = reflect.TypeFor[time.Duration]()
	sizeType     = reflect.TypeFor[Size]()
)

// Schema is the keys of a struct type and its lists of tables.
type Schema struct {
	Fields    []*Field // in the struct's order
	EnvPrefix string   // of the environment variables that set keys; "" where none do
	Help      string   // where all keys are listed, for messages

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

// addFields adds the fields of a struct, whose keys begin with prefix.
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

// Kind says what a value looks like, for people.
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

// Allowed says which values of the kind are allowed, for people; "" where all are.
func (f *Field) Allowed() string {
	switch {
	case f.Min != "" && f.Max != "":
		return f.Min + " to " + f.Max
	case f.Min != "":
		return "from " + f.Min + " on"
	}
	return ""
}

// EnvVar returns the environment variable that sets a key; "" for keys in lists of tables.
func (s *Schema) EnvVar(f *Field) string {
	if s.EnvPrefix == "" || strings.Contains(f.Path, "[]") {
		return ""
	}
	return s.EnvPrefix + strings.ToUpper(strings.ReplaceAll(f.Path, ".", "_"))
}

// Lists returns the keys of the lists of tables with the indexes of their fields in the struct.
func (s *Schema) Lists() map[string]int { return s.lists }

// Key is what the path of one value refers to.
type Key struct {
	Field string // path of the Field: "class[].aim" for "class.2.aim"
	List  string // list of tables that it stands in: "class"; "" for none
	Table int    // which of the list's tables, from 0
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

// Display returns a path as people write it: "class.0.aim" is "class[1].aim".
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

// Suggest returns the end of a message on an unknown key: the key that was probably meant, or where all are
// listed.
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

// inOtherSection returns the first key that has the same name in another section, "" where there is none.
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

// suggestSection is Suggest for the name of a section.
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
