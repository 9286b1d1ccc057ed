// Package invariant holds promises as checks that run in the code. A check looks at what is about to happen
// by figures of its own, apart from the logic that is to keep the promise, so that a mistake of that logic
// is seen. A violation is counted, and told to the handler; in tests the handler panics.
package invariant

import (
	"fmt"
	"sync/atomic"
)

// Check names one promise.
type Check int

// The promises that are checked.
const (
	// OneFinalAnswer: a request gets one answer.
	OneFinalAnswer Check = iota
	// UnsafeSentOnce: what may run only once is not sent again after it may have run.
	UnsafeSentOnce
	// RejectedNeverRan: 408, 421, 429 and 503 are given only to what has not run and can't run any more.
	RejectedNeverRan
	// StreamIDsRise: the ids of the events that a client gets rise.
	StreamIDsRise
	// HandleOfOwnRequest: a server is told only of memory that holds the prompt of the very request.
	HandleOfOwnRequest
	// AttemptsWithinRoute: a request reaches no more servers than its route allows.
	AttemptsWithinRoute
	// ConnectionOfServer: a request goes out only on a connection to the server that was chosen for it.
	ConnectionOfServer
	// CountsNotNegative: nothing is given back that was not taken.
	CountsNotNegative
	// ConfigVersionRises: the version of the configuration in force rises while a process lives.
	ConfigVersionRises
	// ReadsNotOlder: no read of the configuration shows less than what this process has shown or acknowledged.
	ReadsNotOlder
	// CommittedSequenceRises: the committed entry of the control state is never replaced by an earlier one.
	CommittedSequenceRises
	// EnoughReplicas: a change is acknowledged only by a chain of as many replicas as must hold it.
	EnoughReplicas
	// FenceRises: the fences under which a process gives orders rise, and each is held when it is used.
	FenceRises
	// EndedStaysEnded: a server that has left for good does not come back into the table.
	EndedStaysEnded

	checkCount // how many there are
)

var checkNames = [checkCount]string{
	"one_final_answer", "unsafe_sent_once", "refused_never_ran", "stream_ids_rise", "ticket_of_own_request",
	"tries_within_route", "connection_of_server", "counts_not_negative", "config_version_rises",
	"reads_not_older", "committed_sequence_rises", "enough_copies", "fence_rises", "ended_stays_ended",
}

// String returns the name under which violations are counted.
func (c Check) String() string { return checkNames[c] }

// ViolationError is one broken promise.
type ViolationError struct {
	Check  Check
	Detail string
}

// Error implements error.
func (v *ViolationError) Error() string {
	return fmt.Sprintf("invariant %s: %s; report it with the log of this process", v.Check, v.Detail)
}

// Handler is told of each violation.
type Handler func(*ViolationError)

var (
	counts  [checkCount]atomic.Int64
	handler atomic.Pointer[Handler]
)

// SetHandler names who is told of violations, in place of whoever was told before.
func SetHandler(h Handler) { handler.Store(&h) }

// PanicOnViolation has a violation end the program. Tests call it.
func PanicOnViolation() { SetHandler(func(v *ViolationError) { panic(v) }) }

// Assert counts a violation unless the condition holds. The detail is laid out only then.
func Assert(condition bool, check Check, format string, args ...any) {
	if condition {
		return
	}
	counts[check].Add(1)
	if h := handler.Load(); h != nil {
		(*h)(&ViolationError{check, fmt.Sprintf(format, args...)})
	}
}

// ViolationCount is how often a promise was broken.
type ViolationCount struct {
	Check      Check
	Violations int64
}

// Counts returns a count for each check.
func Counts() []ViolationCount {
	all := make([]ViolationCount, checkCount)
	for i := range all {
		all[i] = ViolationCount{Check(i), counts[i].Load()}
	}
	return all
}
