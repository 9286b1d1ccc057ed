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
	lame  atomic.Bool
	calls atomic.Int64
}

func (p *fakeProxy) Ready() (bool, string)  { return !p.lame.Load(), "lame" }
func (p *fakeProxy) LameDuck(on bool)       { p.lame.Store(on); p.calls.Add(1) }
func (p *fakeProxy) Gauges() map[string]int { return map[string]int{"known_zone_servers": 3} }

// serve starts an admin API and returns its proxy, its counters and its address.
func serve(t *testing.T) (*fakeProxy, *stats.Set, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p, count := &fakeProxy{}, stats.New([]string{"lookup"})
	s := New(l, p, count, slog.New(slog.DiscardHandler))
	go s.Serve()
	t.Cleanup(s.Close)
	return p, count, l.Addr().String()
}

func call(t *testing.T, address, line string) *http1.Response {
	t.Helper()
	return nettest.Ask(t, nettest.Dial(t, address), line+" HTTP/1.1\r\nHost: h\r\n\r\n")
}

func TestBuiltInCalls(t *testing.T) {
	p, _, at := serve(t)
	for _, c := range []struct {
		text, want string
		lame       bool
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
		// A body is not read, and does not turn the answer into a reset.
		{"POST /_lameduck/off HTTP/1.1\r\nContent-Length: 9000000\r\nA:", "200 done\n", false},
		{"GET /_vars HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 9000) + "A:", "431 ", false},
	} {
		a := call(t, at, c.text)
		if got := fmt.Sprint(a.Status, " ", string(a.Body)); !strings.HasPrefix(got, c.want) || !a.Close {
			t.Errorf("%.40q: %q, closes %v", c.text, got, a.Close)
		}
		if a.Status == 405 && a.Header.Get("Allow") == "" {
			t.Errorf("%s: no Allow", c.text)
		}
		if p.lame.Load() != c.lame {
			t.Errorf("%s: lame %v", c.text, p.lame.Load())
		}
	}
	if p.calls.Load() != 5 {
		t.Errorf("%d calls of lame duck came through", p.calls.Load())
	}
}

func TestVarsHasEveryFigureOnItsLine(t *testing.T) {
	_, count, at := serve(t)
	count.Class(0).Passed.Inc()
	count.Class(0).Dropped.Inc()
	count.Class(7).Failed.Inc() // no such class: in no figure
	count.RequestsSent.Inc()
	count.InProgress.Add(2)
	want := "proxy.handled.lookup.passed:1|c\nproxy.handled.lookup.dropped:1|c\n" +
		"proxy.handled.lookup.bad_gateway:0|c\nproxy.upstream_tries:1|c\nproxy.in_progress:2|g\n" +
		"proxy.known_zone_servers:3|g\n"
	if diff := cmp.Diff(want, string(call(t, at, "GET /_vars").Body)); diff != "" {
		t.Error(diff)
	}
}

// Callers that connect and send nothing keep nobody out, and no more than MaxConns stay open.
func TestCallersThatSendNothingKeepNobodyOut(t *testing.T) {
	_, _, at := serve(t)
	for range 5 * MaxConns {
		nettest.Dial(t, at)
		if a := call(t, at, "GET /_ready"); a.Status != 200 {
			t.Fatalf("status %d", a.Status)
		}
	}
	// The first ones were closed for those that came later.
	first := nettest.Dial(t, at)
	for range MaxConns {
		nettest.Dial(t, at)
	}
	if _, err := io.ReadAll(first); err != nil && !strings.Contains(err.Error(), "reset") {
		t.Errorf("the oldest silent caller was kept: %v", err)
	}
}
