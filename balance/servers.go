// This file keeps what a Balancer makes of its servers: reports, service times, health, probes and timers.

package balance

import (
	"math"
	"time"
)

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
