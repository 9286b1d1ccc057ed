package balance

// This file defines the state of a Balancer and small operations on it; the decisions are in other files.

import (
	"math/rand/v2"
	"slices"
	"time"
)

// fibonacciMultiplier is 2^64 divided by the golden ratio, the multiplier of Fibonacci hashing.
const fibonacciMultiplier = 0x9e3779b97f4a7c15

// Balancer makes the decisions of one client proxy. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	rng      *rand.Rand
	servers  []*server // listed and up, in the order they were first listed
	byID     map[ServerID]*server
	requests map[string]*request
	bySeq    map[uint64]*request // requests without a final response, by sequence number
	seq      uint64              // sequence number of the last request

	serviceTimes       []estimate    // by class
	serviceTimesByKind [][]estimate  // by class and kind of machine
	expectedWork       []estimate    // expected work that requests state, by class
	concurrency        float64       // requests that a server processes at once
	meanRating         float64       // mean Rating of the listed servers
	retryBudget        float64       // retries and hedged attempts allowed now
	queueDelay         float64       // moving average of the latency beyond the service time, in seconds
	queueDelayAt       time.Duration // when queueDelay was last updated
	probeTime          float64       // moving average of the duration of probes, in seconds
	lastForecastMiss   *server       // server of the last latency far above the forecast from its fresh report
	forecastMissRate   float64       // fraction of outcomes with such latencies
	listFailures       int           // consecutive calls to the registry that failed

	hotKeys      keyCounter
	busyFraction float64 // moving average of the fraction of probed servers that were not idle

	eligibleBuf []*server   // result of eligible, reused
	candidates  []candidate // of the current selection, reused
}

// server is a listed server with this balancer's observations of it.
type server struct {
	Server
	inFlight, queued float64       // as of the last report
	reportedAt       time.Duration // when the last report came
	hasReport        bool
	reportSeq        int // number of reports so far; the last one excludes attempts with this reportSeq
	sentSinceReport  int // outstanding attempts of this balancer that were sent after the last report
	outstanding      int // outstanding attempts of this balancer

	failures     int           // consecutive
	ejections    int           // consecutive, without a success between them
	ejectedUntil time.Duration // no traffic until then
	halfOpen     bool          // was ejected, and no attempt or probe has succeeded since
	unreachable  bool          // the last connection was refused, or a probe timed out
	classes      []classHealth // by class

	probing  bool
	probedAt time.Duration // when its last probe was sent
	waiters  []*request    // requests deferred until its probe ends
}

// classHealth is the health of a server for one class.
type classHealth struct {
	outstanding   int           // outstanding attempts of this balancer
	unservedSince time.Duration // start of the period in which attempts were outstanding and none was served
	failures      int           // consecutive
	ejections     int           // consecutive, without a success between them
	ejectedUntil  time.Duration // no attempt of this class until then
}

// attemptStarted counts a new outstanding attempt.
func (h *classHealth) attemptStarted(now time.Duration) {
	h.outstanding++
	if h.outstanding == 1 {
		h.unservedSince = now
	}
}

// newServer returns a server without observations.
func (b *Balancer) newServer(s Server) *server {
	return &server{Server: s, classes: make([]classHealth, len(b.settings.Classes))}
}

func (b *Balancer) removeServer(id ServerID) {
	if s := b.byID[id]; s != nil {
		delete(b.byID, id)
		b.servers = slices.DeleteFunc(b.servers, func(o *server) bool { return o == s })
	}
}

// request is a request that has no final response yet, or whose attempts are still outstanding.
type request struct {
	Request
	seq         uint64
	receivedAt  time.Duration
	attempts    []attempt
	outstanding int // attempts without an outcome
	deferrals   int // how often it was deferred because no server was eligible
	finished    bool
	rejectDraw  float64 // in (0, 1], 0 before it is drawn; the lower, the sooner the request is rejected

	sample         []*server // servers to select from, probed or with fresh reports
	pendingProbes  int       // number of probes that it waits for
	probingDecided bool      // it was decided whether to probe for the next attempt
	withoutProbe   bool      // it is sent without a probe though probes are allowed
	affinityServer *server   // most likely to have its key cached; set where probes are not costly
	affinityCell   int       // most likely to have its key cached; set where probes are costly
	affinityBoost  float64   // factor by which samples prefer affinityCell; 0 for no preference
	keyFraction    float64   // fraction of all requests that have its key
	bodyConsumed   bool      // its body is no longer retained, so it can't be sent again
}

// isRejectedByDraw reports whether r is in the fraction of requests to be rejected. It draws once for each
// request, so that a request which is rejected at some fraction is rejected at every higher one.
func (r *request) isRejectedByDraw(rng *rand.Rand, fraction float64) bool {
	if r.rejectDraw == 0 {
		r.rejectDraw = 1 - rng.Float64()
	}
	return r.rejectDraw < fraction
}

// hasAttempted reports whether an attempt of r was sent to s.
func (r *request) hasAttempted(s *server) bool {
	for i := range r.attempts {
		if r.attempts[i].server == s {
			return true
		}
	}
	return false
}

// finish marks r as answered and removes it once no attempt is outstanding.
func (b *Balancer) finish(r *request) {
	r.finished = true
	delete(b.bySeq, r.seq)
	if r.outstanding == 0 {
		delete(b.requests, r.ID)
	}
}

// attempt is one attempt to have a request served by a server.
type attempt struct {
	server        *server
	sentAt        time.Duration
	reportSeq     int     // reportSeq of the server when it was sent
	requestsAhead float64 // requests in flight at the server when it was sent, as far as known
	freshReport   bool    // requestsAhead comes from a fresh report
	uncontended   bool    // a fresh report showed the server nearly idle, so the latency includes no queueing
	ended         bool
	mayHaveRun    bool // true until a result proves that the server did not start it
	uploading     bool // its body is not complete yet, so it does not count in the health of its class
}

// candidate is a server that an attempt or a probe may be sent to.
type candidate struct {
	server         *server
	weight         float64 // present capacity relative to the other servers
	level          float64 // requests in flight there, divided by weight
	maxProbability float64 // upper bound of probability
	probability    float64 // of being selected
	capped         bool    // probability is at maxProbability
	index          int     // position before sorting; set by WaterFill only
}

// fleetCapacity is the sum of the relative capacities of all servers eligible for a request.
type fleetCapacity struct {
	full float64 // as if all were past their slow start
	now  float64 // with their present slow start factors
}

// The kinds of timers.
const (
	timerDeferred = iota // a request waits for probes or for servers
	timerFollow          // the registry is due to be asked for changes
	timerHedge           // an attempt takes unusually long
)

// The token of a timer has its kind in the lowest bits and, above them, the sequence number of its request,
// 0 if there is none.
const (
	timerKindBits = 2
	timerKindMask = 1<<timerKindBits - 1
)

// timer returns the action that sets a timer. A wait shorter than a tick is extended to one tick.
func (b *Balancer) timer(wait time.Duration, kind int, seq uint64) Action {
	return Action{
		Kind: SetTimer, Wait: max(wait, b.settings.Tick), Token: seq<<timerKindBits | uint64(kind),
	}
}

// jitter returns a random duration from half of d to one and a half times d.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + b.rng.Float64()) * float64(d))
}
