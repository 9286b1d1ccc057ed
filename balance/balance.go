// Constants, the list and what is made of servers; the ordinary path is Basic LI (Dahlin, "Interpreting Stale
// Load Information").

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

// report takes a load report in.
func (b *Balancer) report(now time.Duration, s *server, row []float64) {
	held, waiting, ok := readRow(b.set.Report, row)
	if !ok {
		return
	}
	s.held, s.waiting, s.reported, s.hasReport = held, waiting, now, true
	s.epoch, s.since = s.epoch+1, 0
	if b.lag() == 0 && !b.dear() {
		b.met(now, b.waitBehind(held), 0.1)
	}
}

// waitBehind is the delay, in seconds, that a request meets at a usual server that holds so many.
func (b *Balancer) waitBehind(held float64) float64 {
	mean := b.meanService()
	return (held+1)/b.parallel*mean - mean
}

// fresh tells whether the last report of s is as good as one of this moment.
func (b *Balancer) fresh(now time.Duration, s *server) bool {
	return s.hasReport && now-s.reported <= max(reportLife, 2*b.set.Tick)
}

// lag is by how much reports look older than they came, in seconds. No report tells its age. Where
// outcomes keep to what fresh reports foretell there is none; where most go far beyond, on one server
// after the other, the reports are late, and to follow them as fresh makes all balancers herd. One
// slow server does not raise enough doubt.
func (b *Balancer) lag() float64 { return 4 * max(0, b.doubt-0.3) }

// compare holds an outcome against what the report before it foretold.
func (b *Balancer) compare(r *request, a *attempt, latency time.Duration, res Result) {
	foretold := max((a.level+1)/b.parallel/b.capacity(r.Class, a.to), 1) * float64(b.expected(r))
	late := 0.0
	if float64(latency) > 2*foretold {
		if late = 1; a.to == b.strange {
			return // one in trouble says nothing of the reports of the others
		}
		b.strange = a.to
	} else if res == TimedOut {
		return // cut off before it could tell
	}
	b.doubt += 0.15 * (late - b.doubt)
}

// learn takes the latency of a served attempt in.
func (b *Balancer) learn(class int, a *attempt, latency time.Duration) {
	x := latency.Seconds()
	if !(x > 0) {
		return
	}
	b.service[class].add(x, a.calm)
	k := b.kind(class, a.to.Kind)
	k.add(x, a.calm)
	// A server that holds more than it works on at once answers its whole level in level/parallel
	// service times; below that the latency says nothing of how many it works on.
	if a.level+1 > b.parallel {
		// The part of its level that a request waits for is averaged, not its inverse: a few very short
		// answers would make servers look wider than they are, and the wider the more they are crowded.
		part := min(max(x/k.mean/(a.level+1), 1/(a.level+1)), 1)
		b.parallel = 1 / (1/b.parallel + 0.05*(part-1/b.parallel))
	}
}

// capacity is what a warm server can do for a class, relative to the others: the rating until its
// kind's latencies are known.
func (b *Balancer) capacity(class int, s *server) float64 {
	rated := s.Rating / b.rating
	k := b.kind(class, s.Kind)
	seen := b.service[class].mean / k.mean
	return (4*rated + k.n*seen) / (4 + k.n)
}

// warmth is the part of its capacity a server is sure to have.
func (b *Balancer) warmth(now time.Duration, s *server) float64 {
	if s.Started <= 0 || now >= s.Started+b.set.ColdFor {
		return 1
	}
	age := max(0, float64(now-s.Started)/float64(b.set.ColdFor))
	return max(b.set.ColdStart+(1-b.set.ColdStart)*age, 0.01)
}

// met takes in how long a request was kept beyond its service time, or would be where it was looked at.
func (b *Balancer) met(now time.Duration, wait, gain float64) {
	b.delay, b.delayAt = b.waiting(now), now
	b.delay += gain * (max(wait, 0) - b.delay)
}

// waiting is the delay a request has to expect. It fades, so that a balancer that refuses everything
// tries again by and by.
func (b *Balancer) waiting(now time.Duration) float64 {
	return b.delay * math.Exp(-(now-b.delayAt).Seconds()/3)
}

// crowded is the delay to expect as far as reports bear it out: what a single server in trouble makes
// requests wait is no reason to refuse others. Reports come late, so more than they tell is believed.
func (b *Balancer) crowded(now time.Duration) float64 {
	sum, n := 0.0, 0.0
	for _, s := range b.servers {
		if s.hasReport && now-s.reported < time.Second {
			sum, n = sum+max(b.waitBehind(s.held+float64(s.since)), 0), n+1
		}
	}
	if n == 0 {
		return b.waiting(now)
	}
	return min(b.waiting(now), 3*sum/n)
}

// judge follows a server's health.
func (b *Balancer) judge(now time.Duration, s *server, res Result) {
	need, rest := 3, time.Second // an error or a time-out alone happens to well servers too
	switch res {
	case Done:
		s.failures, s.ejections, s.suspect, s.cut = 0, 0, false, false
		return
	case Cancelled, Skipped, Rejected:
		return // who turns some away takes others, and to leave it alone crowds the rest
	case Error: // who sees few requests hears of three in a row too late, and comes by seldom
		if b.dear() {
			need, rest = 1, errorRest
		}
	case Refused, Reset:
		need = 1
		s.cut = res == Refused
	}
	if s.failures++; s.failures >= need && now >= s.ejected {
		s.ejections++
		s.suspect = true
		s.ejected = now + b.jitter(rest<<min(s.ejections-1, 4))
	}
}

// Probed takes in how a probe ended, and goes on with the requests that waited for it.
func (b *Balancer) Probed(now time.Duration, p ProbeResult, acts []Action) []Action {
	s := b.byID[p.Server]
	if s == nil || !s.probing {
		return acts
	}
	s.probing = false
	if p.Result == Done {
		// One that fails tells nothing of a queue: a hall that is lost in silence is no reason to go blind.
		b.asking += 0.1 * (p.Latency.Seconds() - b.asking)
		s.suspect, s.cut = false, false
		b.report(now, s, p.Report)
		if b.busy *= 0.95; !b.idle(now, s) {
			b.busy += 0.05
		}
	} else {
		if p.Result == TimedOut {
			p.Result = Refused // a probe is answered beside the queue: silence means out of reach
		}
		b.judge(now, s, p.Result)
	}
	waiters := s.waiters
	s.waiters = nil
	for _, r := range waiters {
		if r.over || r.pending == 0 {
			continue
		}
		if r.pending--; r.pending == 0 {
			acts = b.send(now, r, acts)
		}
	}
	s.waiters = append(waiters[:0], s.waiters...)
	return acts
}

// Timer says that a wait asked for is over.
func (b *Balancer) Timer(now time.Duration, token uint64, acts []Action) []Action {
	switch token & 3 {
	case timerFollow:
		return append(acts, Action{Kind: FollowList})
	case timerCopy:
		if r := b.bySeq[token>>2]; r != nil {
			return b.second(now, r, acts)
		}
	case timerHold:
		r := b.bySeq[token>>2]
		if r == nil || r.over || r.out > 0 {
			return acts
		}
		if r.pending > 0 {
			r.pending = 0 // the probes took too long; go by what is known
			return b.send(now, r, acts)
		}
		return b.place(now, r, acts)
	}
	return acts
}
