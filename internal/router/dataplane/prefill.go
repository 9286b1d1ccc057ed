package dataplane

import (
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/router/scheduler"
)

// prefill has a server prefill the prompt, and keeps the handle of its prefix cache. A prefill call does not
// run the request, so it may be retried as long as the route and the budget allow. If prefill fails, the
// request continues without a handle.
func (rt *roundTrip) prefill() {
	for rt.handle == nil && !rt.finished() && rt.unreachableServers < maxUnreachableServers {
		call := rt.newCall(scheduler.Prefill)
		if call == nil {
			return
		}
		failure := call.prefill()
		if failure == nil {
			rt.proxy.counters.prefills.Add(1)
			return
		}
		rt.proxy.counters.prefillsFailed.Add(1)
		if !rt.recordPrefillFailure(call, failure) {
			return
		}
	}
}

// recordPrefillFailure records how a prefill call failed, and reports whether it may be retried at another
// server.
func (rt *roundTrip) recordPrefillFailure(call *call, failure *callFailure) bool {
	rt.excludeServer(call)
	switch failure.execution {
	case notSent:
		rt.unreachableServers++
	case notRun:
		rt.attempts.recordRejected()
	case mayHaveRun:
		rt.attempts.recordAccepted(scheduler.Prefill)
		if !call.headReceived { // the server may have queued the call, which makes the next one a retry
			rt.attempts.unpaidPrefills++
		}
		return failure.outcome != scheduler.TimedOut // too little time is left for a second prefill call
	}
	return true
}

// prefill makes a call that has the prompt prefilled, and stores the handle in the round trip.
func (c *call) prefill() *callFailure {
	failure := c.connect()
	if failure != nil {
		return c.finish(failure)
	}
	response, failure := c.exchange()
	if failure == nil {
		failure = c.receiveHandle(response)
	}
	if failure == nil || failure.outcome == scheduler.TimedOut {
		c.roundTrip.proxy.prefillTimes.record(c.roundTrip.request.service.Name, time.Since(c.sendStarted))
	}
	return c.finish(failure)
}

// receiveHandle reads the response to a prefill call and stores its handle in the round trip. The call fails
// if the response has none.
func (c *call) receiveHandle(response serverResponse) *callFailure {
	rt := c.roundTrip
	class := classify(c.responseTraits(response))
	buffered, err := c.bufferResponse(response)
	if response.body.Complete() {
		c.recordBodyEnd()
	}
	switch {
	case class == classMisdirected:
		c.reportReplaced()
		return &callFailure{outcome: scheduler.Misdirected, execution: notRun}
	case class == classRejected:
		return &callFailure{outcome: scheduler.Rejected, execution: notRun}
	case err != nil:
		return c.failureFrom(err)
	case isServerError(response.head.Status):
		return &callFailure{outcome: scheduler.Failed, execution: mayHaveRun}
	}
	handle, ok := parseHandle(buffered.body)
	if response.head.Status != http1.StatusOK || !ok {
		return c.brokenFailure()
	}
	rt.attempts.recordAccepted(scheduler.Prefill)
	rt.handle = newKVHandle(c.choice.Server, handle, rt.request.tryID, rt.request.service.Engine.HandleTTL)
	return nil
}
