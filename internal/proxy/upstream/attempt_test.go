package upstream

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

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
	removed  atomic.Bool // the server is no longer in service
	onLookup func()      // called on each lookup if not nil
}

func (d *fakeDirectory) Address(dispatch.ServerID) (string, bool) {
	if d.onLookup != nil {
		d.onLookup()
	}
	return d.address, !d.removed.Load()
}

// newPool returns a pool whose timeouts are too long to expire on a stalled machine.
func newPool(directory *fakeDirectory, maxIdle time.Duration) *Pool {
	return New(directory, nil, Limits{DialTimeout: nettest.Patience, MaxIdle: maxIdle,
		ProbeTimeout: nettest.Patience, BufferTime: nettest.Patience, StallTimeout: nettest.Patience},
		[]string{"active", "waiting", "cpu"}, descriptors.NewBudget(100, 0.6, 0.25), bodybudget.NewBudget(1<<20),
		&stats.Set{})
}

// startAttempt starts an attempt in p and returns it with the channel that receives its outcome.
func startAttempt(p *Pool, deadline time.Time) (*Attempt, chan Outcome) {
	done := make(chan Outcome, 1)
	host := http1.Header{{Name: "Host", Value: "h"}}
	a := &Attempt{Request: &http1.Request{Method: "POST", Target: "/api", Header: host},
		Deadline: deadline, Done: func(o Outcome) { done <- o }}
	p.Start(a)
	return a, done
}

func distantDeadline() time.Time { return time.Now().Add(time.Hour) }

func TestResultOfEachResponse(t *testing.T) {
	for _, c := range []struct {
		// The response "" closes the connection, "silence" sends nothing, "RESET" at the end resets the connection.
		name, response string
		want           dispatch.Result
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
				if c.response == "silence" {
					io.Copy(io.Discard, conn)
				}
				response, reset := strings.CutSuffix(c.response, "RESET")
				io.WriteString(conn, response)
				if reset {
					conn.Conn.(*net.TCPConn).SetLinger(0)
				}
			})
			deadline := distantDeadline()
			if c.want == dispatch.TimedOut {
				deadline = time.Now().Add(4 * time.Second)
			}
			p := newPool(&fakeDirectory{address: address}, time.Hour)
			_, done := startAttempt(p, deadline)
			got := <-done
			if got.Result != c.want {
				t.Errorf("the result is %s", dispatch.ResultNames[got.Result])
			}
			p.Release(&got)
		})
	}
}

func TestRefusedConnection(t *testing.T) {
	p := newPool(&fakeDirectory{address: "127.0.0.1:1"}, time.Hour) // no test listens on port 1
	_, done := startAttempt(p, distantDeadline())
	if got := <-done; got.Result != dispatch.NoConnection {
		t.Error(dispatch.ResultNames[got.Result])
	}
}

// If a list that arrives while an attempt is dialling removes the server, nothing is sent to it.
func TestServerRemovedBeforeFirstByte(t *testing.T) {
	server := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.OK("") })
	directory := &fakeDirectory{address: server.Address}
	lookups := 0
	directory.onLookup = func() {
		if lookups++; lookups == 2 { // the first lookup is before the dial
			directory.removed.Store(true)
		}
	}
	_, done := startAttempt(newPool(directory, time.Hour), distantDeadline())
	if got := <-done; got.Result != dispatch.Rejected || len(server.Received("")) != 0 {
		t.Errorf("the result is %s, the server received %d requests", dispatch.ResultNames[got.Result],
			len(server.Received("")))
	}
}
