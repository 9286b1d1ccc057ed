package balance

// What a Balancer remembers, and the check of its settings. Every decision is in the policy files.

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Balancer decides for one client process. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	rng      *rand.Rand
	servers  []*server // listed and up, in the order they were first listed
	byID     map[ServerID]*server
	requests map[string]*request
	bySeq    map[uint64]*request
	seq      uint64

	serviceTimes       []estimate   // by class
	serviceTimesByKind [][]estimate // by class and kind of machine
	hintedWork         []estimate   // expected work told with the requests, by class
	concurrency        float64      // requests a server works on at once
	meanRating         float64      // mean rating of the servers listed
	retryBudget        float64      // further attempts allowed now
	queueDelay         float64      // what requests lately met beyond their service time, in seconds
	queueDelayAt       time.Duration
	probeTime          float64 // how long probes take, in seconds
	lastForecastMiss   *server // the last one that did what its report did not foretell
	forecastMissRate   float64 // part of late outcomes that fresh reports did not foretell
	listFailures       int     // calls to the registry failed in a row

	hotKeys      keyCounter
	busyFraction float64 // part of the servers asked lately that were not idle

	eligibleBuf []*server   // scratch
	candidates  []candidate // scratch
}

// server is one line of the list with what this balancer has seen of it.
type server struct {
	Server
	inFlight, queued float64       // at the last report
	reportedAt       time.Duration // when it came
	hasReport        bool
	reportSeq        int // counts reports, to tell which attempts the last one cannot have seen
	sentSinceReport  int // own attempts out that were sent after the last report
	outstanding      int // own attempts out

	failures     int           // in a row
	ejections    int           // in a row without a success between
	ejectedUntil time.Duration // no traffic until then
	halfOpen     bool          // ejected before, and no success since
	unreachable  bool          // it could not be reached when last tried
	classes      []classHealth // by class

	probing  bool
	probedAt time.Duration // when its probe set off
	waiters  []*request    // requests held until its probe returns
}

// classHealth is what a server does with one class.
type classHealth struct {
	outstanding   int           // own attempts out
	unservedSince time.Duration // nothing was served since then, while some were out
	failures      int           // in a row
	ejections     int           // in a row without a success between
	ejectedUntil  time.Duration // none of this class until then
}

type attempt struct {
	server        *server
	sentAt        time.Duration
	reportSeq     int
	requestsAhead float64 // requests met there, as far as known
	freshReport   bool    // a report of that moment told the level
	uncontended   bool    // and that nothing waited
	ended         bool
	mayHaveRun    bool // it may have run, as far as is known

	uploading bool // its request is not whole yet, and not counted in its class's health
}

type request struct {
	Request
	seq            uint64
	receivedAt     time.Duration
	attempts       []attempt
	outstanding    int // attempts without an outcome
	sample         []*server
	affinityServer *server // where its key is likeliest warm
	pendingProbes  int     // probes it waits for
	probingDecided bool
	withoutProbe   bool    // sent without asking
	deferrals      int     // times it was held for lack of servers
	rejectDraw     float64 // from 0 to 1; the less, the sooner it is refused
	keyFraction    float64 // part of all requests that its key has
	affinityCell   int     // where its key is likeliest warm
	affinityBoost  float64 // how much that cell is preferred, 0 where it is not
	finished       bool
	bodyConsumed   bool // not held any more, so no other attempt can be made
}

type candidate struct {
	server         *server
	weight         float64 // capacity now, relative
	level          float64 // load a request meets there, by weight
	maxProbability float64 // most it may be given
	probability    float64
	capped         bool
	index          int // of the row before it was sorted, where Fill asks
}

func validate(settings *Settings) error {
	if len(settings.Classes) == 0 {
		return fmt.Errorf("settings: Classes is empty")
	}
	for i, c := range settings.Classes {
		if c.LatencyTarget <= 0 || c.Deadline <= 0 || c.DedupWindow < 0 {
			return fmt.Errorf("settings: Classes[%d]: LatencyTarget and Deadline must be above 0, DedupWindow not below", i)
		}
		if !(c.Value >= 0) || math.IsInf(c.Value, 0) || !(c.LateValue >= 0 && c.LateValue <= 1) ||
			!(c.TargetPerWork >= 0) || math.IsInf(c.TargetPerWork, 0) {
			return fmt.Errorf("settings: Classes[%d]: Value, LateValue or TargetPerWork out of range", i)
		}
	}
	for name, d := range map[string]time.Duration{
		"Tick": settings.Tick, "RegistryInterval": settings.RegistryInterval, "DrainGrace": settings.DrainGrace,
		"ResponseGrace": settings.ResponseGrace, "SlowStartWindow": settings.SlowStartWindow,
		"CollapseAfter": settings.CollapseAfter, "MaxRetryAfter": settings.MaxRetryAfter,
		"DialTimeout": settings.DialTimeout} {
		if d < 0 {
			return fmt.Errorf("settings: %s is negative", name)
		}
	}
	if !(settings.SlowStartMin >= 0 && settings.SlowStartMin <= 1) {
		return fmt.Errorf("settings: SlowStartMin is not from 0 to 1")
	}
	if !(settings.CollapseMultiple >= 0) || math.IsInf(settings.CollapseMultiple, 0) {
		return fmt.Errorf("settings: CollapseMultiple is not a number from 0 on")
	}
	return nil
}

// mix scatters the bits of a key and a server.
func mix(x uint64) uint64 {
	x = (x ^ x>>31) * 0x7fb5d329728ea185
	x = (x ^ x>>27) * 0x81dadef4bc2dd44d
	return x ^ x>>33
}

// hasAttempted tells whether an attempt went to s.
func (r *request) hasAttempted(s *server) bool {
	for i := range r.attempts {
		if r.attempts[i].server == s {
			return true
		}
	}
	return false
}

func (b *Balancer) removeServer(id ServerID) {
	if s := b.byID[id]; s != nil {
		delete(b.byID, id)
		b.servers = slices.DeleteFunc(b.servers, func(o *server) bool { return o == s })
	}
}

func (b *Balancer) finish(r *request) {
	r.finished = true
	delete(b.bySeq, r.seq)
	if r.outstanding == 0 {
		delete(b.requests, r.ID)
	}
}

const (
	timerDeferred = iota
	timerFollow
	timerHedge
)

func (b *Balancer) timer(wait time.Duration, kind int, seq uint64) Action {
	return Action{Kind: SetTimer, Wait: max(wait, b.settings.Tick), Token: seq<<2 | uint64(kind)}
}

// jitter spreads a wait over half to one and a half of it.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + b.rng.Float64()) * float64(d))
}

// isRejectedByDraw draws once for a request and tells, each time it is asked, whether it is among such a
// part.
func (r *request) isRejectedByDraw(rng *rand.Rand, fraction float64) bool {
	if r.rejectDraw == 0 {
		r.rejectDraw = 1 - rng.Float64()
	}
	return r.rejectDraw < fraction
}
