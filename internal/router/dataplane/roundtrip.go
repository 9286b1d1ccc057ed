package dataplane

import (
	"io"
	"net"
	"sync"
	"time"

	"cresshub/internal/router/scheduler"
)

const (
	// minTimeLeft is the time below which nothing is sent to a server any more.
	minTimeLeft = 5 * time.Millisecond
	// maxUnreachable is how many servers may be unreachable before a request is answered 503.
	maxUnreachable = 4
	// The bounds of the Retry-After of a local reply.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = time.Second
)

// stopReason says why a round trip was stopped.
type stopReason int

const (
	notStopped         stopReason = iota
	clientDisconnected            // before its response was complete
	proxyStopping                 // the process ends, and Wait has aborted the request
)

// roundTrip sends one request to servers until one of them answers it or no further attempt is permitted. It
// belongs to the client's goroutine, except for stop and what mu guards.
type roundTrip struct {
	proxy         *Proxy
	client        *client
	request       *request
	requestNumber uint64 // counts the requests of this process
	relay         relay

	attempts           attemptCounter
	handle             *kvHandle         // of the prompt's prefix cache, nil if there is none
	worstExecution     execution         // of all calls so far
	serverError        *bufferedResponse // the last one; forwarded if nothing more is tried
	unreachableServers int
	keepAlive          bool // the client's connection is good for another request
	trace              roundTripTrace
	inFlight           *call // nil between calls

	mu        sync.Mutex
	stopCause stopReason
	abortable io.Closer // what stop has to close to wake the call
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

// run makes calls until the request is answered.
func (rt *roundTrip) run() {
	defer rt.finishInterruptedCall()
	proxy := rt.proxy
	proxy.budgets.recordRequest(proxy.now(), rt.request.service.Name, proxy.state.Proxies())
	if rt.cannotStartInTime() {
		rt.trace.setReason(reasonNoCapacity)
		rt.conclude()
		return
	}
	if rt.request.service.Engine != nil && proxy.chooser.split(&rt.request.scheduling) {
		rt.prefill()
	}
	for !rt.finished() {
		call := rt.nextCall()
		if call == nil {
			break
		}
		failure := call.run()
		if failure == nil {
			rt.handle = nil // the server that answered has taken the prefix cache
			break
		}
		if !rt.handleFailure(call, failure) {
			break
		}
	}
	rt.releaseHandle()
	rt.conclude()
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
	wait, free := rt.proxy.chooser.queueDelay(&rt.request.scheduling)
	return !free && wait >= rt.timeLeft()
}

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

func (rt *roundTrip) stopReason() stopReason {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.stopCause
}

// stop ends the call in flight and lets no other begin. Any goroutine may call it.
func (rt *roundTrip) stop(reason stopReason) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if rt.stopCause == notStopped {
		rt.stopCause = reason
	}
	if rt.abortable != nil {
		rt.abortable.Close()
	}
}

// setAbortable sets what stop has to close; it returns false if the round trip is stopped already.
func (rt *roundTrip) setAbortable(closer io.Closer) bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if closer != nil && rt.stopCause != notStopped {
		return false
	}
	rt.abortable = closer
	return true
}

// nextCall returns the call that answers the request, nil if there is no server or no retry left.
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

// newCall chooses the server for a call in that role, and pays for it if it is a retry. It returns nil
// where there is none.
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

// payForRetry takes the cost of a call from the retry budget, and reports whether the budget allowed it. A
// first attempt costs nothing.
func (rt *roundTrip) payForRetry(role scheduler.Role) bool {
	proxy, cost := rt.proxy, rt.attempts.retryCost(role)
	if !proxy.budgets.take(proxy.now(), rt.request.service.Name, proxy.state.Proxies(), cost) {
		return false
	}
	proxy.counters.retries.Add(int64(cost))
	rt.attempts.recordPayment(role)
	return true
}

// couldRetry reports whether another call could follow one that is in flight now.
func (rt *roundTrip) couldRetry() bool {
	proxy := rt.proxy
	return rt.request.route.Idempotent() && rt.attempts.count+2 <= rt.attempts.maxAttempts &&
		proxy.budgets.available(proxy.now(), rt.request.service.Name, proxy.state.Proxies())
}

// handleFailure records how a call failed, and reports whether another one may follow.
func (rt *roundTrip) handleFailure(call *call, failure *callFailure) bool {
	rt.worstExecution = max(rt.worstExecution, failure.execution)
	if failure.response != nil {
		rt.serverError = failure.response
	}
	rt.countAttempt(call, failure)
	if !failure.staleConnection && failure.outcome != scheduler.HandleFailed {
		rt.request.scheduling.Excluded = append(rt.request.scheduling.Excluded, call.choice.Server.ID)
	}
	switch {
	case rt.relay.started:
		rt.handle = nil // the server that began the stream has taken the prefix cache
	case call.role == scheduler.Decode && failure.handleConsumed():
		rt.releaseHandle()
	}
	return rt.mayCallAgain()
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

// conclude ends the response to the client: with a response of its own if no server has begun one.
func (rt *roundTrip) conclude() {
	counters := &rt.proxy.counters
	switch {
	case rt.relay.complete:
		rt.keepAlive = rt.relay.keepAlive
		rt.proxy.recordOutcome(rt, outcomeServed, 0)
	case rt.stopReason() == clientDisconnected:
		counters.clientsDisconnected.Add(1)
		rt.proxy.recordOutcome(rt, outcomeClientDisconnected, 0)
	case rt.relay.started:
		counters.truncated.Add(1) // the connection ends without the last chunk
		rt.proxy.recordOutcome(rt, outcomeTruncated, 0)
		rt.truncate()
	case rt.serverError != nil && rt.worstExecution == mayHaveRun:
		rt.proxy.recordOutcome(rt, outcomeServerFailure, rt.serverError.head.Status)
		rt.keepAlive = rt.relay.forwardBuffered(rt.serverError)
	default:
		reply := rt.finalReply()
		rt.trace.checkLocalReply(rt, reply.status)
		rt.proxy.recordOutcome(rt, outcomeOfStatus(reply.status), reply.status)
		rt.keepAlive = rt.client.sendLocalReply(rt.request, reply)
	}
}

// truncate makes sure that an incomplete response does not look complete: where only the end of the
// connection ends it, the connection is reset.
func (rt *roundTrip) truncate() {
	rt.client.truncated = true
	if conn, ok := rt.client.socket.Conn.(*net.TCPConn); ok && rt.request.HTTP10 {
		conn.SetLinger(0)
	}
}

// finalReply is the proxy's own response where nothing more is tried.
func (rt *roundTrip) finalReply() *localReplyError {
	late := rt.timeLeft() < minTimeLeft || rt.stopReason() == proxyStopping
	switch finalStatus(rt.worstExecution, late) {
	case 503:
		return &localReplyError{status: 503, retryAfter: rt.retryAfter(),
			remedy: "no server can take the request now, and it has not run; send it again after Retry-After"}
	case 504:
		return &localReplyError{status: 504,
			remedy: "no answer came in time, and the request may have run; look before sending it again"}
	}
	return &localReplyError{status: 502,
		remedy: "the server broke off, and the request may have run; look before sending it again"}
}

// retryAfter is the time after which a server is expected to have a free slot.
func (rt *roundTrip) retryAfter() time.Duration {
	wait, _ := rt.proxy.chooser.queueDelay(&rt.request.scheduling)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
