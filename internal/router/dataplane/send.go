package dataplane

import (
	"strconv"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/router/scheduler"
	"cresshub/internal/stallclock"
)

// send writes the complete request.
func (c *call) send() *callFailure {
	c.conn.bytesSent = 0
	deadline := c.roundTrip.request.deadline
	c.conn.SetWrite(stallclock.Deadline{From: time.Now(), At: deadline, Limit: deadline})
	c.roundTrip.trace.beginCall(c)
	err := c.writeRequest(c.buildRequest())
	switch {
	case err == nil:
		return nil
	case c.conn.bytesSent == 0:
		return &callFailure{outcome: scheduler.Abandoned, execution: notSent, staleConnection: c.conn.reused}
	}
	return c.failureFrom(err)
}

// buildRequest returns the client's request in the form in which it is sent to the server.
func (c *call) buildRequest() *http1.Request {
	req := c.roundTrip.request
	message := &http1.Request{Method: req.Method, Target: req.Target, Body: req.Body}
	message.Header = append(req.forwardedHeader(),
		http1.Field{Name: deadlineHeader, Value: strconv.FormatInt(max(c.roundTrip.timeLeft().Milliseconds(), 1),
			10)},
		http1.Field{Name: expectServerHeader, Value: c.choice.Server.ID})
	if req.service.Engine != nil {
		uncachedTokens := c.choice.Expected().UncachedTokens
		priority := strconv.Itoa(priorityOf(req.route.Priority, uncachedTokens))
		message.Header = append(message.Header, http1.Field{Name: priorityHeader, Value: priority})
	}
	switch c.role {
	case scheduler.Prefill:
		message.Header = append(message.Header, http1.Field{Name: stageHeader, Value: prefillStage})
	case scheduler.Decode:
		message.Header = append(message.Header, http1.Field{Name: kvFromHeader, Value: c.roundTrip.handle.source()})
	}
	return c.roundTrip.relay.setResumePoint(message)
}

// writeRequest sends a message. A server may respond before it has read all of a large message; the rest must
// then be sent within earlyResponseTimeout, and the connection is not reused if a part may be left unread.
func (c *call) writeRequest(message *http1.Request) error {
	large := len(message.Body) >= largeBodyBytes
	c.conn.setUnackedTimeout(large, c.roundTrip.timeLeft())
	if large {
		defer c.watchEarlyResponse()()
	}
	out := c.conn.writer()
	if err := message.Write(out); err != nil {
		return err
	}
	return out.Flush()
}
