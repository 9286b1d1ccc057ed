// This file follows a request from its start through its attempts to its answer.

package balance

import (
	"slices"
	"time"
)

// Request takes a request that must get one final answer.
func (b *Balancer) Request(now time.Duration, q Request, actions []Action) []Action {
	if b.requests[q.ID] != nil {
		return actions
	}
	if q.Class < 0 || q.Class >= len(b.settings.Classes) {
		return append(actions, Action{Kind: Reject, ID: q.ID})
	}
	b.seq++
	r := &request{Request: q, seq: b.seq, receivedAt: now}
	if q.HasKey && b.probesAreCostly() {
		r.keyFraction = b.hotKeys.record(now, q.Key)
	}
	b.requests[q.ID], b.bySeq[r.seq] = r, r
	b.retryBudget = min(b.retryBudget+retryBudgetRatio, retryBudgetBurst)
	if q.Work > 0 {
		b.hintedWork[q.Class].add(q.Work.Seconds(), true)
	}
	return b.nextAttempt(now, r, actions)
}

// nextAttempt sends the next attempt of r, holds it for probes or for want of servers, or ends it.
func (b *Balancer) nextAttempt(now time.Duration, r *request, actions []Action) []Action {
	remaining := r.Deadline - now
	if remaining <= b.settings.Tick {
		return b.giveUp(now, r, actions)
	}
	servers := b.eligible(now, r)
	if len(servers) == 0 {
		if b.dedupServer(r) != nil || r.deferrals >= 8 {
			return b.giveUp(now, r, actions)
		}
		r.deferrals++ // a list may still come
		wait := min(remaining-b.settings.Tick, b.jitter(100*time.Millisecond))
		return append(actions, b.timer(wait, timerDeferred, r.seq))
	}
	if b.settings.MayProbe && !r.probingDecided && b.probesAreCostly() {
		// Dear probes are sent one by one, and none where the request is given up all the same.
		if r.probingDecided = true; len(r.attempts) == 0 &&
			r.isRejectedByDraw(b.rng, 2*b.rejectFraction(r, b.fleetQueueDelay(now))-1) {
			return b.giveUp(now, r, actions)
		}
		b.preferAffinityCell(now, r, servers)
		r.sample = r.sample[:0]
		if actions = b.probeOneMore(now, r, servers, actions); r.pendingProbes > 0 {
			return actions
		}
	}
	if b.settings.MayProbe && !r.probingDecided {
		r.probingDecided = true
		// The first of the k choices gain most, so the price sets how many probes are worth it.
		count := int(min(4, max(2, maxProbeCost/max(b.settings.Costs.Probe, 1e-9))))
		r.sample = b.affinityServers(now, r, servers, r.sample[:0])
		if len(r.sample) > 0 {
			count = 1 // and one other, for when the key is hot
			if b.reportLag() > 0 {
				count = 0 // reports tell little now, where the key is warm tells more
			}
		}
		r.sample = b.sample(now, r, servers, count, r.sample)
		actions = b.probeServers(now, r, r.sample, actions)
		if b.probesAreQueued() {
			r.pendingProbes = 0 // the probes are for the requests that follow
		}
		if r.pendingProbes > 0 {
			return append(actions, b.timer(min(remaining-b.settings.Tick, b.probeTimeout()), timerDeferred, r.seq))
		}
	}
	return b.startAttempt(now, r, actions)
}

// probeTimeout is how long a probe is waited for; a server that is well answers in much less.
func (b *Balancer) probeTimeout() time.Duration { return max(4*b.settings.Tick, 8*time.Millisecond) }

// probesAreQueued tells whether probes wait in the servers' queues as requests do, and take as long.
func (b *Balancer) probesAreQueued() bool { return b.probeTime > b.meanServiceTime()/4 }

// probeOneMore adds one server to the sample of r, up to maxProbesPerRequest, and probes it; r is pending
// where that is to be waited for. While few servers asked are busy, asking gains little, and a part of
// requests does without.
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
	if actions = b.probeServers(now, r, r.sample[n:], actions); b.probesAreQueued() || r.pendingProbes == 0 {
		r.pendingProbes = 0
		return actions
	}
	return append(actions, b.timer(min(r.Deadline-now-b.settings.Tick, b.probeTimeout()), timerDeferred, r.seq))
}

// probesAreCostly tells whether a request is not worth one probe.
func (b *Balancer) probesAreCostly() bool { return b.settings.Costs.Probe > maxProbeCost }

// isIdle tells whether s, by its last report, would begin at once or soon.
func (b *Balancer) isIdle(now time.Duration, s *server) bool {
	return s.inFlight+float64(s.sentSinceReport)+1 <= max(2*b.concurrency*b.slowStartFactor(now, s), 1)
}

// probeServers asks those of r's sample that have no fresh report.
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

// startAttempt draws a server by the shares and starts an attempt there.
func (b *Balancer) startAttempt(now time.Duration, r *request, actions []Action) []Action {
	servers := b.eligible(now, r)
	if n := len(r.sample); n > 0 && b.probesAreCostly() &&
		!(b.hasFreshReport(now, r.sample[n-1]) && b.isIdle(now, r.sample[n-1])) {
		if actions = b.probeOneMore(now, r, servers, actions); r.pendingProbes > 0 {
			return actions
		}
	}
	capacity, warmCapacity := 0.0, 0.0
	for _, s := range servers {
		c := b.capacity(r.Class, s)
		capacity += c
		warmCapacity += c * b.slowStartFactor(now, s)
	}
	eligible, sampled := servers, len(r.sample) > 0
	if sampled {
		sample := slices.DeleteFunc(r.sample, func(s *server) bool { return !slices.Contains(servers, s) })
		// One that did not answer its probe in time is out of reach or in trouble.
		reporting := slices.DeleteFunc(slices.Clone(sample), func(s *server) bool {
			return !s.hasReport || now-s.reportedAt > reportTTL
		})
		if len(reporting) > 0 {
			sample = reporting
		}
		if r.sample, sampled = nil, len(sample) > 0; sampled {
			servers = sample
		}
	}
	if len(servers) == 0 {
		return b.nextAttempt(now, r, actions)
	}
	waterFill(b.candidates, b.weighCandidates(now, r, servers, capacity, warmCapacity, sampled))
	drawn := b.draw()
	if drawn == nil && sampled { // a sample of cold servers may not take it; the others may
		waterFill(b.candidates, b.weighCandidates(now, r, eligible, capacity, warmCapacity, false))
		drawn = b.draw()
	}
	deadline := b.attemptDeadline(r)
	if drawn == nil || now >= deadline || len(r.attempts) == 0 && b.shouldReject(now, r, drawn.server) ||
		r.outstanding > 0 && r.hasAttempted(drawn.server) {
		return b.giveUp(now, r, actions)
	}
	s := drawn.server
	s.outstanding++
	s.sentSinceReport++
	class := &s.classes[r.Class]
	if class.outstanding++; class.outstanding == 1 {
		class.unservedSince = now
	}
	r.outstanding++
	freshReport := b.hasFreshReport(now, s)
	// A server may share its cores over many places: that nothing waits is not yet uncontended.
	uncontended := freshReport && s.queued == 0 && s.inFlight+float64(s.sentSinceReport) <= 2 &&
		b.reportLag() == 0
	r.attempts = append(r.attempts, attempt{server: s, sentAt: now, reportSeq: s.reportSeq,
		requestsAhead: s.inFlight + float64(s.sentSinceReport-1),
		freshReport:   freshReport, uncontended: uncontended, mayHaveRun: true})
	actions = append(actions, Action{Kind: Send, ID: r.ID, Server: s.ID, Wait: b.attemptTimeout(now, r),
		StartWithin: deadline - now})
	if b.settings.MayHedge && b.settings.Classes[r.Class].Effect == Idempotent {
		wait := time.Duration(b.unusualLatency(r, s) * 1e9)
		if now+wait+b.expectedServiceTime(r) < r.receivedAt+b.latencyTarget(r) {
			actions = append(actions, b.timer(wait, timerHedge, r.seq))
		}
	}
	return actions
}

// hedge sends another copy of what its server leaves unanswered for unusually long, where that is
// harmless. It draws on what further attempts may be, so that in a jam there are few.
func (b *Balancer) hedge(now time.Duration, r *request, actions []Action) []Action {
	if r.finished || r.outstanding != 1 || b.retryBudget < 1 || now >= b.attemptDeadline(r) {
		return actions
	}
	b.retryBudget--
	return b.startAttempt(now, r, actions)
}

// attemptTimeout is how long an attempt is waited for: an answer that earns nothing is not worth a place in
// a queue.
func (b *Balancer) attemptTimeout(now time.Duration, r *request) time.Duration {
	c := &b.settings.Classes[r.Class]
	if c.Stream || c.LateValue > 0 {
		return 0
	}
	return max(b.latencyTarget(r)+c.LatencyTarget/8-(now-r.receivedAt), 2*b.settings.Tick)
}

func (b *Balancer) latencyTarget(r *request) time.Duration {
	c := &b.settings.Classes[r.Class]
	return c.LatencyTarget + time.Duration(c.TargetPerWork*float64(r.Work))
}

// shouldReject tells whether a request is better refused at once: when the queue at the drawn server takes
// up a part of its aim. The line is soft, so that many balancers together refuse the part that is too
// much, and what earns little for its work is refused first. It ends early, and past it nothing gets in:
// clients ask again at once, and a server held beyond what it can do turns slower for long. One long
// queue alone is no jam, so it counts only as far as such delays were met lately.
func (b *Balancer) shouldReject(now time.Duration, r *request, s *server) bool {
	wait := b.fleetQueueDelay(now)
	if b.hasFreshReport(now, s) && b.reportLag() == 0 {
		capacity := b.capacity(r.Class, s) * max(b.slowStartFactor(now, s), 1/b.concurrency)
		expected := max((s.inFlight+float64(s.sentSinceReport)+1)/b.concurrency/capacity-1, 0) * b.meanServiceTime()
		if b.probesAreCostly() {
			// What was found by asking tells more than what one server in trouble kept.
			b.recordQueueDelay(now, expected, 0.1)
			return r.isRejectedByDraw(b.rng, 2*b.rejectFraction(r, expected)-1)
		}
		wait = min(expected, 2*wait)
	}
	return r.isRejectedByDraw(b.rng, b.rejectFraction(r, wait))
}

// rejectFraction is the part of requests like r to refuse where they wait so long, in seconds.
func (b *Balancer) rejectFraction(r *request, wait float64) float64 {
	spare := (min(b.latencyTarget(r), r.Deadline-r.receivedAt) - b.expectedServiceTime(r)).Seconds()
	limit := rejectTargetFraction * spare
	if b.probesAreCostly() {
		limit = max(limit, min(rejectServiceTimes*b.meanServiceTime(), 0.7*spare))
	}
	return wait / max(limit, 1e-4) / max(b.valueRate(r.Class)/b.meanValueRate(), 0.5)
}

// giveUp gives r its final answer, unless an attempt is still out that may bring one. A refusal tells the
// client when to come back: a jam dissolves over several times the delay that is met in it.
func (b *Balancer) giveUp(now time.Duration, r *request, actions []Action) []Action {
	if r.outstanding > 0 {
		return actions
	}
	a := Action{Kind: Reject, ID: r.ID}
	if b.settings.SendsRetryAfter {
		a.Wait = min(b.jitter(4*time.Duration(b.recentQueueDelay(now)*1e9)), b.settings.MaxRetryAfter)
	}
	c := &b.settings.Classes[r.Class]
	for i := range r.attempts {
		// A refusal says that trying again is harmless: only where nothing ran, or repeats are dropped.
		if r.attempts[i].mayHaveRun &&
			(c.Effect == AtMostOnce || c.Effect == Deduplicated && c.DedupScope != DedupFleet) {
			a.Kind, a.Wait = Fail, 0
		}
	}
	b.finish(r)
	return append(actions, a)
}

// Outcome takes in how an attempt ended.
func (b *Balancer) Outcome(now time.Duration, o Outcome, actions []Action) []Action {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].ended {
		return actions
	}
	a := &r.attempts[o.Attempt]
	a.ended, a.mayHaveRun = true, !o.Result.neverRan()
	a.server.outstanding--
	if a.reportSeq == a.server.reportSeq {
		a.server.sentSinceReport--
	}
	r.outstanding--
	if o.Report != nil {
		b.recordReport(now, a.server, o.Report)
	}
	class := &a.server.classes[r.Class]
	if !a.uploading {
		class.outstanding--
	}
	switch o.Result {
	case Done:
		class.unservedSince, class.failures, class.ejections = now, 0, 0
	case Error, TimedOut:
		if class.failures++; class.failures >= 3 && now >= class.ejectedUntil {
			class.ejections++
			class.ejectedUntil = now + b.jitter(time.Second<<min(class.ejections-1, 4))
		}
	}
	b.recordHealth(now, a.server, o.Result)
	if o.Result == Done || o.Result == TimedOut {
		if !b.probesAreCostly() || b.probesAreQueued() {
			b.recordQueueDelay(now, (o.Latency - b.expectedServiceTime(r)).Seconds(), 0.2)
		}
		if a.freshReport {
			b.compareToReport(r, a, o.Latency, o.Result)
		}
	}
	if o.Result == Done {
		if r.Work > 0 {
			// Latencies are learned as of a request of usual work.
			o.Latency = time.Duration(float64(o.Latency) * b.hintedWork[r.Class].mean / r.Work.Seconds())
		}
		b.recordLatency(r.Class, a, o.Latency)
	}
	if r.finished || o.Final {
		b.finish(r)
		return b.cancelOutstanding(r, actions)
	}
	if r.outstanding > 0 {
		return actions
	}
	// A further attempt that cannot earn anything any more would only feed a jam.
	if o.Result == Skipped || o.Result == Done || b.retryBudget < 1 || now >= b.attemptDeadline(r) ||
		b.settings.Classes[r.Class].LateValue == 0 &&
			now+b.expectedServiceTime(r) > r.receivedAt+b.latencyTarget(r) {
		return b.giveUp(now, r, actions)
	}
	b.retryBudget--
	r.probingDecided = false
	return b.nextAttempt(now, r, actions)
}

// cancelOutstanding withdraws the attempts of a finished request that are still out.
func (b *Balancer) cancelOutstanding(r *request, actions []Action) []Action {
	for i := range r.attempts {
		if !r.attempts[i].ended && b.settings.MayCancel {
			actions = append(actions, Action{Kind: Cancel, ID: r.ID, Attempt: i})
		}
	}
	return actions
}

// StreamStarted says that an attempt's answer has begun: its request needs nothing more.
func (b *Balancer) StreamStarted(now time.Duration, id string, attempt int, actions []Action) []Action {
	if r := b.requests[id]; r != nil && !r.finished && attempt >= 0 && attempt < len(r.attempts) {
		b.finish(r)
	}
	return actions
}

// ClientGone says that the client waits no longer.
func (b *Balancer) ClientGone(now time.Duration, id string, actions []Action) []Action {
	if r := b.requests[id]; r != nil && !r.finished {
		b.finish(r)
		return b.cancelOutstanding(r, actions)
	}
	return actions
}
