package ingress

import (
	"errors"
	"os"
	"sync/atomic"
	"time"

	"cresshub/internal/connbuffer"
	"cresshub/internal/proxy/config"
	"cresshub/internal/proxy/logging"
)

// client is one connection of the application. The server's lock guards the four behind the first two.
type client struct {
	*connbuffer.Conn
	wakeup chan struct{}

	upload     atomic.Pointer[upload] // being read by an attempt; nil where there is none
	since      time.Time              // in its present state from then on
	idle       bool                   // no request is whole; whoever unsets it owns the connection
	receiving  bool                   // but one has begun
	unused     bool                   // none ever was
	inProgress bool                   // a request that counts as in progress; only its goroutine uses this

	logEntry *logging.RequestEntry // of the request being served, where it is to be logged

	usage      *Usage // of the request being served, where use is counted
	usageClass int
}

// closedPollInterval is how often a client is looked for whose connection cannot be read.
const closedPollInterval = 50 * time.Millisecond

var errPeerClosed = errors.New("the client has ended its sending")

// Wait sits in Read until Wake, or until the client closes its side: a close and the end of its sending alone
// look the same, so whoever wants an answer keeps both open. While an attempt reads the request's body, or
// may begin to, the connection is left alone and only looked at.
func (c *client) Wait() error {
	for u := c.upload.Load(); u != nil; u = c.upload.Load() {
		select {
		case <-c.wakeup:
			return nil
		case <-u.ended:
			if err := u.clientError(); err != nil {
				return err
			}
			c.upload.Store(nil) // before the deadline is set below, or a Wake between would not be heard
		case <-time.After(closedPollInterval):
			if c.PeerClosed() {
				return errPeerClosed
			}
		}
	}
	for {
		// The deadline first: a Wake that comes after this line sets it again, one before has left its
		// token.
		c.SetReadDeadline(time.Time{})
		select {
		case <-c.wakeup:
			return nil
		default:
		}
		buffered := c.In.Buffered() // of the next request, or what a client sends that does not wait for answers
		if buffered < c.In.Size() {
			if _, err := c.In.Peek(buffered + 1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				return err
			}
			continue
		}
		select { // no room to read on
		case <-c.wakeup:
			return nil
		case <-time.After(closedPollInterval):
			if c.PeerClosed() {
				return errPeerClosed
			}
		}
	}
}

// Wake ends Wait.
func (c *client) Wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
	if c.upload.Load() == nil {
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// markIdle marks the connection as between two requests, begin as in one; begin returns false where the
// connection was closed meanwhile. Where the next request was read with the one before it has begun: nothing
// of it waits in the system, where whoever closes what rests would see it.
func (s *Server) markIdle(c *client) {
	waits := c.HasBuffered()
	s.mu.Lock()
	c.idle, c.receiving, c.unused, c.since = true, waits, false, time.Now()
	s.mu.Unlock()
}

// markReceiving notes the first byte of a request.
func (s *Server) markReceiving(c *client) {
	s.mu.Lock()
	c.receiving, c.since = true, time.Now()
	s.mu.Unlock()
}

func (s *Server) claim(c *client) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := c.idle
	c.idle = false
	return was
}

// expendability tells how well a connection can be done without, from 0, not at all, up. The time for those
// that rest is short, for some clients open a connection for each request and keep it: at hundreds a second
// what rests fills all places long before it is old.
func (c *client) expendability(now time.Time, l *config.Clients) int {
	age := now.Sub(c.since)
	switch {
	case !c.idle:
		return 0
	case c.receiving && age > l.ReclaimPartial &&
		now.Sub(c.LastReceived()) > l.ReclaimPartial: // a slow one goes on coming
		return 2
	case !c.receiving && c.unused && age > l.ReclaimSilent:
		return 3
	case !c.receiving && !c.unused && age > l.ReclaimIdle:
		return 1
	}
	return 0
}
