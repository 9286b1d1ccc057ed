package ingress

import (
	"net"
	"time"

	"cresshub/internal/proxy/drain"
)

// sweepInterval is how often a draining server looks for connections to close.
const sweepInterval = 10 * time.Millisecond

// Serving reports whether clients are accepted; /health/ready says the same.
func (s *Server) Serving() bool { return s.drain.Load().Serving() }

// ShuttingDown reports whether Shutdown was called.
func (s *Server) ShuttingDown() bool { return s.drain.Load().ShuttingDown() }

// closesAfterResponse reports whether a client's connection is to end with its present response. If it has
// sent more behind its request, which must be answered too, the connection stays open for a while.
func (s *Server) closesAfterResponse(c *client) bool {
	d := s.drain.Load()
	return !d.Serving() && (d.Plan(time.Now(), s.DrainTimes()).LastResponse || c.Quiet())
}

// LameDuck begins or ends a drain without a shutdown; it returns at once. Everything that arrives is still
// answered.
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

// closeIdleLoop closes the connections that a drain is due to close, until it ends or Shutdown does the same.
func (s *Server) closeIdleLoop() {
	for ; ; time.Sleep(sweepInterval) {
		s.mu.Lock()
		if d := s.drain.Load(); d.Serving() || d.ShuttingDown() {
			s.closingIdle = false
			s.mu.Unlock()
			return
		}
		s.closeBefore(s.drain.Load().Plan(time.Now(), s.DrainTimes()))
		s.mu.Unlock()
	}
}

// Shutdown drains for good: it answers everything that was accepted and returns once no connection is left
// and Serve has returned, which may have accepted one that it has not admitted yet.
// After the signal to end clients still open connections for a while, and use those they have while these
// stay open. So idle ones are closed while a client can still retry a request that crosses with that, and the
// others some time after the last could have been opened.
func (s *Server) Shutdown(l net.Listener) {
	s.mu.Lock()
	next := s.drain.Load().Shutdown(time.Now())
	s.drain.Store(&next)
	s.mu.Unlock()
	for ; ; time.Sleep(sweepInterval) {
		p := s.drain.Load().Plan(time.Now(), s.DrainTimes())
		if p.StopAccepting {
			// Until this moment every connection is accepted: one left in the kernel's backlog could hold a
			// request that must be answered.
			l.Close()
		}
		s.mu.Lock()
		s.closeBefore(p)
		left := len(s.clients) + s.accepting
		s.mu.Unlock()
		if left == 0 && p.MayExit && len(s.rejecting) == 0 {
			return
		}
	}
}

// closeBefore closes the connections that a plan says. One whose next request has arrived and is not read yet
// is left alone: it is about to be served. The lock is held.
func (s *Server) closeBefore(p drain.Plan) {
	for c := range s.clients {
		switch {
		case !c.idle:
		case c.receiving && c.since.Before(p.PartialBefore) && c.Still():
			c.SetReadDeadline(pastDeadline) // its own goroutine then responds with an error
		case !c.receiving && c.since.Before(p.IdleBefore) && c.Still():
			s.closeIdle(c)
		}
	}
}
