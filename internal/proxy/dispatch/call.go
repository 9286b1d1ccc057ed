package dispatch

import (
	"slices"
	"time"

	"cresshub/balance"
)

// How an attempt or a probe ends.
const (
	Served        = balance.Done
	ErrorResponse = balance.Error       // may have run
	Rejected      = balance.Rejected    // the server did not process it, so it never ran
	TimedOut      = balance.TimedOut    // may have run
	NoConnection  = balance.ConnRefused // never ran
	Reset         = balance.Reset       // may have run
	Cancelled     = balance.Cancelled   // may have run
	Skipped       = balance.Skipped     // never ran, and no server is to blame
)

// ResultNames are the names of the results in logs and figures, by their values.
var ResultNames = []string{
	"served", "error", "rejected", "timed_out", "no_connection", "broken", "cancelled", "skipped",
}

// Request is one request of a client, whatever protocol it came by.
type Request struct {
	Class       int // position in the settings
	Tenant      int // likewise
	Key         uint64
	HasKey      bool
	Deadline    time.Time     // when the client gives up
	Work        time.Duration // expected work on a standard core; 0 if unknown
	ClientRetry bool          // the client says that it sent the request before
}

// Waiter lets the goroutine of a request sleep until a step is decided, and watches its client meanwhile. One
// goroutine at a time calls Wait and PeerClosed.
type Waiter interface {
	// Wait returns nil once Wake was called, also where that came first, or an error when the client is gone.
	Wait() error
	// Wake ends Wait; any goroutine may call it.
	Wake()
	// PeerClosed reports without waiting whether the client is gone.
	PeerClosed() bool
}

// StepKind says what the goroutine of a request has to do next.
type StepKind uint8

// The kinds of steps. All but the first two end the request.
const (
	Send       StepKind = iota // start attempt Attempt at Server
	Cancel                     // abort attempt Attempt
	Answer                     // pass on the response of attempt Attempt
	Reject                     // respond that the request did not run and may be retried after RetryAfter
	Fail                       // respond that it failed
	ClientGone                 // don't respond; drop the response of attempt Attempt, unless that is -1
)

// Step is what NextStep returns.
type Step struct {
	Kind       StepKind
	Server     ServerID
	Attempt    int           // position among the attempts of the call, from 0
	StartBy    time.Time     // of a Send: its first byte must be written before
	Deadline   time.Time     // of a Send: when it has timed out
	RetryAfter time.Duration // of a Reject; 0 if there is no advice
}

// Call is one request from Open to its last step. The Decider's lock guards it.
type Call struct {
	id       string
	waiter   Waiter
	deadline time.Time
	steps    []Step          // decided and not yet picked, in their order
	sentAt   []time.Duration // by attempt, when it was sent or, where its body streams, when that was complete
	timeouts []time.Duration // by attempt, how long it is waited for; 0 where only the deadline ends it
	closed   bool            // its last step is decided: no more steps, no more wakes
}

func (c *Call) addStep(s Step) {
	c.steps = append(c.steps, s)
	c.waiter.Wake()
}

// dropCancel removes the step that cancels an attempt.
func (c *Call) dropCancel(attempt int) {
	c.steps = slices.DeleteFunc(c.steps, func(s Step) bool { return s.Kind == Cancel && s.Attempt == attempt })
}
