// This file fills and draws the shares that candidates.go sets up.

package balance

import (
	"cmp"
	"slices"
	"time"
)

// waterFill gives each row its part of the arrivals: they rise like water from the lowest levels on, and
// a row's share is what of them it takes. With equal weights this is equation 4 of the paper. A share
// above its cap is cut to it, and the rest rises over the others.
func waterFill(servers []candidate, arrivals float64) {
	slices.SortStableFunc(servers, func(x, y candidate) int { return cmp.Compare(x.level, y.level) })
	arrivals = max(arrivals, 1e-9)
	remaining := 1.0 // the part of the arrivals that no capped row takes
	for capExceeded := true; capExceeded && remaining > 1e-12; {
		volume, weight, load, surface := arrivals*remaining, 0.0, 0.0, 0.0
		for i := range servers {
			c := &servers[i]
			if weight > 0 && c.level*weight-load >= volume {
				break
			}
			if !c.capped {
				weight += c.weight
				load += c.weight * c.level
				surface = (volume + load) / weight
			}
		}
		fraction := remaining
		capExceeded = false
		for i := range servers {
			c := &servers[i]
			if c.capped {
				continue
			}
			if c.probability = fraction * max(0, c.weight*(surface-c.level)/volume); c.probability > c.maxProbability {
				c.probability, c.capped, capExceeded = c.maxProbability, true, true
				remaining -= c.maxProbability
			}
		}
	}
}

// draw takes one share at random, nil where the caps leave some of the arrivals to nobody.
func (b *Balancer) draw() *candidate {
	sum := 0.0
	for i := range b.candidates {
		sum += b.candidates[i].probability
	}
	if sum < 1-1e-6 {
		sum = 1 // all caps together leave a part that no server may take
	}
	return b.drawUpTo(sum)
}

// drawUpTo draws from shares of which some may be missing from the sum.
func (b *Balancer) drawUpTo(sum float64) *candidate {
	point := b.rng.Float64() * sum
	for i := range b.candidates {
		if point -= b.candidates[i].probability; point < 0 {
			return &b.candidates[i]
		}
	}
	return nil
}

// sample takes up to k of the rows at random, by weight, so that cold ones come up less.
func (b *Balancer) sample(now time.Duration, r *request, servers []*server, count int,
	chosen []*server) []*server {
	for ; count > 0; count-- {
		b.candidates = b.candidates[:0]
		sum, slowStartSum, total := 0.0, 0.0, 0.0
		for _, s := range servers {
			if slices.Contains(chosen, s) {
				continue
			}
			capacity := b.capacity(r.Class, s)
			total += capacity
			x := candidate{server: s, probability: capacity * b.slowStartFactor(now, s) * s.halfOpenFactor()}
			if b.probesAreCostly() && s.hasReport && now-s.reportedAt < time.Second && !b.isIdle(now, s) {
				x.probability /= 4 // it was busy a moment ago, and what is turned slow stays so for seconds
			}
			if x.weight = x.probability; r.affinityBoost > 0 && s.Cell == r.affinityCell {
				x.probability *= r.affinityBoost
			}
			if !b.probesAreCostly() || b.slowStartFactor(now, s) == 1 {
				sum += x.probability
			}
			b.candidates = append(b.candidates, x)
		}
		for i := range b.candidates { // measured by the warm ones: where there are none, none is picked
			if x := &b.candidates[i]; b.probesAreCostly() && b.slowStartFactor(now, x.server) < 1 {
				x.probability = min(x.probability, sum*b.settings.CollapseMultiple/slowStartSampleMargin*x.weight/total)
				slowStartSum += x.probability
			}
		}
		if x := b.drawUpTo(sum + slowStartSum); x != nil {
			chosen = append(chosen, x.server)
		}
	}
	return chosen
}
