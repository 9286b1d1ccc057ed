package ingress

import (
	"errors"
	"os"
	"sync/atomic"
	"time"

	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
	"cresshub/internal/proxy/logging"
)

// client is the server's end of one client connection. It is the dispatch.Waiter of its requests.
type client struct {
	*connbuffer.Conn
	wakeup chan struct{}          // holds a token after Wake until Wait consumes it
	upload atomic.Pointer[upload] // unbuffered part of the request's body, until it has ended; nil if none

	// Server.mu guards these fields.
	since     time.Time // when the current state began
	idle      bool      // not owned; the goroutine that clears it owns the connection
	receiving bool      // if idle: a request has begun but is incomplete
	unused    bool      // no request was ever served

	// Only the connection's goroutine uses these fields.
	inProgress bool                  // the request is counted in Stats.InProgress
	logEntry   *logging.RequestEntry // of the current request; nil if it is not logged
	usage      *Usage                // of the current request; nil if usage is not counted
}

// closedPollInterval is how often Wait checks whether the client has disconnected, while it can't detect this
// by reading.
const closedPollInterval = 50 * time.Millisecond

// pastDeadline is a read deadline that makes a blocked Read return at once.
var pastDeadline = time.Unix(1, 0)

var errPeerClosed = errors.New("client closed its sending side")

// Wait blocks until Wake is called, or returns an error once the client has disconnected. It detects this by
// reading the connection; what it reads stays in the buffer. A client that closes only its sending side
// counts as disconnected, as a full close looks the same: clients keep both sides open until they have the
// response. While an attempt reads the request's body, or may begin to, Wait doesn't read but polls the
// connection.
func (c *client) Wait() error {
	for u := c.upload.Load(); u != nil; u = c.upload.Load() {
		if woken, err := c.awaitUpload(u); woken || err != nil {
			return err
		}
	}
	for {
		// The deadline is cleared before the token is checked: a Wake after this line sets the deadline again,
		// and one before it has left its token.
		c.SetReadDeadline(time.Time{})
		select {
		case <-c.wakeup:
			return nil
		default:
		}
		buffered := c.In.Buffered() // bytes of pipelined requests
		if buffered < c.In.Size() {
			if _, err := c.In.Peek(buffered + 1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				return err
			}
			continue
		}
		select { // the buffer is full
		case <-c.wakeup:
			return nil
		case <-time.After(closedPollInterval):
			if c.PeerClosed() {
				return errPeerClosed
			}
		}
	}
}

// awaitUpload waits for Wake, the end of the upload or a poll interval, whichever comes first. It returns an
// error if the upload was aborted or the client has disconnected.
func (c *client) awaitUpload(u *upload) (woken bool, err error) {
	select {
	case <-c.wakeup:
		return true, nil
	case <-u.ended:
		if err := u.clientError(); err != nil {
			return false, err
		}
		c.upload.Store(nil) // before Wait clears the deadline: a later Wake must set it
	case <-time.After(closedPollInterval):
		if c.PeerClosed() {
			return false, errPeerClosed
		}
	}
	return false, nil
}

// Wake makes the current or else the next Wait return. It never blocks.
func (c *client) Wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
	if c.upload.Load() == nil {
		c.SetReadDeadline(pastDeadline)
	}
}

// read reads the next bytes of a request's body, for which it waits stallTimeout at most. No deadline is set
// if bytes are buffered, except for a chunked body, of which the buffered bytes may be just the end of a
// chunk.
func (c *client) read(body *http1.Body, p []byte, stallTimeout time.Duration) (int, error) {
	if c.In.Buffered() == 0 || body.Length() < 0 {
		c.SetReadDeadline(time.Now().Add(stallTimeout))
	}
	return body.Read(p)
}
