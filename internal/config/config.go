// Package config reads what the platform tells the program at its start: the EDGE_* variables and the
// file that one of them names.
package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"

	"cresshub/internal/wire"
)

// Config is what a client proxy is told.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Seed      uint64
	Limits    Limits
	Known     json.RawMessage // the list as last held, in discovery's form; nil where there is none
	Settings  wire.Settings
}

// Limits are what the process may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Load reads the configuration; get looks an environment variable up, read reads a file. Reading it
// again while the program runs, the file's discovery goes before the variable.
func Load(get func(string) string, read func(string) ([]byte, error), again bool) (*Config, error) {
	path := get("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG is not set")
	}
	raw, err := read(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	c, err := parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	c.Name = cmp.Or(get("EDGE_NAME"), c.Name)
	c.Listen = cmp.Or(get("EDGE_LISTEN"), c.Listen)
	if again {
		// The environment still says what held at the start; the file was replaced since.
		c.Discovery = cmp.Or(c.Discovery, get("EDGE_DISCOVERY"))
	} else {
		c.Discovery = cmp.Or(get("EDGE_DISCOVERY"), c.Discovery)
	}
	for _, a := range []struct{ name, address string }{
		{"EDGE_LISTEN", c.Listen}, {"EDGE_DISCOVERY", c.Discovery},
	} {
		if _, _, err := net.SplitHostPort(a.address); err != nil {
			return nil, fmt.Errorf("%s: %w", a.name, err)
		}
	}
	return c, nil
}

func parse(raw []byte) (*Config, error) {
	var file struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Seed      string          `json:"seed"`
		Limits    Limits          `json:"limits"`
		Known     json.RawMessage `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		return nil, err
	}
	c := &Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Limits: file.Limits}
	var err error
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("field %q: %w", "seed", err)
	}
	if l := c.Limits; l.MemoryMB < 0 || l.Sockets < 0 || !(l.Cores >= 0) {
		return nil, fmt.Errorf("field %q: a figure is below 0", "limits")
	}
	if len(file.Settings) == 0 {
		return nil, fmt.Errorf("field %q is missing", "settings")
	}
	if c.Settings, err = wire.ReadSettings(file.Settings); err != nil {
		return nil, fmt.Errorf("field %q: %w", "settings", err)
	}
	c.Settings.Seed = c.Seed
	if string(file.Known) != "null" {
		c.Known = file.Known
	}
	return c, nil
}
