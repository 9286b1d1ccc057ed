package config

import (
	"errors"
	"fmt"
	"io/fs"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const file = `{"name":"n3","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
"limits":{"cores":1.5,"memory_mb":192,"sockets":1024},"known":{"index":4},
"settings":{"grades":[{"name":"lookup","aim-ms":1,"deadline-ms":2,"effect":"idempotent"}],
"azs":["kita","chuo"],"kinds":["m2"],"tenants":[{"name":"acme"}],"limits":{"idle-close-ms":5000},
"report":{"fields":["active","cpu"]}}}`

func load(text string, env map[string]string) (*Config, error) {
	return Load(func(name string) string { return env[name] }, func(path string) ([]byte, error) {
		if path != "config.json" {
			return nil, fs.ErrNotExist
		}
		return []byte(text), nil
	}, false)
}

// At the start the variable goes before the file, and once the file was replaced the file does.
func TestLoadAgain(t *testing.T) {
	env := map[string]string{"EDGE_CONFIG": "config.json", "EDGE_DISCOVERY": "127.0.0.1:3"}
	for again, want := range map[bool]string{false: "127.0.0.1:3", true: "127.0.0.1:2"} {
		c, err := Load(func(name string) string { return env[name] },
			func(string) ([]byte, error) { return []byte(file), nil }, again)
		if err != nil || c.Discovery != want {
			t.Errorf("again %v: %v, %v", again, c, err)
		}
	}
}

func TestLoad(t *testing.T) {
	c, err := load(file, map[string]string{"EDGE_CONFIG": "config.json", "EDGE_LISTEN": "127.0.0.1:9"})
	if err != nil {
		t.Fatal(err)
	}
	s := c.Settings
	got := fmt.Sprintln(c.Name, c.Listen, c.Discovery, c.Seed, s.Seed, c.Limits, string(c.Known),
		s.ClassNames, s.TenantNames, s.ZoneNames, s.KindNames, s.ReportNames, s.IdleClose)
	want := "n3 127.0.0.1:9 127.0.0.1:2 10096842570142050660 10096842570142050660 {1.5 192 1024} " +
		"{\"index\":4} [lookup] [acme] [kita chuo] [m2] [active cpu] 5s\n"
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestLoadRejects(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"no JSON", `{"name"`, `{name`, "config.json"},
		{"seed", "8c1f", "xyz", `"seed"`},
		{"listen", "127.0.0.1:1", "somewhere", "EDGE_LISTEN"},
		{"limits", "192", "-1", `"limits"`},
		{"no settings", `"settings"`, `"other"`, `"settings"`},
		{"settings", "idempotent", "perhaps", `"effect"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := load(strings.Replace(file, c.old, c.new, 1), map[string]string{"EDGE_CONFIG": "config.json"})
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%v, want one line with %s", err, c.want)
			}
		})
	}
	if _, err := load(file, map[string]string{"EDGE_CONFIG": "none"}); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("missing file: %v", err)
	}
}
