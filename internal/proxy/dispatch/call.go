package dispatch

import (
	"slices"
	"time"

	"cresshub/balance"
)

// The results of attempts and probes.
const (
	Served        = balance.Done
	ErrorResponse = balance.Error       // may have run
	Rejected      = balance.Rejected    // the server did not process it, so it never ran
	TimedOut      = balance.TimedOut    // may have run
	NoConnection  = balance.ConnRefused // never ran
	Reset         = balance.Reset       // may have run
	Cancelled     = balance.Cancelled   // may have run
	Skipped       = balance.Skipped     // never ran, without any fault of the server
)

// ResultNames are the names of the results in logs and metrics, indexed by result.
var ResultNames = []string{
	"served", "error", "rejected", "timed_out", "no_connection", "broken", "cancelled", "skipped",
}

// Request is one request of a client, whatever protocol it was received by.
type Request struct {
	Class       int // index in Settings.Classes
	Tenant      int // index in Settings.Tenants
	Key         uint64
	HasKey      bool
	Deadline    time.Time     // when the client gives up
	Work        time.Duration // expected work on a standard core; 0 if unknown
	ClientRetry bool          // the client marked it as a retry
}

// Waiter blocks the goroutine of a request until a step is decided, and meanwhile detects a disconnect of
// its client. Only one goroutine at a time may call Wait and PeerClosed.
type Waiter interface {
	// Wait blocks until Wake is called and returns nil, or returns an error once the client has
	// disconnected. A Wake before Wait counts too.
	Wait() error
	// Wake ends Wait. It may be called from any goroutine.
	Wake()
	// PeerClosed reports, without blocking, whether the client has disconnected.
	PeerClosed() bool
}

// StepKind is what the goroutine of a request must do next.
type StepKind uint8

// The kinds of steps. All but the first two end the request.
const (
	Send               StepKind = iota // send attempt Attempt to Server
	Cancel                             // abort attempt Attempt
	Answer                             // forward the response of attempt Attempt to the client
	Reject                             // respond that a retry after RetryAfter is harmless
	Fail                               // respond that it failed
	ClientDisconnected                 // send no response; drop the response of attempt Attempt, -1 for none
)

// Step is the next step of a call, as NextStep returns it.
type Step struct {
	Kind       StepKind
	Server     ServerID
	Attempt    int           // number of the attempt in its call, from 0
	StartBy    time.Time     // of a Send: its first byte must be written before this time
	Deadline   time.Time     // of a Send: when the attempt times out
	RetryAfter time.Duration // of a Reject: how long the client should wait; 0 if that is not stated
}

// Call is one request from Open to its last step. It is guarded by the Decider's lock.
type Call struct {
	id       string
	waiter   Waiter
	deadline time.Time
	steps    []Step          // decided but not yet picked, in order
	sentAt   []time.Duration // by attempt: when it was sent or, if its body is streamed, completely sent
	timeouts []time.Duration // by attempt; 0 if only the deadline of the request limits it
	closed   bool            // its last step is decided: no more steps are added and it is not woken again
}

func (c *Call) addStep(s Step) {
	c.steps = append(c.steps, s)
	c.waiter.Wake()
}

// dropCancel removes the step that cancels an attempt.
func (c *Call) dropCancel(attempt int) {
	c.steps = slices.DeleteFunc(c.steps, func(s Step) bool { return s.Kind == Cancel && s.Attempt == attempt })
}
