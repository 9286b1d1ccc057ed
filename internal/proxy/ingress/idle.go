package ingress

import (
	"time"

	"cresshub/internal/proxy/config"
	"cresshub/internal/proxy/descriptors"
)

// markIdle marks the connection as between two requests. Where bytes of the next request are buffered already
// that one has begun: others, who look at the socket, would not see it.
func (s *Server) markIdle(c *client) {
	buffered := c.HasBuffered()
	s.mu.Lock()
	c.idle, c.receiving, c.unused, c.since = true, buffered, false, time.Now()
	s.mu.Unlock()
}

// markReceiving records the first byte of a request.
func (s *Server) markReceiving(c *client) {
	s.mu.Lock()
	c.receiving, c.since = true, time.Now()
	s.mu.Unlock()
}

// claim marks the connection as owned by its goroutine; false where somebody closed it meanwhile.
func (s *Server) claim(c *client) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasIdle := c.idle
	c.idle = false
	return wasIdle
}

// closeClaimed closes a connection that its goroutine owns.
func (s *Server) closeClaimed(c *client) {
	s.mu.Lock()
	delete(s.clients, c)
	s.mu.Unlock()
	c.Close()
	s.Budget.Release(descriptors.Clients)
}

// closeIdle closes a connection that is idle or receiving; false where its goroutine owns it. The lock is
// held.
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

// How well a connection can be done without, from least to most.
const (
	notExpendable = iota
	expendableIdle
	expendableStalled
	expendableUnused
)

// expendability tells how well the connection can be done without. The limit for idle ones is short, for some
// clients open a connection for each request and leave it open: at hundreds a second idle connections take
// all descriptors long before they are old.
func (c *client) expendability(now time.Time, l *config.Clients) int {
	age := now.Sub(c.since)
	switch {
	case !c.idle:
		return notExpendable
	case c.receiving && age > l.ReclaimPartial &&
		now.Sub(c.LastReceived()) > l.ReclaimPartial: // a slow one still makes progress
		return expendableStalled
	case !c.receiving && c.unused && age > l.ReclaimSilent:
		return expendableUnused
	case !c.receiving && !c.unused && age > l.ReclaimIdle:
		return expendableIdle
	}
	return notExpendable
}

// closeMostExpendable closes the connection that can best be done without, to free its descriptor: one that
// never sent a request before one that stalls within a request, and that before one between two requests. It
// returns false where there is none.
func (s *Server) closeMostExpendable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for now, limits := time.Now(), s.limits.Load(); ; {
		candidate := s.mostExpendable(now, limits)
		if candidate == nil {
			return false
		}
		if candidate.receiving || candidate.Still() {
			return s.closeIdle(candidate)
		}
		candidate.since = now // its request has arrived and is only not read yet
	}
}

// mostExpendable is the connection that can best be done without, of several the one longest in its state;
// nil where there is none. The lock is held.
func (s *Server) mostExpendable(now time.Time, limits *config.Clients) *client {
	var candidate *client
	highest := notExpendable
	for c := range s.clients {
		e := c.expendability(now, limits)
		if e > highest || e > notExpendable && e == highest && c.since.Before(candidate.since) {
			candidate, highest = c, e
		}
	}
	return candidate
}
