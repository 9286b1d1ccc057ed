// Package invariant checks at run time that the invariants of the router fleet hold.
//
// Code calls Assert where it is about to act, with a condition computed from state kept apart from the
// logic that is to ensure it, so that a fault of that logic is noticed. A violation changes nothing in what
// the program does: it is counted, for the metrics, and reported to the handler, which logs it. In tests the
// handler panics.
//
// All functions may be called by any goroutine. An assertion that holds costs a comparison and allocates
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
	// StreamIDsRise: the ids of the events that a client receives rise.
	StreamIDsRise
	// HandleOfOwnRequest: a decode server receives only the handle of a prefix of the very request.
	HandleOfOwnRequest
	// AttemptsWithinRoute: a request is sent to no more servers than its route allows.
	AttemptsWithinRoute
	// ConnectionOfServer: a request is sent only on a connection to the server that was chosen for it.
	ConnectionOfServer
	// CountsNotNegative: nothing is released that was not acquired.
	CountsNotNegative
	// ConfigVersionRises: the version of the configuration in use rises while a process runs.
	ConfigVersionRises
	// ReadsNotOlder: no read of the configuration returns an older version than this process has returned or
	// acknowledged before.
	ReadsNotOlder
	// CommittedSequenceRises: the committed entry of the control state is never replaced by an earlier one.
	CommittedSequenceRises
	// EnoughReplicas: a change is acknowledged only by a chain of a majority of the replicas.
	EnoughReplicas
	// FenceRises: the fencing tokens under which a process sends orders rise, and it holds each when it uses it.
	FenceRises
	// EndedStaysEnded: the incarnation of a server that has left does not return to the table.
	EndedStaysEnded

	checkCount // number of checks
)

// checkNames are stable: metrics and logs carry them, in part under earlier terms.
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

// Handler is called for each violation, by the goroutine that noticed it.
type Handler func(*ViolationError)

var (
	counts  [checkCount]atomic.Int64
	handler atomic.Pointer[Handler]
)

// SetHandler replaces the handler of the whole program. Without one, violations are only counted.
func SetHandler(h Handler) { handler.Store(&h) }

// PanicOnViolation makes each violation panic. Tests call it.
func PanicOnViolation() { SetHandler(func(violation *ViolationError) { panic(violation) }) }

// Assert counts and reports a violation of a check unless the condition holds. The detail is formatted only
// then.
func Assert(condition bool, check Check, format string, args ...any) {
	if condition {
		return
	}
	counts[check].Add(1)
	if h := handler.Load(); h != nil {
		(*h)(&ViolationError{check, fmt.Sprintf(format, args...)})
	}
}

// ViolationCount says how often a check was violated since the program started.
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
