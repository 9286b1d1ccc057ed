package balance

import (
	"math/rand/v2"
	"time"
)

// New returns a Balancer that knows no server yet.
func New(settings Settings, now time.Duration) (*Balancer, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	classes := len(settings.Classes)
	b := &Balancer{
		settings: settings, rng: rand.New(rand.NewPCG(settings.Seed, goldenRatio)),
		byID: map[ServerID]*server{}, requests: map[string]*request{}, bySeq: map[uint64]*request{},
		serviceTimes: make([]estimate, classes), serviceTimesByKind: make([][]estimate, classes),
		hintedWork: make([]estimate, classes), concurrency: 2,
		retryBudget: retryBudgetBurst, busyFraction: fullProbingBusyFraction,
	}
	for i, c := range settings.Classes {
		// A latency target leaves time for some queueing; two samples replace this guess.
		b.serviceTimes[i].mean = c.LatencyTarget.Seconds() / 5
	}
	return b, nil
}

// Timer reports that the wait of a SetTimer action is over.
func (b *Balancer) Timer(now time.Duration, token uint64, actions []Action) []Action {
	switch token & 3 {
	case timerFollow:
		return append(actions, Action{Kind: FollowList})
	case timerHedge:
		if r := b.bySeq[token>>2]; r != nil {
			return b.hedge(now, r, actions)
		}
	case timerDeferred:
		r := b.bySeq[token>>2]
		if r == nil || r.finished || r.outstanding > 0 {
			return actions
		}
		if r.pendingProbes > 0 {
			r.pendingProbes = 0 // the probes took too long; go by what is known
			return b.startAttempt(now, r, actions)
		}
		return b.nextAttempt(now, r, actions)
	}
	return actions
}
