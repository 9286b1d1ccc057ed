package cli

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/spf13/cobra"

	"cresshub/internal/cluster/gossip"
	"cresshub/internal/testbed/proxystandin"
)

// Every command has a description and an example, and the examples call commands and flags that exist.
func TestEveryCommandHasHelpAndWorkingExamples(t *testing.T) {
	root := newRoot(nil)
	RejectBareGroups(root)
	var walk func(c *cobra.Command)
	walk = func(c *cobra.Command) {
		if c.Short == "" || c.Example == "" {
			t.Errorf("%s: short %q, example %q", c.CommandPath(), c.Short, c.Example)
		}
		for line := range strings.Lines(c.Example) {
			line = strings.TrimSpace(line)
			if _, call, ok := strings.Cut(line, "<("); ok { // source <(cresshub ...)
				line = strings.TrimSuffix(call, ")")
			}
			args := strings.Fields(line)
			found, rest, err := root.Find(args[1:])
			if args[0] != "cresshub" || err != nil || found == root {
				t.Errorf("%s: example %q calls no subcommand: %v", c.CommandPath(), line, err)
				continue
			}
			if found.DisableFlagParsing {
				continue // cresshub-lab parses these arguments
			}
			if err := found.ParseFlags(rest); err != nil {
				t.Errorf("%s: example %q: %v", c.CommandPath(), line, err)
			}
		}
		for _, sub := range c.Commands() {
			walk(sub)
		}
	}
	walk(root)
}

// Where EDGE_CONFIG is set, "config check" rejects each key that has proxies send traffic to each other,
// and names the key; without the variable the same file is valid.
func TestConfigCheckOnPlatformRejectsTrafficBetweenProxies(t *testing.T) {
	platform := `{"name":"n3","listen":"127.0.0.1:8080","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":64,"sockets":1024},"known":null,"settings":{"azs":["a"],"kinds":["m"],
		"balancers":4,"rank":2,"grades":[{"name":"lookup","aim-ms":100,"deadline-ms":500,"effect":"idempotent",
		"value":1}],"tick-ms":5}}`
	tomlFile := `[discovery]
address = "127.0.0.1:8500"
[fleet]
bind = "127.0.0.1:1"
[ledger]
bind = "127.0.0.1:2"
data = "/d"
[owner]
chores = ["list"]
[[class]]
name = "lookup"
aim = "1s"
deadline = "2s"
effect = "idempotent"
`
	dir := t.TempDir()
	platformPath, tomlPath := filepath.Join(dir, "p.json"), filepath.Join(dir, "c.toml")
	for path, text := range map[string]string{platformPath: platform, tomlPath: tomlFile} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	check := func() (string, error) {
		var out bytes.Buffer
		c := newRoot(nil)
		c.SetOut(&out)
		c.SetErr(&out)
		c.SetArgs([]string{"config", "check", tomlPath})
		err := c.Execute()
		return out.String(), err
	}
	t.Setenv("EDGE_CONFIG", "")
	if out, err := check(); err != nil {
		t.Fatalf("without EDGE_CONFIG: %v\n%s", err, out)
	}
	t.Setenv("EDGE_CONFIG", platformPath)
	out, err := check()
	for _, key := range []string{"fleet.bind", "ledger.bind", "owner.chores"} {
		if err == nil || !strings.Contains(out, key+": the platform forbids traffic between proxies") {
			t.Errorf("%s is not rejected: %v\n%s", key, err, out)
		}
	}
}

// Commands print counters as text under these names, which scripts read and which are independent of the
// names of the Go fields.
func TestNamesOfPrintedCountsAreStable(t *testing.T) {
	var out bytes.Buffer
	counts := proxystandin.ZoneCounts{Requests: 1, Rejected: 3, Overloaded: 8}
	if err := printZoneCounts(&out, counts); err != nil {
		t.Fatal(err)
	}
	want := "{Requests:1 Served:0 TurnedAway:3 Probes:0 Opened:0 RanTwice:0 AfterDrain:0 FellOver:8}\n"
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Error(diff)
	}
	want = "{Joins:0 Restarts:0 Changes:0 Gone:0 Returned:0 Forgotten:0 Conflicts:0 Refused:0 Rejoins:0 " +
		"Syncs:0 LostChanges:0 MetaRefused:0 MessagesRefused:0 Probes:0 IndirectProbes:0 Suspicions:0 " +
		"Suspected:0 " +
		"Refutations:0 Refuted:0 Asked:0 PacketsIn:0 PacketsOut:0 StreamsIn:0 StreamsOut:0 BytesIn:0 BytesOut:0 " +
		"WireRefused:0 OtherLabel:0}"
	// "fleet members" prints the counters in this format.
	if diff := cmp.Diff(want, fmt.Sprintf("%+v", gossip.Counters{})); diff != "" {
		t.Error(diff)
	}
}
