// Package nettest is what the tests with real sockets share: other parties that do as a test tells
// them, on ports that the kernel chose.
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
	NoResponse = &http1.Response{} // nothing comes; the connection stays until the other side ends it
	CloseConn  = &http1.Response{} // the connection ends
)

// ScriptedServer is a server that a test scripts.
type ScriptedServer struct {
	Address   string
	Opened    atomic.Int64  // connections accepted
	Abandoned chan struct{} // one for each silent connection that the other side ended

	mu       sync.Mutex
	received []*http1.Request
}

// Serve starts a party whose answers come from handle, which runs once a request.
func Serve(t testing.TB, handle func(q *http1.Request) *http1.Response) *ScriptedServer {
	p := &ScriptedServer{Abandoned: make(chan struct{}, 64)}
	p.Address = Listen(t, func(c *connbuffer.Conn) {
		p.Opened.Add(1)
		for {
			q, err := http1.ReadRequest(c.In)
			if err != nil {
				return
			}
			p.mu.Lock()
			p.received = append(p.received, q)
			p.mu.Unlock()
			switch a := handle(q); a {
			case CloseConn:
				return
			case NoResponse:
				io.Copy(io.Discard, c.In)
				p.Abandoned <- struct{}{}
				return
			default:
				if a.Write(c.Out) != nil || c.Flush() != nil || a.Close {
					return
				}
			}
		}
	})
	return p
}

// Received returns the requests received whose target begins with prefix.
func (p *ScriptedServer) Received(prefix string) (matching []*http1.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, q := range p.received {
		if strings.HasPrefix(q.Target, prefix) {
			matching = append(matching, q)
		}
	}
	return matching
}

// Listen accepts connections and gives each a goroutine, until the test ends.
func Listen(t testing.TB, serve func(c *connbuffer.Conn)) string {
	t.Helper()
	l, err := proxystandin.Listen("127.0.0.1:0", 0, serve)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.End)
	return l.Address()
}

// Zone is a zone server's handler: probes tell an idle server, all else gets what work returns.
func Zone(work func(q *http1.Request) *http1.Response) func(*http1.Request) *http1.Response {
	return func(q *http1.Request) *http1.Response {
		if q.Target == "/stats" {
			return OK("inflight=0,queue=0,util=0.00")
		}
		return work(q)
	}
}

// OK is an answer 200.
func OK(body string) *http1.Response { return &http1.Response{Status: 200, Body: []byte(body)} }

// Discovery is a list that a test writes.
type Discovery struct {
	Address    string
	Watches    atomic.Int64  // that were opened
	Rejections atomic.Int64  // so many calls get 503 first
	Abandoned  chan struct{} // one for each watch that the other side ended
	from       atomic.Value
	lines      chan string
}

// WatchedFrom is the version that the last watch asked for.
func (d *Discovery) WatchedFrom() string { return d.from.Load().(string) }

// NewDiscovery starts a discovery; a watch says only what Send is given.
func NewDiscovery(t testing.TB) *Discovery {
	d := &Discovery{lines: make(chan string), Abandoned: make(chan struct{}, 64)}
	d.Address = Listen(t, func(c *connbuffer.Conn) {
		for {
			q, err := http1.ReadRequest(c.In)
			if err != nil {
				return
			}
			_, from, watch := strings.Cut(q.Target, "?watch=1&from=")
			switch {
			case d.Rejections.Add(-1) >= 0:
				(&http1.Response{Status: 503}).Write(c.Out)
			case !watch:
				OK(<-d.lines).Write(c.Out)
			default:
				d.from.Store(from)
				d.Watches.Add(1)
				d.watch(c)
				return
			}
			c.Flush()
		}
	})
	return d
}

func (d *Discovery) watch(c *connbuffer.Conn) {
	io.WriteString(c.Out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	ended := make(chan struct{})
	go func() {
		io.Copy(io.Discard, c.In)
		close(ended)
	}()
	for c.Flush() == nil {
		select {
		case l := <-d.lines:
			fmt.Fprintf(c.Out, "%x\r\n%s\n\r\n", len(l)+1, l)
		case <-ended:
			d.Abandoned <- struct{}{}
			return
		}
	}
}

// Send writes a line to the watch, or answers a call for the whole list with it, once there is one.
func (d *Discovery) Send(t testing.TB, line string) {
	t.Helper()
	select {
	case d.lines <- line:
	case <-time.After(Patience):
		t.Fatal("nobody watches")
	}
}

// List is a whole list in discovery's form: addresses by name, all with one status.
func List(whole bool, status string, addresses map[string]string) string {
	var entries []string
	for name, a := range addresses {
		entries = append(entries, fmt.Sprintf(
			`{"name":%q,"address":%q,"zone":"kita","type":"m2","group":1,"status":%q,"weight":1,"since_ms":0}`,
			name, a, status))
	}
	return fmt.Sprintf(`{"index":7,"snapshot":%v,"endpoints":[%s]}`, whole, strings.Join(entries, ","))
}

// Dial connects as a client, for as long as the test runs.
func Dial(t testing.TB, address string) *connbuffer.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(Patience))
	return connbuffer.NewConn(c)
}

// Ask sends text as it is and reads one answer.
func Ask(t testing.TB, c *connbuffer.Conn, text string) *http1.Response {
	t.Helper()
	io.WriteString(c.Out, text)
	if err := c.Flush(); err != nil {
		t.Fatal(err)
	}
	a, err := http1.ReadResponse(c.In)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// Request is a request as the application sends it.
func Request(method, class, id string, timeout time.Duration) string {
	return fmt.Sprintf("%s /api?key=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: %s\r\n"+
		"X-Priority-Class: %s\r\nX-Tenant-Id: acme\r\nX-Timeout: %.3f\r\n\r\n", method, id, class,
		timeout.Seconds())
}

// Until waits for a condition.
func Until(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(Patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}
