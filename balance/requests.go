package balance

import (
	"slices"
	"time"
)

const (
	// retryBudgetRatio is how many retries and hedged attempts a request may add on average, as in Finagle's
	// retry budget: enough for scattered failures, too few to feed an overload. retryBudgetBurst is how many
	// may come at once.
	retryBudgetRatio, retryBudgetBurst = 0.2, 10.0
	// maxDeferrals is how often a request waits for a server to be listed.
	maxDeferrals = 8
	// deferralTime is how long it waits each time, on average.
	deferralTime = 100 * time.Millisecond
	// retryAfterDelays is how many recent queue delays a rejected client is advised to wait: an overload takes
	// several to clear.
	retryAfterDelays = 4
	// timeoutMarginDivisor of a class's latency target is how long after a request's own target an attempt is
	// still waited for.
	timeoutMarginDivisor = 8
)

// Request begins a request, which gets exactly one final response. A second one with the ID of a request
// that has not ended is ignored, and one of an unknown class is rejected.
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

// nextAttempt starts the next attempt of r, defers it because probes are awaited or no server is available,
// or gives r up.
func (b *Balancer) nextAttempt(now time.Duration, r *request, actions []Action) []Action {
	remaining := r.Deadline - now
	if remaining <= b.settings.Tick {
		return b.giveUp(now, r, actions)
	}
	servers := b.eligible(now, r)
	if len(servers) == 0 {
		if b.dedupServer(r) != nil || r.deferrals >= maxDeferrals {
			return b.giveUp(now, r, actions)
		}
		r.deferrals++ // a list may still come
		wait := min(remaining-b.settings.Tick, b.jitter(deferralTime))
		return append(actions, b.timer(wait, timerDeferred, r.seq))
	}
	if b.settings.MayProbe && !r.probingDecided {
		r.probingDecided = true
		if b.probesAreCostly() {
			// No probe is sent for a request that would be rejected after it.
			if len(r.attempts) == 0 &&
				r.isRejectedByDraw(b.rng, b.steepRejectFraction(r, b.fleetQueueDelay(now))) {
				return b.giveUp(now, r, actions)
			}
			b.preferAffinityCell(r, servers)
			r.sample = r.sample[:0]
			actions = b.probeOneMore(now, r, servers, actions)
		} else {
			actions = b.probeSample(now, r, servers, actions)
		}
		if r.pendingProbes > 0 {
			return actions
		}
	}
	return b.startAttempt(now, r, actions)
}

// startAttempt selects a server and sends an attempt there, or gives r up. Where probes are costly and the
// server sampled last is not known to be idle, it may first probe one more.
func (b *Balancer) startAttempt(now time.Duration, r *request, actions []Action) []Action {
	servers := b.eligible(now, r)
	if n := len(r.sample); n > 0 && b.probesAreCostly() &&
		!(b.hasFreshReport(now, r.sample[n-1]) && b.isIdle(now, r.sample[n-1])) {
		actions = b.probeOneMore(now, r, servers, actions)
		if r.pendingProbes > 0 {
			return actions
		}
	}
	sample := r.takeSample(now, servers)
	if len(servers) == 0 {
		return b.nextAttempt(now, r, actions)
	}
	s := b.selectServer(now, r, servers, sample)
	deadline := b.attemptDeadline(r)
	if s == nil || now >= deadline || len(r.attempts) == 0 && b.shouldReject(now, r, s) ||
		r.outstanding > 0 && r.hasAttempted(s) {
		return b.giveUp(now, r, actions)
	}
	return b.sendAttempt(now, r, s, deadline, actions)
}

// takeSample ends the sampling of r and returns the servers sampled that are still eligible. Those without
// a report younger than reportTTL did not answer their probe in time, so they are unreachable or
// unhealthy; they are left out unless none has one.
func (r *request) takeSample(now time.Duration, eligible []*server) []*server {
	if len(r.sample) == 0 {
		return nil
	}
	sample := slices.DeleteFunc(r.sample, func(s *server) bool { return !slices.Contains(eligible, s) })
	r.sample = nil
	reporting := slices.DeleteFunc(slices.Clone(sample), func(s *server) bool {
		return !s.hasReport || now-s.reportedAt > reportTTL
	})
	if len(reporting) > 0 {
		return reporting
	}
	return sample
}

// sendAttempt starts an attempt of r on s, which must begin before deadline. For an idempotent request it
// also sets the timer for a hedged attempt, if that could still be in time.
func (b *Balancer) sendAttempt(now time.Duration, r *request, s *server, deadline time.Duration,
	actions []Action) []Action {
	s.outstanding++
	s.sentSinceReport++
	s.classes[r.Class].attemptStarted(now)
	r.outstanding++
	freshReport := b.hasFreshReport(now, s)
	// That none is queued is not enough: a server may share its cores between many requests.
	uncontended := freshReport && s.queued == 0 && s.reportedLoad() <= 2 &&
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

// hedge sends a second attempt while the first takes unusually long (hedged requests as in Dean and Barroso,
// "The Tail at Scale"). It draws on the retry budget, so that hedges are few in an overload.
func (b *Balancer) hedge(now time.Duration, r *request, actions []Action) []Action {
	if r.finished || r.outstanding != 1 || b.retryBudget < 1 || now >= b.attemptDeadline(r) {
		return actions
	}
	b.retryBudget--
	return b.startAttempt(now, r, actions)
}

// Outcome records how an attempt ended. Without a final response, and with no other attempt outstanding, the
// request gets another attempt if one is allowed, and is given up otherwise.
func (b *Balancer) Outcome(now time.Duration, o Outcome, actions []Action) []Action {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].ended {
		return actions
	}
	b.recordOutcome(now, r, &o)
	if r.finished || o.Final {
		b.finish(r)
		return b.cancelOutstanding(r, actions)
	}
	if r.outstanding > 0 {
		return actions
	}
	if !b.mayRetry(now, r, o.Result) {
		return b.giveUp(now, r, actions)
	}
	b.retryBudget--
	r.probingDecided = false
	return b.nextAttempt(now, r, actions)
}

// recordOutcome updates the state of the server by the outcome of an attempt.
func (b *Balancer) recordOutcome(now time.Duration, r *request, o *Outcome) {
	a := &r.attempts[o.Attempt]
	s := a.server
	a.ended, a.mayHaveRun = true, !o.Result.neverRan()
	s.outstanding--
	if a.reportSeq == s.reportSeq {
		s.sentSinceReport--
	}
	r.outstanding--
	if o.Report != nil {
		b.recordReport(now, s, o.Report)
	}
	class := &s.classes[r.Class]
	if !a.uploading {
		class.outstanding--
	}
	b.recordClassHealth(now, class, o.Result)
	b.recordHealth(now, s, o.Result)
	b.recordLatency(now, r, a, o.Latency, o.Result)
}

// mayRetry reports whether r, whose last attempt ended with result, may have another one. A retry that can't
// earn any value any more would only add to an overload.
func (b *Balancer) mayRetry(now time.Duration, r *request, result Result) bool {
	if result == Skipped || result == Done || b.retryBudget < 1 || now >= b.attemptDeadline(r) {
		return false
	}
	return b.settings.Classes[r.Class].LateValue != 0 ||
		now+b.expectedServiceTime(r) <= r.receivedAt+b.latencyTarget(r)
}

// giveUp answers r with a rejection or failure, unless an attempt is outstanding that may still succeed.
func (b *Balancer) giveUp(now time.Duration, r *request, actions []Action) []Action {
	if r.outstanding > 0 {
		return actions
	}
	response := Action{Kind: Reject, ID: r.ID}
	if b.settings.SendsRetryAfter {
		wait := b.jitter(retryAfterDelays * time.Duration(b.recentQueueDelay(now)*1e9))
		response.Wait = min(wait, b.settings.MaxRetryAfter)
	}
	c := &b.settings.Classes[r.Class]
	for i := range r.attempts {
		// A rejection says that a retry is harmless, which it is only where nothing ran or repeats are dropped.
		if r.attempts[i].mayHaveRun &&
			(c.Effect == AtMostOnce || c.Effect == Deduplicated && c.DedupScope != DedupFleet) {
			response.Kind, response.Wait = Fail, 0
		}
	}
	b.finish(r)
	return append(actions, response)
}

// StreamStarted reports that the response of an attempt has begun: its request needs nothing more.
func (b *Balancer) StreamStarted(now time.Duration, id string, attempt int, actions []Action) []Action {
	if r := b.requests[id]; r != nil && !r.finished && attempt >= 0 && attempt < len(r.attempts) {
		b.finish(r)
	}
	return actions
}

// ClientGone reports that the client does not wait any longer.
func (b *Balancer) ClientGone(now time.Duration, id string, actions []Action) []Action {
	if r := b.requests[id]; r != nil && !r.finished {
		b.finish(r)
		return b.cancelOutstanding(r, actions)
	}
	return actions
}

// cancelOutstanding withdraws the attempts of a finished request that have no outcome yet.
func (b *Balancer) cancelOutstanding(r *request, actions []Action) []Action {
	for i := range r.attempts {
		if !r.attempts[i].ended && b.settings.MayCancel {
			actions = append(actions, Action{Kind: Cancel, ID: r.ID, Attempt: i})
		}
	}
	return actions
}

// latencyTarget is how soon after its start a response to r earns the full value.
func (b *Balancer) latencyTarget(r *request) time.Duration {
	c := &b.settings.Classes[r.Class]
	return c.LatencyTarget + time.Duration(c.TargetPerWork*float64(r.Work))
}

// attemptTimeout is how long an attempt that begins now is waited for, 0 without limit: a response that earns
// nothing is not worth a position in a queue.
func (b *Balancer) attemptTimeout(now time.Duration, r *request) time.Duration {
	c := &b.settings.Classes[r.Class]
	if c.Stream || c.LateValue > 0 {
		return 0
	}
	return max(b.latencyTarget(r)+c.LatencyTarget/timeoutMarginDivisor-(now-r.receivedAt), 2*b.settings.Tick)
}

// attemptDeadline is the time before which one more attempt of r may begin, by the class's effect and the
// limits on attempts; 0 if none may.
func (b *Balancer) attemptDeadline(r *request) time.Duration {
	if r.bodyConsumed || len(r.attempts) >= b.settings.MaxAttempts || r.outstanding > 0 && !b.settings.MayHedge {
		return 0
	}
	c, deadline := &b.settings.Classes[r.Class], r.Deadline
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.mayHaveRun {
			continue
		}
		switch c.Effect {
		case AtMostOnce:
			return 0
		case Deduplicated:
			deadline = min(deadline, a.sentAt+c.DedupWindow-2*b.settings.Tick)
		}
	}
	return deadline
}
