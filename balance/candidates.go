// This file decides which servers a request may go to, and sets up the levels that shares.go fills.

package balance

import "time"

// panicking tells whether so few servers are healthy that ejected ones are used. What cannot be reached is no
// part of the floor: a balancer in a zone that is cut off has most of the list out of reach, and what is
// near must do.
func (b *Balancer) panicking(now time.Duration) (panicking bool, near int) {
	healthy := 0
	for _, s := range b.servers {
		if now >= s.ejected {
			healthy++
		}
		if !s.cut || now >= s.ejected {
			near++
		}
	}
	return float64(healthy) < floorPart*float64(near), near
}

// avoided tells whether s gets no traffic at all.
func (s *server) avoided(now time.Duration, panicking bool, near int) bool {
	return now < s.ejected && (!panicking || s.cut && near > 0)
}

// eligible lists the servers that may take a next attempt of r.
func (b *Balancer) eligible(now time.Duration, r *request) []*server {
	panicking, near := b.panicking(now)
	bound := b.bound(r)
	rows := b.rows[:0]
	// The strict pass leaves out what was tried and, for what must not be repeated, servers that have
	// not yet shown to be well; the lax pass takes them rather than nothing.
	for pass := 0; pass < 2 && len(rows) == 0; pass++ {
		for _, s := range b.servers {
			if bound != nil && !b.together(r, bound, s) {
				continue
			}
			if s.avoided(now, panicking, near) && (bound == nil || pass == 0) {
				continue
			}
			if pass == 0 && (b.stuck(now, r, s) || r.tried(s) ||
				s.suspect && b.set.Classes[r.Class].Effect == AtMostOnce) {
				continue
			}
			rows = append(rows, s)
		}
	}
	b.rows = rows
	return rows
}

// stuck tells whether s leaves the class of r unanswered: some servers in trouble do, while other classes
// and probes go well. At first only the missing answers show it; after failures it is tried singly.
func (b *Balancer) stuck(now time.Duration, r *request, s *server) bool {
	h := &s.classes[r.Class]
	if s.probing && now-s.asked > b.probeWait() && !b.queued() {
		return true
	}
	if h.out == 0 {
		return now < h.ejected
	}
	return now < h.ejected || h.failures >= 3 || (now-h.since).Seconds() > b.unusual(r, s)
}

// unusual is how long, in seconds, an answer of s seldom takes.
func (b *Balancer) unusual(r *request, s *server) float64 {
	queue := max((s.held+float64(s.since))/b.parallel, 1)
	return stuckAfter * queue * b.kind(r.Class, s.Kind).mean
}

// bound is the first server where a deduplicated request may have run; repeats must stay in its group.
func (b *Balancer) bound(r *request) *server {
	if b.set.Classes[r.Class].Effect != Deduplicated {
		return nil
	}
	for i := range r.attempts {
		if r.attempts[i].mayRun {
			return r.attempts[i].to
		}
	}
	return nil
}

func (b *Balancer) together(r *request, x, y *server) bool {
	switch b.set.Classes[r.Class].Group {
	case GroupZone:
		return x.Zone == y.Zone
	case GroupCell:
		return x.Zone == y.Zone && x.Cell == y.Cell
	}
	return true
}

// until is the time before which the rules allow one more attempt to begin; 0 where they allow none.
func (b *Balancer) until(r *request) time.Duration {
	if r.spent || len(r.attempts) >= b.set.MaxAttempts || r.out > 0 && !b.set.MayDuplicate {
		return 0
	}
	c, until := &b.set.Classes[r.Class], r.Deadline
	for i := range r.attempts {
		if a := &r.attempts[i]; a.mayRun && c.Effect == AtMostOnce {
			return 0
		} else if a.mayRun && c.Effect == Deduplicated {
			until = min(until, a.sent+c.Window-2*b.set.Tick)
		}
	}
	return until
}

// trust lets little through to a server that was ejected, until one success.
func (s *server) trust() float64 {
	if s.suspect {
		return 0.1
	}
	return 1
}

// weigh sets up the shares of the candidates for one request, levels and caps included. whole is the
// capacity of all eligible servers were they warm, sure what of it is there now.
func (b *Balancer) weigh(now time.Duration, r *request, rows []*server, whole, sure float64,
	sampled bool) float64 {
	known, typical, age := 0.0, 0.0, 0.0
	for _, s := range rows {
		if s.hasReport {
			known++
			typical += s.held
			age += max(now-s.reported-reportLife, 0).Seconds() // as good as new until then
		}
	}
	ages := noReport
	if known > 0 {
		typical /= known
		ages = (age/known + b.lag()) / b.meanService()
	}
	b.shares = b.shares[:0]
	sum, home := 0.0, 0.0
	for _, s := range rows {
		warm := b.warmth(now, s)
		x := share{s: s, weight: b.capacity(r.Class, s) * warm * s.trust(), cap: 1}
		if s.hasReport {
			x.level = s.held + float64(s.since)
		} else {
			x.level = typical + float64(s.out)
		}
		x.level /= x.weight
		if s.Zone == b.set.Zone {
			home += x.weight
		}
		if s == r.home {
			// What is warm takes less work, here and of the fleet: worth as much as one service time more
			// to wait, and twice the share where levels tell nothing.
			x.level -= b.parallel
			x.weight *= 2
		}
		if warm < 1 && !(sampled && b.dear()) { // that was capped when it was picked
			// All balancers do the same, so what each gives a cold server adds up to this part of all arrivals.
			// With arrivals at what the warm fleet can do, it meets 1/8 of the multiple at which it falls over;
			// the rest is for bursts, overload, retries and chance. A sampled one comes up by its weight.
			x.cap = b.set.FallMultiple / 8 * x.weight / whole
			if sampled {
				x.cap /= min(1, float64(len(rows))*x.weight/sure)
			}
		}
		sum += x.weight
		b.shares = append(b.shares, x)
	}
	arrive := ages * lambda * sum * b.parallel
	if home > 0 {
		cross := b.crossing(now, r, arrive/home)
		for i := range b.shares {
			if b.shares[i].s.Zone != b.set.Zone {
				b.shares[i].level += cross
			}
		}
	}
	return arrive
}

// crossing is how much higher levels may be at home before another zone is worth its price: a wait of
// one aim loses the whole worth, so a price is as much of an aim, counted in service times. Old levels
// cannot show what is worth it, so with age the arrivals of a whole phase, all, stay at home too, but
// as far as requests lately met a delay that takes up much of their aim.
func (b *Balancer) crossing(now time.Duration, r *request, all float64) float64 {
	if b.set.Prices.CrossZone <= 0 {
		return 0
	}
	aim := b.aim(r).Seconds()
	open := min(max(b.waiting(now)/aim-0.1, 0)/0.4, 1)
	return b.set.Prices.CrossZone*aim/b.service[r.Class].mean*b.parallel + all*(1-open)
}

// favour finds the cell that likeliest met the key of r, the same for all balancers, and by how much to
// prefer it: most of a usual key's requests go there, of a hot one's as many as it can carry.
func (b *Balancer) favour(now time.Duration, r *request, rows []*server) {
	if r.boost = 0; !b.set.WarmKeys || !r.HasKey {
		return
	}
	high, all, near := uint64(0), 0.0, 0.0
	for _, s := range rows {
		c := b.capacity(r.Class, s)
		if x := mix(r.Key ^ uint64(s.Cell+1)*0x9e3779b97f4a7c15); x > high {
			high, r.cell, near = x, s.Cell, 0
		}
		if all += c; s.Cell == r.cell {
			near += c
		}
	}
	if part := near / all; part < 1 {
		want := min(0.7, 0.5*part/max(r.heat, 1e-9))
		r.boost = max(1, want*(1-part)/(part*(1-want)))
	}
}

// homes are the servers where the key of r is likely warm: the same two for all balancers that see the
// same list, the first of them first. They are the k of LI-k where warm keys save work.
func (b *Balancer) homes(now time.Duration, r *request, rows []*server, into []*server) []*server {
	r.home = nil
	if !b.set.WarmKeys || !r.HasKey || len(rows) < 3 {
		return into
	}
	var first, second *server
	var high, next uint64
	for _, s := range rows {
		if b.warmth(now, s) < 1 {
			continue // its cap counts on its coming up by chance alone
		}
		switch x := mix(r.Key ^ uint64(s.ID)*0x9e3779b97f4a7c15); {
		case first == nil || x > high:
			first, second, high, next = s, first, x, high
		case second == nil || x > next:
			second, next = s, x
		}
	}
	if second == nil {
		return into
	}
	r.home = first
	return append(into, first, second)
}
