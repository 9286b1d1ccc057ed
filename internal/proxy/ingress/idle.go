package ingress

import (
	"time"

	"cresshub/internal/proxy/config"
	"cresshub/internal/proxy/descriptors"
)

// markIdle marks the connection as between two requests, or as receiving if bytes of the next request are
// buffered already: other goroutines check only the socket and would not notice those.
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

// claim marks the connection as owned by its goroutine; false if another goroutine has closed it meanwhile.
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
	s.Descriptors.Release(descriptors.Clients)
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
	s.Descriptors.Release(descriptors.Clients)
	return true
}

// The degrees of expendability of a connection, ascending.
const (
	notExpendable = iota
	expendableIdle
	expendableStalled
	expendableUnused
)

// expendability returns how readily the connection may be closed to free its descriptor. The limit for idle
// ones is short, because some clients open a connection for each request and leave it open: at hundreds a
// second, idle connections would take all descriptors long before they time out.
func (c *client) expendability(now time.Time, l *config.Clients) int {
	age := now.Sub(c.since)
	switch {
	case !c.idle:
		return notExpendable
	case c.receiving && age > l.ReclaimPartial &&
		now.Sub(c.LastReceived()) > l.ReclaimPartial: // a slow one still makes progress
		return expendableStalled
	case !c.receiving && c.unused && age > l.ReclaimUnused:
		return expendableUnused
	case !c.receiving && !c.unused && age > l.ReclaimIdle:
		return expendableIdle
	}
	return notExpendable
}

// closeMostExpendable closes the most expendable connection, to free its descriptor: one that
// never sent a request before one that stalls within a request, and that before one between two requests. It
// returns false if there is none.
func (s *Server) closeMostExpendable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, limits := time.Now(), s.limits.Load()
	for {
		candidate := s.mostExpendable(now, limits)
		if candidate == nil {
			return false
		}
		if candidate.receiving || candidate.Still() {
			return s.closeIdle(candidate)
		}
		candidate.since = now // its next request has arrived but was not read yet
	}
}

// mostExpendable returns the most expendable connection, of several the one longest in its state; nil if none
// is expendable. The lock is held.
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
