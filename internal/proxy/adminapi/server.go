// Package adminapi is the admin API of the client proxy: HTTP calls of operators at an address of their own.
// They get responses however many clients the proxy has, because its connections have descriptors set aside.
//
// GET /_ready, GET /_vars, POST /_lameduck/on and POST /_lameduck/off are always there. Other parts (the
// fleet's view, the ledger, the singleton roles) add calls with HandleGet and HandlePost before Serve, whose
// responses are JSON. Each connection is for one call.
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

// MaxConns is how many connections may be open at once, and so how many descriptors the daemon sets aside for
// them. For one more, the oldest that has sent no call yet is closed.
const MaxConns = 16

const (
	callTimeout   = 5 * time.Second        // to receive a call's head, and then to send the response
	lingerTimeout = 200 * time.Millisecond // to read and drop bytes after the head
	acceptBackoff = 5 * time.Millisecond   // wait after a failed accept
)

// Proxy is what the calls read and change. Its methods are called from any goroutine.
type Proxy interface {
	// Ready reports whether the process is ready to serve clients, and why not.
	Ready() (ready bool, why string)
	// LameDuck begins or ends a temporary drain.
	LameDuck(on bool)
	// Gauges returns the present values of gauges, by name.
	Gauges() map[string]int
}

// Server accepts operators' connections and responds to their calls.
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
	headRead bool // its call was read, so it is not closed for a newer one; guarded by Server.mu
}

// New returns a server of the admin API at a listener; Serve begins to accept.
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
			s.log.Warn("admin: accept failed", logging.Err, err)
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

// addConn adds a connection to the list. At MaxConns it closes the oldest one that has sent no call, so that
// callers who connect and send nothing don't block the others; if all have sent one, it closes the oldest.
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
		_, _ = io.CopyN(io.Discard, c.In, http1.MaxBufferedBody) // until the client closes, or either limit
	}
}
