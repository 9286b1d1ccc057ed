package settingsfile

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/knadh/koanf/providers/confmap"
	"github.com/knadh/koanf/v2"
)

// Builder merges layers, of which later ones take precedence, and decodes the result.
type Builder struct {
	Origins  map[string]Origin // of each value, by path
	Problems SettingErrors     // all errors so far
	schema   *Schema
	merged   *koanf.Koanf
	tables   map[string][]Origin // where each table of a list begins, by list
}

// NewBuilder returns a Builder without layers.
func (s *Schema) NewBuilder() *Builder {
	return &Builder{
		Origins: map[string]Origin{}, schema: s, merged: koanf.New("."), tables: map[string][]Origin{},
	}
}

// Add merges a layer, which takes precedence over those added before. A list of tables in the layer replaces
// an earlier one as a whole.
func (b *Builder) Add(l *Layer) {
	for list := range b.schema.lists {
		inList := func(path string) bool { return strings.HasPrefix(path, list+".") }
		if slices.ContainsFunc(slices.Collect(maps.Keys(l.Values)), inList) {
			b.merged.Delete(list)
			delete(b.tables, list)
			maps.DeleteFunc(b.Origins, func(path string, _ Origin) bool { return inList(path) })
		}
	}
	maps.Copy(b.tables, l.Tables)
	known := map[string]any{}
	for path, v := range l.Values {
		if _, ok := b.schema.Resolve(path); ok {
			known[path] = v
			b.Origins[path] = l.Origins[path]
		} else if b.schema.HasSection(path) || b.schema.lists[path] > 0 {
			b.Problems.Add(l.Origins[path], b.schema.Display(path), "is a section, but found %s", Describe(v))
		} else {
			b.Problems.Add(l.Origins[path], b.schema.Display(path), "is no key%s", b.schema.Suggest(path))
		}
	}
	if err := b.merged.Load(confmap.Provider(known, "."), nil); err != nil {
		b.Problems.Add(Origin{Source: "file"}, "", "%v", err)
	}
}

// Decode stores the merged values, and defaults for keys that are not set, in the struct that to points to. A
// value that is missing or can't be decoded is added to Problems.
func (b *Builder) Decode(to any) {
	root := reflect.ValueOf(to).Elem()
	for _, f := range b.schema.Fields {
		list, key, inList := strings.Cut(f.Path, "[].")
		if !inList {
			b.decodeField(f, f.Path, root.FieldByIndex(f.Index))
			continue
		}
		slice := root.Field(b.schema.lists[list])
		n := max(len(b.merged.MapKeys(list)), len(b.tables[list]))
		if slice.Len() < n {
			slice.Set(reflect.MakeSlice(slice.Type(), n, n))
		}
		for i := range n {
			b.decodeField(f, fmt.Sprintf("%s.%d.%s", list, i, key), slice.Index(i).FieldByIndex(f.Index))
		}
	}
}

func (b *Builder) decodeField(f *Field, path string, to reflect.Value) {
	raw := b.merged.Get(path)
	origin, set := b.Origins[path]
	switch {
	case !set && f.Required:
		b.Problems.Add(b.tableOrigin(path), b.schema.Display(path), "is missing; %s is wanted", f.Kind())
		return
	case !set:
		raw, origin = Text(f.Default), Origin{Source: "default"}
		b.Origins[path] = origin
	}
	v, err := f.Decode(raw)
	if err != nil {
		b.Problems.Add(origin, b.schema.Display(path), "%v", err)
		return
	}
	to.Set(v)
}

// tableOrigin returns where the table that a missing key belongs to begins: at its header or, if it has none,
// at the first of its keys.
func (b *Builder) tableOrigin(path string) Origin {
	if key, _ := b.schema.Resolve(path); key.Table < len(b.tables[key.List]) {
		return b.tables[key.List][key.Table]
	}
	prefix := path[:strings.LastIndexByte(path, '.')+1]
	var first Origin
	for p, o := range b.Origins {
		if strings.HasPrefix(p, prefix) && o.Source != "default" && (first.Line == 0 || o.Line < first.Line) {
			first = o
		}
	}
	return first
}
