package ingress

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/proxy/dispatch"
)

const (
	// initialReservation is what is taken at first for a body of unknown length.
	initialReservation = 2 << 10
	// largeBodyStart of a large body is there with so much of it: a client whose length is a lie sends less, and
	// costs no server anything.
	largeBodyStart = 4 << 10
)

// bufferBody reads a request's body as far as it is kept for another attempt: all of a small one, the
// beginning of one that is known to be large, or what the budget for bodies has room for. held is what it
// took from that.
func (s *Server) bufferBody(c *client, q *http1.Request, body *http1.Body) (reserved int, err error) {
	if body.Complete() {
		return 0, nil
	}
	if q.ExpectsContinue && c.In.Buffered() == 0 { // what waits was sent without asking
		c.SetWriteDeadline(time.Now().Add(s.limits.Load().WriteTimeout))
		http1.WriteContinue(c.Out)
		if err := c.Flush(); err != nil {
			return 0, err
		}
	}
	q.Length = body.Length()
	large, size := q.Length > http1.MaxBufferedBody, initialReservation
	if large {
		size = largeBodyStart
	} else if q.Length > 0 {
		size = int(q.Length)
	}
	for n := 0; ; {
		if n == len(q.Body) {
			if n > 0 {
				size = min(2*n, http1.MaxBufferedBody)
			}
			if n == http1.MaxBufferedBody || large && n == largeBodyStart || !s.Bodies.Reserve(size-n) {
				return reserved, nil
			}
			reserved += size - n
			q.Body = append(make([]byte, 0, size), q.Body...)[:size]
		}
		m, err := c.read(body, q.Body[n:], s.limits.Load().StallTimeout)
		n += m
		if body.Complete() {
			q.Body, q.Length = q.Body[:n], 0
			return reserved, nil
		}
		if err != nil {
			return reserved, err
		}
	}
}

// read reads of a body, which may make no progress for so long. Of one in chunks what is here already may be
// the end of a chunk alone.
func (c *client) read(body *http1.Body, p []byte, stall time.Duration) (int, error) {
	if c.In.Buffered() == 0 || body.Length() < 0 {
		c.SetReadDeadline(time.Now().Add(stall))
	}
	return body.Read(p)
}

// upload is the part of a request's body that is not kept. One attempt reads it; while it does, the request's
// own goroutine keeps off the connection.
type upload struct {
	server  *Server
	client  *client
	body    *http1.Body
	call    *dispatch.Call
	timeout time.Duration // the client waits for an answer so long from its last byte on

	claimed atomic.Bool // an attempt reads it
	// whether it counts as in progress; the last byte and the end may come in either order
	progress atomic.Int32
	ended    chan struct{} // closed when the body has ended
	err      error         // why it ended, io.EOF where it is whole; set before over closes
}

const (
	uploadPending = iota
	uploadCounted
	uploadEnded
)

// attemptUpload is an upload as one attempt has it. Of two that are out at once the first to begin reads it.
type attemptUpload struct {
	*upload
	attempt int
}

// Begins says that from here on there can be no other attempt; false where another one has begun.
func (u attemptUpload) Claim() bool {
	if !u.claimed.CompareAndSwap(false, true) {
		return false
	}
	u.server.Decider.BodyConsumed(u.call)
	return true
}

func (u *upload) Read(p []byte) (int, error) {
	if u.err != nil {
		return 0, u.err
	}
	n, err := u.client.read(u.body, p, u.server.limits.Load().StallTimeout)
	if err != nil {
		u.err = err
		close(u.ended)
	}
	return n, err
}

// Sent says that the server has the last byte; the request's time begins.
func (u attemptUpload) Sent() time.Time {
	if u.server.onBodySent != nil {
		u.server.onBodySent()
	}
	if u.progress.CompareAndSwap(uploadPending, uploadCounted) {
		u.server.Stats.InProgress.Add(1)
	}
	return u.server.Decider.BodySent(u.call, u.attempt, time.Now().Add(u.timeout))
}

// countOut counts it out.
func (u *upload) countOut() {
	if u.progress.Swap(uploadEnded) == uploadCounted {
		u.server.Stats.InProgress.Add(-1)
	}
}

// malformed is the error of a body that made no sense; nil where it did, or was not read.
func (u *upload) malformed() error {
	select {
	case <-u.ended:
		if errors.As(u.err, new(*http1.MalformedError)) {
			return u.err
		}
	default:
	}
	return nil
}

// clientError is the error that shows that the client has left; nil where the body is whole.
func (u *upload) clientError() error {
	if u.err == io.EOF {
		return nil
	}
	return u.err
}
