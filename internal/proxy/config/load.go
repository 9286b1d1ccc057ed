package config

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"

	"cresshub/internal/settingsfile"
)

// Input is the sources of a configuration. Nil functions stand for os.Environ and os.ReadFile.
type Input struct {
	File    string            // path of the operator's file; "" for the one that CRESSHUB_CONFIG names, if any
	Flags   map[string]string // values by key
	Environ func() []string
	Read    func(path string) ([]byte, error)
	// Reload is set when a running program reads its configuration again: the platform may have replaced its
	// file since the start, so the file's discovery address overrides EDGE_DISCOVERY, which cannot have
	// changed.
	Reload bool
}

// platformKeys maps the platform's environment variables to the keys that they set.
var platformKeys = map[string]string{
	"EDGE_NAME": "name", "EDGE_LISTEN": "listen.address", "EDGE_DISCOVERY": "discovery.address",
	"EDGE_OPERATOR": "operator",
}

const (
	fileVariable     = variablePrefix + "CONFIG"
	platformVariable = "EDGE_CONFIG"
)

// Load reads all sources and returns the checked values, or settingsfile.SettingErrors with every mistake in
// any of them.
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
	c := &Config{origins: b.Origins, onPlatform: env[platformVariable] != "", drawnSeed: rand.Uint64()}
	if path := cmp.Or(in.File, env[fileVariable]); path != "" {
		addFile(b, path, in.Read)
	}
	variables := environment(env, &b.Problems)
	if path := env[platformVariable]; path != "" {
		layer, err := readPlatform(path, in.Read, c)
		if err != nil {
			b.Problems.Add(settingsfile.NewOrigin(sourcePlatform, path), "", "%v", err)
		} else {
			b.Add(layer)
			if _, ok := layer.Values["discovery.address"]; ok && in.Reload {
				delete(variables.Values, "discovery.address")
			}
		}
	}
	b.Add(variables)
	b.Add(flags(in.Flags, &b.Problems))
	b.Decode(c)
	c.validate(&b.Problems)
	if err := b.Problems.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

// addFile adds the values of the operator's file.
func addFile(b *settingsfile.Builder, path string, read func(string) ([]byte, error)) {
	raw, err := read(path)
	if err != nil {
		b.Problems.Add(settingsfile.NewOrigin(sourceFile, path), "", "cannot be read: %v", err)
		return
	}
	layer, problems := schema().ReadTOML(path, raw)
	b.Problems = append(b.Problems, problems...)
	b.Add(layer)
}

// environment reads the environment variables that set keys. A variable with the prefix CRESSHUB_ that sets
// no key is a mistake, except CRESSHUB_CONFIG.
func environment(env map[string]string, problems *settingsfile.SettingErrors) *settingsfile.Layer {
	layer := settingsfile.NewLayer()
	ownKeys := map[string]string{} // maps variables with the prefix CRESSHUB_ to keys
	for _, f := range schema().Fields {
		if variable := schema().EnvVar(f); variable != "" {
			ownKeys[variable] = f.Path
		}
	}
	for _, name := range slices.Sorted(maps.Keys(env)) { // CRESSHUB_ sorts before EDGE_
		origin := settingsfile.NewOrigin(sourceEnvironment, name)
		ownKey, isOwn := ownKeys[name]
		platformKey, isPlatform := platformKeys[name]
		switch {
		case isPlatform && env[name] != "":
			if _, set := layer.Values[platformKey]; !set { // a CRESSHUB_ variable has precedence
				layer.Set(platformKey, settingsfile.Text(env[name]), origin)
			}
		case isOwn:
			layer.Set(ownKey, settingsfile.Text(env[name]), origin)
		case strings.HasPrefix(name, variablePrefix) && name != fileVariable:
			hint := ""
			if closest := settingsfile.Closest(name, slices.Sorted(maps.Keys(ownKeys))); closest != "" {
				hint = "; did you mean " + closest + "?"
			}
			problems.Add(origin, "", "sets no key%s", hint)
		}
	}
	return layer
}

// flags reads the values that command-line flags set, by key.
func flags(values map[string]string, problems *settingsfile.SettingErrors) *settingsfile.Layer {
	layer := settingsfile.NewLayer()
	for _, path := range slices.Sorted(maps.Keys(values)) {
		origin := settingsfile.NewOrigin(sourceFlag, "--set "+path)
		if _, ok := schema().Resolve(path); !ok || strings.Contains(path, "[]") {
			problems.Add(origin, path, "is no key that a flag can set%s", schema().Suggest(path))
			continue
		}
		layer.Set(path, settingsfile.Text(values[path]), origin)
	}
	return layer
}

// RandomSeed returns the seed of random decisions: the one that is set, or else one that Load drew.
func (c *Config) RandomSeed() uint64 {
	if n, err := strconv.ParseUint(c.Seed, 16, 64); err == nil {
		return n
	}
	return c.drawnSeed
}
