package balance

import (
	"math/rand/v2"
	"time"
)

const (
	// initialConcurrency is how many requests a server is assumed to process at once before any latency is
	// measured.
	initialConcurrency = 2
	// initialServiceTimeDivisor divides the latency target of a class; the quotient is its assumed service
	// time before any latency is measured: a target leaves time for some queueing.
	initialServiceTimeDivisor = 5
)

// New returns a Balancer without servers, or an error that names the invalid setting. now is the current
// reading of the clock that all later calls use; the clock must not run backwards.
func New(settings Settings, now time.Duration) (*Balancer, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	classes := len(settings.Classes)
	b := &Balancer{
		settings: settings, rng: rand.New(rand.NewPCG(settings.Seed, fibonacciMultiplier)),
		byID: map[ServerID]*server{}, requests: map[string]*request{}, bySeq: map[uint64]*request{},
		serviceTimes: make([]estimate, classes), serviceTimesByKind: make([][]estimate, classes),
		expectedWork: make([]estimate, classes), concurrency: initialConcurrency,
		retryBudget: retryBudgetBurst, busyFraction: fullProbingBusyFraction,
	}
	for i, c := range settings.Classes {
		b.serviceTimes[i].mean = c.LatencyTarget.Seconds() / initialServiceTimeDivisor
	}
	return b, nil
}

// Timer reports that the wait of a SetTimer action is over; token is the Token of the action.
func (b *Balancer) Timer(now time.Duration, token uint64, actions []Action) []Action {
	kind, seq := token&timerKindMask, token>>timerKindBits
	if kind == timerFollow {
		return append(actions, Action{Kind: FollowList})
	}
	r := b.bySeq[seq]
	if r == nil {
		return actions
	}
	switch kind {
	case timerHedge:
		return b.hedge(now, r, actions)
	case timerDeferred:
		return b.continueDeferred(now, r, actions)
	}
	return actions
}

// continueDeferred ends a request's wait for probes or for servers.
func (b *Balancer) continueDeferred(now time.Duration, r *request, actions []Action) []Action {
	if r.finished || r.outstanding > 0 {
		return actions
	}
	if r.pendingProbes > 0 {
		r.pendingProbes = 0 // the probes took too long; continue with the reports at hand
		return b.startAttempt(now, r, actions)
	}
	return b.nextAttempt(now, r, actions)
}
