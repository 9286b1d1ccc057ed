package config

import (
	"cmp"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Field is one key that may be set, as its tags and the line above it describe it. A key without the tag
// `reload` takes a restart.
type Field struct {
	Path    string // with "[]" behind the name of a list of tables
	Type    reflect.Type
	Default string // in the form of the file; "" also where a key must be set
	Must    bool   // has no default
	Min     string
	Max     string
	Enum    []string
	Form    string // "address", "address?", "hex", "name", "hall" or ""
	Reload  string
	Doc     string
	index   []int // where it stands in its struct
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	sizeType     = reflect.TypeFor[Size]()
)

// schema is the struct's fields in their order, and its lists of tables.
type schema struct {
	fields []*Field
	byPath map[string]*Field
	lists  map[string]int // position in Config by key
}

var keys = sync.OnceValue(func() *schema {
	s := &schema{byPath: map[string]*Field{}, lists: map[string]int{}}
	s.walk(reflect.TypeFor[Config](), "", nil)
	for _, f := range s.fields {
		s.byPath[f.Path] = f
	}
	return s
})

func (s *schema) walk(t reflect.Type, prefix string, index []int) {
	doc := ""
	for i := range t.NumField() {
		sf := t.Field(i)
		if text, ok := sf.Tag.Lookup("doc"); ok {
			doc = text
			continue
		}
		key, ok := sf.Tag.Lookup("key")
		if !ok {
			continue
		}
		at := append(append([]int(nil), index...), i)
		switch {
		case sf.Type.Kind() == reflect.Struct:
			s.walk(sf.Type, prefix+key+".", at)
		case sf.Type.Kind() == reflect.Slice && sf.Type.Elem().Kind() == reflect.Struct:
			s.lists[key] = i
			s.walk(sf.Type.Elem(), key+"[].", nil)
		default:
			f := &Field{Path: prefix + key, Type: sf.Type, Min: sf.Tag.Get("min"), Max: sf.Tag.Get("max"),
				Form: sf.Tag.Get("form"), Reload: cmp.Or(sf.Tag.Get("reload"), Restart), Doc: doc, index: at}
			def, has := sf.Tag.Lookup("default")
			f.Default, f.Must = def, !has
			if e := sf.Tag.Get("enum"); e != "" {
				f.Enum = strings.Split(e, "|")
			}
			s.fields = append(s.fields, f)
		}
	}
}

// Fields returns all keys in the order of the reference page.
func Fields() []*Field { return keys().fields }

// Kind says what a value looks like, for people.
func (f *Field) Kind() string {
	switch {
	case len(f.Enum) > 0:
		return "one of " + strings.Join(f.Enum, ", ")
	case f.Type == durationType:
		return "time with a unit"
	case f.Type == sizeType:
		return "size with a unit"
	case f.Form == "address" || f.Form == "address?":
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

// Variable is the environment variable that sets the key; "" for keys in lists of tables.
func (f *Field) Variable() string {
	if strings.Contains(f.Path, "[]") {
		return ""
	}
	return variablePrefix + strings.ToUpper(strings.ReplaceAll(f.Path, ".", "_"))
}

const variablePrefix = "CRESSHUB_"

// generic turns the path of one value into that of its field and, where it stands in a list of tables,
// tells which: "class.2.aim" is "class[].aim" of table 2 of "class".
func (s *schema) generic(path string) (field, list string, n int, ok bool) {
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
