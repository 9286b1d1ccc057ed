package upstream

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
	"cresshub/internal/proxy/dispatch"
	"cresshub/internal/testbed/nettest"
)

// A duplicate response that arrives some milliseconds late, when the next request is already sent, is not
// taken for the response to that one: a connection is not reused before Limits.DuplicateGuard. After a probe
// there is no such wait.
func TestLateDuplicateResponse(t *testing.T) {
	second := make(chan bool) // closed when the second request has arrived
	conns := make(chan int, 1)
	conns <- 0
	address := nettest.Listen(t, func(c *connbuffer.Conn) {
		n := <-conns
		conns <- n + 1
		copied := false
		for {
			if _, err := http1.ReadRequest(c.In); err != nil {
				return
			}
			if n == 0 && !copied {
				nettest.OK("first").Write(c.Out)
				c.Flush()
				go func() {
					<-second
					nettest.OK("first").Write(c.Out)
					c.Flush()
				}()
				copied = true
				continue
			}
			close(second)
			if n > 0 {
				nettest.OK("own").Write(c.Out)
				c.Flush()
			}
		}
	})
	p := newPool(&fakeDirectory{address: address}, time.Hour)
	l := *p.limits.Load()
	l.DuplicateGuard = time.Hour
	p.SetLimits(l)
	var got []string
	for range 2 {
		_, done := startAttempt(p, distantDeadline())
		out := <-done
		if out.Response == nil {
			t.Fatalf("%+v", out)
		}
		got = append(got, string(out.Response.Body))
	}
	if diff := cmp.Diff([]string{"first", "own"}, got); diff != "" {
		t.Error(diff)
	}
}

func TestReuseWaitsForDuplicateGuard(t *testing.T) {
	x := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.OK("") })
	p := newPool(&fakeDirectory{address: x.Address}, time.Hour)
	l := *p.limits.Load()
	l.DuplicateGuard = time.Minute
	p.SetLimits(l)
	probed := make(chan bool)
	ask := func() { _, done := startAttempt(p, distantDeadline()); <-done }
	p.Probe(0, func(dispatch.Result, time.Duration, []float64) { probed <- true })
	<-probed
	ask() // on the probed connection
	ask() // on a new connection
	if n := x.Opened.Load(); n != 2 {
		t.Errorf("%d connections after a probe and two requests", n)
	}
	p.mu.Lock()
	for _, c := range p.idle[0] {
		c.idleSince = c.idleSince.Add(-2 * time.Minute)
	}
	p.idle[0][1].idleSince = time.Now()
	p.mu.Unlock()
	ask() // on the one idle for longer than the guard, though another was used later
	if n := x.Opened.Load(); n != 2 {
		t.Errorf("%d connections, one of which was past the guard", n)
	}
}

// A connection may turn out closed, reset, noisy or too old when it is handed over, or be swept or reclaimed
// just then. The attempt is made once, on a new connection, and nothing of it is written to the old one.
func TestIdleConnectionFailsAtReuse(t *testing.T) {
	for name, happens := range map[string]func(p *Pool, c *conn, far *connbuffer.Conn){
		"nothing": func(*Pool, *conn, *connbuffer.Conn) {},
		"closed":  func(_ *Pool, _ *conn, far *connbuffer.Conn) { far.Close() },
		"noise":   func(_ *Pool, _ *conn, far *connbuffer.Conn) { io.WriteString(far, "x") },
		"a late answer": func(_ *Pool, _ *conn, far *connbuffer.Conn) {
			io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
		},
		"too old":   func(_ *Pool, c *conn, _ *connbuffer.Conn) { c.idleSince = time.Now().Add(-2 * time.Hour) },
		"a sweep":   func(p *Pool, _ *conn, _ *connbuffer.Conn) { p.mu.Unlock(); p.Sweep(); p.mu.Lock() },
		"a reclaim": func(p *Pool, _ *conn, _ *connbuffer.Conn) { p.mu.Unlock(); p.closeOldestIdle(); p.mu.Lock() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			accepted := make(chan *connbuffer.Conn, 9)
			got := make(chan string, 9)
			address := nettest.Listen(t, func(c *connbuffer.Conn) {
				accepted <- c
				for n := 0; ; n++ {
					if _, err := http1.ReadRequest(c.In); err != nil {
						return
					}
					got <- fmt.Sprint(n)
					nettest.OK("own").Write(c.Out)
					c.Flush()
				}
			})
			p := newPool(&fakeDirectory{address: address}, time.Hour)
			_, done := startAttempt(p, distantDeadline())
			<-done
			far := <-accepted
			<-got
			// The lock stops the connection's goroutine until everything has happened.
			p.mu.Lock()
			c := p.idle[0][0]
			p.idle[0] = nil
			next := make(chan Outcome, 1)
			a := &Attempt{Request: &http1.Request{Method: "POST", Target: "/", Header: http1.Header{{Name: "Host",
				Value: "h"}}}, GiveUpAt: distantDeadline(), Done: func(o Outcome) { next <- o }}
			a.initContext()
			c.next = a
			happens(p, c, far)
			if name == "noise" || name == "a late answer" {
				p.mu.Unlock()
				nettest.Until(t, "it has arrived", func() bool {
					p.mu.Lock()
					defer p.mu.Unlock()
					return c.next == nil || !c.netConn.SocketQuiet()
				})
				p.mu.Lock()
			}
			c.netConn.SetReadDeadline(time.Unix(1, 0))
			p.mu.Unlock()
			out := <-next
			if out.Result != dispatch.Served || string(out.Response.Body) != "own" {
				t.Errorf("%s %+v", dispatch.ResultNames[out.Result], out.Response)
			}
			want := "0"
			if name == "nothing" || name == "a sweep" || name == "a reclaim" {
				want = "1"
			}
			if n := <-got; n != want || len(got) > 0 {
				t.Errorf("it was request %s of its connection, want %s; %d more came", n, want, len(got))
			}
		})
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
