package balance

import (
	"slices"
	"time"
)

const (
	// retryBudgetRatio is how many retries and hedged attempts each request adds to the retry budget, as in
	// Finagle: enough for scattered failures, too few to aggravate an overload. retryBudgetBurst is the
	// maximum of the budget, and so of retries and hedged attempts in a burst.
	retryBudgetRatio, retryBudgetBurst = 0.2, 10.0
	// maxDeferrals is the maximum number of times that a request waits for a server to be listed.
	maxDeferrals = 8
	// deferralTime is the mean duration of one such wait.
	deferralTime = 100 * time.Millisecond
	// retryAfterQueueDelays is how long a rejected client is advised to wait, in recent queue delays: an
	// overload takes several of these to clear.
	retryAfterQueueDelays = 4
	// timeoutMarginDivisor divides the latency target of a class; the quotient is how long an attempt may
	// continue after the latency target of its request.
	timeoutMarginDivisor = 8
)

// Request starts a request, which gets exactly one final response. A request with the ID of one that has
// not ended is ignored, and one of an unknown class is rejected.
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
		b.expectedWork[q.Class].add(q.Work.Seconds(), true)
	}
	return b.nextAttempt(now, r, actions)
}

// nextAttempt starts the next attempt of r, defers it while probes are pending or no server is eligible, or
// rejects or fails r.
func (b *Balancer) nextAttempt(now time.Duration, r *request, actions []Action) []Action {
	remaining := r.Deadline - now
	if remaining <= b.settings.Tick {
		return b.rejectOrFail(now, r, actions)
	}
	servers := b.eligible(now, r)
	if len(servers) == 0 {
		if b.dedupServer(r) != nil || r.deferrals >= maxDeferrals {
			return b.rejectOrFail(now, r, actions)
		}
		r.deferrals++ // a later list may have an eligible server
		wait := min(remaining-b.settings.Tick, b.jitter(deferralTime))
		return append(actions, b.timer(wait, timerDeferred, r.seq))
	}
	if b.settings.MayProbe && !r.probingDecided {
		r.probingDecided = true
		if b.probesAreCostly() {
			// A request that would be rejected anyway is rejected before any probe is sent for it.
			if len(r.attempts) == 0 &&
				r.isRejectedByDraw(b.rng, b.steepRejectFraction(r, b.fleetQueueDelay(now))) {
				return b.rejectOrFail(now, r, actions)
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

// startAttempt selects a server and sends an attempt to it, or rejects or fails r. Where probes are costly
// and the last sampled server is not known to be idle, it may first probe one more server.
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
		return b.rejectOrFail(now, r, actions)
	}
	return b.sendAttempt(now, r, s, deadline, actions)
}

// takeSample ends the sampling of r and returns the sampled servers that are still eligible. Servers whose
// last report is older than reportTTL, or that have none, did not answer their probe in time and so are
// unreachable or unhealthy; they are left out unless no sampled server has a recent report.
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
// also sets the timer of a hedged attempt, if that attempt could still meet the latency target.
func (b *Balancer) sendAttempt(now time.Duration, r *request, s *server, deadline time.Duration,
	actions []Action) []Action {
	s.outstanding++
	s.sentSinceReport++
	s.classes[r.Class].attemptStarted(now)
	r.outstanding++
	freshReport := b.hasFreshReport(now, s)
	// An empty queue is not sufficient: a server may share its cores between many requests.
	uncontended := freshReport && s.queued == 0 && s.reportedLoad() <= 2 &&
		b.reportLag() == 0
	r.attempts = append(r.attempts, attempt{server: s, sentAt: now, reportSeq: s.reportSeq,
		requestsAhead: s.inFlight + float64(s.sentSinceReport-1),
		freshReport:   freshReport, uncontended: uncontended, mayHaveRun: true})
	actions = append(actions, Action{Kind: Send, ID: r.ID, Server: s.ID, Wait: b.attemptTimeout(now, r),
		StartWithin: deadline - now})
	if b.settings.MayHedge && b.settings.Classes[r.Class].Effect == Idempotent {
		wait := time.Duration(b.slowResponseThreshold(r, s) * 1e9)
		if now+wait+b.expectedServiceTime(r) < r.receivedAt+b.latencyTarget(r) {
			actions = append(actions, b.timer(wait, timerHedge, r.seq))
		}
	}
	return actions
}

// hedge sends a second attempt when the first takes unusually long (hedged requests as in Dean and Barroso,
// "The Tail at Scale"). It draws on the retry budget, so that few requests are hedged in an overload.
func (b *Balancer) hedge(now time.Duration, r *request, actions []Action) []Action {
	if r.finished || r.outstanding != 1 || b.retryBudget < 1 || now >= b.attemptDeadline(r) {
		return actions
	}
	b.retryBudget--
	return b.startAttempt(now, r, actions)
}

// Outcome records how an attempt ended. A request without a final response and without another outstanding
// attempt is retried if it may be, and otherwise rejected or failed.
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
		return b.rejectOrFail(now, r, actions)
	}
	b.retryBudget--
	r.probingDecided = false
	return b.nextAttempt(now, r, actions)
}

// recordOutcome updates the request, its server and the estimates with the outcome of an attempt.
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

// mayRetry reports whether r, whose last attempt ended with result, may have another attempt. A retry that
// can no longer earn any value would only add to an overload.
func (b *Balancer) mayRetry(now time.Duration, r *request, result Result) bool {
	if result == Skipped || result == Done || b.retryBudget < 1 || now >= b.attemptDeadline(r) {
		return false
	}
	return b.settings.Classes[r.Class].LateValue != 0 ||
		now+b.expectedServiceTime(r) <= r.receivedAt+b.latencyTarget(r)
}

// rejectOrFail answers r with a rejection or a failure, unless an attempt is outstanding that may still
// succeed.
func (b *Balancer) rejectOrFail(now time.Duration, r *request, actions []Action) []Action {
	if r.outstanding > 0 {
		return actions
	}
	response := Action{Kind: Reject, ID: r.ID}
	if b.settings.SendsRetryAfter {
		wait := b.jitter(retryAfterQueueDelays * time.Duration(b.recentQueueDelay(now)*1e9))
		response.Wait = min(wait, b.settings.MaxRetryAfter)
	}
	c := &b.settings.Classes[r.Class]
	for i := range r.attempts {
		// A rejection means that a retry is harmless. It is not if an attempt may have run, unless the
		// request is idempotent or all servers drop repeats of it.
		if r.attempts[i].mayHaveRun &&
			(c.Effect == AtMostOnce || c.Effect == Deduplicated && c.DedupScope != DedupFleet) {
			response.Kind, response.Wait = Fail, 0
		}
	}
	b.finish(r)
	return append(actions, response)
}

// StreamStarted reports that the response of an attempt has begun: its request needs no more actions.
func (b *Balancer) StreamStarted(now time.Duration, id string, attempt int, actions []Action) []Action {
	if r := b.requests[id]; r != nil && !r.finished && attempt >= 0 && attempt < len(r.attempts) {
		b.finish(r)
	}
	return actions
}

// ClientDisconnected reports that the client of a request no longer waits for the response.
func (b *Balancer) ClientDisconnected(now time.Duration, id string, actions []Action) []Action {
	if r := b.requests[id]; r != nil && !r.finished {
		b.finish(r)
		return b.cancelOutstanding(r, actions)
	}
	return actions
}

// cancelOutstanding cancels the attempts of a finished request that have no outcome yet, if cancelling is
// allowed.
func (b *Balancer) cancelOutstanding(r *request, actions []Action) []Action {
	for i := range r.attempts {
		if !r.attempts[i].ended && b.settings.MayCancel {
			actions = append(actions, Action{Kind: Cancel, ID: r.ID, Attempt: i})
		}
	}
	return actions
}

// latencyTarget returns the time from the receipt of r within which a response earns the full value.
func (b *Balancer) latencyTarget(r *request) time.Duration {
	c := &b.settings.Classes[r.Class]
	return c.LatencyTarget + time.Duration(c.TargetPerWork*float64(r.Work))
}

// attemptTimeout returns the timeout of an attempt that begins now, or 0 for none. An attempt times out
// when its response would earn nothing and it would only take up a position in the server's queue.
func (b *Balancer) attemptTimeout(now time.Duration, r *request) time.Duration {
	c := &b.settings.Classes[r.Class]
	if c.Stream || c.LateValue > 0 {
		return 0
	}
	return max(b.latencyTarget(r)+c.LatencyTarget/timeoutMarginDivisor-(now-r.receivedAt), 2*b.settings.Tick)
}

// attemptDeadline returns the time before which another attempt of r must begin, given the effect of its
// class and the limits on attempts; 0 if no other attempt is allowed.
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
