package scheduler

import (
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/fleetconfig"
)

// Segment is a part of a prompt that other requests may share.
type Segment struct {
	ID     string // identifies the segment's content
	Tokens int
}

// Request holds the properties of a client's request that decisions depend on.
type Request struct {
	Service      *fleetconfig.Service
	Segments     []Segment // in prompt order; the last one belongs to this request or its session alone
	PromptTokens int
	OutputTokens int      // upper bound
	Excluded     []string // ids of servers that must not get this request
	Idempotent   bool     // the request may run more than once, so that it may probe a half-open server
}

// Role is what a server does for a call: prefill, decode, or both.
type Role int

// The roles of a call.
const (
	Serve   Role = iota // run the whole request, for a model service both prefill and decode
	Prefill             // compute the prompt's prefix cache and keep it for a decode server
	Decode              // fetch the prefix cache and generate the tokens
)

// Outcome is how a call ended.
type Outcome int

// The outcomes of a call.
const (
	Served       Outcome = iota // a complete, successful response
	Failed                      // the server ran the request and reported a failure of its own
	Rejected                    // the server did not run the request, and reported so: it is full or late
	Misdirected                 // the address now belongs to another incarnation
	Unreachable                 // no connection was established
	Broken                      // the connection ended, or its data was invalid, before the end of the response
	TimedOut                    // no response in time
	Abandoned                   // the client disconnected, or the caller gave up for reasons of its own
	HandleFailed                // the decode server could not fetch the prefix cache of the handle
)

// Call is one call to a server. Scheduler.Choose begins it and Scheduler.Done ends it.
type Call struct {
	Server *catalog.Server
	Role   Role

	state         *serverState
	prefillServer *serverState // the server whose prefix cache a decode call fetches; may be nil
	pool          *servicePool
	chain         prefixChain

	uncachedTokens    int // prompt tokens that the server is expected to prefill
	minUncachedTokens int // lower bound of uncachedTokens
	maxUncachedTokens int // upper bound of uncachedTokens
	outputTokens      int // upper bound
	cachedBefore      int // leading segments of the prompt that the server was known to have cached before

	serverIdle         bool    // no other request was known to be at the server when the call began
	inFlight           float64 // other requests at the server when the call began, estimated
	prefillMs          float64 // prefill work in ms that the call adds to its server, 0 once it is done
	expectedMs         float64 // expected time in ms from the decision to the first event of the response
	expectedUncachedMs float64 // the same for a prefill if the server has cached none of the prompt

	startedAt    time.Duration
	stallTime    time.Duration // part of the time since startedAt in which this process did not run
	firstEventAt time.Duration
	answered     bool // the first event of the response has arrived
	ended        bool
}

// Expectation holds what a decision assumed about the call that it began.
type Expectation struct {
	UncachedTokens  int           // prompt tokens that the server has to prefill
	TimeToFirstByte time.Duration // from the decision to the first byte of the response
}

// Expected returns what the decision assumed about the call.
func (c *Call) Expected() Expectation {
	return Expectation{UncachedTokens: c.uncachedTokens, TimeToFirstByte: duration(c.expectedMs)}
}

// SharedPrefix returns the hash of the prompt's shared prefix, 0 if there is none.
func (c *Call) SharedPrefix() uint64 {
	shared, _ := c.chain.shared()
	return shared.hash
}

// UncachedPrefill returns the expected time from the decision to the response of a prefill call if the server
// has cached none of the prompt. It is 0 for the other roles.
func (c *Call) UncachedPrefill() time.Duration { return duration(c.expectedUncachedMs) }

// Load is the load that a server reports in the header Cresshub-Server-Load, in requests.
type Load struct{ Running, Waiting, Slots int }

// ms converts a duration to milliseconds, the unit of all estimates.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// duration converts milliseconds to a duration.
func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
