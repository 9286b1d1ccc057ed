package dataplane

import (
	"time"

	"github.com/rs/zerolog"

	"cresshub/internal/http1"
	"cresshub/internal/invariant"
	"cresshub/internal/router/scheduler"
)

// finalReason is why no further attempt was made for a request: the value of "reason" in metrics and logs.
// docs/fleet-operating.md explains the values to operators.
type finalReason string

// The reasons why a request ends without the complete response of a server.
const (
	reasonNoCapacity   finalReason = "no_capacity"   // no server could start before the request's deadline
	reasonAttemptsUsed finalReason = "attempts_used" // the route allows no further attempt
	reasonNoServer     finalReason = "no_server"     // the scheduler has no further server for the request
	reasonRetryBudget  finalReason = "retry_budget"  // the service's retry budget is used up
	reasonMayHaveRun   finalReason = "may_have_run"  // the request must not run twice
	reasonUnreachable  finalReason = "unreachable"   // maxUnreachableServers servers could not be connected to
	// a part of the response was forwarded, and no other server can resume it
	reasonNotResumable       finalReason = "not_resumable"
	reasonDeadline           finalReason = "deadline" // the request's deadline has passed, or nearly
	reasonStopping           finalReason = "stopping" // this process is shutting down
	reasonClientDisconnected finalReason = "client_disconnected"
)

// roundTripTrace records a request's calls, to explain its outcome and to check invariants. Its counts are
// independent of the attemptCounter, whose decisions they check. It belongs to the client's goroutine.
type roundTripTrace struct {
	reason           finalReason  // why no further attempt is made; "" while one is still possible
	failedCalls      []failedCall // in the order in which they ended
	attempts         int          // calls that count against the route's maximum
	freePrefillUsed  bool         // the first prefill call, which does not count, has been accepted
	unsafeMayHaveRun bool         // the request must not run twice and may have run
}

// failedCall is a call that did not return the complete response.
type failedCall struct {
	server    string
	role      scheduler.Role
	outcome   scheduler.Outcome
	execution execution
	at        time.Duration // since the request's arrival
	elapsed   time.Duration
}

// setReason records why no further attempt is made. newCall resets it to "" when it starts a call.
func (t *roundTripTrace) setReason(reason finalReason) { t.reason = reason }

// finalReason returns why a request ends.
func (t *roundTripTrace) finalReason(rt *roundTrip) finalReason {
	switch {
	case rt.stopReason() == clientDisconnected:
		return reasonClientDisconnected
	case rt.stopReason() == proxyStopping:
		return reasonStopping
	case t.reason == "":
		return reasonDeadline
	}
	return t.reason
}

// beginCall checks a call that is about to be sent.
func (t *roundTripTrace) beginCall(call *call) {
	rt := call.roundTrip
	invariant.Assert(call.role == scheduler.Prefill || !t.unsafeMayHaveRun, invariant.UnsafeSentOnce,
		"request %s is sent to %s though it may have run", rt.request.tryID, call.choice.Server.ID)
	if call.role == scheduler.Decode {
		invariant.Assert(rt.handle.tryID == rt.request.tryID, invariant.HandleOfOwnRequest,
			"request %s decodes from the prefix cache of request %s", rt.request.tryID, rt.handle.tryID)
	}
}

// endCall records how a call ended; failure is nil if the call succeeded.
func (t *roundTripTrace) endCall(call *call, failure *callFailure) {
	rt := call.roundTrip
	sent := call.conn != nil && call.conn.bytesSent > 0
	if sent {
		t.countAttempt(call, failure)
	}
	if failure == nil {
		return
	}
	notRun := failure.execution == notRun || failure.execution == notSent
	if sent && !notRun && call.role != scheduler.Prefill && !rt.request.route.Idempotent() {
		t.unsafeMayHaveRun = true
	}
	took := call.elapsed()
	t.failedCalls = append(t.failedCalls, failedCall{
		server: call.choice.Server.ID, role: call.role,
		outcome: failure.outcome, execution: failure.execution,
		at: time.Since(rt.request.arrived) - took, elapsed: took,
	})
}

// countAttempt counts a call of which something was sent.
func (t *roundTripTrace) countAttempt(call *call, failure *callFailure) {
	rejected := failure != nil && failure.execution == notRun
	if call.role == scheduler.Prefill && !t.freePrefillUsed && !rejected {
		t.freePrefillUsed = true
		return
	}
	t.attempts++
	maxAttempts := call.roundTrip.request.route.MaxAttempts
	invariant.Assert(t.attempts <= maxAttempts, invariant.AttemptsWithinRoute,
		"request %s made %d attempts, %d are allowed", call.roundTrip.request.tryID, t.attempts, maxAttempts)
}

// checkLocalReply checks that a request which may have run gets no local reply whose status says that it has
// not.
func (t *roundTripTrace) checkLocalReply(rt *roundTrip, status int) {
	saysNotRun := status == http1.StatusRequestTimeout || status == http1.StatusMisdirectedRequest ||
		status == http1.StatusTooManyRequests || status == http1.StatusServiceUnavailable
	invariant.Assert(!saysNotRun || !t.unsafeMayHaveRun, invariant.RejectedNeverRan,
		"request %s is answered %d though it may have run", rt.request.tryID, status)
}

// MarshalZerologArray appends the failed calls in the order in which they ended.
func (t *roundTripTrace) MarshalZerologArray(array *zerolog.Array) {
	for i := range t.failedCalls {
		array.Object(&t.failedCalls[i])
	}
}

// MarshalZerologObject adds the fields of one failed call to the event.
func (f *failedCall) MarshalZerologObject(event *zerolog.Event) {
	event.Str("server", f.server).Str("role", roleNames[f.role]).
		Str("outcome", outcomeNames[f.outcome]).Str("execution", executionNames[f.execution]).
		Dur("at_ms", f.at).Dur("took_ms", f.elapsed)
}

var roleNames = [...]string{
	scheduler.Serve: "serve", scheduler.Prefill: "prefill", scheduler.Decode: "decode",
}

var executionNames = [...]string{notSent: "not_sent", notRun: "not_run", mayHaveRun: "may_have_run"}

var outcomeNames = [...]string{
	scheduler.Served: "served", scheduler.Failed: "failed", scheduler.Rejected: "rejected",
	scheduler.Misdirected: "misdirected", scheduler.Unreachable: "unreachable", scheduler.Broken: "broken",
	scheduler.TimedOut: "timed_out", scheduler.Abandoned: "abandoned", scheduler.HandleFailed: "handle_failed",
}
