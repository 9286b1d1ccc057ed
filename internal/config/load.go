package config

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/knadh/koanf/providers/confmap"
	"github.com/knadh/koanf/v2"
)

// Input is where a configuration is read from. Nil functions stand for the process's own.
type Input struct {
	File    string            // the own file; "" for none, CRESSHUB_CONFIG then names it
	Flags   map[string]string // values by key
	Environ func() []string
	Read    func(path string) ([]byte, error)
	// Again tells that a running program reads once more: the platform's file was replaced since, and
	// its discovery goes before EDGE_DISCOVERY, which still says what held at the start.
	Again bool
}

// The variables that set keys under names of their own.
var edgeVariables = map[string]string{
	"EDGE_NAME": "name", "EDGE_LISTEN": "listen.address", "EDGE_DISCOVERY": "discovery.address",
}

const (
	fileVariable     = variablePrefix + "CONFIG"
	platformVariable = "EDGE_CONFIG"
)

// Load reads all sources and returns the checked values, or Problems with every mistake in any of them.
// Flags go before variables, those before the platform's file, that before the own file, and what nobody
// sets has its default.
func Load(in Input) (*Config, error) {
	if in.Environ == nil {
		in.Environ = os.Environ
	}
	if in.Read == nil {
		in.Read = os.ReadFile
	}
	env := map[string]string{}
	for _, pair := range in.Environ() {
		name, value, _ := strings.Cut(pair, "=")
		env[name] = value
	}
	b := &builder{merged: koanf.New("."), origins: map[string]Origin{}, tables: map[string][]Origin{}}
	c := &Config{origins: b.origins}
	if path := in.File; path != "" || env[fileVariable] != "" {
		if path == "" {
			path = env[fileVariable]
		}
		if raw, err := in.Read(path); err != nil {
			b.problems.add(Origin{"file", path, 0}, "", "cannot be read: %v", err)
		} else {
			l, problems := readTOML(path, raw)
			b.problems = append(b.problems, problems...)
			b.add(l)
		}
	}
	variables := environment(env, &b.problems)
	if path := env[platformVariable]; path != "" {
		l, err := readPlatform(path, in.Read, c)
		if err != nil {
			b.problems.add(Origin{"platform", path, 0}, "", "%v", err)
		} else {
			b.add(l)
			if _, told := l.values["discovery.address"]; told && in.Again {
				delete(variables.values, "discovery.address")
			}
		}
	}
	b.add(variables)
	b.add(flags(in.Flags, &b.problems))
	b.into(c)
	c.drawn = rand.Uint64()
	c.check(&b.problems)
	if err := b.problems.err(); err != nil {
		return nil, err
	}
	return c, nil
}

// environment reads the variables that set keys. One under the program's own prefix that sets nothing is
// a mistake; others are none of its business.
func environment(env map[string]string, problems *Problems) *layer {
	l := newLayer()
	known := map[string]string{}
	for _, f := range keys().fields {
		if v := f.Variable(); v != "" {
			known[v] = f.Path
		}
	}
	for _, name := range slices.Sorted(maps.Keys(env)) {
		o := Origin{"environment", name, 0}
		path, edge := edgeVariables[name]
		switch own, ok := known[name]; {
		case edge && env[name] != "":
			if _, set := l.values[path]; !set { // the own name of a key goes before the platform's
				l.set(path, words(env[name]), o)
			}
		case ok:
			l.set(own, words(env[name]), o)
		case strings.HasPrefix(name, variablePrefix) && name != fileVariable:
			hint := ""
			if v := likely(name, slices.Sorted(maps.Keys(known))); v != "" {
				hint = "; did you mean " + v + "?"
			}
			problems.add(o, "", "sets no key%s", hint)
		}
	}
	return l
}

func flags(set map[string]string, problems *Problems) *layer {
	l := newLayer()
	for _, path := range slices.Sorted(maps.Keys(set)) {
		o := Origin{"flag", "--set " + path, 0}
		if _, ok := keys().byPath[path]; !ok || strings.Contains(path, "[]") {
			problems.add(o, path, "is no key that a flag sets%s", meant(path))
			continue
		}
		l.set(path, words(set[path]), o)
	}
	return l
}

// builder lays sources over one another.
type builder struct {
	merged   *koanf.Koanf
	origins  map[string]Origin
	tables   map[string][]Origin
	problems Problems
}

// add lays a source over those before. A list of tables is replaced as a whole.
func (b *builder) add(l *layer) {
	for list := range keys().lists {
		if slices.ContainsFunc(slices.Collect(maps.Keys(l.values)), func(path string) bool {
			return strings.HasPrefix(path, list+".")
		}) {
			b.merged.Delete(list)
			delete(b.tables, list)
			maps.DeleteFunc(b.origins, func(path string, _ Origin) bool { return strings.HasPrefix(path, list+".") })
		}
	}
	maps.Copy(b.tables, l.tables)
	known := map[string]any{}
	for path, v := range l.values {
		if _, _, _, ok := keys().generic(path); ok {
			known[path] = v
			b.origins[path] = l.origins[path]
		} else if keys().section(path) || keys().lists[path] > 0 {
			b.problems.add(l.origins[path], path, "is a section, and found is %s", described(v))
		} else {
			b.problems.add(l.origins[path], path, "is no key%s", meant(path))
		}
	}
	if err := b.merged.Load(confmap.Provider(known, "."), nil); err != nil {
		b.problems.add(Origin{Source: "file"}, "", "%v", err)
	}
}

// into puts the merged values into the struct, or what is wrong with each into the problems.
func (b *builder) into(c *Config) {
	root := reflect.ValueOf(c).Elem()
	for _, f := range keys().fields {
		list, key, inList := strings.Cut(f.Path, "[].")
		if !inList {
			b.one(f, f.Path, root.FieldByIndex(f.index))
			continue
		}
		slice := root.Field(keys().lists[list])
		n := max(len(b.merged.MapKeys(list)), len(b.tables[list]))
		if slice.Len() < n {
			slice.Set(reflect.MakeSlice(slice.Type(), n, n))
		}
		for i := range n {
			b.one(f, fmt.Sprintf("%s.%d.%s", list, i, key), slice.Index(i).FieldByIndex(f.index))
		}
	}
}

func (b *builder) one(f *Field, path string, to reflect.Value) {
	raw := b.merged.Get(path)
	o, set := b.origins[path]
	switch {
	case !set && f.Must:
		b.problems.add(b.tableOf(path), path, "is missing; %s is wanted", f.Kind())
		return
	case !set:
		raw, o = words(f.Default), Origin{Source: "default"}
		b.origins[path] = o
	}
	v, err := f.decode(raw)
	if err != nil {
		b.problems.add(o, path, "%v", err)
		return
	}
	to.Set(v)
}

// tableOf tells where the table begins that a missing key belongs to: at its header or, where it has none,
// at the first of its keys.
func (b *builder) tableOf(path string) Origin {
	if _, list, n, _ := keys().generic(path); n < len(b.tables[list]) {
		return b.tables[list][n]
	}
	prefix := path[:strings.LastIndexByte(path, '.')+1]
	var first Origin
	for p, o := range b.origins {
		if strings.HasPrefix(p, prefix) && o.Source != "default" && (first.Line == 0 || o.Line < first.Line) {
			first = o
		}
	}
	return first
}

// Seeded returns the seed for random choices: as set, or one drawn when the configuration was loaded.
func (c *Config) Seeded() uint64 {
	if n, err := strconv.ParseUint(c.Seed, 16, 64); err == nil {
		return n
	}
	return c.drawn
}
