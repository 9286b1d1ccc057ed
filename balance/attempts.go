// This file follows a request from its start through its attempts to its answer.

package balance

import (
	"slices"
	"time"
)

// Request takes a request that must get one final answer.
func (b *Balancer) Request(now time.Duration, q Request, acts []Action) []Action {
	if b.requests[q.ID] != nil {
		return acts
	}
	if q.Class < 0 || q.Class >= len(b.set.Classes) {
		return append(acts, Action{Kind: Refuse, ID: q.ID})
	}
	b.seq++
	r := &request{Request: q, seq: b.seq, came: now}
	if q.HasKey && b.dear() {
		r.heat = b.keys.meet(now, q.Key)
	}
	b.requests[q.ID], b.bySeq[r.seq] = r, r
	b.budget = min(b.budget+retryShare, retryBurst)
	if q.Work > 0 {
		b.hinted[q.Class].add(q.Work.Seconds(), true)
	}
	return b.place(now, r, acts)
}

// place sends the next attempt of r, holds it for probes or for want of servers, or ends it.
func (b *Balancer) place(now time.Duration, r *request, acts []Action) []Action {
	left := r.Deadline - now
	if left <= b.set.Tick {
		return b.end(now, r, acts)
	}
	rows := b.eligible(now, r)
	if len(rows) == 0 {
		if b.bound(r) != nil || r.holds >= 8 {
			return b.end(now, r, acts)
		}
		r.holds++ // a list may still come
		return append(acts, b.timer(min(left-b.set.Tick, b.jitter(100*time.Millisecond)), timerHold, r.seq))
	}
	if b.set.MayProbe && !r.probed && b.dear() {
		// Dear probes are sent one by one, and none where the request is given up all the same.
		if r.probed = true; len(r.attempts) == 0 && r.unlucky(b.rng, 2*b.overdue(r, b.crowded(now))-1) {
			return b.end(now, r, acts)
		}
		b.favour(now, r, rows)
		r.sample = r.sample[:0]
		if acts = b.askMore(now, r, rows, acts); r.pending > 0 {
			return acts
		}
	}
	if b.set.MayProbe && !r.probed {
		r.probed = true
		// The first of the k choices gain most, so the price sets how many probes are worth it.
		k := int(min(4, max(2, probeWorth/max(b.set.Prices.Probe, 1e-9))))
		r.sample = b.homes(now, r, rows, r.sample[:0])
		if len(r.sample) > 0 {
			k = 1 // and one other, for when the key is hot
			if b.lag() > 0 {
				k = 0 // reports tell little now, where the key is warm tells more
			}
		}
		r.sample = b.pick(now, r, rows, k, r.sample)
		acts = b.probeSample(now, r, r.sample, acts)
		if b.queued() {
			r.pending = 0 // the probes are for the requests that follow
		}
		if r.pending > 0 {
			return append(acts, b.timer(min(left-b.set.Tick, b.probeWait()), timerHold, r.seq))
		}
	}
	return b.send(now, r, acts)
}

// probeWait is how long a probe is waited for; a server that is well answers in much less.
func (b *Balancer) probeWait() time.Duration { return max(4*b.set.Tick, 8*time.Millisecond) }

// queued tells whether probes wait in the servers' queues as requests do, and take as long.
func (b *Balancer) queued() bool { return b.asking > b.meanService()/4 }

// askMore adds one server to the sample of r, up to mostAsked, and probes it; r is pending where that is to
// be waited for. While few servers asked are busy, asking gains little, and a part of requests does without.
func (b *Balancer) askMore(now time.Duration, r *request, rows []*server, acts []Action) []Action {
	n := len(r.sample)
	if n >= mostAsked || n > 0 && r.blind || r.Deadline-now <= b.set.Tick {
		return acts
	}
	r.sample = b.pick(now, r, rows, 1, r.sample)
	if r.blind = n == 0 && b.rng.Float64() > leastAsked+(1-leastAsked)*b.busy/busyAsked; r.blind {
		return acts
	}
	if acts = b.probeSample(now, r, r.sample[n:], acts); b.queued() || r.pending == 0 {
		r.pending = 0
		return acts
	}
	return append(acts, b.timer(min(r.Deadline-now-b.set.Tick, b.probeWait()), timerHold, r.seq))
}

// dear tells whether a request is not worth one probe.
func (b *Balancer) dear() bool { return b.set.Prices.Probe > probeWorth }

// idle tells whether s, by its last report, would begin at once or soon.
func (b *Balancer) idle(now time.Duration, s *server) bool {
	return s.held+float64(s.since)+1 <= max(2*b.parallel*b.warmth(now, s), 1)
}

// probeSample asks those of r's sample that have no fresh report.
func (b *Balancer) probeSample(now time.Duration, r *request, sample []*server, acts []Action) []Action {
	for _, s := range sample {
		if b.fresh(now, s) {
			continue
		}
		r.pending++
		s.waiters = append(s.waiters, r)
		if !s.probing {
			s.probing, s.asked = true, now
			acts = append(acts, Action{Kind: Probe, Server: s.ID})
		}
	}
	return acts
}

// send draws a server by the shares and starts an attempt there.
func (b *Balancer) send(now time.Duration, r *request, acts []Action) []Action {
	rows := b.eligible(now, r)
	if n := len(r.sample); n > 0 && b.dear() && !(b.fresh(now, r.sample[n-1]) && b.idle(now, r.sample[n-1])) {
		if acts = b.askMore(now, r, rows, acts); r.pending > 0 {
			return acts
		}
	}
	whole, sure := 0.0, 0.0
	for _, s := range rows {
		c := b.capacity(r.Class, s)
		whole += c
		sure += c * b.warmth(now, s)
	}
	all, sampled := rows, len(r.sample) > 0
	if sampled {
		kept := slices.DeleteFunc(r.sample, func(s *server) bool { return !slices.Contains(rows, s) })
		// One that did not answer its probe in time is out of reach or in trouble.
		told := slices.DeleteFunc(slices.Clone(kept), func(s *server) bool {
			return !s.hasReport || now-s.reported > reportLife
		})
		if len(told) > 0 {
			kept = told
		}
		if r.sample, sampled = nil, len(kept) > 0; sampled {
			rows = kept
		}
	}
	if len(rows) == 0 {
		return b.place(now, r, acts)
	}
	fill(b.shares, b.weigh(now, r, rows, whole, sure, sampled))
	x := b.draw()
	if x == nil && sampled { // a sample of cold servers may not take it; the others may
		fill(b.shares, b.weigh(now, r, all, whole, sure, false))
		x = b.draw()
	}
	until := b.until(r)
	if x == nil || now >= until || len(r.attempts) == 0 && b.hopeless(now, r, x.s) || r.out > 0 && r.tried(x.s) {
		return b.end(now, r, acts)
	}
	s := x.s
	s.out++
	s.since++
	h := &s.classes[r.Class]
	if h.out++; h.out == 1 {
		h.since = now
	}
	r.out++
	fresh := b.fresh(now, s)
	// A server may share its cores over many places: that nothing waits is not yet uncontended.
	calm := fresh && s.waiting == 0 && s.held+float64(s.since) <= 2 && b.lag() == 0
	r.attempts = append(r.attempts, attempt{to: s, sent: now, epoch: s.epoch, level: s.held + float64(s.since-1),
		fresh: fresh, calm: calm, mayRun: true})
	acts = append(acts, Action{Kind: Send, ID: r.ID, Server: s.ID, Wait: b.patience(now, r),
		Within: until - now})
	if b.set.MayDuplicate && b.set.Classes[r.Class].Effect == Idempotent {
		wait := time.Duration(b.unusual(r, s) * 1e9)
		if now+wait+b.expected(r) < r.came+b.aim(r) {
			acts = append(acts, b.timer(wait, timerCopy, r.seq))
		}
	}
	return acts
}

// second sends another copy of what its server leaves unanswered for unusually long, where that is
// harmless. It draws on what further attempts may be, so that in a jam there are few.
func (b *Balancer) second(now time.Duration, r *request, acts []Action) []Action {
	if r.over || r.out != 1 || b.budget < 1 || now >= b.until(r) {
		return acts
	}
	b.budget--
	return b.send(now, r, acts)
}

// patience is how long an attempt is waited for: an answer that earns nothing is not worth a place in
// a queue.
func (b *Balancer) patience(now time.Duration, r *request) time.Duration {
	c := &b.set.Classes[r.Class]
	if c.Stream || c.LateWorth > 0 {
		return 0
	}
	return max(b.aim(r)+c.Aim/8-(now-r.came), 2*b.set.Tick)
}

func (b *Balancer) aim(r *request) time.Duration {
	c := &b.set.Classes[r.Class]
	return c.Aim + time.Duration(c.AimStretch*float64(r.Work))
}

// hopeless tells whether a request is better refused at once: when the queue at the drawn server takes
// up a part of its aim. The line is soft, so that many balancers together refuse the part that is too
// much, and what earns little for its work is refused first. It ends early, and past it nothing gets in:
// clients ask again at once, and a server held beyond what it can do turns slower for long. One long
// queue alone is no jam, so it counts only as far as such delays were met lately.
func (b *Balancer) hopeless(now time.Duration, r *request, s *server) bool {
	wait := b.crowded(now)
	if b.fresh(now, s) && b.lag() == 0 {
		able := b.capacity(r.Class, s) * max(b.warmth(now, s), 1/b.parallel)
		told := max((s.held+float64(s.since)+1)/b.parallel/able-1, 0) * b.meanService()
		if b.dear() {
			b.met(now, told, 0.1) // what was found by asking tells more than what one server in trouble kept
			return r.unlucky(b.rng, 2*b.overdue(r, told)-1)
		}
		wait = min(told, 2*wait)
	}
	return r.unlucky(b.rng, b.overdue(r, wait))
}

// overdue is the part of requests like r to refuse where they wait so long, in seconds.
func (b *Balancer) overdue(r *request, wait float64) float64 {
	spare := (min(b.aim(r), r.Deadline-r.came) - b.expected(r)).Seconds()
	line := refusePart * spare
	if b.dear() {
		line = max(line, min(refuseAfter*b.meanService(), 0.7*spare))
	}
	return wait / max(line, 1e-4) / max(b.worth(r.Class)/b.meanWorth(), 0.5)
}

// end gives r its final answer, unless an attempt is still out that may bring one. A refusal tells the
// client when to come back: a jam dissolves over several times the delay that is met in it.
func (b *Balancer) end(now time.Duration, r *request, acts []Action) []Action {
	if r.out > 0 {
		return acts
	}
	a := Action{Kind: Refuse, ID: r.ID}
	if b.set.TellsBackoff {
		a.Wait = min(b.jitter(4*time.Duration(b.waiting(now)*1e9)), b.set.MaxBackoff)
	}
	c := &b.set.Classes[r.Class]
	for i := range r.attempts {
		// A refusal says that trying again is harmless: only where nothing ran, or repeats are dropped.
		if r.attempts[i].mayRun && (c.Effect == AtMostOnce || c.Effect == Deduplicated && c.Group != GroupAll) {
			a.Kind, a.Wait = Fail, 0
		}
	}
	b.forget(r)
	return append(acts, a)
}

// Outcome takes in how an attempt ended.
func (b *Balancer) Outcome(now time.Duration, o Outcome, acts []Action) []Action {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].ended {
		return acts
	}
	a := &r.attempts[o.Attempt]
	a.ended, a.mayRun = true, !o.Result.neverRan()
	a.to.out--
	if a.epoch == a.to.epoch {
		a.to.since--
	}
	r.out--
	if o.Report != nil {
		b.report(now, a.to, o.Report)
	}
	h := &a.to.classes[r.Class]
	if !a.uploading {
		h.out--
	}
	switch o.Result {
	case Done:
		h.since, h.failures, h.ejections = now, 0, 0
	case Error, TimedOut:
		if h.failures++; h.failures >= 3 && now >= h.ejected {
			h.ejections++
			h.ejected = now + b.jitter(time.Second<<min(h.ejections-1, 4))
		}
	}
	b.judge(now, a.to, o.Result)
	if o.Result == Done || o.Result == TimedOut {
		if !b.dear() || b.queued() {
			b.met(now, (o.Latency - b.expected(r)).Seconds(), 0.2)
		}
		if a.fresh {
			b.compare(r, a, o.Latency, o.Result)
		}
	}
	if o.Result == Done {
		if r.Work > 0 {
			// Latencies are learned as of a request of usual work.
			o.Latency = time.Duration(float64(o.Latency) * b.hinted[r.Class].mean / r.Work.Seconds())
		}
		b.learn(r.Class, a, o.Latency)
	}
	if r.over || o.Over {
		b.forget(r)
		return b.cancelRest(r, acts)
	}
	if r.out > 0 {
		return acts
	}
	// A further attempt that cannot earn anything any more would only feed a jam.
	if o.Result == Skipped || o.Result == Done || b.budget < 1 || now >= b.until(r) ||
		b.set.Classes[r.Class].LateWorth == 0 && now+b.expected(r) > r.came+b.aim(r) {
		return b.end(now, r, acts)
	}
	b.budget--
	r.probed = false
	return b.place(now, r, acts)
}

// cancelRest withdraws the attempts of a finished request that are still out.
func (b *Balancer) cancelRest(r *request, acts []Action) []Action {
	for i := range r.attempts {
		if !r.attempts[i].ended && b.set.MayCancel {
			acts = append(acts, Action{Kind: Cancel, ID: r.ID, Attempt: i})
		}
	}
	return acts
}

// StreamStarted says that an attempt's answer has begun: its request needs nothing more.
func (b *Balancer) StreamStarted(now time.Duration, id string, attempt int, acts []Action) []Action {
	if r := b.requests[id]; r != nil && !r.over && attempt >= 0 && attempt < len(r.attempts) {
		b.forget(r)
	}
	return acts
}

// ClientGone says that the client waits no longer.
func (b *Balancer) ClientGone(now time.Duration, id string, acts []Action) []Action {
	if r := b.requests[id]; r != nil && !r.over {
		b.forget(r)
		return b.cancelRest(r, acts)
	}
	return acts
}
