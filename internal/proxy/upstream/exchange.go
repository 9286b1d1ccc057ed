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
func (c *conn) exchange(a *Attempt) (out Outcome, again bool) {
	// The list may have changed while the attempt was dialling or waiting: a drain binds from the first
	// byte on.
	address, listed := c.pool.dir.Address(a.Server)
	switch {
	case a.ctx.Err() != nil:
		return Outcome{Result: dispatch.Withdrawn}, true
	case !listed || address != c.address:
		return Outcome{Result: dispatch.TurnedAway}, false
	case !time.Now().Before(a.Until), !a.By.IsZero() && !time.Now().Before(a.By):
		return Outcome{Result: dispatch.NotSent}, true
	case !a.fate.CompareAndSwap(waiting, begun):
		return Outcome{Result: dispatch.Withdrawn}, true
	}
	stop := context.AfterFunc(a.ctx, func() { c.nc.Close() })
	if res := c.send(a); res != dispatch.Served { // the last byte was not written: it never ran
		stop()
		return Outcome{Result: res}, false
	}
	if !a.probe {
		c.pool.count.Tries.Add()
	}
	method := "GET"
	if !a.probe {
		method = a.Request.Method
	}
	answer, body, err := http1.ReadResponseHead(c.nc.In, method)
	streams := false
	if err == nil {
		out.held, streams, err = c.keep(a, answer, body)
	}
	whole := stop()
	if err != nil {
		c.pool.Release(&out)
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return Outcome{Result: dispatch.TimedOut}, false
	case errors.As(err, new(*http1.MalformedError)):
		// The server is there and has read the request, so it is not broken off: one spoilt answer is no
		// reason to leave a server alone.
		return Outcome{Result: a.ended(dispatch.ErrorAnswer)}, false
	case err != nil:
		return Outcome{Result: a.ended(dispatch.Broken)}, false
	}
	out.Result, out.Answer = a.classify(answer), answer
	out.Load = c.pool.report.read(answer, a.probe)
	again = whole && !answer.Close
	if !streams {
		return out, again && body.Complete() && !c.nc.HasBuffered()
	}
	if !whole {
		c.pool.Release(&out)
		return Outcome{Result: dispatch.Withdrawn}, false
	}
	answer.Streaming, answer.Length = true, body.Length()
	out.Rest = &Stream{conn: c, body: body, over: make(chan bool, 1)}
	return out, again
}

// send writes the attempt's request. It returns Served once the last byte is out, else how the attempt ended.
func (c *conn) send(a *Attempt) dispatch.Result {
	c.nc.SetDeadline(a.Until)
	if a.Upload != nil {
		c.nc.SetDeadline(time.Now().Add(c.pool.limits.Load().Stall))
	}
	w, err := a.message(c.address).Begin(c.nc.Out)
	if err == nil && a.Upload != nil {
		err = c.nc.Flush() // before anything is read that nobody would have for another attempt
	}
	if err == nil && a.Upload != nil {
		if err = c.upload(a, w); err != nil {
			// The client stopped, or the server would not have the body. Neither is a reason to take the
			// server for one out of reach: a bad client would have it left alone.
			return a.ended(dispatch.NotSent)
		}
	}
	if err == nil {
		err = c.nc.Flush()
	}
	if err != nil {
		return a.ended(dispatch.NoConnection)
	}
	if a.Upload != nil {
		a.Until = a.Upload.Sent()
		c.nc.SetDeadline(a.Until)
	}
	return dispatch.Served
}

var errTaken = errors.New("another attempt has the body")

// upload writes the part of a body that is not kept, at the pace of both sides.
func (c *conn) upload(a *Attempt, w http1.BodyWriter) error {
	room, give := c.pool.bodies.Buffer()
	defer give()
	if !a.Upload.Begins() {
		return errTaken
	}
	stall := c.pool.limits.Load().Stall
	for {
		n, left := a.Upload.Read(room)
		c.nc.SetWriteDeadline(time.Now().Add(stall))
		if n > 0 {
			if _, err := w.Write(room[:n]); err != nil {
				return err
			}
			if err := c.nc.Flush(); err != nil {
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

const (
	// firstRoom is what is taken at first for an answer of unknown length.
	firstRoom = 2 << 10
	// enough of a large answer is there with so much of it: one whose length is a lie brings less.
	enough = 4 << 10
)

// keep reads an answer's body as far as it is kept: all of a small one, the beginning of one that is known
// to be large, of one of unknown length what comes soon. What comes is a spoilt answer until it shows
// otherwise, and as long as nothing is passed on another attempt can be made. held is what it took from
// the budget; where that has nothing the answer streams.
func (c *conn) keep(a *Attempt, answer *http1.Response, body *http1.Body) (held int, streams bool,
	err error) {
	may := answer.Status == 200 && !a.probe // whatever else is large is not worth passing on
	length := body.Length()
	if body.Complete() {
		return 0, false, nil
	}
	large, size, first := length > http1.MaxBufferedBody, firstRoom, -1
	if large && !may {
		return 0, false, nil
	} else if large {
		size = enough
	} else if length >= 0 {
		size = int(length)
	}
	began, hold := time.Now(), c.pool.limits.Load().Hold
	for n := 0; ; {
		if n == len(answer.Body) {
			if n > 0 {
				size = min(2*n, http1.MaxBufferedBody)
			}
			if n == http1.MaxBufferedBody || large && n == enough || !c.pool.bodies.Reserve(size-n) {
				return held, may, nil
			}
			held += size - n
			answer.Body = append(make([]byte, 0, size), answer.Body...)[:size]
		}
		for may && (large || length < 0) && !body.Buffered() {
			if first < 0 {
				first = n
			}
			until := a.Until
			if !large && began.Add(4*hold).Before(until) {
				until = began.Add(4 * hold)
			}
			c.nc.SetReadDeadline(until)
			_, err := c.nc.In.Peek(c.nc.In.Buffered() + 1) // which takes nothing, so nothing is lost by its end
			c.nc.SetReadDeadline(a.Until)
			if errors.Is(err, os.ErrDeadlineExceeded) && until.Before(a.Until) && a.ctx.Err() == nil {
				answer.Body = answer.Body[:n]
				return held, true, nil
			}
			if err != nil { // Read meets it again, and knows what it means
				break
			}
		}
		m, err := body.Read(answer.Body[n:])
		n += m
		switch {
		case body.Complete():
			answer.Body = answer.Body[:n]
			return held, false, nil
		case err != nil:
			return held, false, err
		case first >= 0 && n > first && may && time.Since(began) > hold: // it goes on coming, and slowly
			answer.Body = answer.Body[:n]
			return held, true, nil
		}
	}
}

// Stream is the rest of an answer, read from its server by whoever passes it on.
type Stream struct {
	conn *conn
	body *http1.Body
	over chan bool // gets whether it was read to its end
	once sync.Once
}

// Read reads of the rest; io.EOF comes only where the answer is whole. Its deadline is set anew each time:
// what is here already may be the end of a chunk alone.
func (s *Stream) Read(p []byte) (int, error) {
	s.conn.nc.SetReadDeadline(time.Now().Add(s.conn.pool.limits.Load().Stall))
	return s.body.Read(p)
}

func (s *Stream) close() { s.once.Do(func() { s.over <- s.body.Complete() }) }

// message is the attempt's request as it is sent now.
func (a *Attempt) message(host string) *http1.Request {
	if a.probe {
		return &http1.Request{Method: "GET", Target: "/stats", Header: http1.Header{{Name: "Host", Value: host}}}
	}
	q := *a.Request
	left := strconv.FormatFloat(time.Until(a.Until).Seconds(), 'f', 3, 64)
	q.Header = append(slices.Clip(q.Header), http1.Field{Name: "X-Timeout", Value: left})
	if q.Header.Get("Host") == "" { // HTTP/1.0 may come without one
		q.Header = append(q.Header, http1.Field{Name: "Host", Value: host})
	}
	return &q
}

// ended is how the attempt ended whose connection broke: given up by us, or as told.
func (a *Attempt) ended(broke dispatch.Result) dispatch.Result {
	if a.ctx.Err() != nil {
		return dispatch.Withdrawn
	}
	return broke
}

func (a *Attempt) classify(r *http1.Response) dispatch.Result {
	switch {
	case r.Status == 200:
		return dispatch.Served
	case a.probe && r.Status == 503:
		return dispatch.TurnedAway // too many probes at once: no sign of ill health, which an error would be
	case (r.Status == 503 || r.Status == 504) && r.Header.Get("X-Not-Processed") == "1":
		return dispatch.TurnedAway
	}
	return dispatch.ErrorAnswer
}
