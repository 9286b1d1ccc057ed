// Package ingress serves HTTP/1.1 clients: it accepts connections, reads requests and writes exactly one
// final response to each, unless its client disconnects first. Package dispatch makes the decisions, and
// package upstream executes the attempts.
//
// Each connection has a goroutine, which serves its requests one after the other. While attempts are in
// flight, the goroutine blocks in Read to detect that the client disconnects. While an attempt reads the rest
// of the request's body, or may do so (see upload), it polls instead whether the client has disconnected.
//
// A connection is idle, receiving a request, or owned by its goroutine, from the end of a request's body (or
// of the part that is buffered) to the end of its response. Server.mu guards these states. Other goroutines
// may close idle and receiving connections: to free descriptors, or in a drain. All exported methods may be
// called from any goroutine.
package ingress

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cresshub/internal/bodybudget"
	"cresshub/internal/connbuffer"
	"cresshub/internal/proxy/config"
	"cresshub/internal/proxy/descriptors"
	"cresshub/internal/proxy/dispatch"
	"cresshub/internal/proxy/drain"
	"cresshub/internal/proxy/logging"
	"cresshub/internal/proxy/stats"
	"cresshub/internal/proxy/upstream"
	"cresshub/internal/stallclock"
)

// Server serves the clients of one listener.
type Server struct {
	Options
	classes    map[string]int // indexes in Options.Classes, by name
	tenants    map[string]int // indexes in Options.Tenants, by name
	limits     atomic.Pointer[config.Clients]
	requestLog atomic.Pointer[logging.RequestLog]
	drain      atomic.Pointer[drain.State] // written with mu held
	rejecting  chan struct{}               // semaphore: holds one token for each running rejectConn
	onBodySent func()                      // set by tests: called when the last byte of an upload was written

	mu                   sync.Mutex
	closeIdleLoopRunning bool
	accepting            int // running calls of Serve; each may have accepted a connection not yet in clients
	clients              map[*client]struct{}
	openIDs              map[string]int // reference counts by request id: the request and its attempts in flight
}

// Options are the dependencies and settings of a Server.
type Options struct {
	Decider     *dispatch.Decider
	Pool        *upstream.Pool
	ServerName  func(dispatch.ServerID) string // name of a zone server, for the request log
	Classes     []string                       // class names in the order of the settings
	Tenants     []string                       // tenant names in that order; empty where requests have no tenant
	Limits      config.Clients
	DrainTimes  func() drain.Times // returns the current settings
	Descriptors *descriptors.Budget
	Bodies      *bodybudget.Budget
	Stats       *stats.Set
	Clock       *stallclock.Clock // excludes stalls of this process from deadlines; nil: no stalls are excluded
	RecordUsage func(Usage)       // called for each final response written; nil if usage is not counted
	Log         *slog.Logger
}

// New returns a Server. It logs no requests until LogRequests is called.
func New(o Options) *Server {
	s := &Server{
		Options: o, classes: indexByName(o.Classes), tenants: indexByName(o.Tenants),
		rejecting: make(chan struct{}, o.Limits.MaxRejecting), clients: map[*client]struct{}{},
		openIDs: map[string]int{},
	}
	s.SetLimits(o.Limits)
	s.drain.Store(&drain.State{})
	o.Descriptors.SetReclaim(descriptors.Clients, s.reclaimConnection)
	return s
}

// SetLimits changes the timeouts for clients. Waits already in progress keep the timeout they started with.
func (s *Server) SetLimits(l config.Clients) { s.limits.Store(&l) }

// LogRequests sets the request log; nil turns logging off.
func (s *Server) LogRequests(r *logging.RequestLog) { s.requestLog.Store(r) }

// indexByName returns the index of each name in names.
func indexByName(names []string) map[string]int {
	index := map[string]int{}
	for i, name := range names {
		index[name] = i
	}
	return index
}

// acceptBackoff is how long Serve waits after a failed accept.
const acceptBackoff = 5 * time.Millisecond

// Serve accepts connections until the listener is closed. Connections beyond the descriptor budget are
// rejected with a response, or closed if MaxRejecting others are being rejected.
func (s *Server) Serve(l net.Listener) error {
	s.addAccepting(1)
	defer s.addAccepting(-1)
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // no descriptor is left, or the client disconnected while it was in the backlog
			s.Log.Warn("ingress: accept failed", logging.Err, err)
			time.Sleep(acceptBackoff)
			continue
		}
		s.Stats.AcceptedConns.Inc()
		if s.Descriptors.Acquire(descriptors.Clients) {
			s.admit(nc)
			continue
		}
		s.Stats.RejectedConns.Inc()
		select {
		case s.rejecting <- struct{}{}:
			go s.rejectConn(nc)
		default: // waiting for a token here would delay all later connections
			nc.Close()
		}
	}
}

// addAccepting changes the number of calls of Serve that have not returned.
func (s *Server) addAccepting(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepting += delta
}

// admit starts the goroutine of a new connection, for which the caller has acquired a descriptor.
func (s *Server) admit(nc net.Conn) {
	c := &client{Conn: connbuffer.NewConn(s.Clock.Wrap(nc)), wakeup: make(chan struct{}, 1), since: time.Now(),
		idle: true, unused: true}
	s.mu.Lock()
	s.clients[c] = struct{}{}
	s.mu.Unlock()
	go s.serveConn(c)
	if s.Descriptors.Crowded() {
		s.reclaimConnection()
	}
}
