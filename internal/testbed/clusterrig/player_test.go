package clusterrig

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestScenariosAreChecked(t *testing.T) {
	for _, name := range Shipped() {
		if _, err := Load(name, nil); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	if len(Shipped()) == 0 {
		t.Error("no scenario is shipped")
	}
	link := "[[step]]\ndo = \"link\"\nwho = [\"m-0\"]\n"
	for text, says := range map[string]string{
		"members = 1":  "members",
		"memebrs = 3":  "did you mean",
		"lasts = 10":   "unit",
		"[[step]]\n":   "step[1].do",
		"[fleet]\nx=1": "fleet.x",
		"[[step]]\ndo = \"explode\"\nwho = [\"m-0\"]": "none of kill",
		"[[step]]\ndo = \"kill\"\nwho = [\"m-9\"]":    "no member",
		"[[step]]\ndo = \"kill\"":                     ":2: step[1].who",
		link:                                          "two ends",
		"[[step]]\ndo = \"wait\"\nexpect = \"dead\"":  "expected of nobody",
		"[[step]]\ndo = \"heal\"\nat = \"2s\"\n[[step]]\ndo = \"heal\"\nat = \"1s\"": "before the step above",
		link + "to = [\"m-1\"]\ndrop = 2":                                            "drop",
		link + "to = [\"m-1\"]\nexpect = \"maybe\"":                                  "expect",
	} {
		file := filepath.Join(t.TempDir(), "s.toml")
		must(t, os.WriteFile(file, []byte(text), 0o600))
		if _, err := Load(file, nil); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%q: %v, not %q", text, err, says)
		}
	}
	if _, err := Load("nowhere", map[string]string{"members": "3"}); err == nil {
		t.Error("a scenario that is not there was read")
	}
}

// A scenario is played, recorded, judged, printed and drawn; what does not come in time is a failure.
func TestPlay(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("starts several processes")
	}
	sc, err := Load("partition", map[string]string{"members": "3", "lasts": "6s"})
	if err != nil {
		t.Fatal(err)
	}
	sc.Steps[0].Who = []string{"m-0"}
	sc.Steps[1].At = 5 * time.Second
	sc.Steps = append(sc.Steps, Step{At: 5 * time.Second, Do: "kill", Who: []string{"m-2"}, Expect: "left",
		Within: 50 * time.Millisecond})
	var rec, table, svg bytes.Buffer
	rep, err := Play(ctx(t), sc, Options{Program: binary, Dir: t.TempDir()}, &rec)
	if err != nil {
		t.Fatal(err)
	}
	if rep.Failures != 1 || rep.Steps[2].Failed != 1 || rep.Steps[0].Failed+rep.Steps[1].Failed != 0 {
		t.Errorf("the report counts %+v", rep.Steps)
	}
	if rep.Steps[0].Median < 100 || rep.Views == 0 || rep.BytesPerSecond <= 0 || rep.MeasuredMembers != 1 {
		t.Errorf("the report measures %+v", rep)
	}
	seen := false
	for _, raw := range bytes.Split(bytes.TrimSpace(rec.Bytes()), []byte("\n")) {
		var l event
		must(t, json.Unmarshal(raw, &l))
		seen = seen || l.By == "m-1" && l.Sees["m-0"] == "dead"
	}
	if !seen {
		t.Error("the record never has m-1 see m-0 dead")
	}
	must(t, rep.Print(&table))
	must(t, rep.Plot(&svg))
	if !strings.Contains(table.String(), "partition [m-0]") || !strings.Contains(svg.String(), "<svg") {
		t.Errorf("printed:\n%s\ndrawn: %d bytes", table.String(), svg.Len())
	}
}
