package dataplane

import (
	"time"

	"cresshub/internal/router/scheduler"
)

// nextCall returns the next call that can answer the request: a decode call if there is a handle and such a
// call is possible, otherwise one in the role Serve. It returns nil if no server or no retry is left.
func (rt *roundTrip) nextCall() *call {
	if rt.handle.expired(time.Now()) {
		rt.releaseHandle()
	}
	if rt.handle != nil {
		if call := rt.newCall(scheduler.Decode); call != nil {
			return call
		}
		rt.releaseHandle()
	}
	return rt.newCall(scheduler.Serve)
}

// newCall chooses a server for a call in that role, and charges the call to the retry budget if it is a
// retry. It returns nil, and records why, if the route allows no further attempt, no server is left, or the
// budget is used up.
func (rt *roundTrip) newCall(role scheduler.Role) *call {
	if !rt.attempts.allows(role) {
		rt.trace.setReason(reasonAttemptsUsed)
		return nil
	}
	choice := rt.proxy.chooser.choose(&rt.request.scheduling, role, rt.handle.prefillServer())
	if choice == nil {
		rt.trace.setReason(reasonNoServer)
		return nil
	}
	if !rt.payForRetry(role) {
		rt.trace.setReason(reasonRetryBudget)
		rt.proxy.chooser.done(choice, scheduler.Abandoned)
		return nil
	}
	rt.trace.setReason("")
	rt.inFlight = &call{roundTrip: rt, choice: choice, role: role}
	return rt.inFlight
}

// payForRetry takes the cost of a call from the retry budget, and reports whether the budget had that much
// left. A first attempt costs nothing.
func (rt *roundTrip) payForRetry(role scheduler.Role) bool {
	proxy, cost := rt.proxy, rt.attempts.retryCost(role)
	if !proxy.budgets.take(proxy.now(), rt.request.service.Name, proxy.state.Proxies(), cost) {
		return false
	}
	proxy.counters.retries.Add(int64(cost))
	rt.attempts.recordPayment(role)
	return true
}
