package dataplane

import (
	"strconv"
	"time"

	"cresshub/internal/router/scheduler"
)

// call is one attempt of a request at one server, on one connection. It belongs to the client's goroutine.
// The scheduler counts it as in flight from newCall until finish, which is called exactly once for each call.
type call struct {
	roundTrip *roundTrip
	choice    *scheduler.Call // the chosen server, and the scheduler's estimates for the call
	role      scheduler.Role

	conn          *connection   // nil before connect and after disconnect
	mustClose     bool          // the connection must not be reused
	outOfSync     bool          // responses to other requests may follow on the connection
	keepAliveTime time.Duration // how long the connection may stay idle after the call, 0 if it must be closed

	partlySent   bool // sending the request failed; that error may have consumed the report of a reset
	headReceived bool // the head of the response has arrived

	sendStarted      time.Time     // zero before the request is sent
	timeToHead       time.Duration // from sendStarted to the head of the response
	timeToFirstEvent time.Duration // from sendStarted to the first complete event
}

// run makes the call and forwards its response to the client. It returns nil if the complete response was
// forwarded.
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

// finish reports the call's outcome to the scheduler, and returns its connection to the pool or closes it. A
// failure after the round trip was stopped counts as Abandoned.
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

// exchange sends the request and reads the head of its response. A response may arrive even if the request
// could not be sent completely.
func (c *call) exchange() (serverResponse, *callFailure) {
	c.sendStarted = time.Now()
	sendFailure := c.send()
	switch {
	case sendFailure == nil:
		c.setReadDeadline(c.sendStarted, c.firstByteDeadline(), c.roundTrip.request.deadline)
	case sendFailure.execution == notSent:
		return serverResponse{}, sendFailure
	default: // a server may reject a request without reading all of it
		c.outOfSync, c.partlySent = true, true
		now := time.Now()
		c.setReadDeadline(now, now.Add(earlyResponseTimeout), c.roundTrip.request.deadline)
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

// logEnd logs the call together with the scheduler's estimates for it. Package latereport parses these lines.
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

// elapsed returns the time since sending of the request started, 0 if it was not sent.
func (c *call) elapsed() time.Duration {
	if c.sendStarted.IsZero() {
		return 0
	}
	return time.Since(c.sendStarted)
}
