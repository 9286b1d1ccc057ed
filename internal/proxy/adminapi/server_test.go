package adminapi

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cresshub/internal/http1"
	"cresshub/internal/proxy/stats"
	"cresshub/internal/testbed/nettest"
)

type fakeProxy struct {
	draining      atomic.Bool
	lameDuckCalls atomic.Int64
}

func (p *fakeProxy) Ready() (bool, string)  { return !p.draining.Load(), "lame" }
func (p *fakeProxy) LameDuck(on bool)       { p.draining.Store(on); p.lameDuckCalls.Add(1) }
func (p *fakeProxy) Gauges() map[string]int { return map[string]int{"known_zone_servers": 3} }

// serve starts an admin API server and returns its proxy, its counters and its address.
func serve(t *testing.T) (*fakeProxy, *stats.Set, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p, counters := &fakeProxy{}, stats.New([]string{"lookup"})
	s := New(l, p, counters, slog.New(slog.DiscardHandler))
	go s.Serve()
	t.Cleanup(s.Close)
	return p, counters, l.Addr().String()
}

func call(t *testing.T, address, line string) *http1.Response {
	t.Helper()
	return nettest.Ask(t, nettest.Dial(t, address), line+" HTTP/1.1\r\nHost: h\r\n\r\n")
}

func TestBuiltInCalls(t *testing.T) {
	p, _, address := serve(t)
	for _, c := range []struct {
		text, want string
		draining   bool
	}{
		{"GET /_ready", "200 ready\n", false},
		{"POST /_lameduck/on", "200 done\n", true},
		{"POST /_lameduck/on", "200 done\n", true},
		{"GET /_ready?x=y", "503 lame\n", true},
		{"GET /_lameduck/off", "405 the method is POST\n", true},
		{"POST /_lameduck/off", "200 done\n", false},
		{"POST /_lameduck/off", "200 done\n", false},
		{"POST /_vars", "405 the method is GET\n", false},
		{"GET /health/ready", "404 ", false},
		{"GET /_lameduck", "404 ", false},
		{"nonsense", "400 ", false},
		// A body is not read, and the client gets the response rather than a connection reset.
		{"POST /_lameduck/off HTTP/1.1\r\nContent-Length: 9000000\r\nA:", "200 done\n", false},
		{"GET /_vars HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 9000) + "A:", "431 ", false},
	} {
		r := call(t, address, c.text)
		if got := fmt.Sprint(r.Status, " ", string(r.Body)); !strings.HasPrefix(got, c.want) || !r.Close {
			t.Errorf("%.40q: %q, closes %v", c.text, got, r.Close)
		}
		if r.Status == 405 && r.Header.Get("Allow") == "" {
			t.Errorf("%s: no Allow header", c.text)
		}
		if p.draining.Load() != c.draining {
			t.Errorf("%s: draining %v", c.text, p.draining.Load())
		}
	}
	if p.lameDuckCalls.Load() != 5 {
		t.Errorf("%d calls reached LameDuck, want 5", p.lameDuckCalls.Load())
	}
}

func TestVarsHasEveryMetricOnALineOfItsOwn(t *testing.T) {
	_, counters, address := serve(t)
	counters.Class(0).Passed.Inc()
	counters.Class(0).Dropped.Inc()
	counters.Class(7).Failed.Inc() // no such class, so no metric counts it
	counters.RequestsSent.Inc()
	counters.InProgress.Add(2)
	want := "proxy.handled.lookup.passed:1|c\nproxy.handled.lookup.dropped:1|c\n" +
		"proxy.handled.lookup.bad_gateway:0|c\nproxy.upstream_tries:1|c\nproxy.in_progress:2|g\n" +
		"proxy.known_zone_servers:3|g\n"
	if diff := cmp.Diff(want, string(call(t, address, "GET /_vars").Body)); diff != "" {
		t.Error(diff)
	}
}

// Connections on which nothing is sent don't block other callers, and no more than MaxConns stay open.
func TestSilentConnectionsDoNotBlockOtherCallers(t *testing.T) {
	_, _, address := serve(t)
	for range 5 * MaxConns {
		nettest.Dial(t, address)
		if response := call(t, address, "GET /_ready"); response.Status != 200 {
			t.Fatalf("status %d", response.Status)
		}
	}
	// The oldest connection is closed once MaxConns newer ones are open.
	oldest := nettest.Dial(t, address)
	for range MaxConns {
		nettest.Dial(t, address)
	}
	if _, err := io.ReadAll(oldest); err != nil && !strings.Contains(err.Error(), "reset") {
		t.Errorf("the oldest silent connection stayed open: %v", err)
	}
}
