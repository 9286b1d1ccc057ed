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
	classes  map[string]int
	tenants  map[string]int
	limits   atomic.Pointer[config.Clients]
	requests atomic.Pointer[logging.Requests]
	drain    atomic.Pointer[drain.State] // written under mu
	away     chan struct{}               // a token for each client being turned away
	atSent   func()                      // for tests: called as an upload's last byte is out; nil in the program

	mu       sync.Mutex
	sweeping bool // a goroutine closes what a lame duck has come to close
	clients  map[*client]struct{}
	open     map[string]int // by id, how many still need it: its request and the attempts that are out
}

// Options are what a Server works with.
type Options struct {
	Decider *dispatch.Decider
	Pool    *upstream.Pool
	Name    func(dispatch.ServerID) string // what a zone server is called
	Classes []string                       // names in the order of the settings
	Tenants []string
	Limits  config.Clients
	Drain   func() drain.Times // as they are now
	Budget  *descriptors.Budget
	Bodies  *bodybudget.Budget
	Count   *stats.Set
	Used    func(Use) // told of every final answer that was written; nil where nobody counts use
	Log     *slog.Logger
}

// New returns a Server that logs no requests.
func New(o Options) *Server {
	s := &Server{
		Options: o, classes: positions(o.Classes), tenants: positions(o.Tenants),
		away: make(chan struct{}, o.Limits.AwayAtOne), clients: map[*client]struct{}{}, open: map[string]int{},
	}
	s.SetLimits(o.Limits)
	s.drain.Store(&drain.State{})
	o.Budget.OnShort(descriptors.Clients, s.closeOne)
	return s
}

// SetLimits changes how long clients are waited for, from each one's next wait on.
func (s *Server) SetLimits(l config.Clients) { s.limits.Store(&l) }

// LogRequests sets where requests are logged; nil ends it.
func (s *Server) LogRequests(r *logging.Requests) { s.requests.Store(r) }

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
		s.Count.Accepted.Add()
		if !s.Budget.Take(descriptors.Clients) {
			s.Count.TurnedAway.Add()
			select {
			case s.away <- struct{}{}:
				go s.turnAway(nc)
			default: // waiting for a token would keep all others waiting too
				nc.Close()
			}
			continue
		}
		c := &client{Conn: connbuffer.NewConn(nc), woken: make(chan struct{}, 1), since: time.Now(), idle: true,
			fresh: true}
		s.mu.Lock()
		s.clients[c] = struct{}{}
		s.mu.Unlock()
		go s.serve(c)
		if s.Budget.Crowded() {
			s.closeOne()
		}
	}
}

// turnAway reads one request and refuses it: a client that is just cut off could not tell what became
// of its request.
func (s *Server) turnAway(nc net.Conn) {
	defer func() { <-s.away }()
	defer nc.Close()
	c := connbuffer.NewConn(nc)
	c.SetDeadline(time.Now().Add(s.limits.Load().Away))
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
		s.Count.Class(class).Dropped.Add()
		if t := (&client{}); s.Used != nil {
			s.use(t, q, class)
			s.used(t, &s.Count.Class(class).Dropped, 0)
		}
	}
}

// closeOne closes the connection that can best be done without and gives its place back: one that
// never asked before one that is stuck in a request, and that before one that rests between two.
func (s *Server) closeOne() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for now, limits := time.Now(), s.limits.Load(); ; {
		var worst *client
		most := 0
		for c := range s.clients {
			n := c.spare(now, limits)
			if n > most || n > 0 && n == most && c.since.Before(worst.since) {
				worst, most = c, n
			}
		}
		if worst == nil {
			return false
		}
		if worst.half || worst.Still() {
			return s.closeIdle(worst)
		}
		worst.since = now // its request waits in the system and is only not read yet
	}
}
