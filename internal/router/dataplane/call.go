package dataplane

import (
	"strconv"
	"time"

	"cresshub/internal/router/scheduler"
)

// call is one attempt of a request at one server, on one connection. It belongs to the client's goroutine.
// The scheduler counts it as in flight from newCall until finish, which ends each call exactly once.
type call struct {
	roundTrip *roundTrip
	choice    *scheduler.Call // the server, and what the scheduler expects of it
	role      scheduler.Role

	conn          *connection   // nil before connect and after disconnect
	mustClose     bool          // the connection must not be used again
	outOfSync     bool          // responses to other requests may follow on the connection
	keepAliveTime time.Duration // how long the server keeps the connection, 0 if it closes it

	partlySent      bool // not all of the request was sent; the system may have reported a reset already
	responseStarted bool // the head of the response has arrived

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
	response, failure := c.exchange()
	if failure == nil {
		failure = c.roundTrip.relay.forwardResponse(c, response)
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

// exchange sends the request and reads the head of its response, which may arrive although the request could
// not be sent completely.
func (c *call) exchange() (serverResponse, *callFailure) {
	c.started = time.Now()
	sendFailure := c.send()
	switch {
	case sendFailure == nil:
		c.setReadDeadline(c.started, c.firstByteDeadline(), c.roundTrip.request.deadline)
	case sendFailure.execution == notSent:
		return serverResponse{}, sendFailure
	default: // a server that rejects a request need not read all of it
		c.outOfSync, c.partlySent = true, true
		now := time.Now()
		c.setReadDeadline(now, now.Add(earlyResponseTime), c.roundTrip.request.deadline)
	}
	c.roundTrip.proxy.counters.calls.Add(1)
	if sendFailure == nil {
		c.awaitResponse()
	}
	response, failure := c.readHead()
	if failure != nil && sendFailure != nil {
		failure = sendFailure
	}
	return response, failure
}

// logEnd logs the call together with what the scheduler expected of it; package latereport reads these lines.
func (c *call) logEnd(outcome scheduler.Outcome) {
	event := c.roundTrip.proxy.log.Debug()
	if !event.Enabled() {
		return
	}
	req, took := c.roundTrip.request, c.elapsed()
	expected := c.choice.Expected()
	event.Str("try", req.tryID).Str("route", req.route.Name).Dur("target_ms", req.route.LatencyTarget).
		Str("server", c.choice.Server.ID).Str("role", roleNames[c.role]).Str("outcome", outcomeNames[outcome]).
		Str("shared", strconv.FormatUint(c.choice.SharedPrefix(), 16)).Int("prompt", req.scheduling.PromptTokens).
		Int("prefill_tokens", expected.UncachedTokens).Dur("expected_ms", expected.TimeToFirstByte).
		Dur("at_ms", time.Since(req.arrived)-took).Dur("head_ms", c.timeToHead).
		Dur("event_ms", c.timeToFirstEvent).Dur("took_ms", took).Msg("front: call")
}

// elapsed is the time since the request was sent, 0 if it was not.
func (c *call) elapsed() time.Duration {
	if c.started.IsZero() {
		return 0
	}
	return time.Since(c.started)
}
