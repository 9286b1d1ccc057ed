package dataplane

import (
	"io"
	"sync"
	"time"

	"cresshub/internal/router/scheduler"
)

// minTimeLeft is the time below which nothing is sent to a server any more.
const minTimeLeft = 5 * time.Millisecond

// roundTrip sends one request to servers until one of them answers it or no further attempt is permitted. It
// belongs to the client's goroutine, except for stop and what mu guards.
type roundTrip struct {
	proxy         *Proxy
	client        *client
	request       *request
	requestNumber uint64 // counts the requests of this process, from 1

	// How far the request has come.
	relay     relay     // what the client has got
	inFlight  *call     // nil between calls
	handle    *kvHandle // of the prompt's prefix cache, nil if there is none
	keepAlive bool      // the client's connection is good for another request; conclude sets it

	// What the calls so far permit.
	attempts           attemptCounter
	worstExecution     execution         // of all calls but prefill calls
	serverError        *bufferedResponse // the last one; forwarded if nothing more is tried
	unreachableServers int               // calls to servers that could not be connected to

	trace roundTripTrace // for the log and the invariants

	mu        sync.Mutex // guards what follows, which stop changes
	stopCause stopReason
	abortable io.Closer // what stop has to close to wake the call; nil if it waits for nothing
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

// run makes calls until the request is answered, and ends the response.
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
		rt.handle = nil // the server that answered has taken the prefix cache
		return false
	}
	rt.recordFailure(call, failure)
	return rt.mayCallAgain()
}

// finishInterruptedCall ends a call that a panic interrupted, and so releases what it had reserved.
func (rt *roundTrip) finishInterruptedCall() {
	if call := rt.inFlight; call != nil {
		call.mustClose = true
		call.finish(&callFailure{outcome: scheduler.Abandoned, execution: mayHaveRun})
	}
}

// cannotStartInTime reports whether no server could begin before the request's deadline.
func (rt *roundTrip) cannotStartInTime() bool {
	if rt.finished() {
		return true
	}
	return !rt.proxy.chooser.queueDelay(&rt.request.scheduling).StartsWithin(rt.timeLeft())
}

// timeLeft is the time until the request's deadline, negative after it.
func (rt *roundTrip) timeLeft() time.Duration { return time.Until(rt.request.deadline) }

// responseDeadline is the latest time at which a server's response may end. A response that has begun may use
// the time up to the hard deadline, because no local reply could replace it any more.
func (rt *roundTrip) responseDeadline() time.Time {
	if rt.relay.started {
		return rt.request.hardDeadline
	}
	return rt.request.deadline
}

// finished reports whether nothing more may be sent.
func (rt *roundTrip) finished() bool {
	return rt.stopReason() != notStopped || rt.timeLeft() < minTimeLeft
}
