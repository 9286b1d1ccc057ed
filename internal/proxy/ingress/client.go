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

// client is one connection of the application. It is the dispatch.Waiter of its requests.
type client struct {
	*connbuffer.Conn
	wakeup chan struct{}          // holds a token after Wake
	upload atomic.Pointer[upload] // that an attempt reads or may read; nil if there is none

	// The server's lock guards these.
	since     time.Time // when the present state began
	idle      bool      // no request is complete; whoever unsets it owns the connection
	receiving bool      // idle, but a request has begun
	unused    bool      // no request was ever served

	// These belong to the connection's goroutine.
	inProgress bool                  // the request counts as in progress
	logEntry   *logging.RequestEntry // of the request being served; nil if it is not logged
	usage      *Usage                // of the request being served; nil where usage is not counted
}

// closedPollInterval is how often a connection that can't be read is checked for whether its peer closed it.
const closedPollInterval = 50 * time.Millisecond

// pastDeadline is a read deadline that wakes a goroutine from Read at once.
var pastDeadline = time.Unix(1, 0)

var errPeerClosed = errors.New("the client has closed its sending side")

// Wait waits in Read until Wake, or until the client closes its side: a close and the end of its sending
// alone look the same, so whoever wants a response keeps both open. While an attempt reads the request's
// body, or may begin to, the connection is not read but checked now and then.
func (c *client) Wait() error {
	for u := c.upload.Load(); u != nil; u = c.upload.Load() {
		if woken, err := c.awaitUpload(u); woken || err != nil {
			return err
		}
	}
	for {
		// The deadline first: a Wake that comes after this line sets it again, one before it has left its token.
		c.SetReadDeadline(time.Time{})
		select {
		case <-c.wakeup:
			return nil
		default:
		}
		buffered := c.In.Buffered() // of the next request, or of what a client sends without waiting
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

// awaitUpload waits for Wake, the end of the upload or a poll interval, whichever comes first.
func (c *client) awaitUpload(u *upload) (woken bool, err error) {
	select {
	case <-c.wakeup:
		return true, nil
	case <-u.ended:
		if err := u.clientError(); err != nil {
			return false, err
		}
		c.upload.Store(nil) // before Wait sets the deadline, or a Wake between would be lost
	case <-time.After(closedPollInterval):
		if c.PeerClosed() {
			return false, errPeerClosed
		}
	}
	return false, nil
}

// Wake ends Wait.
func (c *client) Wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
	if c.upload.Load() == nil {
		c.SetReadDeadline(pastDeadline)
	}
}

// read reads the next bytes of a request's body, for which the client has the time stall. Of a chunked body
// what is buffered may be no more than the end of a chunk.
func (c *client) read(body *http1.Body, p []byte, stall time.Duration) (int, error) {
	if c.In.Buffered() == 0 || body.Length() < 0 {
		c.SetReadDeadline(time.Now().Add(stall))
	}
	return body.Read(p)
}
