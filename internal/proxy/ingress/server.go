// Package ingress serves HTTP/1.1 clients: it accepts connections, reads requests and gives each its one
// final response, by way of package dispatch for the decisions and package upstream for the attempts.
//
// Each connection has a goroutine, which serves one request after the other. While attempts are under way it
// waits in Read, so that it notices when its client goes away; where an attempt reads the rest of the
// request's body meanwhile (upload), it only looks at the connection now and then. A connection is idle,
// receiving a request, or owned by its goroutine from a complete request to the end of the response. The
// server's lock guards these states, and idle and receiving connections may be closed by others: to free
// descriptors, or by a drain. All exported methods may be called from any goroutine.
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
	classes    map[string]int // positions by name
	tenants    map[string]int // likewise
	limits     atomic.Pointer[config.Clients]
	requestLog atomic.Pointer[logging.RequestLog]
	drain      atomic.Pointer[drain.State] // written under mu
	rejecting  chan struct{}               // a token for each client that is being rejected
	onBodySent func()                      // set by tests: called as an upload's last byte is written

	mu          sync.Mutex
	closingIdle bool // closeIdleLoop runs
	accepting   int  // calls of Serve that have not returned: each may have accepted a connection not in clients
	clients     map[*client]struct{}
	openIDs     map[string]int // users by request id: its request and the attempts that are under way
}

// Options are what a Server works with.
type Options struct {
	Decider     *dispatch.Decider
	Pool        *upstream.Pool
	ServerName        func(dispatch.ServerID) string // of a zone server
	Classes     []string                       // names in the order of the settings
	Tenants     []string                       // likewise; empty where requests name none
	Limits      config.Clients
	DrainTimes       func() drain.Times // as they are now
	Descriptors      *descriptors.Budget
	Bodies      *bodybudget.Budget
	Stats       *stats.Set
	Clock       *stallclock.Clock // of this process's stalls; nil for one that never stalls
	RecordUsage func(Usage)       // called for each final response written; nil where usage is not counted
	Log         *slog.Logger
}

// New returns a Server that logs no requests.
func New(o Options) *Server {
	s := &Server{
		Options: o, classes: positions(o.Classes), tenants: positions(o.Tenants),
		rejecting: make(chan struct{}, o.Limits.MaxRejecting), clients: map[*client]struct{}{},
		openIDs: map[string]int{},
	}
	s.SetLimits(o.Limits)
	s.drain.Store(&drain.State{})
	o.Descriptors.SetReclaim(descriptors.Clients, s.closeMostExpendable)
	return s
}

// SetLimits changes the time-outs of clients; waits that have begun end by the earlier ones.
func (s *Server) SetLimits(l config.Clients) { s.limits.Store(&l) }

// LogRequests sets where requests are logged; nil ends it.
func (s *Server) LogRequests(r *logging.RequestLog) { s.requestLog.Store(r) }

func positions(names []string) map[string]int {
	index := map[string]int{}
	for i, name := range names {
		index[name] = i
	}
	return index
}

// acceptBackoff is how long Serve waits after a failed accept.
const acceptBackoff = 5 * time.Millisecond

// Serve accepts clients until the listener closes.
func (s *Server) Serve(l net.Listener) error {
	s.addAccepting(1)
	defer s.addAccepting(-1)
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // short of descriptors, or the client went away while it waited
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
		default: // to wait for a token would keep all others waiting too
			nc.Close()
		}
	}
}

// addAccepting changes the number of calls of Serve that have not returned.
func (s *Server) addAccepting(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepting += change
}

// admit serves a new connection.
func (s *Server) admit(nc net.Conn) {
	c := &client{Conn: connbuffer.NewConn(s.Clock.Wrap(nc)), wakeup: make(chan struct{}, 1), since: time.Now(),
		idle: true, unused: true}
	s.mu.Lock()
	s.clients[c] = struct{}{}
	s.mu.Unlock()
	go s.serveConn(c)
	if s.Descriptors.Crowded() {
		s.closeMostExpendable()
	}
}
