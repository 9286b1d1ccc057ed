package upstream

import (
	"context"
	"errors"
	"io"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/proxy/dispatch"
)

// exchange sends one request and reads its answer, or of a large one the beginning. again tells whether the
// connection may be used again once all of the answer is read.
func (c *conn) exchange(a *Attempt) (outcome Outcome, reusable bool) {
	// The list may have changed while the attempt was dialling or waiting: a drain binds from the first
	// byte on.
	address, listed := c.pool.directory.Address(a.Server)
	switch {
	case a.ctx.Err() != nil:
		return Outcome{Result: dispatch.Cancelled}, true
	case !listed || address != c.address:
		return Outcome{Result: dispatch.Rejected}, false
	case !time.Now().Before(a.GiveUpAt), !a.StartBy.IsZero() && !time.Now().Before(a.StartBy):
		return Outcome{Result: dispatch.Skipped}, true
	case !a.state.CompareAndSwap(attemptPending, attemptStarted):
		return Outcome{Result: dispatch.Cancelled}, true
	}
	stop := context.AfterFunc(a.ctx, func() { c.netConn.Close() })
	if result := c.send(a); result != dispatch.Served { // the last byte was not written: it never ran
		stop()
		return Outcome{Result: result}, false
	}
	if !a.probe {
		c.pool.stats.RequestsSent.Add()
	}
	method := "GET"
	if !a.probe {
		method = a.Request.Method
	}
	response, body, err := http1.ReadResponseHead(c.netConn.In, method)
	streaming := false
	if err == nil {
		outcome.reserved, streaming, err = c.bufferResponse(a, response, body)
	}
	uninterrupted := stop()
	if err != nil {
		c.pool.Release(&outcome)
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return Outcome{Result: dispatch.TimedOut}, false
	case errors.As(err, new(*http1.MalformedError)):
		// The server is there and has read the request, so it is not broken off: one spoilt answer is no
		// reason to leave a server alone.
		return Outcome{Result: a.resultOr(dispatch.ErrorResponse)}, false
	case err != nil:
		return Outcome{Result: a.resultOr(dispatch.Reset)}, false
	}
	outcome.Result, outcome.Response = a.classify(response), response
	outcome.Load = c.pool.report.parse(response, a.probe)
	reusable = uninterrupted && !response.Close
	if !streaming {
		return outcome, reusable && body.Complete() && !c.netConn.HasBuffered()
	}
	if !uninterrupted {
		c.pool.Release(&outcome)
		return Outcome{Result: dispatch.Cancelled}, false
	}
	response.Streaming, response.Length = true, body.Length()
	outcome.Rest = &Stream{conn: c, body: body, done: make(chan bool, 1)}
	return outcome, reusable
}

// send writes the attempt's request. It returns Served once the last byte is out, else how the attempt ended.
func (c *conn) send(a *Attempt) dispatch.Result {
	c.netConn.SetDeadline(a.GiveUpAt)
	if a.Upload != nil {
		c.netConn.SetDeadline(time.Now().Add(c.pool.limits.Load().Stall))
	}
	w, err := a.message(c.address).Begin(c.netConn.Out)
	if err == nil && a.Upload != nil {
		err = c.netConn.Flush() // before anything is read that nobody would have for another attempt
	}
	if err == nil && a.Upload != nil {
		if err = c.upload(a, w); err != nil {
			// The client stopped, or the server would not have the body. Neither is a reason to take the
			// server for one out of reach: a bad client would have it left alone.
			return a.resultOr(dispatch.Skipped)
		}
	}
	if err == nil {
		err = c.netConn.Flush()
	}
	if err != nil {
		return a.resultOr(dispatch.NoConnection)
	}
	if a.Upload != nil {
		a.GiveUpAt = a.Upload.Sent()
		c.netConn.SetDeadline(a.GiveUpAt)
	}
	return dispatch.Served
}

var errBodyClaimed = errors.New("another attempt has the body")

// upload writes the part of a body that is not kept, at the pace of both sides.
func (c *conn) upload(a *Attempt, w http1.BodyWriter) error {
	buffer, release := c.pool.bodies.Buffer()
	defer release()
	if !a.Upload.Claim() {
		return errBodyClaimed
	}
	stall := c.pool.limits.Load().Stall
	for {
		n, left := a.Upload.Read(buffer)
		c.netConn.SetWriteDeadline(time.Now().Add(stall))
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			if err := c.netConn.Flush(); err != nil {
				return err
			}
		}
		if left == io.EOF {
			return w.Close()
		}
		if left != nil {
			return left
		}
	}
}

// Stream is the rest of an answer, read from its server by whoever passes it on.
type Stream struct {
	conn *conn
	body *http1.Body
	done chan bool // gets whether it was read to its end
	once sync.Once
}

// Read reads of the rest; io.EOF comes only where the answer is whole. Its deadline is set anew each time:
// what is here already may be the end of a chunk alone.
func (s *Stream) Read(p []byte) (int, error) {
	s.conn.netConn.SetReadDeadline(time.Now().Add(s.conn.pool.limits.Load().Stall))
	return s.body.Read(p)
}

func (s *Stream) close() { s.once.Do(func() { s.done <- s.body.Complete() }) }

// message is the attempt's request as it is sent now.
func (a *Attempt) message(host string) *http1.Request {
	if a.probe {
		return &http1.Request{Method: "GET", Target: "/stats", Header: http1.Header{{Name: "Host", Value: host}}}
	}
	q := *a.Request
	left := strconv.FormatFloat(time.Until(a.GiveUpAt).Seconds(), 'f', 3, 64)
	q.Header = append(slices.Clip(q.Header), http1.Field{Name: "X-Timeout", Value: left})
	if q.Header.Get("Host") == "" { // HTTP/1.0 may come without one
		q.Header = append(q.Header, http1.Field{Name: "Host", Value: host})
	}
	return &q
}

// resultOr is how the attempt ended whose connection broke: given up by us, or as told.
func (a *Attempt) resultOr(otherwise dispatch.Result) dispatch.Result {
	if a.ctx.Err() != nil {
		return dispatch.Cancelled
	}
	return otherwise
}

func (a *Attempt) classify(r *http1.Response) dispatch.Result {
	switch {
	case r.Status == 200:
		return dispatch.Served
	case a.probe && r.Status == 503:
		return dispatch.Rejected // too many probes at once: no sign of ill health, which an error would be
	case (r.Status == 503 || r.Status == 504) && r.Header.Get("X-Not-Processed") == "1":
		return dispatch.Rejected
	}
	return dispatch.ErrorResponse
}
