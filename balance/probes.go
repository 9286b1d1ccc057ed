package balance

import "time"

const (
	// maxProbeCost is what the probes of one request may cost together, as a fraction of its value.
	maxProbeCost = 0.012
	// minSample and maxSample servers are probed for a request where probes are not costly.
	minSample, maxSample = 2, 4
	// maxProbesPerRequest servers are probed for one request, one after the other, where probes are costly.
	maxProbesPerRequest = 2
	// Where probes are costly, all requests probe while fullProbingBusyFraction of the servers probed are
	// busy; the fewer are busy, the fewer probe, down to minProbedFraction.
	minProbedFraction, fullProbingBusyFraction = 0.25, 0.2
	// probeTimeGain and busyFractionGain are the weights of one probe in the moving averages.
	probeTimeGain, busyFractionGain = 0.1, 0.05
)

// probesAreCostly reports whether one probe for each request would cost more than maxProbeCost.
func (b *Balancer) probesAreCostly() bool { return b.settings.Costs.Probe > maxProbeCost }

// probesAreQueued reports whether probes take so long that they seem to wait in the servers' queues as
// requests do.
func (b *Balancer) probesAreQueued() bool { return b.probeTime > b.meanServiceTime()/4 }

// probeTimeout is how long a probe is waited for; a healthy server responds in much less.
func (b *Balancer) probeTimeout() time.Duration { return max(4*b.settings.Tick, 8*time.Millisecond) }

// isIdle reports whether s, by its last report, would serve one more request within about two service times.
func (b *Balancer) isIdle(now time.Duration, s *server) bool {
	return s.reportedLoad()+1 <= max(2*b.concurrency*b.slowStartFactor(now, s), 1)
}

// probeSample samples servers for r and probes those without a fresh report, all at once: LI-k, which applies
// Basic LI to k servers chosen at random. r is then pending unless probes take too long to be waited for.
func (b *Balancer) probeSample(now time.Duration, r *request, servers []*server, actions []Action) []Action {
	// The first choices gain most, so the cost of a probe sets how many are worth it.
	count := int(min(maxSample, max(minSample, maxProbeCost/max(b.settings.Costs.Probe, 1e-9))))
	r.sample = b.affinityServers(now, r, servers, r.sample[:0])
	if len(r.sample) > 0 {
		count = 1 // besides the servers of the key, for when those are overloaded
		if b.reportLag() > 0 {
			count = 0 // while reports say little, the server of the key is the better choice
		}
	}
	r.sample = b.sample(now, r, servers, count, r.sample)
	actions = b.probeServers(now, r, r.sample, actions)
	if b.probesAreQueued() {
		r.pendingProbes = 0 // the probes are for the requests that follow
	}
	return b.awaitProbes(now, r, actions)
}

// probeOneMore adds one server to the sample of r, up to maxProbesPerRequest, and probes it; r is then
// pending if that is to be waited for. While few of the servers probed are busy, a probe gains little, and a
// part of requests does without.
func (b *Balancer) probeOneMore(now time.Duration, r *request, servers []*server, actions []Action) []Action {
	n := len(r.sample)
	if n >= maxProbesPerRequest || n > 0 && r.withoutProbe || r.Deadline-now <= b.settings.Tick {
		return actions
	}
	r.sample = b.sample(now, r, servers, 1, r.sample)
	r.withoutProbe = n == 0 &&
		b.rng.Float64() > minProbedFraction+(1-minProbedFraction)*b.busyFraction/fullProbingBusyFraction
	if r.withoutProbe {
		return actions
	}
	if actions = b.probeServers(now, r, r.sample[n:], actions); b.probesAreQueued() {
		r.pendingProbes = 0
	}
	return b.awaitProbes(now, r, actions)
}

// probeServers probes those of the servers that have no fresh report, and counts the probes that r waits for.
func (b *Balancer) probeServers(now time.Duration, r *request, servers []*server, actions []Action) []Action {
	for _, s := range servers {
		if b.hasFreshReport(now, s) {
			continue
		}
		r.pendingProbes++
		s.waiters = append(s.waiters, r)
		if !s.probing {
			s.probing, s.probedAt = true, now
			actions = append(actions, Action{Kind: Probe, Server: s.ID})
		}
	}
	return actions
}

// awaitProbes sets the time after which r does without the probes that it waits for, if any.
func (b *Balancer) awaitProbes(now time.Duration, r *request, actions []Action) []Action {
	if r.pendingProbes == 0 {
		return actions
	}
	return append(actions, b.timer(min(r.Deadline-now-b.settings.Tick, b.probeTimeout()), timerDeferred, r.seq))
}

// Probed records how a probe ended, and continues the requests that waited for it.
func (b *Balancer) Probed(now time.Duration, p ProbeResult, actions []Action) []Action {
	s := b.byID[p.Server]
	if s == nil || !s.probing {
		return actions
	}
	s.probing = false
	if p.Result == Done {
		// A probe that fails says nothing of a queue: a zone that is lost without a response is no reason to
		// do without probes.
		b.probeTime += probeTimeGain * (p.Latency.Seconds() - b.probeTime)
		s.halfOpen, s.unreachable = false, false
		b.recordReport(now, s, p.Report)
		b.busyFraction *= 1 - busyFractionGain
		if !b.isIdle(now, s) {
			b.busyFraction += busyFractionGain
		}
	} else {
		if p.Result == TimedOut {
			p.Result = ConnRefused // a probe does not wait in the queue: without a response it is unreachable
		}
		b.recordHealth(now, s, p.Result)
	}
	waiters := s.waiters
	s.waiters = nil
	for _, r := range waiters {
		if r.finished || r.pendingProbes == 0 {
			continue
		}
		r.pendingProbes--
		if r.pendingProbes == 0 {
			actions = b.startAttempt(now, r, actions)
		}
	}
	s.waiters = append(waiters[:0], s.waiters...) // reuses the array; startAttempt may have added some
	return actions
}
