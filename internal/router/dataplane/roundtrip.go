package dataplane

import (
	"io"
	"sync"
	"time"

	"cresshub/internal/router/scheduler"
)

// minTimeLeft is the least time until the request's deadline with which a call is still made.
const minTimeLeft = 5 * time.Millisecond

// roundTrip sends one request to servers until one of them answers it or no further attempt is permitted. It
// belongs to the client's goroutine, except for stop and the fields that mu guards.
type roundTrip struct {
	proxy         *Proxy
	client        *client
	request       *request
	requestNumber uint64 // number of the request in this process, from 1

	// Progress of the request.
	relay     relay     // forwards the response to the client
	inFlight  *call     // nil between calls
	handle    *kvHandle // of the prompt's prefix cache, nil if there is none
	keepAlive bool      // the client's connection stays open for another request; set by conclude

	// Results of the calls so far, which decide whether another one is permitted.
	attempts           attemptCounter
	worstExecution     execution         // of all calls except prefill calls
	serverError        *bufferedResponse // the last error of a server itself; forwarded if no call follows
	unreachableServers int               // calls to servers that could not be connected to

	trace roundTripTrace // for the log and the invariants

	mu        sync.Mutex // guards the fields below, which stop uses
	stopCause stopReason
	abortable io.Closer // closed by stop to wake the call; nil if the call waits for nothing
}

func newRoundTrip(client *client, req *request) *roundTrip {
	rt := &roundTrip{
		proxy: client.proxy, client: client, request: req,
		requestNumber: client.proxy.requestCount.Add(1),
	}
	rt.attempts.maxAttempts = req.route.MaxAttempts
	rt.relay = newRelay(client, req)
	return rt
}

// run makes calls until the request is answered or no further call is permitted, and ends the response.
func (rt *roundTrip) run() {
	defer rt.finishInterruptedCall()
	proxy := rt.proxy
	proxy.budgets.recordRequest(proxy.now(), rt.request.service.Name, proxy.state.Proxies())
	if rt.cannotStartInTime() {
		rt.trace.setReason(reasonNoCapacity)
	} else {
		rt.makeCalls()
	}
	rt.conclude()
}

// makeCalls makes calls until the request is answered or no further call is permitted.
func (rt *roundTrip) makeCalls() {
	if rt.request.service.Engine != nil && rt.proxy.chooser.split(&rt.request.scheduling) {
		rt.prefill()
	}
	mayCallAgain := true
	for mayCallAgain && !rt.finished() {
		mayCallAgain = rt.makeCall()
	}
	rt.releaseHandle()
}

// makeCall makes the next call, and reports whether another one may follow.
func (rt *roundTrip) makeCall() bool {
	call := rt.nextCall()
	if call == nil {
		return false
	}
	failure := call.run()
	if failure == nil {
		rt.handle = nil // the server that answered has fetched the prefix cache
		return false
	}
	rt.recordFailure(call, failure)
	return rt.mayCallAgain()
}

// finishInterruptedCall finishes a call that was interrupted by a panic: its connection is closed, and the
// scheduler does not count it as in flight any more.
func (rt *roundTrip) finishInterruptedCall() {
	if call := rt.inFlight; call != nil {
		call.mustClose = true
		call.finish(&callFailure{outcome: scheduler.Abandoned, execution: mayHaveRun})
	}
}

// cannotStartInTime reports whether no server could start on the request before its deadline.
func (rt *roundTrip) cannotStartInTime() bool {
	if rt.finished() {
		return true
	}
	return !rt.proxy.chooser.queueDelay(&rt.request.scheduling).StartsWithin(rt.timeLeft())
}

// timeLeft returns the time until the request's deadline, which is negative after it.
func (rt *roundTrip) timeLeft() time.Duration { return time.Until(rt.request.deadline) }

// responseDeadline returns the time by which a server's response must end. A response that has begun may use
// the time up to the hard deadline, because it cannot be replaced by a local reply any more.
func (rt *roundTrip) responseDeadline() time.Time {
	if rt.relay.started {
		return rt.request.hardDeadline
	}
	return rt.request.deadline
}

// finished reports whether no further call may be made: the round trip was stopped, or too little time is
// left.
func (rt *roundTrip) finished() bool {
	return rt.stopReason() != notStopped || rt.timeLeft() < minTimeLeft
}
