// Package adminapi is the admin API of the client proxy: HTTP calls of operators at a separate address. They
// get responses however many clients the proxy has, because descriptors are reserved for their connections.
//
// GET /_ready, GET /_vars, POST /_lameduck/on and POST /_lameduck/off are always available. Other components
// (the fleet's view, the ledger, the singleton roles) add calls, whose responses are JSON, with HandleGet and
// HandlePost before Serve. Each connection is for one call.
package adminapi

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
	"cresshub/internal/proxy/logging"
	"cresshub/internal/proxy/stats"
)

// MaxConns is how many connections may be open at once, and so how many descriptors the daemon reserves for
// them. When one more is accepted, the oldest that has sent no call yet is closed.
const MaxConns = 16

const (
	callTimeout   = 5 * time.Second        // for receiving a call's head, and again for sending the response
	lingerTimeout = 200 * time.Millisecond // for reading and discarding bytes after the head
	acceptBackoff = 5 * time.Millisecond   // wait after a failed accept
)

// Proxy is the proxy whose state the calls read and change. Its methods are called from any goroutine.
type Proxy interface {
	// Ready reports whether the process is ready to serve clients, and if not, the reason.
	Ready() (ready bool, reason string)
	// LameDuck begins or ends a temporary drain.
	LameDuck(on bool)
	// Gauges returns the current values of gauges, by name.
	Gauges() map[string]int
}

// Server accepts operators' connections and responds to their calls.
type Server struct {
	proxy    Proxy
	stats    *stats.Set
	log      *slog.Logger
	listener net.Listener

	builtin map[string]endpoint // by path; read-only after New
	added   map[string]endpoint // by path; read-only once Serve is called

	mu    sync.Mutex
	conns []*conn // the oldest first
}

// conn is one open connection.
type conn struct {
	*connbuffer.Conn
	headRead bool // its call was read, so others are closed first at MaxConns; guarded by Server.mu
}

// New returns a server of the admin API at a listener. It accepts no connections before Serve.
func New(listener net.Listener, proxy Proxy, counters *stats.Set, log *slog.Logger) *Server {
	s := &Server{proxy: proxy, stats: counters, log: log, listener: listener, added: map[string]endpoint{}}
	s.builtin = map[string]endpoint{
		"/_ready":        {http.MethodGet, s.ready},
		"/_vars":         {http.MethodGet, s.vars},
		"/_lameduck/on":  {http.MethodPost, s.lameDuck(true)},
		"/_lameduck/off": {http.MethodPost, s.lameDuck(false)},
	}
	return s
}

// Address returns the address at which operators connect.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve accepts connections until Close.
func (s *Server) Serve() {
	for {
		accepted, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn("admin: accept failed", logging.Err, err)
			time.Sleep(acceptBackoff)
			continue
		}
		c := &conn{Conn: connbuffer.NewConn(accepted)}
		s.addConn(c)
		go s.serveConn(c)
	}
}

// Close closes the listener. Calls on accepted connections still get their responses.
func (s *Server) Close() { s.listener.Close() }

// addConn adds a connection to the list. At MaxConns it closes the oldest one that has sent no call, so that
// callers that connect and send nothing don't block the others; if all have sent one, it closes the oldest.
func (s *Server) addConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= MaxConns {
		evicted := max(0, slices.IndexFunc(s.conns, func(other *conn) bool { return !other.headRead }))
		s.conns[evicted].Close()
		s.conns = slices.Delete(s.conns, evicted, evicted+1)
	}
	s.conns = append(s.conns, c)
}

// removeConn removes a connection from the list, if it is still there.
func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.conns, c); i >= 0 {
		s.conns = slices.Delete(s.conns, i, i+1)
	}
}

// serveConn responds to the one call of a connection.
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
		response = textResponse(http1.StatusRequestTimeout, "no call came")
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
	// Closing with unread bytes sends a reset, which could overtake the response.
	if tcp, ok := c.Conn.Conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, c.In, http1.MaxBufferedBody) // until the client closes or a limit is reached
	}
}
