package upstream

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cresshub/internal/bodybudget"
	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
	"cresshub/internal/proxy/descriptors"
	"cresshub/internal/proxy/dispatch"
	"cresshub/internal/proxy/stats"
	"cresshub/internal/testbed/nettest"
)

type fakeDirectory struct {
	address  string
	removed  atomic.Bool // of service
	onLookup func()      // called on each look-up
}

func (p *fakeDirectory) Address(dispatch.ServerID) (string, bool) {
	if p.onLookup != nil {
		p.onLookup()
	}
	return p.address, !p.removed.Load()
}

func newPool(p *fakeDirectory, reuse time.Duration) *Pool {
	return New(p, Limits{Dial: nettest.Patience, MaxIdle: reuse, Probe: nettest.Patience,
		BufferTime: 100 * time.Millisecond, Stall: nettest.Patience},
		[]string{"active", "waiting", "cpu"}, descriptors.NewBudget(100, 0.6, 0.25), bodybudget.NewBudget(1<<20),
		&stats.Set{})
}

func startAttempt(p *Pool, until time.Time) (*Attempt, chan Outcome) {
	done := make(chan Outcome, 1)
	host := http1.Header{{Name: "Host", Value: "h"}}
	a := &Attempt{Request: &http1.Request{Method: "POST", Target: "/api", Header: host},
		GiveUpAt: until, Done: func(o Outcome) { done <- o }}
	p.Start(a)
	return a, done
}

func distantDeadline() time.Time { return time.Now().Add(time.Hour) }

func TestResultsOfResponses(t *testing.T) {
	for _, c := range []struct {
		name, answer string // "" breaks, "silence" says nothing
		want         dispatch.Result
	}{
		{"served", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", dispatch.Served},
		{"error", "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", dispatch.ErrorResponse},
		{"rejected", "HTTP/1.1 503 x\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", dispatch.Rejected},
		{"rejected, 504", "HTTP/1.1 504 x\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", dispatch.Rejected},
		{"a proxy's 503", "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", dispatch.ErrorResponse},
		{"closed without a response", "", dispatch.Reset},
		{"closed within the body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx", dispatch.Reset},
		{"malformed", "hello\r\n\r\n", dispatch.ErrorResponse}, // the server is reachable
		{"ended by close", "HTTP/1.1 200 OK\r\n\r\nbody", dispatch.Served},
		{"ended by a reset", "HTTP/1.1 200 OK\r\n\r\nbody RESET", dispatch.Reset},
		{"a reset in place of a body", "HTTP/1.1 200 OK\r\n\r\nRESET", dispatch.Reset},
		{"a reset after 30 kB", "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 30_000) + "RESET", dispatch.Reset},
		{"3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nbody", dispatch.ErrorResponse},
		{"30 MB stated, 4 bytes sent", "HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\nbody", dispatch.Reset},
		{"30 MB stated, 5000 bytes sent", "HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n" +
			strings.Repeat("x", 5000),
			dispatch.Served},
		{"30 MB of an error", "HTTP/1.1 500 x\r\nContent-Length: 30000000\r\n\r\nbody", dispatch.ErrorResponse},
		{"an endless head", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-More: and more\r\n", 10_000),
			dispatch.ErrorResponse},
		{"an endless line", "HTTP/1.1 200 " + strings.Repeat("O", 200_000), dispatch.ErrorResponse},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx",
			dispatch.ErrorResponse},
		{"a length beside chunks", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\nx",
			dispatch.ErrorResponse},
		{"shorter than stated", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody", dispatch.Reset},
		{"longer than stated", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbody", dispatch.Served},
		{"an endless chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\nbody",
			dispatch.ErrorResponse},
		{"a truncated chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nbody", dispatch.Reset},
		{"interim answers", "HTTP/1.1 100 x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", dispatch.Served},
		{"silent", "silence", dispatch.TimedOut},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			address := nettest.Listen(t, func(conn *connbuffer.Conn) {
				if _, err := http1.ReadRequest(conn.In); err != nil {
					return
				}
				if c.answer == "silence" {
					io.Copy(io.Discard, conn)
				}
				answer, reset := strings.CutSuffix(c.answer, "RESET")
				io.WriteString(conn, answer)
				if reset {
					conn.Conn.(*net.TCPConn).SetLinger(0)
				}
			})
			until := distantDeadline()
			if c.want == dispatch.TimedOut {
				until = time.Now().Add(2 * time.Second)
			}
			p := newPool(&fakeDirectory{address: address}, time.Hour)
			_, done := startAttempt(p, until)
			got := <-done
			if got.Result != c.want {
				t.Errorf("%s", dispatch.ResultNames[got.Result])
			}
			p.Release(&got)
		})
	}
}

func TestNothingListens(t *testing.T) {
	p := newPool(&fakeDirectory{address: "127.0.0.1:1"}, time.Hour) // no test listens on port 1
	_, done := startAttempt(p, distantDeadline())
	if got := <-done; got.Result != dispatch.NoConnection {
		t.Error(dispatch.ResultNames[got.Result])
	}
}

// A list that arrives while an attempt dials or waits for a connection still stops it.
func TestDrainBeforeTheFirstByte(t *testing.T) {
	x := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.OK("") })
	where := &fakeDirectory{address: x.Address}
	looks := 0
	where.onLookup = func() {
		if looks++; looks == 2 { // the first look-up is before the dial
			where.removed.Store(true)
		}
	}
	_, done := startAttempt(newPool(where, time.Hour), distantDeadline())
	if got := <-done; got.Result != dispatch.Rejected || len(x.Received("")) != 0 {
		t.Errorf("%s, %d sent", dispatch.ResultNames[got.Result], len(x.Received("")))
	}
}

func TestIdleConnectionIsReused(t *testing.T) {
	x := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.OK("") })
	for _, c := range []struct {
		reuse time.Duration
		want  int64
	}{{time.Hour, 1}, {0, 5}} { // one past MaxIdle at once is never reused
		x.Opened.Store(0)
		p := newPool(&fakeDirectory{address: x.Address}, c.reuse)
		for range 5 {
			_, done := startAttempt(p, distantDeadline())
			if got := <-done; got.Result != dispatch.Served {
				t.Error(dispatch.ResultNames[got.Result])
			}
		}
		if got := x.Opened.Load(); got != c.want {
			t.Errorf("%d connections with reuse for %v, want %d", got, c.reuse, c.want)
		}
	}
}

// No attempt is lost to a connection that its server closed while it was idle.
func TestClosedWhileIdle(t *testing.T) {
	address := nettest.Listen(t, func(c *connbuffer.Conn) {
		if _, err := http1.ReadRequest(c.In); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p := newPool(&fakeDirectory{address: address}, time.Hour)
	for range 3 {
		_, done := startAttempt(p, distantDeadline())
		if got := <-done; got.Result != dispatch.Served {
			t.Error(dispatch.ResultNames[got.Result])
		}
		nettest.Until(t, "the pool notices the close", func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return len(p.idle[0]) == 0
		})
	}
}

// Bytes that arrive between two exchanges, after a good response, are not taken for the next response, also
// where the connection is handed over just then.
func TestDuplicateIsNotNextResponse(t *testing.T) {
	const copied = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
	address := nettest.Listen(t, func(c *connbuffer.Conn) {
		if _, err := http1.ReadRequest(c.In); err != nil {
			return
		}
		io.WriteString(c, copied)
		io.Copy(io.Discard, c)
	})
	p := newPool(&fakeDirectory{address: address}, time.Hour)
	nc := nettest.Dial(t, address)
	io.WriteString(nc, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	nettest.Until(t, "the copy waits in the system", func() bool { return !nc.Quiet() })
	a := &Attempt{}
	c := &conn{pool: p, netConn: nc, next: a, idleSince: time.Now()}
	nc.SetReadDeadline(time.Unix(1, 0))
	if got, usable := c.awaitAttempt(); got != a || usable {
		t.Errorf("attempt handed over: %v, connection usable: %v", got == a, usable)
	}
}

func TestCancelClosesTheConnection(t *testing.T) {
	x := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.NoResponse })
	a, done := startAttempt(newPool(&fakeDirectory{address: x.Address}, time.Hour), distantDeadline())
	nettest.Until(t, "the attempt arrives", func() bool { return len(x.Received("")) == 1 })
	a.Cancel()
	if got := <-done; got.Result != dispatch.Cancelled {
		t.Error(dispatch.ResultNames[got.Result])
	}
	<-x.Abandoned
}

func TestSweepClosesIdleConnections(t *testing.T) {
	x := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.OK("") })
	where := &fakeDirectory{address: x.Address}
	p := newPool(where, time.Hour)
	_, done := startAttempt(p, distantDeadline())
	<-done
	where.removed.Store(true)
	p.Sweep()
	if len(p.idle) != 0 || p.closeOldestIdle() {
		t.Error("an idle connection stays")
	}
}

func TestProbeReadsTheReport(t *testing.T) {
	x := nettest.Serve(t, nettest.Zone(nil))
	got := make(chan string, 1)
	p := newPool(&fakeDirectory{address: x.Address}, time.Hour)
	p.Probe(0, func(res dispatch.Result, _ time.Duration, load []float64) {
		got <- fmt.Sprint(dispatch.ResultNames[res], load)
	})
	if diff := cmp.Diff("served[0 0 0]", <-got); diff != "" {
		t.Error(diff)
	}
}

// A server that gets too many probes at once answers 503; counted as errors, three of them would eject it.
func TestProbeRejected(t *testing.T) {
	x := nettest.Serve(t, func(*http1.Request) *http1.Response { return &http1.Response{Status: 503} })
	got := make(chan dispatch.Result, 1)
	p := newPool(&fakeDirectory{address: x.Address}, time.Hour)
	p.Probe(0, func(res dispatch.Result, _ time.Duration, _ []float64) {
		got <- res
	})
	if res := <-got; res != dispatch.Rejected {
		t.Error(dispatch.ResultNames[res])
	}
}

func TestReportFormat(t *testing.T) {
	for _, c := range []struct {
		in   string
		want []float64
	}{
		{"inflight=7,queue=2,util=0.61", []float64{7, 2, 0.61}},
		{" util=0.5 , queue=1,more=x,inflight=3\n", []float64{3, 1, 0.5}},
		{"active=8.304,waiting=0,cpu=0.877", []float64{8.304, 0, 0.877}}, // as some servers send it
		{"inflight=7,queue=2", nil},
		{"inflight=NaN,queue=2,util=0", nil},
		{"", nil},
		{"<html>", nil},
	} {
		format := newReportFormat([]string{"active", "waiting", "cpu"})
		got := format.parse(&http1.Response{Body: []byte(c.in)}, true)
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%q: %s", c.in, diff)
		}
	}
}

// A streamed response that stalls, ends early or is longer than stated never counts as complete, blocks its
// reader no longer than Limits.Stall, and leaves no connection for reuse; all of its memory is released.
func TestStreamEndsEarlyOrStalls(t *testing.T) {
	const size = 100_000
	for _, c := range []struct {
		name  string
		bytes int
		stays bool // the server sends no more and does not close
		whole bool
		idle  int
	}{
		{"complete", size, true, true, 1},
		{"stalls", 50_000, true, false, 0},
		{"ends early", 50_000, false, false, 0},
		{"longer than stated", size + 5, true, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := nettest.Listen(t, func(conn *connbuffer.Conn) {
				if _, err := http1.ReadRequest(conn.In); err != nil {
					return
				}
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size,
					strings.Repeat("x", c.bytes))
				if c.stays {
					io.Copy(io.Discard, conn)
				}
			})
			p := newPool(&fakeDirectory{address: address}, time.Hour)
			l := *p.limits.Load()
			l.Stall = 300 * time.Millisecond
			p.SetLimits(l)
			_, done := startAttempt(p, distantDeadline())
			out := <-done
			if out.Result != dispatch.Served || out.Stream == nil {
				t.Fatalf("%+v", out)
			}
			n, err := io.Copy(io.Discard, out.Stream)
			if got := n + int64(len(out.Response.Body)); (err == nil) != c.whole || c.whole && got != size {
				t.Errorf("%d bytes, %v", got, err)
			}
			p.Release(&out)
			p.Release(&out) // a second call is a no-op
			idle := func() (n int) {
				p.mu.Lock()
				defer p.mu.Unlock()
				for _, list := range p.idle {
					n += len(list)
				}
				return n
			}
			nettest.Until(t, "the connection is parked", func() bool { return idle() == c.idle })
			time.Sleep(20 * time.Millisecond)
			if idle() != c.idle || p.bodies.Used() != 0 {
				t.Errorf("%d idle connections, %d bytes reserved", idle(), p.bodies.Used())
			}
		})
	}
}
