package dataplane

import (
	"time"

	"cresshub/internal/router/scheduler"
	"cresshub/internal/stallclock"
)

// firstByteDeadline is when the call counts as timed out if no byte of its response has arrived.
func (c *call) firstByteDeadline() time.Time {
	rt := c.roundTrip
	if c.role == scheduler.Prefill {
		usual := rt.proxy.prefillTimes.expected(rt.request.service.Name)
		return c.started.Add(prefillTimeout(max(usual, c.choice.UncachedPrefill()), rt.timeLeft()))
	}
	if !rt.couldRetry() {
		return rt.request.deadline
	}
	return c.started.Add(responseTimeout(rt.request.route.LatencyTarget,
		c.choice.Expected().TimeToFirstByte, rt.request.deadline.Sub(c.started)))
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
	now := time.Now()
	c.setReadDeadline(now, now.Add(streamTimeout(rt.request.route.GapTarget)), deadline)
	return true
}

// setReadDeadline sets until when the server is waited for that has been waited for since from: until at,
// plus the time in which this process does not run, but not after the limit.
func (c *call) setReadDeadline(from, at, limit time.Time) {
	c.conn.SetRead(stallclock.Deadline{From: from, At: earlier(at, limit), Limit: limit})
}

// hasAlternative reports whether another server could replace this one. A client that has a part of a stream
// would lose the rest if all other servers rejected the request, so one of them must have a free slot. Before
// the response has begun, the existence of another server is enough.
func (c *call) hasAlternative() bool {
	rt := c.roundTrip
	alternative := rt.proxy.chooser.alternative(&rt.request.scheduling, c.choice.Server.ID)
	return alternative.HasFreeSlot || alternative.Exists && !rt.relay.started
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

// gapDeadline is when a stream counts as broken if its server sends nothing more.
func (r *relay) gapDeadline(call *call) time.Time {
	rt := call.roundTrip
	if !r.started {
		return call.firstByteDeadline()
	}
	if !r.replaceable || !r.canSwitchServer() { // a pause alone ends nothing
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
