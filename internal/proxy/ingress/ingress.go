// Package ingress is the application's side: it listens, reads requests, and gives each its one final
// answer. Each client's connection has a goroutine; while a request is out it sits in Read, so that it
// notices when its client goes away.
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
	"cresshub/internal/http1"
	"cresshub/internal/proxy/config"
	"cresshub/internal/proxy/descriptors"
	"cresshub/internal/proxy/dispatch"
	"cresshub/internal/proxy/drain"
	"cresshub/internal/proxy/logging"
	"cresshub/internal/proxy/stats"
	"cresshub/internal/proxy/upstream"
)

const readyPath = "/health/ready"

// Server serves the clients of one listener.
type Server struct {
	Options
	classes    map[string]int
	tenants    map[string]int
	limits     atomic.Pointer[config.Clients]
	requestLog atomic.Pointer[logging.RequestLog]
	drain      atomic.Pointer[drain.State] // written under mu
	rejecting  chan struct{}               // a token for each client being turned away
	// for tests: called as an upload's last byte is out; nil in the program
	onBodySent func()

	mu          sync.Mutex
	closingIdle bool // a goroutine closes what a lame duck has come to close
	clients     map[*client]struct{}
	openIDs     map[string]int // by id, how many still need it: its request and the attempts that are out
}

// Options are what a Server works with.
type Options struct {
	Decider     *dispatch.Decider
	Pool        *upstream.Pool
	Name        func(dispatch.ServerID) string // what a zone server is called
	Classes     []string                       // names in the order of the settings
	Tenants     []string
	Limits      config.Clients
	Drain       func() drain.Times // as they are now
	Budget      *descriptors.Budget
	Bodies      *bodybudget.Budget
	Stats       *stats.Set
	RecordUsage func(Usage) // told of every final answer that was written; nil where nobody counts use
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
	o.Budget.SetReclaim(descriptors.Clients, s.closeMostExpendable)
	return s
}

// SetLimits changes how long clients are waited for, from each one's next wait on.
func (s *Server) SetLimits(l config.Clients) { s.limits.Store(&l) }

// LogRequests sets where requests are logged; nil ends it.
func (s *Server) LogRequests(r *logging.RequestLog) { s.requestLog.Store(r) }

func positions(names []string) map[string]int {
	at := map[string]int{}
	for i, n := range names {
		at[n] = i
	}
	return at
}

// Serve accepts clients until the listener closes.
func (s *Server) Serve(l net.Listener) error {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // short of descriptors, or the client left while it waited
			s.Log.Warn("accept failed", logging.Err, err)
			time.Sleep(5 * time.Millisecond)
			continue
		}
		s.Stats.AcceptedConns.Add()
		if !s.Budget.Acquire(descriptors.Clients) {
			s.Stats.RejectedConns.Add()
			select {
			case s.rejecting <- struct{}{}:
				go s.rejectConn(nc)
			default: // waiting for a token would keep all others waiting too
				nc.Close()
			}
			continue
		}
		c := &client{Conn: connbuffer.NewConn(nc), wakeup: make(chan struct{}, 1), since: time.Now(), idle: true,
			unused: true}
		s.mu.Lock()
		s.clients[c] = struct{}{}
		s.mu.Unlock()
		go s.serveConn(c)
		if s.Budget.Crowded() {
			s.closeMostExpendable()
		}
	}
}

// rejectConn reads one request and refuses it: a client that is just cut off could not tell what became
// of its request.
func (s *Server) rejectConn(nc net.Conn) {
	defer func() { <-s.rejecting }()
	defer nc.Close()
	c := connbuffer.NewConn(nc)
	c.SetDeadline(time.Now().Add(s.limits.Load().RejectTimeout))
	q, body, err := http1.ReadRequestHead(c.In)
	if err != nil {
		return
	}
	(&http1.Response{Status: 503, Close: true}).Write(c.Out)
	flushed := c.Flush()
	if flushed == nil && !(body.Complete() && c.Quiet()) { // what is not read would have the answer overtaken
		defer s.linger(&client{Conn: c}, s.limits.Load().Linger)
	}
	if class, ok := s.classes[q.Header.Get("X-Priority-Class")]; flushed == nil && ok {
		s.Stats.Class(class).Dropped.Add()
		if t := (&client{}); s.RecordUsage != nil {
			s.startUsage(t, q, class)
			s.reportUsage(t, &s.Stats.Class(class).Dropped, 0)
		}
	}
}

// closeMostExpendable closes the connection that can best be done without and gives its place back: one that
// never asked before one that is stuck in a request, and that before one that rests between two.
func (s *Server) closeMostExpendable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for now, limits := time.Now(), s.limits.Load(); ; {
		var candidate *client
		highest := 0
		for c := range s.clients {
			n := c.expendability(now, limits)
			if n > highest || n > 0 && n == highest && c.since.Before(candidate.since) {
				candidate, highest = c, n
			}
		}
		if candidate == nil {
			return false
		}
		if candidate.receiving || candidate.Still() {
			return s.closeIdle(candidate)
		}
		candidate.since = now // its request waits in the system and is only not read yet
	}
}
