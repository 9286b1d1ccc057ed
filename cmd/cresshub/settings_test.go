package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cresshub/internal/http1"
	"cresshub/internal/testbed/nettest"
)

// otherDeploymentConfig returns the configuration of another deployment: the effects of the two classes are
// swapped, and max-attempts, the tenant and the zone differ.
func otherDeploymentConfig(discovery, servers string) string {
	text := platformConfig(discovery, servers, 200)
	for _, change := range [][2]string{{`"effect":"idempotent"`, `"effect":"x"`},
		{`"effect":"at_most_once"`, `"effect":"idempotent"`}, {`"effect":"x"`, `"effect":"at_most_once"`},
		{`"max-attempts":3`, `"max-attempts":2`}, {`"name":"acme"`, `"name":"emca"`}, {`["kita"]`, `["minami"]`}} {
		text = strings.Replace(text, change[0], change[1], 1)
	}
	return text
}

// TestDeploymentsKeepTheirOwnSettings runs two deployments at the same time, in processes that share a
// directory, and then restarts each at the other's address. Whether a request is retried, how often, and
// which tenants are known must come from the settings of its own deployment, whatever the method or the name
// of a class suggests.
func TestDeploymentsKeepTheirOwnSettings(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	closeConn := nettest.Zone(func(*http1.Request) *http1.Response { return nettest.CloseConn })
	// ask sends a request and returns the status of the response and the number of attempts.
	ask := func(p *process, servers []*nettest.ScriptedServer, method, class, tenant string) string {
		count := func() (n int) {
			for _, s := range servers {
				n += len(s.Received("/api"))
			}
			return n
		}
		before := count()
		text := nettest.Request(method, class, fmt.Sprint(class, before), 15*time.Second)
		a := nettest.Ask(t, nettest.Dial(t, p.address), strings.Replace(text, "acme", tenant, 1))
		return fmt.Sprint(a.Status, " ", count()-before)
	}
	begin := func(text string) *process {
		p := startWithoutWaiting(t, text)
		_, p.address, _ = strings.Cut(p.waitForLog(t, "msg=ready"), "listen=")
		return p
	}
	var servers [2][]*nettest.ScriptedServer
	for i := range servers {
		for range 4 {
			servers[i] = append(servers[i], nettest.Serve(t, closeConn))
		}
	}
	listenAt := func(text, address string) string { return strings.Replace(text, "127.0.0.1:0", address, 1) }
	one := begin(listenAt(platformConfig(nettest.NewDiscovery(t).Address,
		serverList("in_service", servers[0]...), 200), reservedHost+":0"))
	two := begin(listenAt(otherDeploymentConfig(nettest.NewDiscovery(t).Address,
		serverList("in_service", servers[1]...)), reservedHost+":0"))
	for range 2 {
		got := []string{
			ask(one, servers[0], "GET", "lookup", "acme"), ask(two, servers[1], "GET", "lookup", "emca"),
			ask(one, servers[0], "GET", "assign", "acme"), ask(two, servers[1], "POST", "assign", "emca"),
			ask(one, servers[0], "GET", "lookup", "emca"), ask(two, servers[1], "GET", "lookup", "acme"),
		}
		want := []string{"503 3", "502 1", "502 1", "503 2", "400 0", "400 0"}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
		one.cmd.Process.Kill() // restart both, each at the address of the other
		one.cmd.Wait()
		two.cmd.Process.Kill()
		two.cmd.Wait()
		x, y := one.address, two.address
		one = begin(listenAt(platformConfig(nettest.NewDiscovery(t).Address,
			serverList("in_service", servers[0]...), 200), y))
		two = begin(listenAt(otherDeploymentConfig(nettest.NewDiscovery(t).Address,
			serverList("in_service", servers[1]...)), x))
	}
}

// TestHandoverFromAnotherDiscovery checks that a new process that takes over an address, but uses another
// discovery service, does not adopt the old process's list of servers.
func TestHandoverFromAnotherDiscovery(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	handler := nettest.Zone(func(*http1.Request) *http1.Response { return nettest.OK("") })
	x, y := nettest.Serve(t, handler), nettest.Serve(t, handler)
	old := start(t, nettest.NewDiscovery(t).Address, serverList("in_service", x), 200)
	next := otherDeploymentConfig(nettest.NewDiscovery(t).Address, serverList("in_service", y))
	startWithoutWaiting(t, strings.Replace(next, "127.0.0.1:0", old.address, 1)).waitForLog(t, "msg=ready")
	old.cmd.Process.Kill()
	old.cmd.Wait()
	text := strings.Replace(nettest.Request("GET", "lookup", "id", 15*time.Second), "acme", "emca", 1)
	a := nettest.Ask(t, nettest.Dial(t, old.address), text)
	if a.Status != 200 || len(x.Received("/api")) != 0 || len(y.Received("/api")) != 1 {
		t.Errorf("status %d, %d requests to the other deployment's server", a.Status, len(x.Received("/api")))
	}
}
