package dataplane

import (
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/router/scheduler"
)

// prefill has a server prefill the prompt, and takes the handle of its prefix cache. If that fails the
// request goes on without: the call does not run the request, so it may be retried as long as the budget
// allows.
func (rt *roundTrip) prefill() {
	for rt.handle == nil && !rt.finished() && rt.unreachableServers < maxUnreachable {
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

// recordPrefillFailure records how prefill failed, and reports whether another server may be asked for it.
func (rt *roundTrip) recordPrefillFailure(call *call, failure *callFailure) bool {
	rt.excludeServer(call)
	switch failure.execution {
	case notSent:
		rt.unreachableServers++
	case notRun:
		rt.attempts.recordRejected()
	case mayHaveRun:
		rt.attempts.recordAccepted(scheduler.Prefill)
		if !call.headReceived { // it may have been queued there, which makes the next call a retry
			rt.attempts.unpaidPrefills++
		}
		return failure.outcome != scheduler.TimedOut // a timeout leaves too little time for a second one
	}
	return true
}

// prefill makes the call that has the prompt prefilled.
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

// receiveHandle takes the handle from the response to a prefill call. The call fails if it has none.
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
