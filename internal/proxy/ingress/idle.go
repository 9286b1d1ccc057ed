package ingress

import (
	"time"

	"cresshub/internal/proxy/config"
	"cresshub/internal/proxy/descriptors"
)

// markIdle marks the connection as idle, or as receiving if bytes of the next request are buffered already:
// other goroutines check only the socket for unread bytes and would miss those.
func (s *Server) markIdle(c *client) {
	buffered := c.HasBuffered()
	s.mu.Lock()
	c.idle, c.receiving, c.unused, c.since = true, buffered, false, time.Now()
	s.mu.Unlock()
}

// markReceiving records that the first byte of a request has arrived.
func (s *Server) markReceiving(c *client) {
	s.mu.Lock()
	c.receiving, c.since = true, time.Now()
	s.mu.Unlock()
}

// takeOwnership marks the connection as owned by its goroutine. It returns false if another goroutine has
// closed the connection.
func (s *Server) takeOwnership(c *client) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasIdle := c.idle
	c.idle = false
	return wasIdle
}

// closeOwned closes a connection that its goroutine owns.
func (s *Server) closeOwned(c *client) {
	s.mu.Lock()
	delete(s.clients, c)
	s.mu.Unlock()
	c.Close()
	s.Descriptors.Release(descriptors.Clients)
}

// closeIdle closes a connection that is idle or receiving. It returns false if the connection's goroutine
// owns it. The caller holds the lock.
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

// The priorities at which a connection is reclaimed, ascending.
const (
	notReclaimable = iota
	reclaimableIdle
	reclaimableStalled
	reclaimableUnused
)

// reclaimPriority returns the priority at which the connection is closed to free its descriptor. The age from
// which idle connections may be closed (ReclaimIdle) is short, because some clients open a connection for
// each request and leave it open: at hundreds a second, idle connections would take all descriptors long
// before IdleTimeout.
func (c *client) reclaimPriority(now time.Time, l *config.Clients) int {
	age := now.Sub(c.since)
	switch {
	case !c.idle:
		return notReclaimable
	case c.receiving && age > l.ReclaimPartial &&
		now.Sub(c.LastReceived()) > l.ReclaimPartial: // a slow request that makes progress is kept
		return reclaimableStalled
	case !c.receiving && c.unused && age > l.ReclaimUnused:
		return reclaimableUnused
	case !c.receiving && !c.unused && age > l.ReclaimIdle:
		return reclaimableIdle
	}
	return notReclaimable
}

// reclaimConnection closes the connection of the highest reclaimPriority, to free its descriptor: one that
// never sent a request before one that stalls within a request, and that before one idle between two
// requests. It returns false if no connection may be closed.
func (s *Server) reclaimConnection() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, limits := time.Now(), s.limits.Load()
	for {
		candidate := s.reclaimCandidate(now, limits)
		if candidate == nil {
			return false
		}
		if candidate.receiving || candidate.SocketQuiet() {
			return s.closeIdle(candidate)
		}
		candidate.since = now // bytes of its next request are unread in the socket, so it is not idle
	}
}

// reclaimCandidate returns the connection of the highest reclaimPriority, and of several the one longest in
// its state; nil if none may be closed. The caller holds the lock.
func (s *Server) reclaimCandidate(now time.Time, limits *config.Clients) *client {
	var candidate *client
	highest := notReclaimable
	for c := range s.clients {
		priority := c.reclaimPriority(now, limits)
		if priority > highest ||
			priority > notReclaimable && priority == highest && c.since.Before(candidate.since) {
			candidate, highest = c, priority
		}
	}
	return candidate
}
