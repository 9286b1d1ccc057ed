package upstream

import (
	"context"
	"errors"
	"io"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/proxy/dispatch"
	"cresshub/internal/stallclock"
)

// exchange sends one request and reads its response, or the buffered part of one that is streamed. reusable
// reports whether the connection may be used again once the whole response has been read.
func (c *conn) exchange(a *Attempt) (outcome Outcome, reusable bool) {
	if result, stillUsable := c.markStarted(a); result != dispatch.Served {
		return Outcome{Result: result}, stillUsable
	}
	stopCloseOnCancel := context.AfterFunc(a.ctx, func() { c.netConn.Close() })
	if result := c.send(a); result != dispatch.Served { // not written to its last byte, so it never ran
		stopCloseOnCancel()
		return Outcome{Result: result}, false
	}
	if !a.probe {
		c.pool.stats.RequestsSent.Inc()
	}
	response, body, err := http1.ReadResponseHead(c.netConn.In, a.method())
	streaming := false
	if err == nil {
		outcome.reserved, streaming, err = c.bufferResponse(a, response, body)
	}
	notCancelled := stopCloseOnCancel()
	if err != nil {
		c.pool.Release(&outcome)
		result := a.receiveErrorResult(err)
		return Outcome{
			Result: result, ProcessStalled: result == dispatch.TimedOut && !c.deadlines.TimedOut(),
		}, false
	}
	outcome.Result, outcome.Response = a.classify(response), response
	outcome.Load = c.pool.reportFormat.parse(response, a.probe)
	reusable = notCancelled && !response.Close
	if !streaming {
		return outcome, reusable && body.Complete() && !c.netConn.HasBuffered()
	}
	if !notCancelled {
		c.pool.Release(&outcome)
		return Outcome{Result: dispatch.Cancelled}, false
	}
	response.Streaming, response.Length = true, body.Length()
	outcome.Stream = &Stream{conn: c, body: body, complete: make(chan bool, 1)}
	return outcome, reusable
}

// markStarted marks the attempt as started and returns Served, or returns the result of an attempt that must
// not start any more, and whether the connection may still be used. It looks the server up again, because the
// list may have changed while the attempt was dialling or waiting, and no attempt may start at a server that
// is draining.
func (c *conn) markStarted(a *Attempt) (result dispatch.Result, reusable bool) {
	address, listed := c.pool.directory.Address(a.Server)
	switch {
	case a.ctx.Err() != nil:
		return dispatch.Cancelled, true
	case !listed || address != c.address:
		return dispatch.Rejected, false
	case !time.Now().Before(a.Deadline), !a.StartBy.IsZero() && !time.Now().Before(a.StartBy):
		return dispatch.Skipped, true
	case !a.state.CompareAndSwap(attemptPending, attemptStarted):
		return dispatch.Cancelled, true
	}
	return dispatch.Served, true
}

// send writes the attempt's request. It returns Served once the last byte is written, otherwise the result of
// the attempt.
func (c *conn) send(a *Attempt) dispatch.Result {
	if a.Upload != nil {
		return c.sendUpload(a)
	}
	c.setDeadline(a)
	_, err := a.message(c.address).Begin(c.netConn.Out)
	if err == nil {
		err = c.netConn.Flush()
	}
	if err != nil {
		return a.cancelledOr(dispatch.NoConnection)
	}
	return dispatch.Served
}

// sendUpload is send for a request whose body is not all buffered.
func (c *conn) sendUpload(a *Attempt) dispatch.Result {
	c.netConn.SetDeadline(time.Now().Add(c.pool.limits.Load().StallTimeout))
	w, err := a.message(c.address).Begin(c.netConn.Out)
	if err == nil {
		err = c.netConn.Flush() // must succeed before the body is claimed, which rules out other attempts
	}
	if err != nil {
		return a.cancelledOr(dispatch.NoConnection)
	}
	if err := c.copyUpload(a, w); err != nil {
		// The client stopped sending, or the server did not accept the body. Neither may count as a failed
		// connection to the server, or a faulty client could have servers ejected.
		return a.cancelledOr(dispatch.Skipped)
	}
	if c.netConn.Flush() != nil {
		return a.cancelledOr(dispatch.NoConnection)
	}
	a.Deadline = a.Upload.MarkSent()
	c.setDeadline(a)
	return dispatch.Served
}

// setDeadline ends the exchange at the attempt's Deadline. For a probe the deadline is extended by the time
// in which this process is stalled; for an attempt it is not, because the client does not wait longer.
func (c *conn) setDeadline(a *Attempt) {
	d := stallclock.Deadline{From: time.Now(), At: a.Deadline}
	if !a.probe {
		d.Limit = a.Deadline
	}
	c.deadlines.SetRead(d)
	c.deadlines.SetWrite(d)
}

var errBodyClaimed = errors.New("another attempt has the body")

// copyUpload copies the unbuffered part of the request's body from the client to the server, at the pace of
// the slower of the two.
func (c *conn) copyUpload(a *Attempt, w http1.BodyWriter) error {
	buffer, release := c.pool.bodies.Buffer()
	defer release()
	if !a.Upload.Claim() {
		return errBodyClaimed
	}
	stall := c.pool.limits.Load().StallTimeout
	for {
		n, readErr := a.Upload.Read(buffer)
		c.netConn.SetWriteDeadline(time.Now().Add(stall))
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			if err := c.netConn.Flush(); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return w.Close()
		}
		if readErr != nil {
			return readErr
		}
	}
}
