package upstream

import (
	"errors"
	"os"
	"time"

	"cresshub/internal/bodybudget"
	"cresshub/internal/http1"
)

// streamWaitFactor times Limits.BufferTime is how long after its head a response of unknown length is
// buffered if its next bytes don't arrive. Then it is streamed.
const streamWaitFactor = 4

// responseBuffer reads the buffered part of a response's body: all of a small body, the start of one that is
// known to be large, and what arrives soon of one of unknown length. As long as nothing has been forwarded to
// the client, a response that turns out to be broken can be replaced by that of another attempt.
type responseBuffer struct {
	conn     *conn
	attempt  *Attempt
	response *http1.Response
	body     *http1.Body

	reservation     bodybudget.Reservation
	mayStream       bool // the rest of the body may be streamed to the client
	read            int  // bytes of the body read so far
	readAtFirstWait int  // value of read when it first waited for the server; -1 before

	headReadAt time.Time     // when the response's head had been read
	bufferTime time.Duration // Limits.BufferTime
}

// bufferResponse reads the buffered part of a response's body into response.Body. It returns the number of
// bytes taken from the budget for bodies, and whether the rest of the body is to be streamed.
func (c *conn) bufferResponse(a *Attempt, response *http1.Response, body *http1.Body) (
	reserved int, streaming bool, err error,
) {
	b := responseBuffer{
		conn: c, attempt: a, response: response, body: body, readAtFirstWait: -1,
		reservation: c.pool.bodies.Reservation(body.Length(), http1.MaxBufferedBody),
		mayStream:   response.Status == http1.StatusOK && !a.probe, // other bodies are not forwarded
	}
	if body.Complete() || b.reservation.Large() && !b.mayStream {
		return 0, false, nil
	}
	b.headReadAt, b.bufferTime = time.Now(), c.pool.limits.Load().BufferTime
	streaming, err = b.fill()
	return b.reservation.Bytes(), streaming, err
}

// fill reads until the body is complete or the rest of it is to be streamed.
func (b *responseBuffer) fill() (streaming bool, err error) {
	for {
		if b.read == len(b.response.Body) {
			var ok bool
			if b.response.Body, ok = b.reservation.Grow(b.response.Body); !ok {
				return b.mayStream, nil
			}
		}
		if b.mayStream && (b.reservation.Large() || b.body.Length() < 0) && b.waitTimedOut() {
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
		case b.shouldStream():
			b.truncate()
			return true, nil
		}
	}
}

// waitTimedOut waits for the next bytes of the body and returns true if they don't arrive in time, so that
// the response must be streamed. It returns false when bytes have arrived, and on any other error, which the
// next Read returns.
func (b *responseBuffer) waitTimedOut() bool {
	netConn, deadline := b.conn.netConn, b.attempt.Deadline
	for !b.body.Buffered() {
		if b.readAtFirstWait < 0 {
			b.readAtFirstWait = b.read
		}
		until := deadline
		if limit := b.headReadAt.Add(streamWaitFactor * b.bufferTime); !b.reservation.Large() &&
			limit.Before(until) {
			until = limit
		}
		netConn.SetReadDeadline(until)
		_, err := netConn.In.Peek(netConn.In.Buffered() + 1) // consumes nothing, so a timeout loses no bytes
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

// shouldStream reports whether the body may be streamed, more of it arrived after a wait, and bufferTime has
// passed since the head was read.
func (b *responseBuffer) shouldStream() bool {
	return b.readAtFirstWait >= 0 && b.read > b.readAtFirstWait && b.mayStream &&
		time.Since(b.headReadAt) > b.bufferTime
}

// truncate shortens response.Body to the bytes that have been read.
func (b *responseBuffer) truncate() { b.response.Body = b.response.Body[:b.read] }
