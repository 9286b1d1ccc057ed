package config

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"cresshub/internal/settingsfile"
)

// Value is one key and its effective value.
type Value struct {
	Key    string `json:"key"`
	Value  any    `json:"value"`
	Source string `json:"source"`
	At     string `json:"at,omitempty"` // file and line, variable or flag
	Reload string `json:"reload"`
}

// Effective returns all keys and their effective values, with the source of each: keys outside lists of
// tables first, in the order of the reference page.
func (c *Config) Effective() []Value {
	var all []Value
	root := reflect.ValueOf(c).Elem()
	add := func(f *settingsfile.Field, path string, v reflect.Value) {
		o := c.origins[path]
		at := ""
		if o.Source != sourceDefault {
			at = o.String()
		}
		all = append(all, Value{schema().Display(path), displayed(f, v), o.Source, at, f.Reload})
	}
	for _, f := range schema().Fields {
		if !strings.Contains(f.Path, "[]") {
			add(f, f.Path, root.FieldByIndex(f.Index))
		}
	}
	for _, list := range []string{"class", "tenant", "server"} {
		slice := root.Field(schema().Lists()[list])
		for i := range slice.Len() {
			for _, f := range schema().Fields {
				if l, key, _ := strings.Cut(f.Path, "[]."); l == list {
					add(f, fmt.Sprintf("%s.%d.%s", list, i, key), slice.Index(i).FieldByIndex(f.Index))
				}
			}
		}
	}
	return all
}

// displayed returns a value in the form for output as text and JSON: durations and sizes are text with a
// unit.
func displayed(f *settingsfile.Field, v reflect.Value) any {
	switch x := v.Interface().(type) {
	case time.Duration, Size:
		return f.Format(v)
	default:
		return x
	}
}

// Changed returns the keys whose values differ between c and next: those that a running program applies at
// once and those that need a restart. Keys that are read only at the start are left out.
func (c *Config) Changed(next *Config) (live, restart []string) {
	before := map[string]string{}
	reload := map[string]string{}
	for _, v := range c.Effective() {
		before[v.Key] = fmt.Sprint(v.Value)
		reload[v.Key] = v.Reload
	}
	changed := map[string]bool{}
	for _, v := range next.Effective() {
		if was, ok := before[v.Key]; !ok || was != fmt.Sprint(v.Value) {
			changed[v.Key] = true
		}
		reload[v.Key] = v.Reload
		delete(before, v.Key)
	}
	for key := range before { // in a table that next does not have
		changed[key] = true
	}
	if (c.Discovery.Address == "") != (next.Discovery.Address == "") {
		reload["discovery.address"] = settingsfile.Restart // discovery and [[server]] tables differ
		maps.DeleteFunc(changed, func(key string, _ bool) bool { return strings.HasPrefix(key, "server[") })
	}
	for _, key := range slices.Sorted(maps.Keys(changed)) {
		switch reload[key] {
		case settingsfile.Live:
			live = append(live, key)
		case settingsfile.Restart:
			restart = append(restart, key)
		}
	}
	return live, restart
}

// WithLive returns a copy of c with next's values of the keys that a running program applies at once.
func (c *Config) WithLive(next *Config) *Config {
	merged := *c
	merged.origins = maps.Clone(c.origins)
	from, to := reflect.ValueOf(next).Elem(), reflect.ValueOf(&merged).Elem()
	for _, f := range schema().Fields {
		if f.Reload == settingsfile.Live && !strings.Contains(f.Path, "[]") {
			to.FieldByIndex(f.Index).Set(from.FieldByIndex(f.Index))
			merged.origins[f.Path] = next.origins[f.Path]
		}
	}
	merged.Servers = next.Servers
	return &merged
}

// FromPlatform reports whether any value came from the platform's file.
func (c *Config) FromPlatform() bool {
	for _, o := range c.origins {
		if o.Source == sourcePlatform {
			return true
		}
	}
	return false
}
