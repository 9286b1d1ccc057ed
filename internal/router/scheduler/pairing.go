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

// Part is a part of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Request is what a decision needs to know of a client's request.
type Request struct {
	Service      *fleetconfig.Service
	Parts        []Part // in order; the last one belongs to the request or its session
	PromptTokens int
	OutputTokens int      // the most it generates
	Tried        []string // ids of servers that this request must not be sent to again
	Idempotent   bool     // it may run more than once, so that it may try a server that has failed before
}

// Role is what a call asks of its server.
type Role int

// The roles of a call.
const (
	Serve Role = iota // answer the request, reading the prompt itself where it has one
	Read              // read the prompt and hold its memory
	Write             // fetch the memory and make the tokens
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
	Silent                      // no answer within the time there was
	Abandoned                   // the client left or the caller gave up for reasons of its own
	HandleFailed                // the memory named could not be fetched
)

// Call is one call under way.
type Call struct {
	Server *catalog.Server
	Role   Role

	state       *server
	reader      *server // that holds the memory of a call that writes
	pool        *pool
	prompt      prompt
	tokens      int  // of the prompt, that the server is taken to have to read
	least, most int  // the fewest and the most that they can be
	output      int  // the most tokens that it makes
	heldBefore  int  // parts of the prompt that the server was known to hold
	alone       bool // nothing else was known to be at the server when the call was sent
	busy        float64
	readWork    float64 // ms of reading that it brings a reader
	expected    float64 // ms until the first sign of an answer
	uncached    float64 // the same if the server holds nothing of the prompt, where it is to read it
	started     time.Duration
	first       time.Duration // of its first event
	answered    bool
	ended       bool
}

// Expected returns what the decision reckoned with: the tokens of the prompt that the server would read, and
// the time until its first sign of an answer.
func (c *Call) Expected() (tokens int, wait time.Duration) {
	return c.tokens, time.Duration(c.expected * float64(time.Millisecond))
}

// Shared returns the name of what the prompt shares with others, 0 where it shares nothing.
func (c *Call) Shared() uint64 {
	name, _, _ := c.prompt.shared()
	return name
}

// Longest returns the time until a call to read is answered if the server holds nothing of the prompt.
func (c *Call) Longest() time.Duration { return time.Duration(c.uncached * float64(time.Millisecond)) }

// Load is what a server tells of itself in Cresshub-Server-Load.
type Load struct{ Running, Waiting, Slots int }

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
