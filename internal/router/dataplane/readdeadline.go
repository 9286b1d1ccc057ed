package dataplane

import (
	"time"

	"cresshub/internal/router/scheduler"
	"cresshub/internal/stallclock"
)

// firstByteDeadline returns when the call counts as timed out if no byte of its response has arrived.
func (c *call) firstByteDeadline() time.Time {
	rt := c.roundTrip
	if c.role == scheduler.Prefill {
		usual := rt.proxy.prefillTimes.expected(rt.request.service.Name)
		return c.sendStarted.Add(prefillTimeout(max(usual, c.choice.UncachedPrefill()), rt.timeLeft()))
	}
	if !rt.couldRetry() {
		return rt.request.deadline
	}
	return c.sendStarted.Add(responseTimeout(rt.request.route.LatencyTarget,
		c.choice.Expected().TimeToFirstByte, rt.request.deadline.Sub(c.sendStarted)))
}

// extendReadDeadline reports whether to keep waiting for a server that has timed out, because no retry can
// replace the call: none is permitted, or no other server could answer. It then sets a later read deadline,
// after which it is called again, up to the deadline of the response.
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
	now := time.Now()
	c.setReadDeadline(now, now.Add(streamTimeout(rt.request.route.GapTarget)), deadline)
	return true
}

// setReadDeadline sets the deadline for reading from the server. The wait counts from the time from and ends
// at the time at, extended by the time in which this process is stalled, but not beyond limit.
func (c *call) setReadDeadline(from, at, limit time.Time) {
	c.conn.SetRead(stallclock.Deadline{From: from, At: earlier(at, limit), Limit: limit})
}

// hasAlternative reports whether another server could replace this one. Once a part of a response was
// forwarded, another server must have a free slot: if all of them rejected the request, the client would lose
// the rest of the stream. Before that, it is enough that another server exists.
func (c *call) hasAlternative() bool {
	rt := c.roundTrip
	alternative := rt.proxy.chooser.alternative(&rt.request.scheduling, c.choice.Server.ID)
	return alternative.HasFreeSlot || alternative.Exists && !rt.relay.started
}

// bufferDeadline returns when a response that has begun counts as timed out if it is not buffered completely.
func (c *call) bufferDeadline() time.Time {
	rt := c.roundTrip
	if !rt.couldRetry() {
		return rt.request.deadline
	}
	return earlier(rt.request.deadline, time.Now().Add(responseTimeout(rt.request.route.LatencyTarget, 0,
		rt.timeLeft())))
}

// gapDeadline returns when a stream counts as timed out if its server sends nothing more.
func (r *relay) gapDeadline(call *call) time.Time {
	rt := call.roundTrip
	if !r.started {
		return call.firstByteDeadline()
	}
	if !r.replaceable || !r.canSwitchServer() { // a pause is no reason to end a stream that can't be resumed
		return rt.request.hardDeadline
	}
	return earlier(rt.request.hardDeadline, time.Now().Add(streamTimeout(rt.request.route.GapTarget)))
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
