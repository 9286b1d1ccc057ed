// Package nettest has the helpers that tests with real sockets share: servers and a discovery service that a
// test scripts, on ports that the kernel chose, and a plain client. Like net/http/httptest it is for tests
// only: it takes a testing.TB, ends what it started when the test ends, and no program may import it. It has
// no tests of its own; the tests of the proxy's packages exercise it.
package nettest

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
	"cresshub/internal/testbed/proxystandin"
)

// Patience bounds every wait of a test; no verdict depends on how much of it is used.
const Patience = 20 * time.Second

// What a handler may return in place of an answer.
var (
	NoResponse = &http1.Response{} // nothing is sent; the connection stays open until the other side closes it
	CloseConn  = &http1.Response{} // the connection is closed
)

// ScriptedServer is a server that a test scripts.
type ScriptedServer struct {
	Address   string
	Opened    atomic.Int64  // connections accepted
	Abandoned chan struct{} // one value for each unanswered connection that the other side closed

	mu       sync.Mutex
	received []*http1.Request
}

// Serve starts a server that answers each request as handle returns. It ends with the test.
func Serve(tb testing.TB, handle func(request *http1.Request) *http1.Response) *ScriptedServer {
	tb.Helper()
	s := &ScriptedServer{Abandoned: make(chan struct{}, 64)}
	s.Address = Listen(tb, func(c *connbuffer.Conn) {
		s.Opened.Add(1)
		for {
			request, err := http1.ReadRequest(c.In)
			if err != nil {
				return
			}
			s.mu.Lock()
			s.received = append(s.received, request)
			s.mu.Unlock()
			switch answer := handle(request); answer {
			case CloseConn:
				return
			case NoResponse:
				_, _ = io.Copy(io.Discard, c.In) // until the other side closes
				s.Abandoned <- struct{}{}
				return
			default:
				if answer.Write(c.Out) != nil || c.Flush() != nil || answer.Close {
					return
				}
			}
		}
	})
	return s
}

// Received returns the requests received whose target begins with prefix.
func (s *ScriptedServer) Received(prefix string) (matching []*http1.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, request := range s.received {
		if strings.HasPrefix(request.Target, prefix) {
			matching = append(matching, request)
		}
	}
	return matching
}

// Listen accepts connections and runs serve for each in a goroutine, until the test ends. It returns the
// address.
func Listen(tb testing.TB, serve func(c *connbuffer.Conn)) string {
	tb.Helper()
	l, err := proxystandin.Listen("127.0.0.1:0", 0, serve)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(l.End)
	return l.Address()
}

// Zone is the handler of a zone server: health checks get the report of an idle server, all else gets what
// work returns.
func Zone(work func(request *http1.Request) *http1.Response) func(*http1.Request) *http1.Response {
	return func(request *http1.Request) *http1.Response {
		if request.Target == "/stats" {
			return OK("inflight=0,queue=0,util=0.00")
		}
		return work(request)
	}
}

// OK is an answer 200.
func OK(body string) *http1.Response { return &http1.Response{Status: 200, Body: []byte(body)} }

// Discovery is a discovery service whose list a test writes.
type Discovery struct {
	Address    string
	Watches    atomic.Int64  // watches opened so far
	Rejections atomic.Int64  // how many calls get 503 first
	Abandoned  chan struct{} // one value for each watch that the other side closed
	from       atomic.Value
	lines      chan string
}

// WatchedFrom returns the version from which the last watch began.
func (d *Discovery) WatchedFrom() string { return d.from.Load().(string) }

// NewDiscovery starts a discovery service; a watch gets only what Send is given. It ends with the test.
func NewDiscovery(tb testing.TB) *Discovery {
	tb.Helper()
	d := &Discovery{lines: make(chan string), Abandoned: make(chan struct{}, 64)}
	d.Address = Listen(tb, func(c *connbuffer.Conn) {
		for {
			request, err := http1.ReadRequest(c.In)
			if err != nil {
				return
			}
			_, from, watch := strings.Cut(request.Target, "?watch=1&from=")
			switch {
			case d.Rejections.Add(-1) >= 0:
				_ = (&http1.Response{Status: 503}).Write(c.Out)
			case !watch:
				_ = OK(<-d.lines).Write(c.Out)
			default:
				d.from.Store(from)
				d.Watches.Add(1)
				d.watch(c)
				return
			}
			_ = c.Flush() // an error ends the next read
		}
	})
	return d
}

func (d *Discovery) watch(c *connbuffer.Conn) {
	_, _ = io.WriteString(c.Out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	ended := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, c.In) // until the other side closes
		close(ended)
	}()
	for c.Flush() == nil {
		select {
		case line := <-d.lines:
			_, _ = fmt.Fprintf(c.Out, "%x\r\n%s\n\r\n", len(line)+1, line)
		case <-ended:
			d.Abandoned <- struct{}{}
			return
		}
	}
}

// Send writes a line to the watch, or answers a call for the full list with it, once there is one.
func (d *Discovery) Send(tb testing.TB, line string) {
	tb.Helper()
	select {
	case d.lines <- line:
	case <-time.After(Patience):
		tb.Fatal("nobody watches")
	}
}

// List is a list as discovery sends it, a snapshot or an update: addresses by name, all with one status.
func List(snapshot bool, status string, addresses map[string]string) string {
	var entries []string
	for name, address := range addresses {
		entries = append(entries, fmt.Sprintf(
			`{"name":%q,"address":%q,"zone":"kita","type":"m2","group":1,"status":%q,"weight":1,"since_ms":0}`,
			name, address, status))
	}
	return fmt.Sprintf(`{"index":7,"snapshot":%v,"endpoints":[%s]}`, snapshot, strings.Join(entries, ","))
}

// Dial connects as a client; the connection is closed when the test ends.
func Dial(tb testing.TB, address string) *connbuffer.Conn {
	tb.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(Patience))
	return connbuffer.NewConn(c)
}

// Ask sends the text of a request unchanged and reads one answer.
func Ask(tb testing.TB, c *connbuffer.Conn, text string) *http1.Response {
	tb.Helper()
	_, _ = io.WriteString(c.Out, text) // Flush returns its error
	if err := c.Flush(); err != nil {
		tb.Fatal(err)
	}
	answer, err := http1.ReadResponse(c.In)
	if err != nil {
		tb.Fatal(err)
	}
	return answer
}

// Request is the text of a request as the application sends it.
func Request(method, class, id string, timeout time.Duration) string {
	return fmt.Sprintf("%s /api?key=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: %s\r\n"+
		"X-Priority-Class: %s\r\nX-Tenant-Id: acme\r\nX-Timeout: %.3f\r\n\r\n", method, id, class,
		timeout.Seconds())
}

// Until waits until a condition holds, for Patience at most; what names it where it never does.
func Until(tb testing.TB, what string, holds func() bool) {
	tb.Helper()
	for end := time.Now().Add(Patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			tb.Fatalf("never: %s", what)
		}
	}
}
