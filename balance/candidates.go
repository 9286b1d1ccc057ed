// This file decides which servers a request may go to, and sets up the levels that shares.go fills.

package balance

import "time"

// panicking tells whether so few servers are healthy that ejected ones are used. What cannot be reached is no
// part of the floor: a balancer in a zone that is cut off has most of the list out of reach, and what is
// near must do.
func (b *Balancer) panicking(now time.Duration) (panicking bool, reachable int) {
	healthy := 0
	for _, s := range b.servers {
		if now >= s.ejectedUntil {
			healthy++
		}
		if !s.unreachable || now >= s.ejectedUntil {
			reachable++
		}
	}
	return float64(healthy) < panicThreshold*float64(reachable), reachable
}

// isEjected tells whether s gets no traffic at all.
func (s *server) isEjected(now time.Duration, panicking bool, reachable int) bool {
	return now < s.ejectedUntil && (!panicking || s.unreachable && reachable > 0)
}

// eligible lists the servers that may take a next attempt of r.
func (b *Balancer) eligible(now time.Duration, r *request) []*server {
	panicking, reachable := b.panicking(now)
	anchor := b.dedupServer(r)
	servers := b.eligibleBuf[:0]
	// The strict pass leaves out what was tried and, for what must not be repeated, servers that have
	// not yet shown to be well; the lax pass takes them rather than nothing.
	for pass := 0; pass < 2 && len(servers) == 0; pass++ {
		for _, s := range b.servers {
			if anchor != nil && !b.sameDedupScope(r, anchor, s) {
				continue
			}
			if s.isEjected(now, panicking, reachable) && (anchor == nil || pass == 0) {
				continue
			}
			if pass == 0 && (b.unresponsive(now, r, s) || r.hasAttempted(s) ||
				s.halfOpen && b.settings.Classes[r.Class].Effect == AtMostOnce) {
				continue
			}
			servers = append(servers, s)
		}
	}
	b.eligibleBuf = servers
	return servers
}

// unresponsive tells whether s leaves the class of r unanswered: some servers in trouble do, while other
// classes and probes go well. At first only the missing answers show it; after failures it is tried
// singly.
func (b *Balancer) unresponsive(now time.Duration, r *request, s *server) bool {
	class := &s.classes[r.Class]
	if s.probing && now-s.probedAt > b.probeTimeout() && !b.probesAreQueued() {
		return true
	}
	if class.outstanding == 0 {
		return now < class.ejectedUntil
	}
	return now < class.ejectedUntil || class.failures >= 3 ||
		(now-class.unservedSince).Seconds() > b.unusualLatency(r, s)
}

// unusualLatency is how long, in seconds, an answer of s seldom takes.
func (b *Balancer) unusualLatency(r *request, s *server) float64 {
	queue := max((s.inFlight+float64(s.sentSinceReport))/b.concurrency, 1)
	return unresponsiveAfter * queue * b.serviceTime(r.Class, s.Kind).mean
}

// dedupServer is the first server where a deduplicated request may have run; repeats must stay in its group.
func (b *Balancer) dedupServer(r *request) *server {
	if b.settings.Classes[r.Class].Effect != Deduplicated {
		return nil
	}
	for i := range r.attempts {
		if r.attempts[i].mayHaveRun {
			return r.attempts[i].server
		}
	}
	return nil
}

func (b *Balancer) sameDedupScope(r *request, first, other *server) bool {
	switch b.settings.Classes[r.Class].DedupScope {
	case DedupZone:
		return first.Zone == other.Zone
	case DedupCell:
		return first.Zone == other.Zone && first.Cell == other.Cell
	}
	return true
}

// attemptDeadline is the time before which the rules allow one more attempt to begin; 0 where they allow
// none.
func (b *Balancer) attemptDeadline(r *request) time.Duration {
	if r.bodyConsumed || len(r.attempts) >= b.settings.MaxAttempts || r.outstanding > 0 && !b.settings.MayHedge {
		return 0
	}
	c, deadline := &b.settings.Classes[r.Class], r.Deadline
	for i := range r.attempts {
		if a := &r.attempts[i]; a.mayHaveRun && c.Effect == AtMostOnce {
			return 0
		} else if a.mayHaveRun && c.Effect == Deduplicated {
			deadline = min(deadline, a.sentAt+c.DedupWindow-2*b.settings.Tick)
		}
	}
	return deadline
}

// halfOpenFactor lets little through to a server that was ejected, until one success.
func (s *server) halfOpenFactor() float64 {
	if s.halfOpen {
		return 0.1
	}
	return 1
}

// weighCandidates sets up the shares of the candidates for one request, levels and caps included. whole is
// the capacity of all eligible servers were they warm, sure what of it is there now.
func (b *Balancer) weighCandidates(now time.Duration, r *request, servers []*server,
	capacity, warmCapacity float64, sampled bool) float64 {
	known, typical, age := 0.0, 0.0, 0.0
	for _, s := range servers {
		if s.hasReport {
			known++
			typical += s.inFlight
			age += max(now-s.reportedAt-reportTTL, 0).Seconds() // as good as new until then
		}
	}
	reportAge := unknownReportAge
	if known > 0 {
		typical /= known
		reportAge = (age/known + b.reportLag()) / b.meanServiceTime()
	}
	b.candidates = b.candidates[:0]
	totalWeight, homeWeight := 0.0, 0.0
	for _, s := range servers {
		slowStart := b.slowStartFactor(now, s)
		weight := b.capacity(r.Class, s) * slowStart * s.halfOpenFactor()
		x := candidate{server: s, weight: weight, maxProbability: 1}
		if s.hasReport {
			x.level = s.inFlight + float64(s.sentSinceReport)
		} else {
			x.level = typical + float64(s.outstanding)
		}
		x.level /= x.weight
		if s.Zone == b.settings.Zone {
			homeWeight += x.weight
		}
		if s == r.affinityServer {
			// What is warm takes less work, here and of the fleet: worth as much as one service time more
			// to wait, and twice the share where levels tell nothing.
			x.level -= b.concurrency
			x.weight *= 2
		}
		if slowStart < 1 && !(sampled && b.probesAreCostly()) { // that was capped when it was picked
			// All balancers do the same, so what each gives a cold server adds up to this part of all arrivals.
			// With arrivals at what the warm fleet can do, it meets 1/8 of the multiple at which it falls over;
			// the rest is for bursts, overload, retries and chance. A sampled one comes up by its weight.
			x.maxProbability = b.settings.CollapseMultiple / 8 * x.weight / capacity
			if sampled {
				x.maxProbability /= min(1, float64(len(servers))*x.weight/warmCapacity)
			}
		}
		totalWeight += x.weight
		b.candidates = append(b.candidates, x)
	}
	arrivals := reportAge * assumedLoad * totalWeight * b.concurrency
	if homeWeight > 0 {
		penalty := b.crossZonePenalty(now, r, arrivals/homeWeight)
		for i := range b.candidates {
			if b.candidates[i].server.Zone != b.settings.Zone {
				b.candidates[i].level += penalty
			}
		}
	}
	return arrivals
}

// crossZonePenalty is how much higher levels may be at home before another zone is worth its price: a wait of
// one aim loses the whole worth, so a price is as much of an aim, counted in service times. Old levels
// cannot show what is worth it, so with age the arrivals of a whole phase, all, stay at home too, but
// as far as requests lately met a delay that takes up much of their aim.
func (b *Balancer) crossZonePenalty(now time.Duration, r *request, arrivals float64) float64 {
	if b.settings.Costs.CrossZone <= 0 {
		return 0
	}
	target := b.latencyTarget(r).Seconds()
	allowed := min(max(b.recentQueueDelay(now)/target-0.1, 0)/0.4, 1)
	return b.settings.Costs.CrossZone*target/b.serviceTimes[r.Class].mean*b.concurrency + arrivals*(1-allowed)
}

// preferAffinityCell finds the cell that likeliest met the key of r, the same for all balancers, and by
// how much to prefer it: most of a usual key's requests go there, of a hot one's as many as it can carry.
func (b *Balancer) preferAffinityCell(now time.Duration, r *request, servers []*server) {
	if r.affinityBoost = 0; !b.settings.KeyAffinity || !r.HasKey {
		return
	}
	highest, total, inCell := uint64(0), 0.0, 0.0
	for _, s := range servers {
		capacity := b.capacity(r.Class, s)
		if hash := mix(r.Key ^ uint64(s.Cell+1)*0x9e3779b97f4a7c15); hash > highest {
			highest, r.affinityCell, inCell = hash, s.Cell, 0
		}
		if total += capacity; s.Cell == r.affinityCell {
			inCell += capacity
		}
	}
	if fraction := inCell / total; fraction < 1 {
		wanted := min(0.7, 0.5*fraction/max(r.keyFraction, 1e-9))
		r.affinityBoost = max(1, wanted*(1-fraction)/(fraction*(1-wanted)))
	}
}

// affinityServers are the servers where the key of r is likely warm: the same two for all balancers that
// see the same list, the first of them first. They are the k of LI-k where warm keys save work.
func (b *Balancer) affinityServers(now time.Duration, r *request, servers, sample []*server) []*server {
	r.affinityServer = nil
	if !b.settings.KeyAffinity || !r.HasKey || len(servers) < 3 {
		return sample
	}
	var first, second *server
	var firstHash, secondHash uint64
	for _, s := range servers {
		if b.slowStartFactor(now, s) < 1 {
			continue // its cap counts on its coming up by chance alone
		}
		switch x := mix(r.Key ^ uint64(s.ID)*0x9e3779b97f4a7c15); {
		case first == nil || x > firstHash:
			first, second, firstHash, secondHash = s, first, x, firstHash
		case second == nil || x > secondHash:
			second, secondHash = s, x
		}
	}
	if second == nil {
		return sample
	}
	r.affinityServer = first
	return append(sample, first, second)
}
