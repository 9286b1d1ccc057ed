// Package settingsfile reads files of settings into structs whose tags carry each key's default, bounds,
// words and meaning. It tells all mistakes of a file in one go, each with its line and a likely fix. The
// program's own configuration and the laboratory's scenarios are such structs.
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

// How a changed key reaches a running program, as the tag `reload` says it.
const (
	Live    = "live"    // taken over at once
	Restart = "restart" // takes a restart
	AtStart = "start"   // read at the start alone; a change is passed over
)

// Field is one key that may be set, as its tags and the line above it describe it. A key without the tag
// `reload` takes a restart.
type Field struct {
	Path     string // with "[]" behind the name of a list of tables
	Type     reflect.Type
	Default  string // in the form of the file; "" also where a key must be set
	Required bool   // has no default
	Min      string
	Max      string
	Enum     []string
	Form     string // "address", "listen", either with "?", "hex", "name", "hall" or ""
	Reload   string
	Doc      string
	Index    []int // where it stands in its struct
}

// Size is a number of bytes.
type Size int64

var (
	durationType = reflect.TypeFor[time.Duration]()
	sizeType     = reflect.TypeFor[Size]()
)

// Schema is a struct's keys in their order, and its lists of tables.
type Schema struct {
	Fields    []*Field
	byPath    map[string]*Field
	lists     map[string]int // position in the struct by key
	EnvPrefix string         // what variables that set keys begin with; "" where none do
	Help      string         // where all keys are listed, for messages
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

func (s *Schema) addFields(t reflect.Type, prefix string, index []int) {
	doc := ""
	for i := range t.NumField() {
		sf := t.Field(i)
		if text, ok := sf.Tag.Lookup("doc"); ok {
			doc = strings.TrimSpace(doc + " " + text)
			continue
		}
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
			f := &Field{Path: prefix + key, Type: sf.Type, Min: sf.Tag.Get("min"), Max: sf.Tag.Get("max"),
				Form: sf.Tag.Get("form"), Reload: cmp.Or(sf.Tag.Get("reload"), Restart), Doc: doc, Index: at}
			def, has := sf.Tag.Lookup("default")
			f.Default, f.Required = def, !has
			if e := sf.Tag.Get("enum"); e != "" {
				f.Enum = strings.Split(e, "|")
			}
			s.Fields = append(s.Fields, f)
			doc = ""
		}
	}
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
	case strings.HasPrefix(f.Form, "address") || strings.HasPrefix(f.Form, "listen"):
		return "host:port"
	case f.Form == "hex":
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

// Allowed says which values are taken, for people; "" where all of the kind are.
func (f *Field) Allowed() string {
	switch {
	case f.Min != "" && f.Max != "":
		return f.Min + " to " + f.Max
	case f.Min != "":
		return "from " + f.Min + " on"
	}
	return ""
}

// EnvVar is the environment variable that sets a key; "" for keys in lists of tables.
func (s *Schema) EnvVar(f *Field) string {
	if s.EnvPrefix == "" || strings.Contains(f.Path, "[]") {
		return ""
	}
	return s.EnvPrefix + strings.ToUpper(strings.ReplaceAll(f.Path, ".", "_"))
}

// Lists returns the keys of the lists of tables with their positions in the struct.
func (s *Schema) Lists() map[string]int { return s.lists }

// Resolve turns the path of one value into that of its field and, where it stands in a list of tables,
// tells which: "class.2.aim" is "class[].aim" of table 2 of "class".
func (s *Schema) Resolve(path string) (field, list string, n int, ok bool) {
	list, rest, _ := strings.Cut(path, ".")
	if _, isList := s.lists[list]; !isList {
		_, ok = s.byPath[path]
		return path, "", 0, ok
	}
	number, rest, _ := strings.Cut(rest, ".")
	n, err := strconv.Atoi(number)
	field = list + "[]." + rest
	_, ok = s.byPath[field]
	return field, list, n, ok && err == nil
}

// Display is a path as a person would say it: "class.0.aim" is "class[1].aim".
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

// Suggest words the likely key for one that is not known, given by path.
func (s *Schema) Suggest(path string) string {
	field, list, n, _ := s.Resolve(path)
	var all []string
	for _, f := range s.Fields {
		all = append(all, f.Path)
	}
	for key := range s.lists {
		all = append(all, key)
	}
	match := Closest(field, all)
	if match == "" { // right word, other section
		_, last, nested := strings.Cut(field, ".")
		for _, f := range s.Fields {
			if _, key, ok := strings.Cut(f.Path, "."); ok && nested && key == last {
				match = f.Path
				break
			}
		}
	}
	if match == "" {
		return "; " + s.Help
	}
	if list != "" {
		match = strings.Replace(match, list+"[].", fmt.Sprintf("%s[%d].", list, n+1), 1)
	}
	return "; did you mean " + strings.ReplaceAll(match, "[].", ".") + "?"
}

// HasSection tells whether keys may stand under that name.
func (s *Schema) HasSection(name string) bool {
	for _, f := range s.Fields {
		if strings.HasPrefix(f.Path, name+".") {
			return true
		}
	}
	return false
}

func (s *Schema) suggestSection(name string) string {
	var all []string
	for _, f := range s.Fields {
		if section, _, ok := strings.Cut(f.Path, "."); ok {
			all = append(all, strings.TrimSuffix(section, "[]"))
		}
	}
	if hit := Closest(name, all); hit != "" {
		return "; did you mean " + hit + "?"
	}
	return "; " + s.Help
}
