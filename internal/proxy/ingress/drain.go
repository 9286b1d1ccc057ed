package ingress

import (
	"net"
	"time"

	"cresshub/internal/proxy/drain"
)

// sweepInterval is how often a draining server checks which connections it has to close.
const sweepInterval = 10 * time.Millisecond

// Serving reports whether no drain is on, which /health/ready tells clients too.
func (s *Server) Serving() bool { return s.drain.Load().Serving() }

// ShuttingDown reports whether Shutdown has been called.
func (s *Server) ShuttingDown() bool { return s.drain.Load().ShuttingDown() }

// closesAfterResponse reports whether a drain closes the connection after its current response. If the client
// has already sent more bytes, as with a pipelined request, the connection stays open for these, unless the
// drain's plan sets LastResponse.
func (s *Server) closesAfterResponse(c *client) bool {
	d := s.drain.Load()
	return !d.Serving() && (d.Plan(time.Now(), s.DrainTimes()).LastResponse || c.Quiet())
}

// LameDuck begins or ends a drain without a shutdown, and returns at once. Requests that arrive during the
// drain are still served.
func (s *Server) LameDuck(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.drain.Load().LameDuck(on, time.Now())
	s.drain.Store(&next)
	if on && !s.closeIdleLoopRunning {
		s.closeIdleLoopRunning = true
		go s.closeIdleLoop()
	}
}

// closeIdleLoop closes the connections that a lame duck drain is due to close, until the drain ends or
// Shutdown takes over.
func (s *Server) closeIdleLoop() {
	for ; ; time.Sleep(sweepInterval) {
		s.mu.Lock()
		if d := s.drain.Load(); d.Serving() || d.ShuttingDown() {
			s.closeIdleLoopRunning = false
			s.mu.Unlock()
			return
		}
		s.closeDue(s.drain.Load().Plan(time.Now(), s.DrainTimes()))
		s.mu.Unlock()
	}
}

// Shutdown drains for the rest of the process's life: every request on an accepted connection gets its
// response. Shutdown returns once no connection is left and Serve has returned, as Serve may have accepted a
// connection that it has not admitted yet.
//
// After the shutdown signal, clients go on opening connections for a while, and using the ones they have. So
// idle connections are closed early, while a client whose request crosses with the close can still retry it
// on a new connection; the others are closed some time after the last connection could have been opened.
func (s *Server) Shutdown(l net.Listener) {
	s.mu.Lock()
	next := s.drain.Load().Shutdown(time.Now())
	s.drain.Store(&next)
	s.mu.Unlock()
	for ; ; time.Sleep(sweepInterval) {
		p := s.drain.Load().Plan(time.Now(), s.DrainTimes())
		if p.StopAccepting {
			// Every connection is accepted up to this moment, since one left in the kernel's backlog could
			// hold a request, which would get no response.
			l.Close()
		}
		s.mu.Lock()
		s.closeDue(p)
		left := len(s.clients) + s.accepting
		s.mu.Unlock()
		if left == 0 && p.MayExit && len(s.rejecting) == 0 {
			return
		}
	}
}

// closeDue closes the idle connections that are due by the plan, and ends the wait for incomplete requests
// that are due. A connection with unread bytes in its socket is kept, because its goroutine is about to read
// them. The caller holds the lock.
func (s *Server) closeDue(p drain.Plan) {
	for c := range s.clients {
		switch {
		case !c.idle:
		case c.receiving && c.since.Before(p.PartialBefore) && c.SocketQuiet():
			c.SetReadDeadline(pastDeadline) // the connection's goroutine then responds with an error
		case !c.receiving && c.since.Before(p.IdleBefore) && c.SocketQuiet():
			s.closeIdle(c)
		}
	}
}
