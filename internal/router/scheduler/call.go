// Package scheduler decides which servers a request goes to: for a model service the server that reads the
// prompt and the one that makes the tokens, for other services the one server. It is pure: it has no input,
// output, clock or goroutine, and its callers hold a lock of their own. Times are on a steady clock.
//
// Each send is drawn at random from the shares of Basic LI (Dahlin, "Interpreting Stale Load Information"):
// the levels known of the candidates are filled like water up to what arrives while nothing newer is known.
// All levels are in milliseconds of work of the server; level.go states them, age.go states what arrives.
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

// Request is what a decision needs to know of a client's request.
type Request struct {
	Service      *fleetconfig.Service
	Segments     []Segment // in order; the last one belongs to the request or its session
	PromptTokens int
	OutputTokens int      // the most it generates
	Excluded     []string // ids of servers that this request must not be sent to again
	Idempotent   bool     // it may run more than once, so that it may try a server that has failed before
}

// Role is what a call asks of its server.
type Role int

// The roles of a call.
const (
	Serve   Role = iota // answer the request, reading the prompt itself where it has one
	Prefill             // read the prompt and hold its memory
	Decode              // fetch the memory and make the tokens
)

// Outcome is how a call ended.
type Outcome int

// The outcomes of a call.
const (
	Served       Outcome = iota // a whole answer of success
	Failed                      // the server's own failure, after it ran
	Rejected                    // the server says that it did not run the request: it is full or late
	Misdirected                 // another incarnation has the address
	Unreachable                 // no connection came about
	Broken                      // the connection ended or sent nonsense before the answer was whole
	TimedOut                    // no answer within the time there was
	Abandoned                   // the client left or the caller gave up for reasons of its own
	HandleFailed                // the memory named could not be fetched
)

// Call is one call under way.
type Call struct {
	Server *catalog.Server
	Role   Role

	state                    *serverState
	prefillServer            *serverState // that holds the memory of a call that writes
	pool                     *servicePool
	chain                    prefixChain
	uncachedTokens           int  // of the prompt, that the server is taken to have to read
	minUncached, maxUncached int  // the fewest and the most that they can be
	outputTokens             int  // the most tokens that it makes
	cachedBefore             int  // parts of the prompt that the server was known to hold
	serverIdle               bool // nothing else was known to be at the server when the call was sent
	inFlight                 float64
	prefillMs                float64 // ms of reading that it brings a reader
	expectedMs               float64 // ms until the first sign of an answer
	// the same if the server holds nothing of the prompt, where it is to read it
	uncachedMs   float64
	startedAt    time.Duration
	firstEventAt time.Duration // of its first event
	answered     bool
	ended        bool
}

// Expected returns what the decision reckoned with: the tokens of the prompt that the server would read, and
// the time until its first sign of an answer.
func (c *Call) Expected() (tokens int, wait time.Duration) {
	return c.uncachedTokens, time.Duration(c.expectedMs * float64(time.Millisecond))
}

// SharedPrefix returns the name of what the prompt shares with others, 0 where it shares nothing.
func (c *Call) SharedPrefix() uint64 {
	name, _, _ := c.chain.shared()
	return name
}

// UncachedPrefill returns the time until a call to read is answered if the server holds nothing of the
// prompt.
func (c *Call) UncachedPrefill() time.Duration {
	return time.Duration(c.uncachedMs * float64(time.Millisecond))
}

// Load is what a server tells of itself in Cresshub-Server-Load.
type Load struct{ Running, Waiting, Slots int }

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
