package config

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cresshub/balance"
	"cresshub/internal/proxy/simwire"
)

// The platform's settings must reach the balancer as package simwire decodes them, although Load converts
// them to keys of the configuration and back.
func TestPlatformSettingsAreUnchanged(t *testing.T) {
	for _, text := range []string{settings, `{"grades":[{"aim-ms":1,"deadline-ms":2,"effect":"at_most_once",
		"name":"x"}],"locality":3}`} {
		want, err := simwire.ReadSettings([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		want.Seed = 0x8c1f30d27a5be964
		file := strings.Replace(platform, settings, text, 1)
		c, err := load(Input{}, map[string]string{"p.json": file}, "EDGE_CONFIG=p.json", "EDGE_LISTEN=127.0.0.1:9")
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, c.Settings()); diff != "" {
			t.Error(diff)
		}
		got := fmt.Sprintln(c.Name, c.Listen.Address, c.Discovery.Address, c.Limits.Cores, c.Limits.Memory,
			c.Limits.Descriptors, string(c.KnownServers))
		if diff := cmp.Diff("n3 127.0.0.1:9 127.0.0.1:2 1.5 192MiB 1024 {\"index\":4}\n", got); diff != "" {
			t.Error(diff)
		}
	}
}

func TestInvalidPlatformFileIsRejected(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"no JSON", `{"name"`, `{name`, "p.json"},
		{"seed", "8c1f", "xyz", `"seed"`},
		{"listen", "127.0.0.1:1", "somewhere", "listen.address"},
		{"limits", "192", "-1", `"limits.memory_mb"`},
		{"no settings", `"settings"`, `"other"`, `"settings"`},
		{"settings", "idempotent", "perhaps", `"effect"`},
	} {
		_, err := load(Input{}, map[string]string{"p.json": strings.Replace(platform, c.old, c.new, 1)},
			"EDGE_CONFIG=p.json")
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want one line with %s", c.name, err, c.want)
		}
	}
}

// If the count of proxies or the rank in the platform's settings is absent, zero, negative, out of range or
// not an integer, Load returns either an error that names it or settings that the balancer accepts.
func TestPlatformProxyCountsAreAcceptedOrRejected(t *testing.T) {
	for text, want := range map[string]string{
		`"balancers":4,"rank":2`:                    "",
		`"x":1`:                                     "", // both absent
		`"balancers":0,"rank":0`:                    "",
		`"balancers":-3,"rank":0`:                   `field "balancers": below 0`,
		`"balancers":4,"rank":-1`:                   `field "rank": below 0`,
		`"balancers":4,"rank":9`:                    "",
		`"balancers":2000000,"rank":0`:              "policy.instances",
		`"balancers":1.5,"rank":0`:                  "balancers",
		`"balancers":"many","rank":0`:               "balancers",
		`"balancers":99999999999999999999,"rank":0`: "balancers",
	} {
		file := strings.Replace(platform, `"balancers":4,"rank":2`, text, 1)
		if text != `"balancers":4,"rank":2` && file == platform {
			t.Fatal("the platform's settings have no such counts")
		}
		c, err := load(Input{}, map[string]string{"p.json": file}, "EDGE_CONFIG=p.json")
		if want != "" {
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%s: %v, want %q", text, err, want)
			}
			continue
		}
		if err != nil {
			t.Errorf("%s: %v", text, err)
			continue
		}
		b, err := balance.New(c.Settings().Settings, 0)
		if err != nil {
			t.Errorf("%s: the balancer rejects it: %v", text, err)
			continue
		}
		b.List(0, balance.ListFull, []balance.Server{{ID: 1}, {ID: 2}}, nil)
		if acts := b.Request(0, balance.Request{ID: "r", Deadline: time.Second}, nil); len(acts) == 0 {
			t.Errorf("%s: a request leads to no action", text)
		}
	}
}
