package upstream

import (
	"errors"
	"os"
	"time"

	"cresshub/internal/bodybudget"
	"cresshub/internal/http1"
)

// streamWaitFactor is how many times Limits.BufferTime the next bytes of a response of unknown length are
// waited for before it is streamed.
const streamWaitFactor = 4

// responseBuffer reads the buffered part of a response's body: all of a small one, the start of one that is
// known to be large, and of one of unknown length what arrives soon. Until something is passed on to the
// client the response may turn out to be broken, and another attempt can be made.
type responseBuffer struct {
	conn     *conn
	attempt  *Attempt
	response *http1.Response
	body     *http1.Body

	reservation bodybudget.Reservation
	mayStream   bool // the rest of the body may be passed on as it comes
	read        int  // bytes of the body read so far
	waitedAt    int  // bytes that had been read when the server was first waited for; -1 before

	began      time.Time     // when its head had been read
	bufferTime time.Duration // Limits.BufferTime
}

// bufferResponse reads the buffered part of a response's body into response.Body. It returns the bytes taken
// from the budget, and whether the rest of the body is streamed.
func (c *conn) bufferResponse(a *Attempt, response *http1.Response, body *http1.Body) (
	reserved int, streaming bool, err error,
) {
	b := responseBuffer{
		conn: c, attempt: a, response: response, body: body, waitedAt: -1,
		reservation: c.pool.bodies.Reservation(body.Length(), http1.MaxBufferedBody),
		mayStream:   response.Status == http1.StatusOK && !a.probe, // only these are passed on to the client
	}
	if body.Complete() || b.reservation.Large() && !b.mayStream {
		return 0, false, nil
	}
	b.began, b.bufferTime = time.Now(), c.pool.limits.Load().BufferTime
	streaming, err = b.fill()
	return b.reservation.Bytes(), streaming, err
}

// fill reads until the body is complete or is to be streamed.
func (b *responseBuffer) fill() (streaming bool, err error) {
	for {
		if b.read == len(b.response.Body) {
			var ok bool
			if b.response.Body, ok = b.reservation.Grow(b.response.Body); !ok {
				return b.mayStream, nil
			}
		}
		if b.mayStream && (b.reservation.Large() || b.body.Length() < 0) && b.awaitTooLong() {
			b.truncate()
			return true, nil
		}
		n, err := b.body.Read(b.response.Body[b.read:])
		b.read += n
		switch {
		case b.body.Complete():
			b.truncate()
			return false, nil
		case err != nil:
			return false, err
		case b.isSlow():
			b.truncate()
			return true, nil
		}
	}
}

// awaitTooLong waits for the next bytes of the body. It returns true if they take so long that what was
// read is passed on. Read reports any other error.
func (b *responseBuffer) awaitTooLong() bool {
	netConn, deadline := b.conn.netConn, b.attempt.Deadline
	for !b.body.Buffered() {
		if b.waitedAt < 0 {
			b.waitedAt = b.read
		}
		until := deadline
		if limit := b.began.Add(streamWaitFactor * b.bufferTime); !b.reservation.Large() && limit.Before(until) {
			until = limit
		}
		netConn.SetReadDeadline(until)
		_, err := netConn.In.Peek(netConn.In.Buffered() + 1) // consumes nothing, so its time-out loses nothing
		netConn.SetReadDeadline(deadline)
		if errors.Is(err, os.ErrDeadlineExceeded) && until.Before(deadline) && b.attempt.ctx.Err() == nil {
			return true
		}
		if err != nil {
			return false
		}
	}
	return false
}

// isSlow reports whether more of the body came after a wait, and the time for buffering it has passed.
func (b *responseBuffer) isSlow() bool {
	return b.waitedAt >= 0 && b.read > b.waitedAt && b.mayStream && time.Since(b.began) > b.bufferTime
}

// truncate cuts the space that was not read into off the response's body.
func (b *responseBuffer) truncate() { b.response.Body = b.response.Body[:b.read] }
