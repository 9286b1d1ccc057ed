package config

import (
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"

	"cresshub/internal/settingsfile"
)

// Input is where a configuration is read from. Nil functions stand for the process's own.
type Input struct {
	File    string            // the own file; "" for none, CRESSHUB_CONFIG then names it
	Flags   map[string]string // values by key
	Environ func() []string
	Read    func(path string) ([]byte, error)
	// Reload tells that a running program reads once more: the platform's file was replaced since, and
	// its discovery goes before EDGE_DISCOVERY, which still says what held at the start.
	Reload bool
}

// The variables that set keys under names of their own.
var platformKeys = map[string]string{
	"EDGE_NAME": "name", "EDGE_LISTEN": "listen.address", "EDGE_DISCOVERY": "discovery.address",
	"EDGE_OPERATOR": "operator",
}

const (
	fileVariable     = variablePrefix + "CONFIG"
	platformVariable = "EDGE_CONFIG"
)

// Load reads all sources and returns the checked values, or settingsfile.SettingErrors with every mistake in
// any of them. Flags go before variables, those before the platform's file, that before the own file, and
// what nobody sets has its default.
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
	b := schema().NewBuilder()
	c := &Config{origins: b.Origins, onPlatform: env[platformVariable] != ""}
	if path := in.File; path != "" || env[fileVariable] != "" {
		if path == "" {
			path = env[fileVariable]
		}
		if raw, err := in.Read(path); err != nil {
			b.Problems.Add(settingsfile.NewOrigin("file", path), "", "cannot be read: %v", err)
		} else {
			l, problems := schema().ReadTOML(path, raw)
			b.Problems = append(b.Problems, problems...)
			b.Add(l)
		}
	}
	variables := environment(env, &b.Problems)
	if path := env[platformVariable]; path != "" {
		l, err := readPlatform(path, in.Read, c)
		if err != nil {
			b.Problems.Add(settingsfile.NewOrigin("platform", path), "", "%v", err)
		} else {
			b.Add(l)
			if _, told := l.Values["discovery.address"]; told && in.Reload {
				delete(variables.Values, "discovery.address")
			}
		}
	}
	b.Add(variables)
	b.Add(flags(in.Flags, &b.Problems))
	b.Decode(c)
	c.drawnSeed = rand.Uint64()
	c.validate(&b.Problems)
	if err := b.Problems.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

// environment reads the variables that set keys. One under the program's own prefix that sets nothing is
// a mistake; others are none of its business.
func environment(env map[string]string, problems *settingsfile.SettingErrors) *settingsfile.Layer {
	l := settingsfile.NewLayer()
	known := map[string]string{}
	for _, f := range schema().Fields {
		if v := schema().EnvVar(f); v != "" {
			known[v] = f.Path
		}
	}
	for _, name := range slices.Sorted(maps.Keys(env)) {
		o := settingsfile.NewOrigin("environment", name)
		path, edge := platformKeys[name]
		switch own, ok := known[name]; {
		case edge && env[name] != "":
			if _, set := l.Values[path]; !set { // the own name of a key goes before the platform's
				l.Set(path, settingsfile.Text(env[name]), o)
			}
		case ok:
			l.Set(own, settingsfile.Text(env[name]), o)
		case strings.HasPrefix(name, variablePrefix) && name != fileVariable:
			hint := ""
			if v := settingsfile.Closest(name, slices.Sorted(maps.Keys(known))); v != "" {
				hint = "; did you mean " + v + "?"
			}
			problems.Add(o, "", "sets no key%s", hint)
		}
	}
	return l
}

func flags(set map[string]string, problems *settingsfile.SettingErrors) *settingsfile.Layer {
	l := settingsfile.NewLayer()
	for _, path := range slices.Sorted(maps.Keys(set)) {
		o := settingsfile.NewOrigin("flag", "--set "+path)
		if _, ok := schema().Resolve(path); !ok || strings.Contains(path, "[]") {
			problems.Add(o, path, "is no key that a flag sets%s", schema().Suggest(path))
			continue
		}
		l.Set(path, settingsfile.Text(set[path]), o)
	}
	return l
}

// RandomSeed returns the seed for random choices: as set, or one drawn when the configuration was loaded.
func (c *Config) RandomSeed() uint64 {
	if n, err := strconv.ParseUint(c.Seed, 16, 64); err == nil {
		return n
	}
	return c.drawnSeed
}
