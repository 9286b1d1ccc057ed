package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cresshub/internal/connbuffer"

	"cresshub/internal/http1"
	"cresshub/internal/testbed/nettest"
)

const ready = "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n"

// withDoor starts the program with an operators' door at a clients' address, and returns the door's.
func withDoor(t *testing.T, listen, discovery, known string) (*process, string) {
	t.Helper()
	p := launch(t, strings.Replace(configuration(discovery, known, 200), `"listen":"127.0.0.1:0"`,
		`"operator":"127.0.0.1:0","listen":"`+listen+`"`, 1))
	_, line, _ := strings.Cut(p.expect(t, "msg=ready"), "listen=")
	p.address, line, _ = strings.Cut(line, " operator=")
	return p, line
}

func operate(t *testing.T, door, call string) *http1.Response {
	t.Helper()
	return nettest.Ask(t, nettest.Dial(t, door), call+" HTTP/1.1\r\nHost: h\r\n\r\n")
}

func read(t *testing.T, r *bufio.Reader) *http1.Response {
	t.Helper()
	a, err := http1.ReadResponse(r)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// What the figures say is what the two sides saw: served, refused, failed, repeated, abandoned.
func TestFiguresAreTrue(t *testing.T) {
	answers := make(chan *http1.Response, 16)
	x := nettest.Serve(t, nettest.Zone(func(*http1.Request) *http1.Response { return <-answers }))
	p, door := withDoor(t, "127.0.0.1:0", nettest.NewDiscovery(t).Address, known("in_service", x))
	vars := func() string { return string(operate(t, door, "GET /_vars").Body) }
	for _, line := range []string{"proxy.handled.lookup.passed:0|c", "proxy.handled.assign.bad_gateway:0|c",
		"proxy.upstream_tries:0|c", "proxy.in_progress:0|g", "proxy.known_zone_servers:1|g",
		"proxy.skipped_zone_servers:0|g"} {
		if !strings.Contains(vars(), line+"\n") {
			t.Errorf("at first no %s in\n%s", line, vars())
		}
	}
	c := nettest.Dial(t, p.address)
	ask := func(method, class, id string, status int, answer ...*http1.Response) {
		t.Helper()
		for _, a := range answer {
			answers <- a
		}
		if a := nettest.Ask(t, c, nettest.Request(method, class, id, 15*time.Second)); a.Status != status {
			t.Errorf("%s: status %d", id, a.Status)
		}
	}
	notRun := &http1.Response{Status: 503, Header: http1.Header{{Name: "X-Not-Processed", Value: "1"}}}
	ask("GET", "lookup", "1", 200, nettest.OK("a"))
	ask("POST", "assign", "2", 200, nettest.OK("b"))
	ask("POST", "assign", "3", 502, &http1.Response{Status: 500})
	ask("PUT", "assign", "4", 405)
	ask("POST", "assign", "5", 200, notRun, nettest.OK("c"))
	gone := nettest.Dial(t, p.address)
	io.WriteString(gone, nettest.Request("GET", "lookup", "6", 15*time.Second))
	nettest.Until(t, "one is in progress", func() bool { return strings.Contains(vars(), "in_progress:1|g") })
	gone.Close()
	nettest.Until(t, "none is in progress", func() bool { return strings.Contains(vars(), "in_progress:0|g") })
	for _, line := range []string{"proxy.handled.lookup.passed:1|c", "proxy.handled.lookup.bad_gateway:0|c",
		"proxy.handled.assign.passed:2|c", "proxy.handled.assign.bad_gateway:2|c",
		"proxy.handled.assign.dropped:0|c", "proxy.upstream_tries:6|c"} {
		if !strings.Contains(vars(), line+"\n") {
			t.Errorf("no %s in\n%s", line, vars())
		}
	}
}

// A drain sends clients away without losing what is owed, ends, and does not end the process.
func TestLameDuck(t *testing.T) {
	answers := make(chan *http1.Response)
	x := nettest.Serve(t, nettest.Zone(func(*http1.Request) *http1.Response { return <-answers }))
	p, door := withDoor(t, "127.0.0.1:0", nettest.NewDiscovery(t).Address, known("in_service", x))
	rests, busy := nettest.Dial(t, p.address), nettest.Dial(t, p.address)
	nettest.Ask(t, rests, ready)
	io.WriteString(busy, nettest.Request("POST", "assign", "1", 15*time.Second))
	nettest.Until(t, "the attempt arrives", func() bool { return len(x.Received("/api")) == 1 })
	if a := operate(t, door, "POST /_lameduck/on"); a.Status != 200 {
		t.Fatalf("status %d", a.Status)
	}
	if a := nettest.Ask(t, nettest.Dial(t, p.address), ready); a.Status != 503 {
		t.Errorf("ready says %d", a.Status)
	}
	late := nettest.Dial(t, p.address)
	io.WriteString(late, nettest.Request("POST", "assign", "2", 15*time.Second))
	nettest.Until(t, "a late one is served", func() bool { return len(x.Received("/api")) == 2 })
	if _, err := rests.In.Peek(1); err != io.EOF {
		t.Errorf("what rests ends with %v", err)
	}
	answers <- nettest.OK("")
	answers <- nettest.OK("")
	for _, c := range []*http1.Response{read(t, busy.In), read(t, late.In)} {
		if c.Status != 200 || !c.Close {
			t.Errorf("status %d, closes %v", c.Status, c.Close)
		}
	}
	half := nettest.Dial(t, p.address)
	io.WriteString(half, "GET /api HTTP/1.1\r\nHost: h\r\n")
	if a := read(t, half.In); a.Status != 503 || !a.Close {
		t.Errorf("a head that never ends: status %d, closes %v", a.Status, a.Close)
	}
	fresh := nettest.Dial(t, p.address)
	if _, err := fresh.In.Peek(1); err != io.EOF {
		t.Errorf("one that came since and rests ends with %v", err)
	}
	operate(t, door, "POST /_lameduck/off")
	c := nettest.Dial(t, p.address)
	if a := nettest.Ask(t, c, ready); a.Status != 200 || a.Close {
		t.Errorf("after the drain ready says %d, closes %v", a.Status, a.Close)
	}
	operate(t, door, "POST /_lameduck/on")
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.expect(t, "msg=ending")
	operate(t, door, "POST /_lameduck/off") // does not undo the end
	if err := p.cmd.Wait(); err != nil {
		t.Error(err)
	}
}

// Over many upgrades under load no connection is refused, reset or left unread, and every request gets its
// answer: clients that open a connection for each request, and clients that keep theirs. On a busy machine
// the decisions refuse one in some thousands by chance, as far as requests meet delays: each of these is one
// that its process counts, and there are few.
func TestUpgradesLoseNoConnection(t *testing.T) {
	zone := nettest.Serve(t, nettest.Zone(func(*http1.Request) *http1.Response { return nettest.OK("") }))
	list := nettest.NewDiscovery(t).Address
	t.Setenv("TMPDIR", t.TempDir())
	p, _ := withDoor(t, "127.0.0.1:0", list, known("in_service", zone))
	at, stop := p.address, make(chan struct{})
	var served, refused atomic.Int64
	var clients sync.WaitGroup
	for n := range 4 {
		clients.Go(func() {
			var c *connbuffer.Conn
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				if c == nil {
					nc, err := net.Dial("tcp", at)
					if err != nil {
						t.Error(err)
						return
					}
					defer nc.Close()
					c = connbuffer.NewConn(nc)
				}
				c.SetDeadline(time.Now().Add(nettest.Patience))
				io.WriteString(c, nettest.Request("GET", "lookup", fmt.Sprint(n, "-", i), 15*time.Second))
				a, err := http1.ReadResponse(c.In)
				switch {
				case err == nil && a.Status == 200:
					served.Add(1)
				case err == nil && a.Status == 503 && a.Header.Get("Retry-After") != "":
					refused.Add(1)
				default:
					t.Errorf("lost: %+v, %v", a, err) // turned away, reset, or a close that crossed
					return
				}
				if a.Close || n%2 == 0 {
					c.Close()
					c = nil
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	counted := int64(0)
	end := func() {
		t.Helper()
		p.cmd.Process.Signal(syscall.SIGTERM)
		line := p.expect(t, "msg=counters")
		if err := p.cmd.Wait(); err != nil {
			t.Error(err)
		}
		var n int64
		_, figures, _ := strings.Cut(line, "requests.refused=")
		if _, err := fmt.Sscan(strings.Fields(figures)[0], &n); err != nil ||
			!strings.Contains(line, "requests.failed=0 ") || !strings.Contains(line, "clients.turned_away=0 ") {
			t.Error(line, err)
		}
		counted += n
	}
	for range 4 {
		next, door := withDoor(t, at, list, known("in_service", zone))
		p.expect(t, "a new process takes over")
		if a := operate(t, door, "GET /_ready"); a.Status != 200 {
			t.Errorf("the new one says %d", a.Status)
		}
		end()
		p = next
	}
	close(stop)
	clients.Wait()
	end()
	if served.Load() < 100 || refused.Load() != counted || refused.Load()*200 > served.Load() {
		t.Errorf("%d served; %d refused, of which %d were counted", served.Load(), refused.Load(), counted)
	}
}

// A new process that hangs, one that is killed before it is ready, and one that finds what a killed one
// left, each leave one that serves; so does the end of the old one before the new one is ready.
func TestUpgradesThatFail(t *testing.T) {
	zone := nettest.Serve(t, nettest.Zone(func(*http1.Request) *http1.Response { return nettest.OK("") }))
	list := nettest.NewDiscovery(t).Address
	t.Setenv("TMPDIR", t.TempDir())
	first, door := withDoor(t, "127.0.0.1:0", list, known("in_service", zone))
	served := func(id string) {
		t.Helper()
		a := nettest.Ask(t, nettest.Dial(t, first.address), nettest.Request("GET", "lookup", id, 15*time.Second))
		if a.Status != 200 {
			t.Errorf("%s: status %d", id, a.Status)
		}
	}
	config := strings.Replace(configuration(list, "null", 200), `"listen":"127.0.0.1:0"`,
		`"listen":"`+first.address+`"`, 1)
	killed := launch(t, config) // which knows no server but from the old one
	first.expect(t, "a new process takes over")
	killed.cmd.Process.Signal(syscall.SIGSTOP)
	served("beside a new one that hangs")
	killed.cmd.Process.Kill()
	first.expect(t, "a new process has gone")
	served("after a killed new one")

	operate(t, door, "POST /_lameduck/on") // a drain in the midst is the old one's alone
	second := launch(t, config)
	first.expect(t, "a new process takes over")
	first.cmd.Process.Signal(syscall.SIGTERM)
	second.expect(t, "msg=ready")
	served("after the end of the old one")
	if err := first.cmd.Wait(); err != nil {
		t.Error(err)
	}

	second.cmd.Process.Kill()
	second.cmd.Wait()
	third := launch(t, strings.Replace(config, `"known":null`, `"known":`+known("in_service", zone), 1))
	third.expect(t, "msg=ready")
	served("after leavings")
}
