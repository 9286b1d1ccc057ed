package scheduler

import (
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/fleetconfig"
)

// Segment is a part of a prompt that other requests may share.
type Segment struct {
	ID     string
	Tokens int
}

// Request is the part of a client's request that decisions depend on.
type Request struct {
	Service      *fleetconfig.Service
	Segments     []Segment // in order; the last one belongs to the request or its session alone
	PromptTokens int
	OutputTokens int      // upper bound
	Excluded     []string // ids of servers that this request must not be sent to again
	Idempotent   bool     // it may run more than once, so that it may probe a half-open server
}

// Role is what a server does for a call: prefill, decode, or both.
type Role int

// The roles of a call.
const (
	Serve   Role = iota // answer the request, with a prefill of its own for a model service
	Prefill             // compute the prompt's prefix cache and keep it for a decode server
	Decode              // fetch the prefix cache and generate the tokens
)

// Outcome is how a call ended.
type Outcome int

// The outcomes of a call.
const (
	Served       Outcome = iota // a complete answer of success
	Failed                      // the server's own failure, after it ran the request
	Rejected                    // the server did not run the request, and said so: it is full or late
	Misdirected                 // another incarnation has the address
	Unreachable                 // no connection was established
	Broken                      // the connection ended, or its data was invalid, before the answer was complete
	TimedOut                    // no answer in time
	Abandoned                   // the client left, or the caller gave up for reasons of its own
	HandleFailed                // the prefix cache that the handle names could not be fetched
)

// Call is one call in flight. Scheduler.Choose begins it, Scheduler.Done ends it.
type Call struct {
	Server *catalog.Server
	Role   Role

	state         *serverState
	prefillServer *serverState // whose prefix cache a decode call fetches; may be nil
	pool          *servicePool
	chain         prefixChain

	uncachedTokens int // prompt tokens that the server is expected to prefill
	minUncached    int // the fewest tokens that they can be
	maxUncached    int // the most tokens
	outputTokens   int // upper bound
	cachedBefore   int // segments of the prompt that the server was known to hold before

	serverIdle bool    // nothing else was known to be at the server when the call began
	inFlight   float64 // requests at the server when the call began
	prefillMs  float64 // of prefill work that the call adds to its server, 0 once that is done
	expectedMs float64 // until the first sign of an answer
	uncachedMs float64 // the same for a prefill if the server has cached nothing of the prompt

	startedAt    time.Duration
	stalled      time.Duration // of the time since then, in which this process did not run
	firstEventAt time.Duration
	answered     bool // the first event has come
	ended        bool
}

// Expectation is what a decision expects of the call that it begins.
type Expectation struct {
	UncachedTokens  int           // prompt tokens that the server has to prefill
	TimeToFirstByte time.Duration // from the decision to the first byte of the answer
}

// Expected returns what the decision expected of the call.
func (c *Call) Expected() Expectation {
	return Expectation{UncachedTokens: c.uncachedTokens, TimeToFirstByte: duration(c.expectedMs)}
}

// SharedPrefix returns the hash of the part of the prompt that other requests share, 0 if there is none.
func (c *Call) SharedPrefix() uint64 {
	shared, _ := c.chain.shared()
	return shared.hash
}

// UncachedPrefill returns the time until a prefill call is answered if the server has cached nothing of the
// prompt.
func (c *Call) UncachedPrefill() time.Duration { return duration(c.uncachedMs) }

// Load is what a server reports of itself in the header Cresshub-Server-Load, in requests.
type Load struct{ Running, Waiting, Slots int }

// ms returns a duration in milliseconds, the unit of all estimates.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// duration is the inverse of ms.
func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
