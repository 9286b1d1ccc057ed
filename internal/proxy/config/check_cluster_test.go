package config

import (
	"fmt"
	"strings"
	"testing"
)

func TestFleetKeysAreCheckedAgainstEachOther(t *testing.T) {
	for text, want := range map[string]string{
		`bind = "127.0.0.1:7946"`: "",
		`bind = ""`:               "",
		`bind = "nowhere"`:        `fleet.bind: "nowhere" is no address`,
		`bind = "127.0.0.1:8080"`: `fleet.bind: "127.0.0.1:8080" is taken`,
		"bind = \"127.0.0.1:1\"\nseeds = [\"127.0.0.1\"]":                `seed 1, "127.0.0.1", is no host`,
		"bind = \"127.0.0.1:1\"\nseeds = [\"127.0.0.1:1\"]":              "is this member itself",
		"bind = \"127.0.0.1:1\"\nprobe = \"100ms\"":                      "probe_timeout: 500ms is not below",
		"bind = \"127.0.0.1:1\"\nforget = \"1s\"":                        "fleet.forget: 1s is before gone_after",
		"bind = \"127.0.0.1:1\"\nprobe = \"1\"":                          "fleet.probe",
		"bind = \"127.0.0.1:1\"\nlabel = \"other\"\nmax_members = 0":     "fleet.max_members",
		"bind = \"127.0.0.1:1\"\nseeds = [\"127.0.0.1:2\", \"[::1]:3\"]": "",
	} {
		_, err := loadTOML(small + "[fleet]\n" + text + "\n")
		if want == "" && err != nil || !strings.Contains(fmt.Sprint(err), want) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
	// The platform forbids traffic between proxies: a fleet is rejected there, and the error names its key.
	_, err := load(Input{File: "c.toml"}, map[string]string{"p.json": platform,
		"c.toml": "[fleet]\nbind = \"127.0.0.1:7946\"\n"}, "EDGE_CONFIG=p.json")
	if !strings.Contains(fmt.Sprint(err), "fleet.bind: the platform forbids traffic between proxies") {
		t.Errorf("a fleet on the platform: %v", err)
	}
	if _, err := load(Input{}, map[string]string{"p.json": platform}, "EDGE_CONFIG=p.json"); err != nil {
		t.Errorf("the platform without a fleet: %v", err)
	}
}

func TestOwnerKeysAreCheckedAgainstEachOther(t *testing.T) {
	const ledger = "[fleet]\nbind = \"127.0.0.1:1\"\n[ledger]\nbind = \"127.0.0.1:2\"\ndata = \"/d\"\n"
	const chores, sink = "chores = [\"export\", \"list\"]\n", "sink = \"127.0.0.1:3\"\n"
	for _, c := range []struct{ before, owner, want string }{
		{ledger, chores + sink, ""},
		{ledger, "chores = []\nlease = \"60ms\"", ""}, // without roles, owner.lease is not checked
		{"", chores + sink, "owner.chores: needs ledger.bind"},
		{ledger, chores, "owner.sink: is missing"},
		{ledger, "chores = [\"lists\"]", `owner.chores: "lists" is no singleton role; there are export and list`},
		{ledger, chores + "sink = \"nowhere\"", `owner.sink: "nowhere" is no address`},
		{ledger, chores + sink + "lease = \"1s\"", "owner.lease: lease 1s is not above the election timeout 1s"},
		{ledger, chores + sink + "lease = \"2\"", "owner.lease"}, // no unit
		{ledger, chores + sink + "drift = 0.6", "owner.drift"},
		{ledger, chores + sink + "drift = 0.4\nlease = \"20s\"\nlist_max_age = \"10s\"", "list_max_age"},
		{ledger, chores + sink + "list_max_age = \"11s\"", "11s is beyond discovery.ask_within 10s"},
		{ledger, chores + sink + "list_max_age = \"1500ms\"", "1.5s is below the lease 2s"},
		{ledger, chores + sink + "list_poll = \"2s\"", "4s is below four list_poll, 8s"},
		{ledger, chores + sink + "entries = 0", "owner.entries"},
	} {
		_, err := loadTOML(small + c.before + "[owner]\n" + c.owner + "\n")
		if c.want == "" && err != nil || !strings.Contains(fmt.Sprint(err), c.want) {
			t.Errorf("%s: %v, want %q", c.owner, err, c.want)
		}
	}
	// On the platform each key is rejected, whether a file or a variable sets it.
	for _, c := range []struct{ file, env, want string }{
		{ledger, "", "ledger.bind: the platform forbids traffic between proxies"},
		{ledger + "[owner]\n" + chores + sink, "", "owner.chores: the platform forbids traffic between proxies"},
		{"", "CRESSHUB_OWNER_CHORES=export", "owner.chores: the platform forbids traffic between proxies"},
		{"", "CRESSHUB_LEDGER_BIND=127.0.0.1:1", "ledger.bind: the platform forbids traffic between proxies"},
	} {
		_, err := load(Input{File: "c.toml"}, map[string]string{"p.json": platform, "c.toml": c.file},
			"EDGE_CONFIG=p.json", c.env)
		if !strings.Contains(fmt.Sprint(err), c.want) {
			t.Errorf("%s %s on the platform: %v", c.file, c.env, err)
		}
	}
}
