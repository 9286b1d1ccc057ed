package dataplane

import (
	"context"
	"errors"
	"io"
	"os"
	"strconv"
	"syscall"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/router/scheduler"
)

const (
	// earlyResponseTime is how long a server that does not read all of a request may take to say why.
	earlyResponseTime = 200 * time.Millisecond
	// maxSurplusResponses is how many responses to other requests are skipped on one connection.
	maxSurplusResponses = 2
)

// call is one attempt of a request at one server, on one connection. It belongs to the client's goroutine.
type call struct {
	roundTrip *roundTrip
	choice    *scheduler.Call
	role      scheduler.Role
	conn      *connection // nil before connect and after disconnect

	mustClose       bool // the connection must not be used again
	outOfSync       bool // responses to other requests may follow on the connection
	responseStarted bool // the head of a response has arrived
	partlySent      bool // not all of the request was sent; the system may have reported a reset already

	keepAliveTime    time.Duration // how long the server keeps the connection, 0 if it closes it
	started          time.Time     // zero before the request is sent
	timeToHead       time.Duration // from started to the head of the response
	timeToFirstEvent time.Duration // from started to the first complete event
}

// run makes the call and forwards its response to the client. It returns nil if the client has the
// complete response.
func (c *call) run() *callFailure {
	if failure := c.connect(); failure != nil {
		return c.finish(failure)
	}
	head, body, failure := c.exchange()
	if failure == nil {
		failure = c.roundTrip.relay.forwardResponse(c, head, body)
	}
	return c.finish(failure)
}

// finish reports to the scheduler how the call ended, and keeps or closes its connection.
func (c *call) finish(failure *callFailure) *callFailure {
	c.roundTrip.inFlight = nil
	outcome := scheduler.Served
	if failure != nil {
		outcome = failure.outcome
	}
	if c.roundTrip.stopReason() != notStopped && failure != nil {
		failure.outcome, outcome = scheduler.Abandoned, scheduler.Abandoned
	}
	c.roundTrip.proxy.chooser.done(c.choice, outcome)
	c.roundTrip.proxy.callCounts.count(c.role, outcome)
	c.roundTrip.trace.endCall(c, failure)
	c.logEnd(outcome)
	c.disconnect()
	return failure
}

// logEnd logs the call together with what the scheduler expected of it; package latereport reads these lines.
func (c *call) logEnd(outcome scheduler.Outcome) {
	event := c.roundTrip.proxy.log.Debug()
	if !event.Enabled() {
		return
	}
	req, took := c.roundTrip.request, c.elapsed()
	tokens, wait := c.choice.Expected()
	event.Str("try", req.tryID).Str("route", req.route.Name).Dur("target_ms", req.route.LatencyTarget).
		Str("server", c.choice.Server.ID).Str("role", roleNames[c.role]).Str("outcome", outcomeNames[outcome]).
		Str("shared", strconv.FormatUint(c.choice.SharedPrefix(), 16)).Int("prompt", req.scheduling.PromptTokens).
		Int("reads", tokens).Dur("expected_ms", wait).Dur("at_ms", time.Since(req.arrived)-took).
		Dur("head_ms", c.timeToHead).Dur("event_ms", c.timeToFirstEvent).Dur("took_ms", took).Msg("front: call")
}

// elapsed is the time since the request was sent, 0 if it was not.
func (c *call) elapsed() time.Duration {
	if c.started.IsZero() {
		return 0
	}
	return time.Since(c.started)
}

// exchange sends the request and reads the head of its response.
func (c *call) exchange() (*http1.Response, *http1.Body, *callFailure) {
	c.started = time.Now()
	sendFailure := c.send()
	switch {
	case sendFailure == nil:
		c.conn.SetReadDeadline(c.firstByteDeadline())
	case sendFailure.execution == notSent:
		return nil, nil, sendFailure
	default: // a server that rejects a request need not read all of it
		c.outOfSync, c.partlySent = true, true
		c.conn.SetReadDeadline(earlier(c.roundTrip.request.deadline, time.Now().Add(earlyResponseTime)))
	}
	c.roundTrip.proxy.counters.calls.Add(1)
	if sendFailure == nil {
		c.awaitResponse()
	}
	head, body, failure := c.readHead()
	if failure != nil && sendFailure != nil {
		failure = sendFailure
	}
	return head, body, failure
}

// awaitResponse waits for the first byte of the response without buffers. An error that ends the wait is
// returned again by the next read. From then on extendReadDeadline decides whether reads go on after their
// deadline.
func (c *call) awaitResponse() {
	c.conn.returnEmptyBuffers()
	for c.conn.awaitReadable() == notReadable && c.extendReadDeadline() {
		continue
	}
	c.conn.extender = c
}

// readHead reads the head of the response to this request. Responses to others may stand before it.
func (c *call) readHead() (*http1.Response, *http1.Body, *callFailure) {
	rt := c.roundTrip
	for range maxSurplusResponses + 1 {
		head, body, err := http1.ReadResponseHead(c.conn.reader(), rt.request.Method)
		if err != nil {
			return nil, nil, c.failureFrom(err)
		}
		if head.Header.Get(tryIDHeader) == rt.request.tryID {
			c.recordHead(head)
			return head, body, nil
		}
		rt.proxy.counters.surplus.Add(1)
		c.outOfSync = true
		if _, err := io.CopyN(io.Discard, body, maxBufferedResponse); !errors.Is(err, io.EOF) || head.Close {
			break
		}
	}
	return nil, nil, c.brokenFailure()
}

// send writes the complete request.
func (c *call) send() *callFailure {
	c.conn.bytesSent = 0
	c.conn.SetWriteDeadline(c.roundTrip.request.deadline)
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

// buildRequest returns the client's request as the server gets it.
func (c *call) buildRequest() *http1.Request {
	req := c.roundTrip.request
	message := &http1.Request{Method: req.Method, Target: req.Target, Body: req.Body}
	message.Header = append(req.forwardedHeader(),
		http1.Field{Name: deadlineHeader, Value: strconv.FormatInt(max(c.roundTrip.timeLeft().Milliseconds(), 1),
			10)},
		http1.Field{Name: expectServerHeader, Value: c.choice.Server.ID})
	tokens, _ := c.choice.Expected()
	if req.service.Engine != nil {
		priority := strconv.Itoa(priorityOf(req.route.Priority, tokens))
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

// firstByteDeadline is when the call counts as timed out if no byte of its response has arrived.
func (c *call) firstByteDeadline() time.Time {
	rt := c.roundTrip
	_, expected := c.choice.Expected()
	if c.role == scheduler.Prefill {
		usual := rt.proxy.prefillTimes.expected(rt.request.service.Name)
		return c.started.Add(prefillTimeout(max(usual, c.choice.UncachedPrefill()), rt.timeLeft()))
	}
	if !rt.couldRetry() {
		return rt.request.deadline
	}
	return c.started.Add(responseTimeout(rt.request.route.LatencyTarget, expected,
		rt.request.deadline.Sub(c.started)))
}

// extendReadDeadline reports whether to go on waiting for a server that has timed out, because no retry could
// replace it: none is left, or there is no other server. It then sets a later deadline, at which it is called
// again, up to the response's deadline.
func (c *call) extendReadDeadline() bool {
	rt := c.roundTrip
	deadline := rt.responseDeadline()
	expired := rt.stopReason() != notStopped || !time.Now().Before(deadline)
	if expired || c.role == scheduler.Prefill {
		return false
	}
	if rt.couldRetry() && rt.relay.canSwitchServer() && c.hasAlternative() {
		return false
	}
	next := time.Now().Add(streamTimeout(rt.request.route.GapTarget))
	c.conn.SetReadDeadline(earlier(deadline, next))
	return true
}

// hasAlternative reports whether another server could replace this one. A client that has a part of a stream
// would lose the rest if all other servers rejected the request, so one of them must have a free slot. Before
// the response has begun, the existence of another server is enough.
func (c *call) hasAlternative() bool {
	rt := c.roundTrip
	exists, free := rt.proxy.chooser.alternative(&rt.request.scheduling, c.choice.Server.ID)
	return free || exists && !rt.relay.started
}

// bufferDeadline is when a response counts as broken that has begun and is not buffered completely.
func (c *call) bufferDeadline() time.Time {
	rt := c.roundTrip
	if !rt.couldRetry() {
		return rt.request.deadline
	}
	return earlier(rt.request.deadline, time.Now().Add(responseTimeout(rt.request.route.LatencyTarget, 0,
		rt.timeLeft())))
}

// recordHead records what the head of a response says of its server and connection.
func (c *call) recordHead(head *http1.Response) {
	c.responseStarted = true
	c.timeToHead = time.Since(c.started)
	if load, ok := parseLoad(head.Header.Get(loadHeader)); ok {
		c.roundTrip.proxy.chooser.observeLoad(c.choice.Server.ID, load)
	}
	if !c.outOfSync && !c.bodyLeftUnread(head) {
		c.keepAliveTime = keepAliveTime(head)
	}
}

// recordBodyEnd records that the response was read to its end, so that the connection may carry another
// request.
func (c *call) recordBodyEnd() {
	c.mustClose = c.conn.hasBufferedInput() || c.keepAliveTime <= 0
}

// failureFrom returns how a call failed whose request was sent, completely or in part.
func (c *call) failureFrom(err error) *callFailure {
	failure := c.brokenFailure()
	c.reportSuspect(err)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		failure.outcome = scheduler.TimedOut
		return failure
	}
	if c.conn.reused && !c.responseStarted && !errors.As(err, new(*http1.MalformedError)) {
		failure.staleConnection, failure.outcome = true, scheduler.Abandoned
	}
	return failure
}

// reportSuspect reports the server where an error shows that its machine or process is down.
func (c *call) reportSuspect(err error) {
	timedOut := errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, context.DeadlineExceeded)
	if c.roundTrip.stopReason() == notStopped && (timedOut || errors.Is(err, syscall.ECONNREFUSED)) {
		c.roundTrip.proxy.state.Suspect(c.choice.Server.ID)
	}
}

// brokenFailure is the failure of a call whose connection ended, or whose response is unusable.
func (c *call) brokenFailure() *callFailure {
	return &callFailure{outcome: scheduler.Broken, execution: mayHaveRun}
}
