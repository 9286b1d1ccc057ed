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
	// MaxConns is how many connections the door holds at once, and so how many descriptors are set aside
	// for it beside its listener. Where one more comes the one that waits longest goes.
	MaxConns = 16
	// callTimeout is how long a caller may take for its head, or for its answer.
	callTimeout   = 5 * time.Second
	lingerTimeout = 200 * time.Millisecond // for what follows the head, which is not read as a call
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

// Server takes the operators' calls.
type Server struct {
	proxy    Proxy
	stats    *stats.Set
	log      *slog.Logger
	listener net.Listener

	endpoints map[string]endpoint // further calls, answered as JSON; set before Serve

	mu    sync.Mutex
	conns []*conn // the oldest first
}

// endpoint is a further call: its method, and what its answer is made of.
type endpoint struct {
	method  string
	respond func(url.Values) any
}

// HandleGet adds a GET call at path whose answer is what page returns, as JSON. It is called before Serve.
func (s *Server) HandleGet(path string, page func(url.Values) any) { s.handle(path, "GET", page) }

// HandlePost adds a POST call at path that does something and answers in JSON, by what its query says.
func (s *Server) HandlePost(path string, act func(url.Values) any) { s.handle(path, "POST", act) }

func (s *Server) handle(path, method string, page func(url.Values) any) {
	if s.endpoints == nil {
		s.endpoints = map[string]endpoint{}
	}
	s.endpoints[path] = endpoint{method, page}
}

type conn struct {
	*connbuffer.Conn
	headRead bool // its head is whole: it is answered and not closed for another
}

// New returns a door at a listener; Serve opens it.
func New(listener net.Listener, proxy Proxy, counters *stats.Set, log *slog.Logger) *Server {
	return &Server{proxy: proxy, stats: counters, log: log, listener: listener}
}

// Address is where operators connect.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve takes calls until Close.
func (s *Server) Serve() {
	for {
		nc, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn("operators: accept failed", logging.Err, err)
			time.Sleep(5 * time.Millisecond)
			continue
		}
		c := &conn{Conn: connbuffer.NewConn(nc)}
		s.addConn(c)
		go s.serveConn(c)
	}
}

// Close ends the door; calls that are being answered are answered.
func (s *Server) Close() { s.listener.Close() }

// addConn lists a caller. Where all places are taken the one that has kept silent for longest is closed, so
// that callers who connect and say nothing keep nobody out.
func (s *Server) addConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= MaxConns {
		evicted := 0
		for i, other := range s.conns {
			if !other.headRead {
				evicted = i
				break
			}
		}
		s.conns[evicted].Close()
		s.conns = append(s.conns[:evicted], s.conns[evicted+1:]...)
	}
	s.conns = append(s.conns, c)
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.conns {
		if other == c {
			s.conns = append(s.conns[:i], s.conns[i+1:]...)
			return
		}
	}
}

func (s *Server) serveConn(c *conn) {
	defer s.removeConn(c)
	defer c.Close()
	c.SetDeadline(time.Now().Add(callTimeout))
	request, _, err := http1.ReadRequestHead(c.In)
	s.mu.Lock()
	c.headRead = true
	s.mu.Unlock()
	var response *http1.Response
	var malformed *http1.MalformedError
	switch {
	case errors.As(err, &malformed):
		response = textResponse(malformed.Status, malformed.Reason)
	case errors.Is(err, os.ErrDeadlineExceeded):
		response = textResponse(408, "no call came")
	case err != nil:
		return
	default:
		response = s.respond(request)
	}
	response.Close = true
	c.SetDeadline(time.Now().Add(callTimeout))
	if response.Write(c.Out) != nil || c.Flush() != nil {
		return
	}
	// A close with unread bytes is a reset, which could overtake the answer.
	if tcp, ok := c.Conn.Conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
		c.SetReadDeadline(time.Now().Add(lingerTimeout))
		io.CopyN(io.Discard, c.In, http1.MaxBufferedBody)
	}
}

// respond answers a call.
func (s *Server) respond(request *http1.Request) *http1.Response {
	path, query, _ := strings.Cut(request.Target, "?")
	method := "GET"
	added, extra := s.endpoints[path]
	switch {
	case extra:
		method = added.method
	case path == "/_ready" || path == "/_vars":
	case path == "/_lameduck/on" || path == "/_lameduck/off":
		method = "POST"
	default:
		return textResponse(404, "no such call; there are GET /_ready, GET /_vars"+s.endpointList()+
			" and POST /_lameduck/on and off")
	}
	if request.Method != method {
		response := textResponse(405, "the method is "+method)
		response.Header = append(response.Header, http1.Field{Name: "Allow", Value: method})
		return response
	}
	if extra {
		params, err := url.ParseQuery(query)
		if err != nil {
			return textResponse(400, "the query cannot be read")
		}
		body, err := json.Marshal(added.respond(params))
		if err != nil {
			return textResponse(500, err.Error())
		}
		return &http1.Response{Status: 200, Body: append(body, '\n'),
			Header: http1.Header{{Name: "Content-Type", Value: "application/json"}}}
	}
	switch path {
	case "/_ready":
		if ok, why := s.proxy.Ready(); !ok {
			return textResponse(503, why)
		}
		return textResponse(200, "ready")
	case "/_vars":
		var text strings.Builder
		s.stats.WriteVars(&text, s.proxy.Gauges())
		return textResponse(200, strings.TrimSuffix(text.String(), "\n"))
	}
	on := path == "/_lameduck/on"
	s.log.Info("lame duck", "on", on)
	s.proxy.LameDuck(on)
	return textResponse(200, "done")
}

func (s *Server) endpointList() string {
	var out strings.Builder
	for _, path := range slices.Sorted(maps.Keys(s.endpoints)) {
		out.WriteString(", " + s.endpoints[path].method + " " + path)
	}
	return out.String()
}

func textResponse(status int, text string) *http1.Response {
	return &http1.Response{Status: status, Body: []byte(text + "\n"),
		Header: http1.Header{{Name: "Content-Type", Value: "text/plain; charset=utf-8"}}}
}
