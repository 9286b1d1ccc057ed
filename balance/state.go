package balance

// This file has the state of a Balancer and small operations on it; the decisions are in other files.

import (
	"math/rand/v2"
	"slices"
	"time"
)

// goldenRatio is 2^64 divided by the golden ratio, the multiplier of Fibonacci hashing.
const goldenRatio = 0x9e3779b97f4a7c15

// Balancer decides for one client proxy. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	rng      *rand.Rand
	servers  []*server // listed and up, in the order they were first listed
	byID     map[ServerID]*server
	requests map[string]*request
	bySeq    map[uint64]*request // those without a final response
	seq      uint64              // of the last request

	serviceTimes       []estimate   // by class
	serviceTimesByKind [][]estimate // by class and kind of machine
	hintedWork         []estimate   // expected work that requests were given, by class
	concurrency        float64      // requests a server works on at once
	meanRating         float64      // of the servers listed
	retryBudget        float64      // retries and hedged attempts allowed now
	queueDelay         float64      // recent latency beyond the service time, in seconds
	queueDelayAt       time.Duration
	probeTime          float64 // how long probes take, in seconds
	lastForecastMiss   *server // the last server with a latency far above the forecast of its fresh report
	forecastMissRate   float64 // fraction of outcomes with such latencies
	listFailures       int     // calls to the registry that failed in a row

	hotKeys      keyCounter
	busyFraction float64 // of the servers probed lately, those that were not idle

	eligibleBuf []*server   // result of eligible, reused
	candidates  []candidate // of the selection at hand, reused
}

// server is one entry of the list with what this balancer has observed of it.
type server struct {
	Server
	inFlight, queued float64       // at the last report
	reportedAt       time.Duration // when it came
	hasReport        bool
	reportSeq        int // number of reports, which shows which attempts the last one can't include
	sentSinceReport  int // outstanding attempts of this balancer that were sent after the last report
	outstanding      int // attempts of this balancer

	failures     int           // in a row
	ejections    int           // in a row without a success between
	ejectedUntil time.Duration // no traffic until then
	halfOpen     bool          // ejected before, and no success since
	unreachable  bool          // the last attempt found no connection
	classes      []classHealth // by class

	probing  bool
	probedAt time.Duration // when its probe was sent
	waiters  []*request    // requests deferred until its probe returns
}

// classHealth is how a server serves one class.
type classHealth struct {
	outstanding   int           // attempts of this balancer
	unservedSince time.Duration // since when none was served, while some were outstanding
	failures      int           // in a row
	ejections     int           // in a row without a success between
	ejectedUntil  time.Duration // none of this class until then
}

// attemptStarted counts one more outstanding attempt.
func (h *classHealth) attemptStarted(now time.Duration) {
	h.outstanding++
	if h.outstanding == 1 {
		h.unservedSince = now
	}
}

// newServer is a server of which nothing is known yet.
func (b *Balancer) newServer(s Server) *server {
	return &server{Server: s, classes: make([]classHealth, len(b.settings.Classes))}
}

func (b *Balancer) removeServer(id ServerID) {
	if s := b.byID[id]; s != nil {
		delete(b.byID, id)
		b.servers = slices.DeleteFunc(b.servers, func(o *server) bool { return o == s })
	}
}

// request is one that has no final response yet, or whose attempts are still outstanding.
type request struct {
	Request
	seq         uint64
	receivedAt  time.Duration
	attempts    []attempt
	outstanding int // attempts without an outcome
	deferrals   int // times it was deferred for lack of servers
	finished    bool
	rejectDraw  float64 // in (0, 1], 0 before the draw; the less, the sooner it is rejected

	sample         []*server // servers to select from, probed or with fresh reports
	pendingProbes  int       // probes it waits for
	probingDecided bool      // for the next attempt
	withoutProbe   bool      // sent without a probe though probes are allowed
	affinityServer *server   // where its key is likeliest cached, where probes are not costly
	affinityCell   int       // the same where they are
	affinityBoost  float64   // multiplies the weights of that cell in samples; 0 if there is none
	keyFraction    float64   // fraction of all requests that have its key
	bodyConsumed   bool      // its body is not retained any more, so there can be no other attempt
}

// isRejectedByDraw reports whether a request is among the fraction to be rejected. It draws once for each
// request, so that one which is rejected at some fraction is rejected at every higher one.
func (r *request) isRejectedByDraw(rng *rand.Rand, fraction float64) bool {
	if r.rejectDraw == 0 {
		r.rejectDraw = 1 - rng.Float64()
	}
	return r.rejectDraw < fraction
}

// hasAttempted reports whether an attempt went to s.
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

// attempt is one sending of a request to a server.
type attempt struct {
	server        *server
	sentAt        time.Duration
	reportSeq     int     // of the server's last report when it was sent
	requestsAhead float64 // in flight at the server when it was sent, as far as known
	freshReport   bool    // requestsAhead is from a fresh report
	uncontended   bool    // a fresh report shows the server nearly idle, so the latency has no queueing in it
	ended         bool
	mayHaveRun    bool // as far as is known: true until a result proves otherwise
	uploading     bool // its body is not complete yet, and it does not count in its class's health
}

// candidate is a server that an attempt or a probe may be sent to.
type candidate struct {
	server         *server
	weight         float64 // capacity now, relative to the other servers
	level          float64 // requests in flight there, divided by weight
	maxProbability float64 // cap of probability
	probability    float64 // of its selection
	capped         bool    // its probability is at the maximum
	index          int     // position before sorting; set by WaterFill only
}

// fleetCapacity is the capacity of all servers eligible for a request, the sum of their relative capacities.
type fleetCapacity struct {
	full float64 // as if all were past their slow start
	now  float64 // as they are
}

// The kinds of timers.
const (
	timerDeferred = iota // a request waits for probes or for servers
	timerFollow          // the registry is to be followed
	timerHedge           // an attempt takes unusually long
)

// The token of a timer has its kind in the lowest bits, and above them the sequence number of its request, 0
// if it has none.
const (
	timerKindBits = 2
	timerKindMask = 1<<timerKindBits - 1
)

// timer is the action that sets a timer. A wait shorter than a tick is one tick.
func (b *Balancer) timer(wait time.Duration, kind int, seq uint64) Action {
	return Action{
		Kind: SetTimer, Wait: max(wait, b.settings.Tick), Token: seq<<timerKindBits | uint64(kind),
	}
}

// jitter is a random time from half of d to one and a half of it.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + b.rng.Float64()) * float64(d))
}
