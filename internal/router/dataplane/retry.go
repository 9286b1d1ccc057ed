package dataplane

import (
	"cresshub/internal/router/scheduler"
)

// maxUnreachable is how many servers may be unreachable before nothing more is tried.
const maxUnreachable = 4

// recordFailure records how a call failed.
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
		rt.handle = nil // the server that began the stream has taken the prefix cache
	case call.role == scheduler.Decode && failure.handleConsumed():
		rt.releaseHandle()
	}
}

// excludeServer keeps the call's server from being chosen again for this request.
func (rt *roundTrip) excludeServer(call *call) {
	rt.request.scheduling.Excluded = append(rt.request.scheduling.Excluded, call.choice.Server.ID)
}

// countAttempt counts a failed call against the route's attempts, or as one to an unreachable server.
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

// mayCallAgain reports whether the calls that have failed permit another one, and records why not.
func (rt *roundTrip) mayCallAgain() bool {
	switch {
	case !retryIsSafe(rt.request.route.Idempotent(), rt.worstExecution):
		rt.trace.setReason(reasonMayHaveRun)
	case rt.unreachableServers >= maxUnreachable:
		rt.trace.setReason(reasonUnreachable)
	case !rt.relay.canSwitchServer():
		rt.trace.setReason(reasonNotResumable)
	default:
		return true
	}
	return false
}

// retryIsSafe reports whether the request may be sent again after a call that ended so.
func retryIsSafe(idempotent bool, worst execution) bool { return idempotent || worst != mayHaveRun }

// couldRetry reports whether another call could follow one that is in flight now.
func (rt *roundTrip) couldRetry() bool {
	proxy := rt.proxy
	return rt.request.route.Idempotent() && rt.attempts.count+2 <= rt.attempts.maxAttempts &&
		proxy.budgets.available(proxy.now(), rt.request.service.Name, proxy.state.Proxies())
}
