// Package adminapi is the operators' door: an address of its own that takes one call a connection, however
// busy the proxy is with its clients.
package adminapi

import (
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/url"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
	"cresshub/internal/proxy/logging"
	"cresshub/internal/proxy/stats"
)

const (
	// Callers is how many connections the door holds at once, and so how many descriptors are set aside
	// for it beside its listener. Where one more comes the one that waits longest goes.
	Callers = 16
	// patience is how long a caller may take for its head, or for its answer.
	patience = 5 * time.Second
	linger   = 200 * time.Millisecond // for what follows the head, which is not read as a call
)

// Proxy is what operators can ask of the proxy and tell it.
type Proxy interface {
	// Ready tells whether the process is ready to serve, and why not.
	Ready() (bool, string)
	// LameDuck sends clients away, or takes them again.
	LameDuck(on bool)
	// Gauges are figures that are true now, by name.
	Gauges() map[string]int
}

// Door takes the operators' calls.
type Door struct {
	proxy Proxy
	count *stats.Set
	log   *slog.Logger
	l     net.Listener

	pages map[string]extra // further calls, answered as JSON; set before Serve

	mu      sync.Mutex
	callers []*caller // the oldest first
}

// extra is a further call: its method, and what its answer is made of.
type extra struct {
	method string
	page   func(url.Values) any
}

// Page adds a GET call at path whose answer is what page returns, as JSON. It is called before Serve.
func (d *Door) Page(path string, page func(url.Values) any) { d.add(path, "GET", page) }

// Action adds a POST call at path that does something and answers in JSON, by what its query says.
func (d *Door) Action(path string, act func(url.Values) any) { d.add(path, "POST", act) }

func (d *Door) add(path, method string, page func(url.Values) any) {
	if d.pages == nil {
		d.pages = map[string]extra{}
	}
	d.pages[path] = extra{method, page}
}

type caller struct {
	*connbuffer.Conn
	asked bool // its head is whole: it is answered and not closed for another
}

// New returns a door at a listener; Serve opens it.
func New(l net.Listener, proxy Proxy, count *stats.Set, log *slog.Logger) *Door {
	return &Door{proxy: proxy, count: count, log: log, l: l}
}

// Address is where operators connect.
func (d *Door) Address() string { return d.l.Addr().String() }

// Serve takes calls until Close.
func (d *Door) Serve() {
	for {
		nc, err := d.l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			d.log.Warn("operators: accept failed", logging.Err, err)
			time.Sleep(5 * time.Millisecond)
			continue
		}
		c := &caller{Conn: connbuffer.NewConn(nc)}
		d.enter(c)
		go d.serve(c)
	}
}

// Close ends the door; calls that are being answered are answered.
func (d *Door) Close() { d.l.Close() }

// enter lists a caller. Where all places are taken the one that has kept silent for longest is closed, so
// that callers who connect and say nothing keep nobody out.
func (d *Door) enter(c *caller) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.callers) >= Callers {
		at := 0
		for i, o := range d.callers {
			if !o.asked {
				at = i
				break
			}
		}
		d.callers[at].Close()
		d.callers = append(d.callers[:at], d.callers[at+1:]...)
	}
	d.callers = append(d.callers, c)
}

func (d *Door) leave(c *caller) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, o := range d.callers {
		if o == c {
			d.callers = append(d.callers[:i], d.callers[i+1:]...)
			return
		}
	}
}

func (d *Door) serve(c *caller) {
	defer d.leave(c)
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	q, _, err := http1.ReadRequestHead(c.In)
	d.mu.Lock()
	c.asked = true
	d.mu.Unlock()
	var a *http1.Response
	var bad *http1.MalformedError
	switch {
	case errors.As(err, &bad):
		a = plain(bad.Status, bad.Reason)
	case errors.Is(err, os.ErrDeadlineExceeded):
		a = plain(408, "no call came")
	case err != nil:
		return
	default:
		a = d.answer(q)
	}
	a.Close = true
	c.SetDeadline(time.Now().Add(patience))
	if a.Write(c.Out) != nil || c.Flush() != nil {
		return
	}
	// A close with unread bytes is a reset, which could overtake the answer.
	if t, ok := c.Conn.Conn.(*net.TCPConn); ok {
		t.CloseWrite()
		c.SetReadDeadline(time.Now().Add(linger))
		io.CopyN(io.Discard, c.In, http1.MaxBufferedBody)
	}
}

// answer answers a call.
func (d *Door) answer(q *http1.Request) *http1.Response {
	path, query, _ := strings.Cut(q.Target, "?")
	method := "GET"
	more, extra := d.pages[path]
	switch {
	case extra:
		method = more.method
	case path == "/_ready" || path == "/_vars":
	case path == "/_lameduck/on" || path == "/_lameduck/off":
		method = "POST"
	default:
		return plain(404, "no such call; there are GET /_ready, GET /_vars"+d.listed()+
			" and POST /_lameduck/on and off")
	}
	if q.Method != method {
		a := plain(405, "the method is "+method)
		a.Header = append(a.Header, http1.Field{Name: "Allow", Value: method})
		return a
	}
	if extra {
		asked, err := url.ParseQuery(query)
		if err != nil {
			return plain(400, "the query cannot be read")
		}
		body, err := json.Marshal(more.page(asked))
		if err != nil {
			return plain(500, err.Error())
		}
		return &http1.Response{Status: 200, Body: append(body, '\n'),
			Header: http1.Header{{Name: "Content-Type", Value: "application/json"}}}
	}
	switch path {
	case "/_ready":
		if ok, why := d.proxy.Ready(); !ok {
			return plain(503, why)
		}
		return plain(200, "ready")
	case "/_vars":
		var text strings.Builder
		d.count.WriteVars(&text, d.proxy.Gauges())
		return plain(200, strings.TrimSuffix(text.String(), "\n"))
	}
	on := path == "/_lameduck/on"
	d.log.Info("lame duck", "on", on)
	d.proxy.LameDuck(on)
	return plain(200, "done")
}

func (d *Door) listed() string {
	var out strings.Builder
	for _, path := range slices.Sorted(maps.Keys(d.pages)) {
		out.WriteString(", " + d.pages[path].method + " " + path)
	}
	return out.String()
}

func plain(status int, text string) *http1.Response {
	return &http1.Response{Status: status, Body: []byte(text + "\n"),
		Header: http1.Header{{Name: "Content-Type", Value: "text/plain; charset=utf-8"}}}
}
