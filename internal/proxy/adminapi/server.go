// Package adminapi serves the operators' HTTP calls at an address of their own, so that they are answered
// however many clients the proxy has: its connections aren't counted with the clients' and servers' ones.
//
// GET /_ready, GET /_vars, POST /_lameduck/on and POST /_lameduck/off are always there. The owners of further
// state (the fleet's view, the ledger, the singleton roles) add calls that answer in JSON with HandleGet and
// HandlePost before Serve. One connection takes one call.
package adminapi

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
	"cresshub/internal/proxy/logging"
	"cresshub/internal/proxy/stats"
)

// MaxConns is how many connections are open at a time, and so how many descriptors the daemon sets aside
// besides that of the listener. For one more the oldest that has sent no call yet is closed.
const MaxConns = 16

const (
	callTimeout   = 5 * time.Second        // for a call's head to come, and then for the response to be taken
	lingerTimeout = 200 * time.Millisecond // for bytes after the head, which are read and dropped
	acceptBackoff = 5 * time.Millisecond   // after an accept that failed
)

// Proxy is what the calls read and do. Its methods are called from any goroutine.
type Proxy interface {
	// Ready reports whether the process is ready to serve, and why not.
	Ready() (bool, string)
	// LameDuck begins or ends a drain that sends clients away.
	LameDuck(on bool)
	// Gauges returns the figures that are true now, by name.
	Gauges() map[string]int
}

// Server accepts the operators' connections and answers their calls.
type Server struct {
	proxy    Proxy
	stats    *stats.Set
	log      *slog.Logger
	listener net.Listener

	builtin map[string]endpoint // by path; read-only after New
	added   map[string]endpoint // by path; read-only after Serve began

	mu    sync.Mutex
	conns []*conn // the oldest first
}

// conn is one open connection.
type conn struct {
	*connbuffer.Conn
	headRead bool // its call has come: it is answered and not closed for a newer one; guarded by Server.mu
}

// New returns a server of the admin API at a listener; Serve begins to accept.
func New(listener net.Listener, proxy Proxy, counters *stats.Set, log *slog.Logger) *Server {
	s := &Server{proxy: proxy, stats: counters, log: log, listener: listener, added: map[string]endpoint{}}
	s.builtin = map[string]endpoint{
		"/_ready":        {"GET", s.ready},
		"/_vars":         {"GET", s.vars},
		"/_lameduck/on":  {"POST", s.lameDuck(true)},
		"/_lameduck/off": {"POST", s.lameDuck(false)},
	}
	return s
}

// Address is where operators connect.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve accepts connections until Close.
func (s *Server) Serve() {
	for {
		accepted, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn("operators: accept failed", logging.Err, err)
			time.Sleep(acceptBackoff)
			continue
		}
		c := &conn{Conn: connbuffer.NewConn(accepted)}
		s.addConn(c)
		go s.serveConn(c)
	}
}

// Close closes the listener. Calls that have come still get their responses.
func (s *Server) Close() { s.listener.Close() }

// addConn lists a connection. At MaxConns it closes the oldest one that has sent no call, so that callers who
// connect and send nothing keep nobody out.
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

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.conns, c); i >= 0 {
		s.conns = slices.Delete(s.conns, i, i+1)
	}
}

// serveConn answers the one call of a connection.
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
	// Closing with unread bytes sends a reset, which could overtake the response.
	if tcp, ok := c.Conn.Conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, c.In, http1.MaxBufferedBody) // the response is out; any end will do
	}
}
