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

// A duplicate response that arrives some milliseconds late, when the next request has already been sent, must
// not be taken for the response to that request: a connection is not reused until it has been idle for
// Limits.DuplicateGuard.
func TestLateDuplicateResponse(t *testing.T) {
	second := make(chan bool)     // closed when the second request has arrived
	accepted := make(chan int, 1) // number of connections accepted so far
	accepted <- 0
	address := nettest.Listen(t, func(c *connbuffer.Conn) {
		n := <-accepted
		accepted <- n + 1
		duplicated := false
		for {
			if _, err := http1.ReadRequest(c.In); err != nil {
				return
			}
			if n == 0 && !duplicated {
				nettest.OK("first").Write(c.Out)
				c.Flush()
				go func() {
					<-second
					nettest.OK("first").Write(c.Out)
					c.Flush()
				}()
				duplicated = true
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

// A connection is not reused for a request until it has been idle for Limits.DuplicateGuard, except after a
// probe.
func TestReuseWaitsForDuplicateGuard(t *testing.T) {
	server := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.OK("") })
	p := newPool(&fakeDirectory{address: server.Address}, time.Hour)
	l := *p.limits.Load()
	l.DuplicateGuard = time.Minute
	p.SetLimits(l)
	probed := make(chan bool)
	sendRequest := func() { _, done := startAttempt(p, distantDeadline()); <-done }
	p.Probe(0, func(dispatch.Result, time.Duration, []float64) { probed <- true })
	<-probed
	sendRequest() // reuses the probe's connection
	sendRequest() // opens a new connection
	if n := server.Opened.Load(); n != 2 {
		t.Errorf("a probe and two requests opened %d connections", n)
	}
	p.mu.Lock()
	for _, c := range p.idle[0] {
		c.idleSince = c.idleSince.Add(-2 * time.Minute)
	}
	p.idle[0][1].idleSince = time.Now()
	p.mu.Unlock()
	sendRequest() // reuses the one that was idle for longer than DuplicateGuard, though not used most recently
	if n := server.Opened.Load(); n != 2 {
		t.Errorf("%d connections opened although one was idle for longer than DuplicateGuard", n)
	}
}

// When an attempt is passed to an idle connection, the connection may turn out to be closed, to have unread
// bytes or to have been idle for too long; or CloseStaleIdle or closeOldestIdle may run at the same moment.
// The attempt is sent once. If the connection is unusable, it is sent on a new one, and nothing is written to
// the old one.
func TestIdleConnectionFailsAtReuse(t *testing.T) {
	for name, event := range map[string]func(p *Pool, c *conn, serverConn *connbuffer.Conn){
		"nothing": func(*Pool, *conn, *connbuffer.Conn) {},
		"closed":  func(_ *Pool, _ *conn, serverConn *connbuffer.Conn) { serverConn.Close() },
		"noise":   func(_ *Pool, _ *conn, serverConn *connbuffer.Conn) { io.WriteString(serverConn, "x") },
		"a late response": func(_ *Pool, _ *conn, serverConn *connbuffer.Conn) {
			io.WriteString(serverConn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
		},
		"too old": func(_ *Pool, c *conn, _ *connbuffer.Conn) { c.idleSince = time.Now().Add(-2 * time.Hour) },
		"stale closed": func(p *Pool, _ *conn, _ *connbuffer.Conn) {
			p.mu.Unlock()
			p.CloseStaleIdle()
			p.mu.Lock()
		},
		"oldest closed": func(p *Pool, _ *conn, _ *connbuffer.Conn) {
			p.mu.Unlock()
			p.closeOldestIdle()
			p.mu.Lock()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			accepted := make(chan *connbuffer.Conn, 9)
			received := make(chan string, 9) // per request, the number of earlier ones on its connection
			address := nettest.Listen(t, func(c *connbuffer.Conn) {
				accepted <- c
				for n := 0; ; n++ {
					if _, err := http1.ReadRequest(c.In); err != nil {
						return
					}
					received <- fmt.Sprint(n)
					nettest.OK("own").Write(c.Out)
					c.Flush()
				}
			})
			p := newPool(&fakeDirectory{address: address}, time.Hour)
			_, done := startAttempt(p, distantDeadline())
			<-done
			serverConn := <-accepted
			<-received
			// Holding the lock blocks the connection's goroutine until the event is over.
			p.mu.Lock()
			c := p.idle[0][0]
			p.idle[0] = nil
			next := make(chan Outcome, 1)
			a := &Attempt{Request: &http1.Request{Method: "POST", Target: "/", Header: http1.Header{{Name: "Host",
				Value: "h"}}}, Deadline: distantDeadline(), Done: func(o Outcome) { next <- o }}
			a.initContext()
			c.next = a
			event(p, c, serverConn)
			if name == "noise" || name == "a late response" {
				p.mu.Unlock()
				nettest.Until(t, "the bytes have arrived", func() bool {
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
				t.Errorf("the result is %s, the response %+v", dispatch.ResultNames[out.Result], out.Response)
			}
			want := "0"
			if name == "nothing" || name == "stale closed" || name == "oldest closed" {
				want = "1"
			}
			if n := <-received; n != want || len(received) > 0 {
				t.Errorf("sent as request %s of its connection, want %s; %d more requests", n, want, len(received))
			}
		})
	}
}

func TestIdleConnectionIsReused(t *testing.T) {
	server := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.OK("") })
	for _, c := range []struct {
		maxIdle time.Duration
		want    int64
	}{{time.Hour, 1}, {0, 5}} { // with MaxIdle 0 no connection is reused
		server.Opened.Store(0)
		p := newPool(&fakeDirectory{address: server.Address}, c.maxIdle)
		for range 5 {
			_, done := startAttempt(p, distantDeadline())
			if got := <-done; got.Result != dispatch.Served {
				t.Error(dispatch.ResultNames[got.Result])
			}
		}
		if got := server.Opened.Load(); got != c.want {
			t.Errorf("five attempts opened %d connections with MaxIdle %v, want %d", got, c.maxIdle, c.want)
		}
	}
}

// No attempt fails because the server closed a connection while it was idle.
func TestIdleConnectionClosedByServer(t *testing.T) {
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

// Unread bytes that arrived after a complete response must not be taken for the next response, even if an
// attempt has been passed to the connection meanwhile.
func TestDuplicateIsNotNextResponse(t *testing.T) {
	const duplicate = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
	address := nettest.Listen(t, func(c *connbuffer.Conn) {
		if _, err := http1.ReadRequest(c.In); err != nil {
			return
		}
		io.WriteString(c, duplicate)
		io.Copy(io.Discard, c)
	})
	p := newPool(&fakeDirectory{address: address}, time.Hour)
	nc := nettest.Dial(t, address)
	io.WriteString(nc, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	nettest.Until(t, "the duplicate is in the socket's receive buffer", func() bool { return !nc.Quiet() })
	a := &Attempt{}
	c := &conn{pool: p, netConn: nc, next: a, idleSince: time.Now()}
	nc.SetReadDeadline(time.Unix(1, 0))
	if got, usable := c.awaitAttempt(); got != a || usable {
		t.Errorf("attempt returned: %v, connection usable: %v", got == a, usable)
	}
}

func TestCloseStaleIdle(t *testing.T) {
	server := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.OK("") })
	directory := &fakeDirectory{address: server.Address}
	p := newPool(directory, time.Hour)
	_, done := startAttempt(p, distantDeadline())
	<-done
	directory.removed.Store(true)
	p.CloseStaleIdle()
	if len(p.idle) != 0 || p.closeOldestIdle() {
		t.Error("an idle connection to a removed server remains")
	}
}
