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
	woken chan struct{}

	upload atomic.Pointer[upload] // being read by an attempt; nil where there is none
	since  time.Time              // in its present state from then on
	idle   bool                   // no request is whole; whoever unsets it owns the connection
	half   bool                   // but one has begun
	fresh  bool                   // none ever was
	taken  bool                   // a request that counts as in progress; only its goroutine uses this

	final *logging.Final // of the request being served, where it is to be logged

	use      *Use // of the request being served, where use is counted
	useClass int
}

// lookEvery is how often a client is looked for whose connection cannot be read.
const lookEvery = 50 * time.Millisecond

var errLeft = errors.New("the client has ended its sending")

// Wait sits in Read until Wake, or until the client closes its side: a close and the end of its sending alone
// look the same, so whoever wants an answer keeps both open. While an attempt reads the request's body, or
// may begin to, the connection is left alone and only looked at.
func (c *client) Wait() error {
	for u := c.upload.Load(); u != nil; u = c.upload.Load() {
		select {
		case <-c.woken:
			return nil
		case <-u.over:
			if err := u.gone(); err != nil {
				return err
			}
			c.upload.Store(nil) // before the deadline is set below, or a Wake between would not be heard
		case <-time.After(lookEvery):
			if c.PeerClosed() {
				return errLeft
			}
		}
	}
	for {
		// The deadline first: a Wake that comes after this line sets it again, one before has left its
		// token.
		c.SetReadDeadline(time.Time{})
		select {
		case <-c.woken:
			return nil
		default:
		}
		early := c.In.Buffered() // of the next request, or what a client sends that does not wait for answers
		if early < c.In.Size() {
			if _, err := c.In.Peek(early + 1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				return err
			}
			continue
		}
		select { // no room to read on
		case <-c.woken:
			return nil
		case <-time.After(lookEvery):
			if c.PeerClosed() {
				return errLeft
			}
		}
	}
}

// Wake ends Wait.
func (c *client) Wake() {
	select {
	case c.woken <- struct{}{}:
	default:
	}
	if c.upload.Load() == nil {
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// rest marks the connection as between two requests, begin as in one; begin returns false where the
// connection was closed meanwhile. Where the next request was read with the one before it has begun: nothing
// of it waits in the system, where whoever closes what rests would see it.
func (s *Server) rest(c *client) {
	waits := c.HasBuffered()
	s.mu.Lock()
	c.idle, c.half, c.fresh, c.since = true, waits, false, time.Now()
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

// spare tells how well a connection can be done without, from 0, not at all, up. The time for those that
// rest is short, for some clients open a connection for each request and keep it: at hundreds a second what
// rests fills all places long before it is old.
func (c *client) spare(now time.Time, l *config.Clients) int {
	age := now.Sub(c.since)
	switch {
	case !c.idle:
		return 0
	case c.half && age > l.Half && now.Sub(c.LastReceived()) > l.Half: // a slow one goes on coming
		return 2
	case !c.half && c.fresh && age > l.Silent:
		return 3
	case !c.half && !c.fresh && age > l.Rested:
		return 1
	}
	return 0
}
