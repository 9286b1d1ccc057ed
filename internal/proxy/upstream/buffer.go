package upstream

import (
	"errors"
	"os"
	"time"

	"cresshub/internal/http1"
)

const (
	// initialReservation is what is reserved first for a response of unknown length, in bytes.
	initialReservation = 2 << 10
	// largeBodyStart is how many bytes of a large response are read before it counts as served: one whose
	// Content-Length is wrong often ends earlier.
	largeBodyStart = 4 << 10
	// streamWaitFactor is how many times Limits.BufferTime the next bytes of a response of unknown length are
	// waited for before it is streamed.
	streamWaitFactor = 4
)

// responseBuffer reads the buffered part of a response's body: all of a small one, the start of one that is
// known to be large, and of one of unknown length what arrives soon. Until something is passed on to the
// client the response may turn out to be broken, and another attempt can be made.
type responseBuffer struct {
	conn     *conn
	attempt  *Attempt
	response *http1.Response
	body     *http1.Body

	mayStream bool // the rest of the body may be passed on as it comes
	large     bool // the length is known and beyond http1.MaxBufferedBody
	size      int  // of the next reservation
	read      int  // bytes of the body read so far
	reserved  int  // bytes taken from the budget
	waitedAt  int  // bytes that had been read when the server was first waited for; -1 before

	began      time.Time
	bufferTime time.Duration
}

// bufferResponse reads the buffered part of a response's body into response.Body. It returns the bytes taken
// from the budget, and whether the rest of the body is streamed.
func (c *conn) bufferResponse(a *Attempt, response *http1.Response, body *http1.Body) (
	reserved int, streaming bool, err error,
) {
	b := responseBuffer{
		conn: c, attempt: a, response: response, body: body, waitedAt: -1, size: initialReservation,
		mayStream: response.Status == 200 && !a.probe, // other large responses are not worth passing on
		large:     body.Length() > http1.MaxBufferedBody,
	}
	if body.Complete() || b.large && !b.mayStream {
		return 0, false, nil
	}
	switch {
	case b.large:
		b.size = largeBodyStart
	case body.Length() >= 0:
		b.size = int(body.Length())
	}
	b.began, b.bufferTime = time.Now(), c.pool.limits.Load().BufferTime
	streaming, err = b.fill()
	return b.reserved, streaming, err
}

// fill reads until the body is complete or is to be streamed.
func (b *responseBuffer) fill() (streaming bool, err error) {
	for {
		if b.read == len(b.response.Body) && !b.grow() {
			return b.mayStream, nil
		}
		if b.mayStream && (b.large || b.body.Length() < 0) && b.awaitTooLong() {
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

// grow makes room for more of the body; false where nothing more is buffered.
func (b *responseBuffer) grow() bool {
	if b.read > 0 {
		b.size = min(2*b.read, http1.MaxBufferedBody)
	}
	if b.read == http1.MaxBufferedBody || b.large && b.read == largeBodyStart ||
		!b.conn.pool.bodies.Reserve(b.size-b.read) {
		return false
	}
	b.reserved += b.size - b.read
	b.response.Body = append(make([]byte, 0, b.size), b.response.Body...)[:b.size]
	return true
}

// awaitTooLong waits for the next bytes of the body. It returns true where they take so long that what was
// read is passed on. Read reports any other error.
func (b *responseBuffer) awaitTooLong() bool {
	netConn, giveUpAt := b.conn.netConn, b.attempt.GiveUpAt
	for !b.body.Buffered() {
		if b.waitedAt < 0 {
			b.waitedAt = b.read
		}
		until := giveUpAt
		if limit := b.began.Add(streamWaitFactor * b.bufferTime); !b.large && limit.Before(until) {
			until = limit
		}
		netConn.SetReadDeadline(until)
		_, err := netConn.In.Peek(netConn.In.Buffered() + 1) // consumes nothing, so its time-out loses nothing
		netConn.SetReadDeadline(giveUpAt)
		if errors.Is(err, os.ErrDeadlineExceeded) && until.Before(giveUpAt) && b.attempt.ctx.Err() == nil {
			return true
		}
		if err != nil {
			return false
		}
	}
	return false
}

// isSlow reports whether the body goes on after a wait, beyond the time for buffering it.
func (b *responseBuffer) isSlow() bool {
	return b.waitedAt >= 0 && b.read > b.waitedAt && b.mayStream && time.Since(b.began) > b.bufferTime
}

func (b *responseBuffer) truncate() { b.response.Body = b.response.Body[:b.read] }
