package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cresshub/balance"
	"cresshub/internal/proxy/simwire"
	"cresshub/internal/settingsfile"
)

const settings = `{"azs":["kita","chuo"],"kinds":["m2"],"balancers":4,"rank":2,"locality":1,"tick-ms":5,
"registry-mode":"on_request","counted-by":"work","over-share-worth":0.1,
"grades":[{"name":"lookup","aim-ms":600.5,"deadline-ms":1500,"effect":"idempotent","value":2,
"late-worth":0.5},
{"name":"dedup","aim-ms":1,"deadline-ms":2,"effect":"deduplicated","group":"cell","window-ms":7,"value":8,
"stream":true,"aim-stretch":3}],
"tenants":[{"name":"acme","portion":0.75,"quota-per-s":137},{"name":"b"}],
"deductions":{"cross-zone":0.03,"probe":0.01,"waste":0.04,"late-fail":0.033},"extra":{"warm-keys":true},
"invariants":{"answer-slack-ms":20,"ask-within-ms":10000,"cold-ms":23000,"fall-multiple":4,
"start-capacity":0.12,"stop-sending-within-ms":1500,"tip-after-ms":1500},
"limits":{"cancel":true,"dial-timeout-ms":250,"idle-close-ms":5000,"max-attempts":3,"max-retry-after-ms":1000,
"may-duplicate":true,"probes":true,"retry-after":true},
"report":{"fields":["active","new","cpu"],"source":"answers"}}`

const platform = `{"name":"n3","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
"limits":{"cores":1.5,"memory_mb":192,"sockets":1024},"known":{"index":4},"settings":` + settings + `}`

const small = `[discovery]
address = "127.0.0.1:8500"
[[class]]
name = "lookup"
aim = "600ms"
deadline = "1s"
effect = "idempotent"
`

// load reads files given by name, with variables.
func load(in Input, files map[string]string, env ...string) (*Config, error) {
	in.Environ = func() []string { return env }
	in.Read = func(path string) ([]byte, error) {
		if text, ok := files[path]; ok {
			return []byte(text), nil
		}
		return nil, fs.ErrNotExist
	}
	return Load(in)
}

func loadTOML(text string) (*Config, error) {
	return load(Input{File: "c.toml"}, map[string]string{"c.toml": text})
}

// The platform's settings must reach the decisions as the simulator's wire gives them, whatever the form
// in between.
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

func TestPlatformRejects(t *testing.T) {
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

// At the start a variable goes before the platform's file; once the file was replaced, the file does.
func TestPrecedence(t *testing.T) {
	files := map[string]string{"p.json": platform, "c.toml": strings.Replace(small, "8500", "1", 1)}
	env := []string{"EDGE_CONFIG=p.json", "EDGE_DISCOVERY=127.0.0.1:3"}
	own := append(env, "CRESSHUB_DISCOVERY_ADDRESS=127.0.0.1:4")
	flag := map[string]string{"discovery.address": "127.0.0.1:5"}
	for _, c := range []struct {
		in   Input
		env  []string
		port int
		from string
	}{
		{Input{File: "c.toml"}, nil, 1, "file"},
		{Input{}, []string{"CRESSHUB_CONFIG=c.toml"}, 1, "file"},
		{Input{File: "c.toml"}, env[:1], 2, "platform"},
		{Input{File: "c.toml"}, env, 3, "environment"},
		{Input{File: "c.toml", Reload: true}, env, 2, "platform"},
		{Input{File: "c.toml"}, own, 4, "environment"},
		{Input{File: "c.toml", Flags: flag}, own, 5, "flag"},
	} {
		got, err := load(c.in, files, c.env...)
		if err != nil {
			t.Fatal(err)
		}
		from := ""
		for _, v := range got.Effective() {
			if v.Key == "discovery.address" {
				from = v.Source
			}
		}
		if want := fmt.Sprint("127.0.0.1:", c.port); got.Discovery.Address != want || from != c.from {
			t.Errorf("%+v %v: %s from %s", c.in, c.env, got.Discovery.Address, from)
		}
	}
	if _, err := load(Input{File: "c.toml"}, files, "CRESSHUB_LOG_LEVL=warn"); err == nil ||
		!strings.Contains(err.Error(), "did you mean CRESSHUB_LOG_LEVEL?") {
		t.Error(err)
	}
}

// Every mistake of a file is told in one go, at its line, with what is allowed and the likely word.
func TestAllMistakesAtOnce(t *testing.T) {
	text := `name = 7
[listen]
adress = "127.0.0.1:80"
[clients]
idle = 3
write = "3"
[limits]
memory = 64
sockets = -1
[log]
level = loud
format = "jason"
[log]
[nonsense]
a = 1
[policy]
hall = "kito"
attempts = 2.5
[shutdown]
accept_for = "2s"
accept_for = "1s"
[[class]]
name = "a"
aim = "2s"
deadline = "1s"
effect = "twice"
[[class]]
name = "a"
deadline = "1s"
effect = "deduplicated"
[[tenant]]
[discovery]
address = "nowhere:70000"
`
	_, err := loadTOML(text)
	var got settingsfile.SettingErrors
	if !errors.As(err, &got) {
		t.Fatal(err)
	}
	want := []string{
		"1: name: found the number 7", "3: listen.adress: is no key; did you mean listen.address?",
		"5: clients.idle: found the number 3, a time needs a unit", `6: clients.write: found "3" without a unit`,
		"8: limits.memory: found the number 64, a size needs a unit", "9: limits.sockets: -1 is out of range, 0 to",
		`11: log.level: unexpected`, `12: log.format: found "jason", allowed are text, json; did you mean json?`,
		"13: log: stands twice, first on line 10", "14: nonsense: is no section",
		`17: policy.hall: "kito" is none of halls`, "18: policy.attempts: found the number 2.5",
		"21: shutdown.accept_for: is set twice, first on line 20",
		"24: class[1].aim: 2s is beyond",
		`26: class[1].effect: found "twice"`, "27: class[2].aim: is missing", `28: class[2].name: "a" is the name`,
		"30: class[2].window: is missing", "31: tenant[1].name: is missing",
		`33: discovery.address: "nowhere:70000" has port`,
	}
	for _, w := range want {
		found := false
		for _, p := range got {
			found = found || strings.HasPrefix(p.String(), "c.toml:"+w)
		}
		if !found {
			t.Errorf("not told: %s", w)
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d mistakes told, %d made:\n%v", len(got), len(want), got)
	}
}

func TestOneMistake(t *testing.T) {
	for _, c := range [][2]string{
		{"", "configuration: class: is missing"},
		{strings.Replace(small, "idempotent", "idempotant", 1), "c.toml:7: class[1].effect: found " +
			"\"idempotant\", allowed are idempotent, deduplicated, at_most_once; did you mean idempotent?"},
		{strings.Replace(small, "[[class]]", "[class]", 1), "c.toml:3: class: is a list; each of"},
		{strings.Replace(small, "[discovery]", "[[discovery]]", 1), "c.toml:1: discovery: stands once"},
		{"limits = 4\n" + small, "c.toml:1: limits: is a section"},
		{"[log]\nrequests = 1\n" + small, "c.toml:2: log.requests: found the number 1"},
		{"[log]\nrequests = 2026-12-01\n" + small, "c.toml:2: log.requests: found a localdate"},
		{small + "[[server]]\nname=\"a\"\naddress=\"127.0.0.1:1\"\n", "c.toml:2: discovery.address: is set and"},
		{"halls = [1]\n" + small, "c.toml:1: halls: found a list"},
		{"[shutdown]\naccept_for = \"2s\"\n" + small, "c.toml:2: shutdown.close_all_after: 700ms is before"},
		{"x = 99999999999999999999\n" + small, "c.toml:1: x: 99999999999999999999 is no whole"},
		{"[upstream]\ndial = \"2m\"\n" + small, "c.toml:2: upstream.dial: 2m is out of range, 0s to 1m"},
		{"[log]\nlevel = \"a\nb\"\n" + small, "c.toml:2: log.level: "},
	} {
		_, err := loadTOML(c[0])
		if err == nil || !strings.HasPrefix(err.Error(), c[1]) {
			t.Errorf("%q: %v, want %s", c[0], err, c[1])
		}
	}
	_, err := load(Input{File: "none"}, nil)
	if err == nil || !strings.Contains(err.Error(), "none: cannot be read") {
		t.Error(err)
	}
}

// The page and the first file come from the same tags as the checks.
func TestPagesAreFresh(t *testing.T) {
	page, err := os.ReadFile("../../../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Reference(), string(page)); diff != "" {
		t.Errorf("docs/CONFIGURATION.md is stale; write it by \"bin/cresshub config docs\":\n%s", diff)
	}
	if _, err := loadTOML(InitialFile()); err != nil {
		t.Error(err)
	}
	commented := strings.ReplaceAll(InitialFile(), "\n#", "\n") // every default as the file would hold it
	var lines []string
	for l := range strings.Lines(commented) {
		key, _, set := strings.Cut(l, " = ")
		if set && strings.Trim(key, "abcdefghijklmnopqrstuvwxyz_") == "" || strings.HasPrefix(l, "[") {
			lines = append(lines, l)
		}
	}
	if _, err := loadTOML(strings.Join(lines, "")); err != nil {
		t.Error(err)
	}
	for _, f := range Fields() { // bounds that can be read, and defaults within them
		if f.Doc == "" || f.Reload != settingsfile.Live && f.Reload != settingsfile.Restart &&
			f.Reload != settingsfile.AtStart {
			t.Errorf("%s: doc %q, reload %q", f.Path, f.Doc, f.Reload)
		}
		if !f.Required {
			if _, err := f.Decode(settingsfile.Text(f.Default)); err != nil {
				t.Errorf("%s: %v", f.Path, err)
			}
		}
	}
}

// An open bracket takes all that follows with it: reading on at each next line must not take the square of
// the file's length.
func TestBrokenLinesAreBounded(t *testing.T) {
	_, err := loadTOML(strings.Repeat("a = [\n", 1<<20/6))
	var ps settingsfile.SettingErrors
	if !errors.As(err, &ps) || len(ps) > 52 {
		t.Errorf("%d problems: %.200v", len(ps), err)
	}
}

func TestChanged(t *testing.T) {
	base, _ := loadTOML(small)
	servers := strings.Replace(small, "address = \"127.0.0.1:8500\"", "", 1) +
		"[[server]]\nname=\"a\"\naddress=\"127.0.0.1:1\"\n"
	static, err := loadTOML(servers)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		from          *Config
		to            string
		live, restart []string
	}{
		{base, small, nil, nil},
		{base, strings.Replace(small, "8500", "8501", 1), []string{"discovery.address"}, nil},
		{base, strings.Replace(small, "600ms", "601ms", 1), nil, []string{"class[1].aim"}},
		{base, "seed = \"1f\"\n" + small, nil, nil},
		{base, servers, nil, []string{"discovery.address"}},
		{static, servers + "[[server]]\nname=\"b\"\naddress=\"127.0.0.1:2\"\n", []string{"server[2].address",
			"server[2].cell", "server[2].drains", "server[2].hall", "server[2].kind", "server[2].name",
			"server[2].weight"}, nil},
	} {
		next, err := loadTOML(c.to)
		if err != nil {
			t.Fatal(err)
		}
		live, restart := c.from.Changed(next)
		if diff := cmp.Diff([][]string{c.live, c.restart}, [][]string{live, restart}); diff != "" {
			t.Error(c.to, diff)
		}
		if again, _ := c.from.WithLive(next).Changed(next); len(again) > 0 && restart == nil {
			t.Errorf("not taken over: %v", again)
		}
	}
}

// Servers added while the program runs count as just started, the others keep their time.
func TestServerList(t *testing.T) {
	c := &Config{Servers: []Server{{Name: "a", Address: "127.0.0.1:1"}}}
	since := map[string]time.Time{}
	c.ServerList(time.Time{}, since)
	c.Servers = append(c.Servers, Server{Name: "b", Address: "127.0.0.1:2", Draining: true})
	var got struct {
		Endpoints []struct {
			Status  string
			SinceMS int64 `json:"since_ms"`
		}
	}
	if err := json.Unmarshal(c.ServerList(time.UnixMilli(77), since), &got); err != nil {
		t.Fatal(err)
	}
	if s := fmt.Sprint(got.Endpoints); s != "[{in_service 0} {terminating 77}]" {
		t.Error(s)
	}
	c.Servers = c.Servers[1:]
	c.ServerList(time.UnixMilli(99), since)
	if len(since) != 1 {
		t.Errorf("%v kept for servers that left", since)
	}
}

// Whatever stands in a file, reading it ends, tells lines that the file has, and takes no value in that a
// check would refuse.
func TestAnyText(t *testing.T) {
	lines := strings.SplitAfter(InitialFile()+small, "\n")
	piece := rapid.OneOf(rapid.SampledFrom(lines), rapid.SampledFrom([]string{
		"[", "]]", "=", "\"", "'''", "\"\"\"",
		"\n", "{", "}", "a.b.c = {x=1,y=[2,{z=3}]}\n", "[[class]]\n", "1e999", "-0", "\\u0000", "#"}))
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(piece, 0, 40).Draw(t, "pieces"), "")
		checkText(t, text)
	})
}

func checkText(t rapid.TB, text string) {
	c, err := loadTOML(text)
	var ps settingsfile.SettingErrors
	switch {
	case err == nil:
		for _, v := range c.Effective() {
			if v.Source == "" {
				t.Errorf("%s came from nowhere in %q", v.Key, text)
			}
		}
	case !errors.As(err, &ps):
		t.Errorf("%v for %q", err, text)
	}
	for _, p := range ps {
		if p.Line > strings.Count(text, "\n")+1 || p.Source == "file" && p.Line < 1 || p.Message == "" {
			t.Errorf("%v for %q", p, text)
		}
	}
}

func FuzzTOML(f *testing.F) {
	f.Add(small)
	f.Add(InitialFile())
	f.Add("a = [\n[[class]]\n")
	f.Fuzz(func(t *testing.T, text string) { checkText(t, text) })
}

// The operators' address comes from the file, the platform's file or EDGE_OPERATOR; one that cannot be
// used, or is the clients', is told by its key.
func TestOperator(t *testing.T) {
	for text, want := range map[string]string{
		"127.0.0.1:8080": "operator: \"127.0.0.1:8080\" is where clients connect",
		"nonsense":       "operator: \"nonsense\" is no address",
		"127.0.0.1:x":    "operator: \"127.0.0.1:x\" has port \"x\"",
		"127.0.0.1:9":    "",
	} {
		c, err := loadTOML("operator = \"" + text + "\"\n" + small)
		switch {
		case want == "" && (err != nil || c.Operator != text), !strings.Contains(fmt.Sprint(err), want):
			t.Errorf("%s: %v", text, err)
		}
	}
	file := strings.Replace(platform, `"listen"`, `"operator":"127.0.0.1:3","listen"`, 1)
	for _, c := range []struct{ env, want string }{
		{"X=", "127.0.0.1:3"}, {"EDGE_OPERATOR=127.0.0.1:4", "127.0.0.1:4"},
	} {
		got, err := load(Input{}, map[string]string{"p.json": file}, "EDGE_CONFIG=p.json", c.env)
		if err != nil || got.Operator != c.want {
			t.Errorf("%s: %v, %v", c.env, got, err)
		}
	}
}

func TestFleet(t *testing.T) {
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
	// On the platform the proxies may not talk to each other: a fleet is refused, and named.
	_, err := load(Input{File: "c.toml"}, map[string]string{"p.json": platform,
		"c.toml": "[fleet]\nbind = \"127.0.0.1:7946\"\n"}, "EDGE_CONFIG=p.json")
	if !strings.Contains(fmt.Sprint(err), "fleet.bind: the platform bars talk among proxies") {
		t.Errorf("a fleet on the platform: %v", err)
	}
	if _, err := load(Input{}, map[string]string{"p.json": platform}, "EDGE_CONFIG=p.json"); err != nil {
		t.Errorf("the platform without a fleet: %v", err)
	}
}

func TestOwner(t *testing.T) {
	const ledger = "[fleet]\nbind = \"127.0.0.1:1\"\n[ledger]\nbind = \"127.0.0.1:2\"\ndata = \"/d\"\n"
	const chores, sink = "chores = [\"export\", \"list\"]\n", "sink = \"127.0.0.1:3\"\n"
	for _, c := range []struct{ before, owner, want string }{
		{ledger, chores + sink, ""},
		{ledger, "chores = []\nlease = \"60ms\"", ""}, // off: the rest is not held to each other
		{"", chores + sink, "owner.chores: needs ledger.bind"},
		{ledger, chores, "owner.sink: is missing"},
		{ledger, "chores = [\"lists\"]", `owner.chores: "lists" is no chore; there are export and list`},
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
	// The platform refuses each part, by file and by variable.
	for _, c := range []struct{ file, env, want string }{
		{ledger, "", "ledger.bind: the platform bars talk among proxies"},
		{ledger + "[owner]\n" + chores + sink, "", "owner.chores: the platform bars talk among proxies"},
		{"", "CRESSHUB_OWNER_CHORES=export", "owner.chores: the platform bars talk among proxies"},
		{"", "CRESSHUB_LEDGER_BIND=127.0.0.1:1", "ledger.bind: the platform bars talk among proxies"},
	} {
		_, err := load(Input{File: "c.toml"}, map[string]string{"p.json": platform, "c.toml": c.file},
			"EDGE_CONFIG=p.json", c.env)
		if !strings.Contains(fmt.Sprint(err), c.want) {
			t.Errorf("%s %s on the platform: %v", c.file, c.env, err)
		}
	}
}

// A count of proxies or a rank in the platform's settings that is absent, zero, negative, out of range or no
// number: either a plain message that names it, or settings that the decisions take.
func TestCountsOfProxies(t *testing.T) {
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
			t.Errorf("%s: the decisions do not take it: %v", text, err)
			continue
		}
		b.List(0, balance.ListFull, []balance.Server{{ID: 1}, {ID: 2}}, nil)
		if acts := b.Request(0, balance.Request{ID: "r", Deadline: time.Second}, nil); len(acts) == 0 {
			t.Errorf("%s: a request comes to nothing", text)
		}
	}
}
