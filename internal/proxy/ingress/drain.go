package ingress

import (
	"net"
	"time"

	"cresshub/internal/proxy/descriptors"
	"cresshub/internal/proxy/drain"
)

// sweepInterval is how often a drain looks for connections to close.
const sweepInterval = 10 * time.Millisecond

// Serving tells whether clients are taken; /health/ready says the same.
func (s *Server) Serving() bool { return s.drain.Load().Serving() }

// Ending tells whether Shutdown was called.
func (s *Server) Ending() bool { return s.drain.Load().Ending() }

// closesAfterResponse tells whether a client's connection ends with its present answer, as far as we have a say in
// it. What it has sent behind its request is ours to answer, so where there is such it stays open for a
// while.
func (s *Server) closesAfterResponse(c *client) bool {
	d := s.drain.Load()
	return !d.Serving() && (d.Plan(time.Now(), s.Drain()).LastResponse || c.Quiet())
}

// LameDuck sends clients away for a while, or takes them again; it returns at once. Everything that comes is
// still answered.
func (s *Server) LameDuck(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.drain.Load().LameDuck(on, time.Now())
	s.drain.Store(&next)
	if on && !s.closingIdle {
		s.closingIdle = true
		go s.closeIdleLoop()
	}
}

// closeIdleLoop closes what a drain has come to close until clients are taken again, or Shutdown does it.
func (s *Server) closeIdleLoop() {
	for ; ; time.Sleep(sweepInterval) {
		s.mu.Lock()
		if d := s.drain.Load(); d.Serving() || d.Ending() {
			s.closingIdle = false
			s.mu.Unlock()
			return
		}
		s.closeBefore(s.drain.Load().Plan(time.Now(), s.Drain()))
		s.mu.Unlock()
	}
}

// Shutdown answers all that was taken and returns when nothing is owed. After the signal to end, clients
// still open connections for a while, and use those they have as long as these stay open. Idle ones are
// closed while a request that crosses with that can still come again, and the rest some time after the
// last could have been opened.
func (s *Server) Shutdown(l net.Listener) {
	s.mu.Lock()
	next := s.drain.Load().End(time.Now())
	s.drain.Store(&next)
	s.mu.Unlock()
	for ; ; time.Sleep(sweepInterval) {
		p := s.drain.Load().Plan(time.Now(), s.Drain())
		if p.StopAccepting {
			// Until this moment every connection is accepted: one left waiting in the system's queue could
			// hold a request that is ours to answer.
			l.Close()
		}
		s.mu.Lock()
		s.closeBefore(p)
		left := len(s.clients)
		s.mu.Unlock()
		if left == 0 && p.MayExit && len(s.rejecting) == 0 {
			return
		}
	}
}

// closeBefore closes what a plan says; the lock is held. One whose next request waits in the system, not
// read yet, is left alone: it is about to be served.
func (s *Server) closeBefore(p drain.Plan) {
	for c := range s.clients {
		switch {
		case !c.idle:
		case c.receiving && c.since.Before(p.PartialBefore):
			c.SetReadDeadline(time.Unix(1, 0)) // its own goroutine tells it why
		case !c.receiving && c.since.Before(p.IdleBefore) && c.Still():
			s.closeIdle(c)
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
	s.Budget.Release(descriptors.Clients)
	return true
}
