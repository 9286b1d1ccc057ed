package dataplane

import (
	"cresshub/internal/router/scheduler"
)

// maxUnreachableServers is the number of unreachable servers after which no further attempt is made.
const maxUnreachableServers = 4

// recordFailure records how a call failed: whether the request may have run, and which servers and attempts
// are left.
func (rt *roundTrip) recordFailure(call *call, failure *callFailure) {
	rt.worstExecution = max(rt.worstExecution, failure.execution)
	if failure.response != nil {
		rt.serverError = failure.response
	}
	rt.countAttempt(call, failure)
	if !failure.staleConnection && failure.outcome != scheduler.HandleFailed {
		rt.excludeServer(call)
	}
	switch {
	case rt.relay.started:
		rt.handle = nil // the server that began the stream has fetched the prefix cache
	case call.role == scheduler.Decode && failure.handleConsumed():
		rt.releaseHandle()
	}
}

// excludeServer prevents the call's server from being chosen again for this request.
func (rt *roundTrip) excludeServer(call *call) {
	rt.request.scheduling.Excluded = append(rt.request.scheduling.Excluded, call.choice.Server.ID)
}

// countAttempt counts a failed call as an attempt, or as a call to an unreachable server if nothing was sent.
func (rt *roundTrip) countAttempt(call *call, failure *callFailure) {
	abandonedUnsent := failure.outcome == scheduler.Abandoned && failure.execution == notSent
	switch {
	case failure.outcome == scheduler.Unreachable || abandonedUnsent:
		rt.unreachableServers++
	case failure.execution == notRun:
		rt.attempts.recordRejected()
	case failure.execution == mayHaveRun:
		rt.attempts.recordAccepted(call.role)
	}
}

// mayCallAgain reports whether another call is permitted after those that have failed. If not, it records the
// reason.
func (rt *roundTrip) mayCallAgain() bool {
	switch {
	case !retryIsSafe(rt.request.route.Idempotent(), rt.worstExecution):
		rt.trace.setReason(reasonMayHaveRun)
	case rt.unreachableServers >= maxUnreachableServers:
		rt.trace.setReason(reasonUnreachable)
	case !rt.relay.canSwitchServer():
		rt.trace.setReason(reasonNotResumable)
	default:
		return true
	}
	return false
}

// retryIsSafe reports whether the request may be sent again, where worst is the worst execution of its calls.
func retryIsSafe(idempotent bool, worst execution) bool { return idempotent || worst != mayHaveRun }

// couldRetry reports whether a retry could follow the call that is in flight now: the request is idempotent,
// and the route and the retry budget allow another attempt.
func (rt *roundTrip) couldRetry() bool {
	proxy := rt.proxy
	return rt.request.route.Idempotent() && rt.attempts.count+2 <= rt.attempts.maxAttempts &&
		proxy.budgets.available(proxy.now(), rt.request.service.Name, proxy.state.Proxies())
}
