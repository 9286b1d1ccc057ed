package config

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cresshub/internal/settingsfile"
)

// All mistakes in a file are reported at once, each with its line, the allowed values and the most similar
// word.
//
//nolint:misspell // misspelled keys are among the mistakes
func TestAllMistakesAreReportedWithTheirLines(t *testing.T) {
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
		"13: log: is defined twice, first on line 10", "14: nonsense: is no section",
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
			t.Errorf("not reported: %s", w)
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d mistakes reported, %d expected:\n%v", len(got), len(want), got)
	}
}

func TestEachMistakeHasItsLineAndMessage(t *testing.T) {
	for _, c := range [][2]string{
		{"", "configuration: class: is missing"},
		{strings.Replace(small, "idempotent", "idempotant", 1), "c.toml:7: class[1].effect: found " +
			"\"idempotant\", allowed are idempotent, deduplicated, at_most_once; did you mean idempotent?"},
		{strings.Replace(small, "[[class]]", "[class]", 1), "c.toml:3: class: is a list; each of"},
		{strings.Replace(small, "[discovery]", "[[discovery]]", 1),
			"c.toml:1: discovery: is a section, not a list; it is set once"},
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

// An unclosed bracket makes the rest of the file invalid. The parser resumes at each next line, which must
// not take time quadratic in the length of the file; the number of reported mistakes is bounded.
func TestParsingManyInvalidLinesIsBounded(t *testing.T) {
	_, err := loadTOML(strings.Repeat("a = [\n", 1<<20/6))
	var ps settingsfile.SettingErrors
	if !errors.As(err, &ps) || len(ps) > 52 {
		t.Errorf("%d problems: %.200v", len(ps), err)
	}
}

// Load terminates for any text. It returns either values whose sources are known, or mistakes with a message
// and a line that the file has.
func TestLoadAcceptsOrRejectsAnyText(t *testing.T) {
	lines := strings.SplitAfter(InitialFile()+small, "\n")
	fragment := rapid.OneOf(rapid.SampledFrom(lines), rapid.SampledFrom([]string{
		"[", "]]", "=", "\"", "'''", "\"\"\"",
		"\n", "{", "}", "a.b.c = {x=1,y=[2,{z=3}]}\n", "[[class]]\n", "1e999", "-0", "\\u0000", "#"}))
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(fragment, 0, 40).Draw(t, "pieces"), "")
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
				t.Errorf("%s has no source, for the text %q", v.Key, text)
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

// The operator's file, the platform's file and EDGE_OPERATOR can each set the address of the admin API. An
// invalid address, and the one that clients connect to, are reported under the key operator.
func TestAdminAddressFromEachSource(t *testing.T) {
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
