package balance

import "time"

const (
	// maxProbeCost is the maximum cost of all probes of one request, as a fraction of the request's value.
	maxProbeCost = 0.012
	// minSample and maxSample bound how many servers are probed for a request where probes are not costly.
	minSample, maxSample = 2, 4
	// maxProbesPerRequest is the maximum number of servers probed for a request, one after the other, where
	// probes are costly.
	maxProbesPerRequest = 2
	// Where probes are costly, all requests probe while at least fullProbingBusyFraction of the probed
	// servers are busy. The fewer servers are busy, the fewer requests probe, down to minProbedFraction.
	minProbedFraction, fullProbingBusyFraction = 0.25, 0.2
	// probeTimeGain and busyFractionGain are the weights of one probe in the moving averages of probeTime
	// and busyFraction.
	probeTimeGain, busyFractionGain = 0.1, 0.05
)

// probesAreCostly reports whether one probe for each request would cost more than maxProbeCost.
func (b *Balancer) probesAreCostly() bool { return b.settings.Costs.Probe > maxProbeCost }

// probesAreQueued reports whether probes take so long that they seem to wait in the servers' queues like
// requests.
func (b *Balancer) probesAreQueued() bool { return b.probeTime > b.meanServiceTime()/4 }

// probeTimeout returns how long to wait for a probe; a healthy server responds much sooner.
func (b *Balancer) probeTimeout() time.Duration { return max(4*b.settings.Tick, 8*time.Millisecond) }

// isIdle reports whether s, by its last report, would serve one more request within about two service times.
func (b *Balancer) isIdle(now time.Duration, s *server) bool {
	return s.reportedLoad()+1 <= max(2*b.concurrency*b.slowStartFactor(now, s), 1)
}

// probeSample samples servers for r and probes those without a fresh report, all at once. This is LI-k,
// which applies Basic LI to k servers chosen at random. r then waits for the probes, unless they take too
// long.
func (b *Balancer) probeSample(now time.Duration, r *request, servers []*server, actions []Action) []Action {
	// The first probes gain most, so the cost of a probe determines how many are worth it.
	count := int(min(maxSample, max(minSample, maxProbeCost/max(b.settings.Costs.Probe, 1e-9))))
	r.sample = b.affinityServers(now, r, servers, r.sample[:0])
	if len(r.sample) > 0 {
		count = 1 // in addition to the servers of the key, in case these are overloaded
		if b.reportLag() > 0 {
			count = 0 // while reports are unreliable, the servers of the key are the better choice
		}
	}
	r.sample = b.sample(now, r, servers, count, r.sample)
	actions = b.probeServers(now, r, r.sample, actions)
	if b.probesAreQueued() {
		r.pendingProbes = 0 // the probes serve later requests
	}
	return b.awaitProbes(now, r, actions)
}

// probeOneMore adds one server to the sample of r, up to maxProbesPerRequest, and probes it. r then waits
// for the probe, unless probes take too long. While few of the probed servers are busy a probe gains
// little, so a part of the requests is sent without one.
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

// probeServers probes those of the servers that have no fresh report and no probe under way, and counts the
// probes that r waits for.
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

// awaitProbes sets the timer after which r stops waiting for its probes, if it waits for any.
func (b *Balancer) awaitProbes(now time.Duration, r *request, actions []Action) []Action {
	if r.pendingProbes == 0 {
		return actions
	}
	return append(actions, b.timer(min(r.Deadline-now-b.settings.Tick, b.probeTimeout()), timerDeferred, r.seq))
}

// Probed records how a probe ended and resumes the requests that waited for it.
func (b *Balancer) Probed(now time.Duration, p ProbeResult, actions []Action) []Action {
	s := b.byID[p.Server]
	if s == nil || !s.probing {
		return actions
	}
	s.probing = false
	if p.Result == Done {
		// The duration of a failed probe is no sign of queueing: a lost zone, which does not respond, must
		// not stop requests from waiting for probes.
		b.probeTime += probeTimeGain * (p.Latency.Seconds() - b.probeTime)
		s.halfOpen, s.unreachable = false, false
		b.recordReport(now, s, p.Report)
		b.busyFraction *= 1 - busyFractionGain
		if !b.isIdle(now, s) {
			b.busyFraction += busyFractionGain
		}
	} else {
		if p.Result == TimedOut {
			p.Result = ConnRefused // probes aren't expected to queue, so the server counts as unreachable
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
	s.waiters = append(waiters[:0], s.waiters...) // reuses the array; startAttempt may have added waiters
	return actions
}
