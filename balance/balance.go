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
	// assumedLoad is the arrival rate a server is taken to have, as a part of what it can do. The paper
	// advises a high value: to underestimate it makes herds, to overestimate it costs little.
	assumedLoad = 1.0
	// unknownReportAge is the age, in service times, that makes any difference between servers vanish.
	unknownReportAge = 1e9
	// retryBudgetRatio is how many further attempts a request may add on average: enough for scattered
	// failures, too few to feed a jam. retryBudgetBurst is how many may come at once.
	retryBudgetRatio, retryBudgetBurst = 0.2, 10.0
	// reportTTL is how long a report tells as much as a new one would: servers refresh theirs more
	// seldom, and what was sent since is known.
	reportTTL = 80 * time.Millisecond
	// rejectTargetFraction of an aim spent waiting is where a usual request is refused; rejectServiceTimes
	// services if asked.
	rejectTargetFraction, rejectServiceTimes = 0.3, 2.5
	// maxProbeCost is what the probes of one request may cost together, as a part of its value.
	maxProbeCost = 0.012

	unresponsiveAfter = 4 // service times in a queue without an answer after which a server counts as silent

	// slowStartSampleMargin is like the 8 in weighCandidates, where servers are asked and busy ones passed over.
	slowStartSampleMargin = 4
	// errorEjectionTime is the first ejection after an error where servers are asked one by one.
	errorEjectionTime = 10 * time.Second
	// maxProbesPerRequest servers are asked for one request, one after the other, where probes are costly.
	maxProbesPerRequest = 2
	// All ask while fullProbingBusyFraction of those asked are busy, fewer before that, down to
	// minProbedFraction.
	minProbedFraction, fullProbingBusyFraction = 0.25, 0.2
	// panicThreshold of the listed servers stay eligible whatever their health: when more look ill the
	// cause is rarely the servers, and the rest could not carry the load.
	panicThreshold = 0.5
)

// New returns a Balancer that knows no server yet.
func New(settings Settings, now time.Duration) (*Balancer, error) {
	if err := validate(&settings); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings: settings, rng: rand.New(rand.NewPCG(settings.Seed, 0x9e3779b97f4a7c15)),
		byID: map[ServerID]*server{}, requests: map[string]*request{}, bySeq: map[uint64]*request{},
		serviceTimes:       make([]estimate, len(settings.Classes)),
		serviceTimesByKind: make([][]estimate, len(settings.Classes)),
		hintedWork:         make([]estimate, len(settings.Classes)),
		concurrency:        2, retryBudget: retryBudgetBurst, busyFraction: fullProbingBusyFraction,
	}
	for i, c := range settings.Classes {
		// A latency target leaves capacity for some queueing; two samples replace it.
		b.serviceTimes[i].mean = c.LatencyTarget.Seconds() / 5
	}
	return b, nil
}

// List takes in what the registry says.
func (b *Balancer) List(now time.Duration, kind ListKind, entries []Server, actions []Action) []Action {
	if kind == ListFailed {
		b.listFailures++
		// Spread and back off: a registry that is short of time must not be asked by all at once.
		// But not for long: what it has to tell binds also while it is not heard.
		wait := b.settings.RegistryInterval / 20 * time.Duration(1<<min(b.listFailures, 2))
		return append(actions, b.timer(b.jitter(wait), timerFollow, 0))
	}
	if kind == ListCached && b.settings.MustFollow {
		spread := b.settings.RegistryInterval / 5
		if len(entries) == 0 { // whoever knows no server can serve nobody
			spread /= 20
		}
		actions = append(actions, b.timer(time.Duration(b.rng.Float64()*float64(spread)), timerFollow, 0))
	} else {
		b.listFailures = 0
	}
	listed := make(map[ServerID]bool, len(entries))
	for _, s := range entries {
		listed[s.ID] = true
		old := b.byID[s.ID]
		switch {
		case s.State != Up:
			b.removeServer(s.ID)
		case old == nil:
			b.byID[s.ID] = &server{Server: s, classes: make([]classHealth, len(b.settings.Classes))}
			b.servers = append(b.servers, b.byID[s.ID])
		case old.Started != s.Started:
			// A new process under the old id is cold, and nothing seen of the old one holds for it.
			b.byID[s.ID] = &server{Server: s, classes: make([]classHealth, len(b.settings.Classes))}
			b.servers[slices.Index(b.servers, old)] = b.byID[s.ID]
		default:
			old.Server = s
		}
	}
	if kind != ListDelta {
		for _, s := range slices.Clone(b.servers) {
			if !listed[s.ID] {
				b.removeServer(s.ID)
			}
		}
	}
	b.meanRating = 0
	for _, s := range b.servers {
		if !(s.Rating > 0) || math.IsInf(s.Rating, 0) {
			s.Rating = 1
		}
		b.meanRating += s.Rating / float64(len(b.servers))
	}
	return actions
}

// recordReport takes a load report in.
func (b *Balancer) recordReport(now time.Duration, s *server, values []float64) {
	inFlight, queued, ok := parseReport(b.settings.ReportFields, values)
	if !ok {
		return
	}
	s.inFlight, s.queued, s.reportedAt, s.hasReport = inFlight, queued, now, true
	s.reportSeq, s.sentSinceReport = s.reportSeq+1, 0
	if b.reportLag() == 0 && !b.probesAreCostly() {
		b.recordQueueDelay(now, b.queueDelayBehind(inFlight), 0.1)
	}
}

// queueDelayBehind is the delay, in seconds, that a request meets at a usual server that holds so many.
func (b *Balancer) queueDelayBehind(inFlight float64) float64 {
	mean := b.meanServiceTime()
	return (inFlight+1)/b.concurrency*mean - mean
}

// hasFreshReport tells whether the last report of s is as good as one of this moment.
func (b *Balancer) hasFreshReport(now time.Duration, s *server) bool {
	return s.hasReport && now-s.reportedAt <= max(reportTTL, 2*b.settings.Tick)
}

// reportLag is by how much reports look older than they came, in seconds. No report tells its age. Where
// outcomes keep to what fresh reports foretell there is none; where most go far beyond, on one server
// after the other, the reports are late, and to follow them as fresh makes all balancers herd. One
// slow server does not raise enough doubt.
func (b *Balancer) reportLag() float64 { return 4 * max(0, b.forecastMissRate-0.3) }

// compareToReport holds an outcome against what the report before it foretold.
func (b *Balancer) compareToReport(r *request, a *attempt, latency time.Duration, result Result) {
	forecast := max((a.requestsAhead+1)/b.concurrency/b.capacity(r.Class, a.server), 1) *
		float64(b.expectedServiceTime(r))
	late := 0.0
	if float64(latency) > 2*forecast {
		if late = 1; a.server == b.lastForecastMiss {
			return // one in trouble says nothing of the reports of the others
		}
		b.lastForecastMiss = a.server
	} else if result == TimedOut {
		return // cut off before it could tell
	}
	b.forecastMissRate += 0.15 * (late - b.forecastMissRate)
}

// recordLatency takes the latency of a served attempt in.
func (b *Balancer) recordLatency(class int, a *attempt, latency time.Duration) {
	seconds := latency.Seconds()
	if !(seconds > 0) {
		return
	}
	b.serviceTimes[class].add(seconds, a.uncontended)
	kindTime := b.serviceTime(class, a.server.Kind)
	kindTime.add(seconds, a.uncontended)
	// A server that holds more than it works on at once answers its whole level in level/parallel
	// service times; below that the latency says nothing of how many it works on.
	if a.requestsAhead+1 > b.concurrency {
		// The part of its level that a request waits for is averaged, not its inverse: a few very short
		// answers would make servers look wider than they are, and the wider the more they are crowded.
		waitedFraction := min(max(seconds/kindTime.mean/(a.requestsAhead+1), 1/(a.requestsAhead+1)), 1)
		b.concurrency = 1 / (1/b.concurrency + 0.05*(waitedFraction-1/b.concurrency))
	}
}

// capacity is what a warm server can do for a class, relative to the others: the rating until its
// kind's latencies are known.
func (b *Balancer) capacity(class int, s *server) float64 {
	rated := s.Rating / b.meanRating
	kindTime := b.serviceTime(class, s.Kind)
	measured := b.serviceTimes[class].mean / kindTime.mean
	return (4*rated + kindTime.samples*measured) / (4 + kindTime.samples)
}

// slowStartFactor is the part of its capacity a server is sure to have.
func (b *Balancer) slowStartFactor(now time.Duration, s *server) float64 {
	if s.Started <= 0 || now >= s.Started+b.settings.SlowStartWindow {
		return 1
	}
	age := max(0, float64(now-s.Started)/float64(b.settings.SlowStartWindow))
	return max(b.settings.SlowStartMin+(1-b.settings.SlowStartMin)*age, 0.01)
}

// recordQueueDelay takes in how long a request was kept beyond its service time, or would be where it was
// looked at.
func (b *Balancer) recordQueueDelay(now time.Duration, wait, gain float64) {
	b.queueDelay, b.queueDelayAt = b.recentQueueDelay(now), now
	b.queueDelay += gain * (max(wait, 0) - b.queueDelay)
}

// recentQueueDelay is the delay a request has to expect. It fades, so that a balancer that refuses everything
// tries again by and by.
func (b *Balancer) recentQueueDelay(now time.Duration) float64 {
	return b.queueDelay * math.Exp(-(now-b.queueDelayAt).Seconds()/3)
}

// fleetQueueDelay is the delay to expect as far as reports bear it out: what a single server in trouble makes
// requests wait is no reason to refuse others. Reports come late, so more than they tell is believed.
func (b *Balancer) fleetQueueDelay(now time.Duration) float64 {
	sum, n := 0.0, 0.0
	for _, s := range b.servers {
		if s.hasReport && now-s.reportedAt < time.Second {
			sum, n = sum+max(b.queueDelayBehind(s.inFlight+float64(s.sentSinceReport)), 0), n+1
		}
	}
	if n == 0 {
		return b.recentQueueDelay(now)
	}
	return min(b.recentQueueDelay(now), 3*sum/n)
}

// recordHealth follows a server's health.
func (b *Balancer) recordHealth(now time.Duration, s *server, result Result) {
	threshold, ejectionTime := 3, time.Second // an error or a time-out alone happens to well servers too
	switch result {
	case Done:
		s.failures, s.ejections, s.halfOpen, s.unreachable = 0, 0, false, false
		return
	case Cancelled, Skipped, Rejected:
		return // who turns some away takes others, and to leave it alone crowds the rest
	case Error: // who sees few requests hears of three in a row too late, and comes by seldom
		if b.probesAreCostly() {
			threshold, ejectionTime = 1, errorEjectionTime
		}
	case ConnRefused, Reset:
		threshold = 1
		s.unreachable = result == ConnRefused
	}
	if s.failures++; s.failures >= threshold && now >= s.ejectedUntil {
		s.ejections++
		s.halfOpen = true
		s.ejectedUntil = now + b.jitter(ejectionTime<<min(s.ejections-1, 4))
	}
}

// Probed takes in how a probe ended, and goes on with the requests that waited for it.
func (b *Balancer) Probed(now time.Duration, p ProbeResult, actions []Action) []Action {
	s := b.byID[p.Server]
	if s == nil || !s.probing {
		return actions
	}
	s.probing = false
	if p.Result == Done {
		// One that fails tells nothing of a queue: a hall that is lost in silence is no reason to go blind.
		b.probeTime += 0.1 * (p.Latency.Seconds() - b.probeTime)
		s.halfOpen, s.unreachable = false, false
		b.recordReport(now, s, p.Report)
		if b.busyFraction *= 0.95; !b.isIdle(now, s) {
			b.busyFraction += 0.05
		}
	} else {
		if p.Result == TimedOut {
			p.Result = ConnRefused // a probe is answered beside the queue: silence means out of reach
		}
		b.recordHealth(now, s, p.Result)
	}
	waiters := s.waiters
	s.waiters = nil
	for _, r := range waiters {
		if r.finished || r.pendingProbes == 0 {
			continue
		}
		if r.pendingProbes--; r.pendingProbes == 0 {
			actions = b.startAttempt(now, r, actions)
		}
	}
	s.waiters = append(waiters[:0], s.waiters...)
	return actions
}

// Timer says that a wait asked for is over.
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
