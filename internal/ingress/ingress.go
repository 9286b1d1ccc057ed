// Package ingress is the application's side: it listens, reads requests, and gives each its one final
// answer. Each client's connection has a goroutine; while a request is out it sits in Read, so that it
// notices when its client goes away.
package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cresshub/internal/counters"
	"cresshub/internal/decide"
	"cresshub/internal/http1"
	"cresshub/internal/ring"
	"cresshub/internal/sockets"
	"cresshub/internal/upstream"
)

const (
	readyPath = "/health/ready"

	// Who connects and does not ask, or asks and never ends, holds a place that others need. It is owed an
	// error or a close within 3 s.
	firstLimit = 2 * time.Second // from the accept to the last byte of the first request
	readLimit  = 2 * time.Second // from a later request's first byte to its last
	idleLimit  = 3 * time.Second // between two requests
	writeLimit = 3 * time.Second // for an answer
	lingering  = 100 * time.Millisecond
	awayLimit  = 300 * time.Millisecond // to read the request of a client that is turned away

	// When places run short a connection may be closed that has for so long been ...
	silentFor = 50 * time.Millisecond  // open without a byte
	halfFor   = 500 * time.Millisecond // in the middle of a request
	// ... between two requests. Short, for some clients open a connection for each request and keep it:
	// at hundreds a second what rests fills all places long before it is old.
	restedFor = 20 * time.Millisecond

	// After the signal to end, clients still open connections for up to 0.4 s, and use those they have
	// as long as these stay open. Idle ones are closed while a request that crosses with that can still
	// come again, and the rest some time after the last could have been opened.
	closeIdleAfter = 500 * time.Millisecond
	acceptFor      = 800 * time.Millisecond
	closeAllAfter  = 1200 * time.Millisecond

	turnedAwayAtOnce = 8           // clients over the budget being told so
	logEvery         = time.Second // at most one rejection is logged in that time
)

// Server serves the clients of one listener.
type Server struct {
	decider  *decide.Decider
	pool     *upstream.Pool
	budget   *sockets.Budget
	count    *counters.Set
	log      *slog.Logger
	classes  map[string]int
	tenants  map[string]int
	draining atomic.Bool
	away     chan struct{} // a token for each client being turned away

	mu      sync.Mutex
	clients map[*client]struct{}
	open    map[string]int // by id, how many still need it: its request and the attempts that are out
	told    time.Time      // when the last rejection was logged
	untold  int            // rejections since
}

// New returns a Server; classes and tenants are the names in the order of the settings.
func New(d *decide.Decider, p *upstream.Pool, classes, tenants []string, budget *sockets.Budget,
	count *counters.Set, log *slog.Logger) *Server {
	s := &Server{
		decider: d, pool: p, budget: budget, count: count, log: log,
		classes: positions(classes), tenants: positions(tenants),
		away: make(chan struct{}, turnedAwayAtOnce), clients: map[*client]struct{}{}, open: map[string]int{},
	}
	budget.OnShort(sockets.Clients, s.closeOne)
	return s
}

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
			s.log.Warn("accept", "err", err)
			time.Sleep(5 * time.Millisecond)
			continue
		}
		s.count.Accepted.Add()
		if !s.budget.Take(sockets.Clients) {
			s.count.TurnedAway.Add()
			select {
			case s.away <- struct{}{}:
				go s.turnAway(nc)
			default: // waiting for a token would keep all others waiting too
				nc.Close()
			}
			continue
		}
		c := &client{Conn: ring.NewConn(nc), woken: make(chan struct{}, 1), since: time.Now(), idle: true,
			fresh: true}
		s.mu.Lock()
		s.clients[c] = struct{}{}
		s.mu.Unlock()
		go s.serve(c)
		if s.budget.Crowded() {
			s.closeOne()
		}
	}
}

// turnAway reads one request and refuses it: a client that is just cut off could not tell what became
// of its request.
func (s *Server) turnAway(nc net.Conn) {
	defer func() { <-s.away }()
	defer nc.Close()
	c := ring.NewConn(nc)
	c.SetDeadline(time.Now().Add(awayLimit))
	if _, err := http1.ReadRequest(c.In); err != nil {
		return
	}
	(&http1.Response{Status: 503, Close: true}).Write(c.Out)
	c.Flush()
}

// Shutdown answers all that was taken and returns when nothing is owed.
func (s *Server) Shutdown(l net.Listener) {
	s.draining.Store(true)
	began := time.Now()
	for pause := closeIdleAfter; ; pause = 10 * time.Millisecond {
		time.Sleep(pause)
		age, young := time.Since(began), began
		if age >= acceptFor {
			// Until this moment every connection is accepted: one left waiting in the system's queue could
			// hold a request that is ours to answer.
			l.Close()
		}
		if age >= closeAllAfter {
			young = time.Now()
		}
		s.mu.Lock()
		for c := range s.clients {
			if c.since.Before(young) && !c.half {
				s.closeIdle(c)
			}
		}
		left := len(s.clients)
		s.mu.Unlock()
		if left == 0 && age >= closeAllAfter {
			return
		}
	}
}

// closeIdle closes a client's connection on which no request is whole.
func (s *Server) closeIdle(c *client) bool {
	if !c.idle {
		return false
	}
	c.idle = false
	delete(s.clients, c)
	c.Close()
	s.budget.Give(sockets.Clients)
	return true
}

// closeOne closes the connection that can best be done without and gives its place back: one that
// never asked before one that is stuck in a request, and that before one that rests between two.
func (s *Server) closeOne() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for now := time.Now(); ; {
		var worst *client
		most := 0
		for c := range s.clients {
			n := c.spare(now)
			if n > most || n > 0 && n == most && c.since.Before(worst.since) {
				worst, most = c, n
			}
		}
		if worst == nil {
			return false
		}
		if worst.half || worst.Quiet() {
			return s.closeIdle(worst)
		}
		worst.since = now // its request waits in the system and is only not read yet
	}
}

// spare tells how well a connection can be done without, from 0, not at all, up.
func (c *client) spare(now time.Time) int {
	age := now.Sub(c.since)
	switch {
	case !c.idle:
		return 0
	case c.half && age > halfFor:
		return 2
	case !c.half && c.fresh && age > silentFor:
		return 3
	case !c.half && !c.fresh && age > restedFor:
		return 1
	}
	return 0
}

// client is one connection of the application. The server's lock guards all but the first two.
type client struct {
	*ring.Conn
	woken chan struct{}
	since time.Time // in its present state from then on
	idle  bool      // no request is whole; whoever unsets it owns the connection
	half  bool      // but one has begun
	fresh bool      // none ever was
}

// Wait sits in Read until Wake, or until the client closes its side.
func (c *client) Wait() error {
	for {
		// The deadline first: a Wake that comes after this line sets it again, one before has left its
		// token.
		c.SetReadDeadline(time.Time{})
		select {
		case <-c.woken:
			return nil
		default:
		}
		if c.In.Buffered() > 0 { // the next request came early; there is nothing to learn from Read now
			<-c.woken
			return nil
		}
		if _, err := c.In.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
	}
}

// Wake ends Wait.
func (c *client) Wake() {
	select {
	case c.woken <- struct{}{}:
	default:
	}
	c.SetReadDeadline(time.Unix(1, 0))
}

// rest marks the connection as between two requests, begin as in one; begin returns false where the
// connection was closed meanwhile.
func (s *Server) rest(c *client) {
	s.mu.Lock()
	c.idle, c.half, c.fresh, c.since = true, false, false, time.Now()
	s.mu.Unlock()
}

// starts notes the first byte of a request.
func (s *Server) starts(c *client) {
	s.mu.Lock()
	c.half, c.since = true, time.Now()
	s.mu.Unlock()
}

func (s *Server) begin(c *client) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := c.idle
	c.idle = false
	return was
}

func (s *Server) serve(c *client) {
	for s.request(c) {
		s.rest(c)
	}
}

// request serves one request; false means that the connection is closed.
func (s *Server) request(c *client) (again bool) {
	limit := idleLimit
	if c.fresh { // only this goroutine unsets it
		limit = firstLimit
	}
	c.SetReadDeadline(time.Now().Add(limit))
	_, err := c.In.Peek(1)
	silent := err != nil
	arrived := time.Now()
	var q *http1.Request
	if !silent {
		s.starts(c)
		if !c.fresh {
			c.SetReadDeadline(arrived.Add(readLimit))
		}
		q, err = http1.ReadRequest(c.In)
	}
	if !s.begin(c) {
		return false
	}
	defer func() {
		if !again {
			s.mu.Lock()
			delete(s.clients, c)
			s.mu.Unlock()
			c.Close()
			s.budget.Give(sockets.Clients)
		}
	}()
	if silent {
		return false
	}
	if err != nil {
		s.reject(c, err)
		return false
	}
	if !begins(c.In) {
		// The length told does not fit: what was read as a whole request is a part of one.
		s.reject(c, &http1.Malformed{Status: 400, Reason: "more than one request"})
		return false
	}
	answer := s.answer(c, q, arrived)
	if answer == nil {
		return false
	}
	answer.Close = q.Close || s.draining.Load()
	return s.write(c, answer) == nil && !answer.Close
}

// begins tells whether what has already come behind a request can be the start of another.
func begins(r *bufio.Reader) bool {
	b, _ := r.Peek(min(r.Buffered(), len("POST ")))
	return bytes.HasPrefix([]byte("GET /"), b) || bytes.HasPrefix([]byte("POST "), b)
}

func (s *Server) write(c *client, a *http1.Response) error {
	c.SetWriteDeadline(time.Now().Add(writeLimit))
	if err := a.Write(c.Out); err != nil {
		return err
	}
	return c.Flush()
}

// reject answers what is no whole request, as far as there is somebody to answer.
func (s *Server) reject(c *client, err error) {
	status := 0
	var m *http1.Malformed
	switch {
	case errors.As(err, &m):
		status = m.Status
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = 408
	default:
		return
	}
	s.rejected(status, err.Error())
	if s.write(c, plain(status, err.Error(), true)) != nil {
		return
	}
	// A close with unread bytes is a reset, which could overtake the answer.
	if t, ok := c.Conn.Conn.(*net.TCPConn); ok {
		t.CloseWrite()
		c.SetReadDeadline(time.Now().Add(lingering))
		io.CopyN(io.Discard, t, http1.MaxBody)
	}
}

// rejected counts a request that cannot be used. Only some are logged: a client that sends nothing else
// would have the log take the time of all others.
func (s *Server) rejected(status int, reason string) {
	s.count.Invalid.Add()
	now := time.Now()
	s.mu.Lock()
	s.untold++
	n, due := s.untold, now.Sub(s.told) >= logEvery
	if due {
		s.told, s.untold = now, 0
	}
	s.mu.Unlock()
	if due {
		s.log.Warn("requests rejected", "count", n, "last_status", status, "last_err", reason)
	}
}

func plain(status int, text string, ends bool) *http1.Response {
	return &http1.Response{Status: status, Body: []byte(text + "\n"), Close: ends,
		Header: http1.Header{{Name: "Content-Type", Value: "text/plain; charset=utf-8"}}}
}

// answer finds a request's final answer; nil where its client is gone.
func (s *Server) answer(c *client, q *http1.Request, arrived time.Time) *http1.Response {
	if path, _, _ := bytes.Cut([]byte(q.Target), []byte("?")); string(path) == readyPath {
		if s.draining.Load() {
			return plain(503, "ending", true)
		}
		return plain(200, "ready", false)
	}
	r, status, reason := s.parse(q, arrived)
	if status != 0 {
		s.rejected(status, reason)
		return plain(status, reason, false)
	}
	id := q.Header.Get(idField)
	if !s.hold(id, true) {
		s.rejected(409, "id in use")
		return plain(409, "a request with this id is open", false)
	}
	defer s.release(id)
	s.count.Taken.Add()
	return s.run(c, id, r, &http1.Request{Method: q.Method, Target: q.Target, Body: q.Body,
		Header: q.Header.EndToEnd("X-Timeout")})
}

// hold notes that an id is in use once more. As the first use of it, it fails where there is another: what
// is sent under an open id is a second copy to the server, whoever sent it.
func (s *Server) hold(id string, first bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first && s.open[id] > 0 {
		return false
	}
	s.open[id]++
	return true
}

func (s *Server) release(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[id]--; s.open[id] == 0 {
		delete(s.open, id)
	}
}

// try is one attempt with what came of it. Report orders the writing before the reading.
type try struct {
	upstream.Attempt
	out upstream.Outcome
}

// run does what the decisions say until they end the request.
func (s *Server) run(c *client, id string, r decide.Request, message *http1.Request) *http1.Response {
	select {
	case <-c.woken: // left over from the request before
	default:
	}
	call := s.decider.Open(r, c)
	var tries []*try
	for {
		switch step := s.decider.Pick(call); step.Kind {
		case decide.Send:
			t := &try{Attempt: upstream.Attempt{Server: step.Server, Request: message, Until: step.Until}}
			t.Done = func(out upstream.Outcome) {
				t.out = out
				s.release(id)
				s.decider.Report(call, step.Attempt, out.Result, out.Load)
			}
			tries = append(tries, t)
			s.hold(id, false) // it may outlast its client
			s.pool.Start(&t.Attempt)
		case decide.Cancel:
			tries[step.Attempt].Cancel()
		case decide.Answer:
			s.count.Served.Add()
			a := tries[step.Attempt].out.Answer
			return &http1.Response{Status: 200, Body: a.Body, Header: a.Header.EndToEnd("X-Server-Load")}
		case decide.Refuse:
			s.count.Refused.Add()
			a := plain(503, "refused", false)
			if step.Wait > 0 {
				wait := strconv.FormatFloat(step.Wait.Seconds(), 'f', 3, 64)
				a.Header = append(a.Header, http1.Field{Name: "Retry-After", Value: wait})
			}
			return a
		case decide.Fail:
			s.count.Failed.Add()
			if n := len(tries); n > 0 && tries[n-1].out.Result == decide.TimedOut {
				return plain(504, "no answer in time", false)
			}
			return plain(502, "failed", false)
		case decide.Gone:
			s.count.Gone.Add()
			return nil
		}
	}
}
