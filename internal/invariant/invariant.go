// Package invariant checks at run time that the invariants of the router fleet hold.
//
// Code calls Assert before it acts, with a condition computed from state that is independent of the logic
// that has to ensure the invariant, so that a fault of that logic is noticed. A violation does not change
// what the program does: it is counted, for the metrics, and reported to the handler, which logs it. In tests
// the handler panics.
//
// All functions are safe for concurrent use. An assertion that holds costs a comparison and allocates
// nothing beyond its variadic arguments.
package invariant

import (
	"fmt"
	"sync/atomic"
)

// Check identifies an invariant.
type Check int

// The invariants that are checked.
const (
	// OneFinalAnswer: a request gets one response.
	OneFinalAnswer Check = iota
	// UnsafeSentOnce: a request that may run only once is not sent again after it may have run.
	UnsafeSentOnce
	// RejectedNeverRan: status 408, 421, 429 and 503 are given only to requests that have not run and can't run
	// any more.
	RejectedNeverRan
	// StreamIDsRise: the ids of the events that a client receives increase.
	StreamIDsRise
	// HandleOfOwnRequest: a decode server receives only the handle of a prefix of the same request.
	HandleOfOwnRequest
	// AttemptsWithinRoute: a request is sent to no more servers than its route allows.
	AttemptsWithinRoute
	// ConnectionOfServer: a request is sent only on a connection to the server that was chosen for it.
	ConnectionOfServer
	// CountsNotNegative: nothing is released that was not acquired.
	CountsNotNegative
	// ConfigVersionRises: the version of the configuration in use increases while a process runs.
	ConfigVersionRises
	// ReadsNotOlder: no read of the configuration returns an older version than this process has returned or
	// acknowledged before.
	ReadsNotOlder
	// CommittedSequenceRises: the committed entry of the control state is never replaced by an earlier one.
	CommittedSequenceRises
	// EnoughReplicas: a change is acknowledged only by a chain of a majority of the replicas.
	EnoughReplicas
	// FenceRises: the fencing tokens with which a process sends orders never decrease, and the process holds a
	// token when it uses it.
	FenceRises
	// EndedStaysEnded: an incarnation of a server that has ended does not return to the directory.
	EndedStaysEnded

	checkCount // number of checks
)

// checkNames must not change, because metrics and logs contain them. Some use earlier terms for their
// subject.
var checkNames = [checkCount]string{
	OneFinalAnswer:         "one_final_answer",
	UnsafeSentOnce:         "unsafe_sent_once",
	RejectedNeverRan:       "rejected_never_ran",
	StreamIDsRise:          "stream_ids_rise",
	HandleOfOwnRequest:     "handle_of_own_request",
	AttemptsWithinRoute:    "attempts_within_route",
	ConnectionOfServer:     "connection_of_server",
	CountsNotNegative:      "counts_not_negative",
	ConfigVersionRises:     "config_version_rises",
	ReadsNotOlder:          "config_reads_not_older",
	CommittedSequenceRises: "committed_sequence_rises",
	EnoughReplicas:         "enough_replicas",
	FenceRises:             "fence_rises",
	EndedStaysEnded:        "ended_stays_ended",
}

// String returns the name under which violations are counted.
func (c Check) String() string { return checkNames[c] }

// ViolationError reports a violated invariant.
type ViolationError struct {
	Check  Check
	Detail string
}

// Error implements error.
func (e *ViolationError) Error() string {
	return fmt.Sprintf("invariant %s: %s; report it with the log of this process", e.Check, e.Detail)
}

// Handler is called for each violation, in the goroutine that called Assert.
type Handler func(*ViolationError)

var (
	counts  [checkCount]atomic.Int64
	handler atomic.Pointer[Handler]
)

// SetHandler replaces the handler of the process. Without one, violations are only counted.
func SetHandler(h Handler) { handler.Store(&h) }

// PanicOnViolation makes each violation panic. Tests call it.
func PanicOnViolation() { SetHandler(func(violation *ViolationError) { panic(violation) }) }

// Assert counts and reports a violation of a check if the condition is false. Only then is the detail
// formatted.
func Assert(condition bool, check Check, format string, args ...any) {
	if condition {
		return
	}
	counts[check].Add(1)
	if h := handler.Load(); h != nil {
		(*h)(&ViolationError{check, fmt.Sprintf(format, args...)})
	}
}

// ViolationCount is how often a check was violated since the process started.
type ViolationCount struct {
	Check      Check
	Violations int64
}

// Counts returns the count of each check, in the order of the checks.
func Counts() []ViolationCount {
	all := make([]ViolationCount, checkCount)
	for i := range all {
		all[i] = ViolationCount{Check(i), counts[i].Load()}
	}
	return all
}
