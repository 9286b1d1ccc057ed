// This file fills and draws the shares that candidates.go sets up.

package balance

import (
	"cmp"
	"slices"
	"time"
)

// fill gives each row its part of the arrivals: they rise like water from the lowest levels on, and
// a row's share is what of them it takes. With equal weights this is equation 4 of the paper. A share
// above its cap is cut to it, and the rest rises over the others.
func fill(rows []share, arrive float64) {
	slices.SortStableFunc(rows, func(x, y share) int { return cmp.Compare(x.level, y.level) })
	arrive = max(arrive, 1e-9)
	left := 1.0 // the part of the arrivals that no capped row takes
	for again := true; again && left > 1e-12; {
		water, weight, full, surface := arrive*left, 0.0, 0.0, 0.0
		for i := range rows {
			r := &rows[i]
			if weight > 0 && r.level*weight-full >= water {
				break
			}
			if !r.fixed {
				weight += r.weight
				full += r.weight * r.level
				surface = (water + full) / weight
			}
		}
		part := left
		again = false
		for i := range rows {
			r := &rows[i]
			if r.fixed {
				continue
			}
			if r.p = part * max(0, r.weight*(surface-r.level)/water); r.p > r.cap {
				r.p, r.fixed, again = r.cap, true, true
				left -= r.cap
			}
		}
	}
}

// draw takes one share at random, nil where the caps leave some of the arrivals to nobody.
func (b *Balancer) draw() *share {
	sum := 0.0
	for i := range b.shares {
		sum += b.shares[i].p
	}
	if sum < 1-1e-6 {
		sum = 1 // all caps together leave a part that no server may take
	}
	return b.drawOf(sum)
}

// drawOf draws from shares of which some may be missing from the sum.
func (b *Balancer) drawOf(sum float64) *share {
	at := b.rng.Float64() * sum
	for i := range b.shares {
		if at -= b.shares[i].p; at < 0 {
			return &b.shares[i]
		}
	}
	return nil
}

// pick takes up to k of the rows at random, by weight, so that cold ones come up less.
func (b *Balancer) pick(now time.Duration, r *request, rows []*server, k int, into []*server) []*server {
	for ; k > 0; k-- {
		b.shares = b.shares[:0]
		sum, cold, whole := 0.0, 0.0, 0.0
		for _, s := range rows {
			if slices.Contains(into, s) {
				continue
			}
			able := b.capacity(r.Class, s)
			whole += able
			x := share{s: s, p: able * b.warmth(now, s) * s.trust()}
			if b.dear() && s.hasReport && now-s.reported < time.Second && !b.idle(now, s) {
				x.p /= 4 // it was busy a moment ago, and what is turned slow stays so for seconds
			}
			if x.weight = x.p; r.boost > 0 && s.Cell == r.cell {
				x.p *= r.boost
			}
			if !b.dear() || b.warmth(now, s) == 1 {
				sum += x.p
			}
			b.shares = append(b.shares, x)
		}
		for i := range b.shares { // measured by the warm ones: where there are none, none is picked
			if x := &b.shares[i]; b.dear() && b.warmth(now, x.s) < 1 {
				x.p = min(x.p, sum*b.set.FallMultiple/coldParts*x.weight/whole)
				cold += x.p
			}
		}
		if x := b.drawOf(sum + cold); x != nil {
			into = append(into, x.s)
		}
	}
	return into
}
