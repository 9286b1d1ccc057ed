// Constants, New and the list; the ordinary path is Basic LI (Dahlin, "Interpreting Stale Load Information").

package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// lambda is the arrival rate a server is taken to have, as a part of what it can do. The paper
	// advises a high value: to underestimate it makes herds, to overestimate it costs little.
	lambda = 1.0
	// noReport is the age, in service times, that makes any difference between servers vanish.
	noReport = 1e9
	// retryShare is how many further attempts a request may add on average: enough for scattered
	// failures, too few to feed a jam. retryBurst is how many may come at once.
	retryShare, retryBurst = 0.2, 10.0
	// reportLife is how long a report tells as much as a new one would: servers refresh theirs more
	// seldom, and what was sent since is known.
	reportLife = 80 * time.Millisecond
	// refusePart of an aim spent waiting is where a usual request is refused; refuseAfter services if asked.
	refusePart, refuseAfter = 0.3, 2.5
	probeWorth              = 0.012 // what the probes of one request may cost together, as a part of its worth

	stuckAfter = 4 // service times in a queue without an answer after which a server counts as silent

	coldParts = 4                // like the 8 in weigh, where servers are asked and busy ones passed over
	errorRest = 10 * time.Second // the first rest after an error where servers are asked one by one
	mostAsked = 2                // servers asked for one request, one after the other, where probes are dear
	// All ask while busyAsked of those asked are busy, fewer before that, down to leastAsked.
	leastAsked, busyAsked = 0.25, 0.2
	// floorPart of the listed servers stay eligible whatever their health: when more look ill the
	// cause is rarely the servers, and the rest could not carry the load.
	floorPart = 0.5
)

// New returns a Balancer that knows no server yet.
func New(set Settings, now time.Duration) (*Balancer, error) {
	if err := check(&set); err != nil {
		return nil, err
	}
	b := &Balancer{
		set: set, rng: rand.New(rand.NewPCG(set.Seed, 0x9e3779b97f4a7c15)),
		byID: map[ServerID]*server{}, requests: map[string]*request{}, bySeq: map[uint64]*request{},
		service: make([]estimate, len(set.Classes)), byKind: make([][]estimate, len(set.Classes)),
		hinted: make([]estimate, len(set.Classes)), parallel: 2, budget: retryBurst, busy: busyAsked,
	}
	for i, c := range set.Classes {
		b.service[i].mean = c.Aim.Seconds() / 5 // an aim leaves room for some queueing; two samples replace it
	}
	return b, nil
}

// List takes in what the registry says.
func (b *Balancer) List(now time.Duration, kind ListKind, list []Server, acts []Action) []Action {
	if kind == ListFailed {
		b.failed++
		// Spread and back off: a registry that is short of time must not be asked by all at once.
		// But not for long: what it has to tell binds also while it is not heard.
		wait := b.set.AskWithin / 20 * time.Duration(1<<min(b.failed, 2))
		return append(acts, b.timer(b.jitter(wait), timerFollow, 0))
	}
	if kind == ListCached && b.set.MustFollow {
		spread := b.set.AskWithin / 5
		if len(list) == 0 { // whoever knows no server can serve nobody
			spread /= 20
		}
		acts = append(acts, b.timer(time.Duration(b.rng.Float64()*float64(spread)), timerFollow, 0))
	} else {
		b.failed = 0
	}
	named := make(map[ServerID]bool, len(list))
	for _, s := range list {
		named[s.ID] = true
		old := b.byID[s.ID]
		switch {
		case s.State != Up:
			b.drop(s.ID)
		case old == nil:
			b.byID[s.ID] = &server{Server: s, classes: make([]health, len(b.set.Classes))}
			b.servers = append(b.servers, b.byID[s.ID])
		case old.Started != s.Started:
			// A new process under the old id is cold, and nothing seen of the old one holds for it.
			b.byID[s.ID] = &server{Server: s, classes: make([]health, len(b.set.Classes))}
			b.servers[slices.Index(b.servers, old)] = b.byID[s.ID]
		default:
			old.Server = s
		}
	}
	if kind != ListDelta {
		for _, s := range slices.Clone(b.servers) {
			if !named[s.ID] {
				b.drop(s.ID)
			}
		}
	}
	b.rating = 0
	for _, s := range b.servers {
		if !(s.Rating > 0) || math.IsInf(s.Rating, 0) {
			s.Rating = 1
		}
		b.rating += s.Rating / float64(len(b.servers))
	}
	return acts
}
