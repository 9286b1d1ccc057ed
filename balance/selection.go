package balance

import (
	"slices"
	"time"
)

// Servers are selected by the Basic LI algorithm of Dahlin, "Interpreting Stale Load Information" (1999),
// extended by server weights. The level of a server is its number of requests in flight divided by its
// weight, which is its capacity relative to the others. The arrivals are an estimate of how many requests the
// servers together received since their reports. Water-filling the levels with the arrivals gives the
// selection probabilities.

const (
	// assumedUtilization is the utilization of servers assumed when the arrivals since the reports are
	// estimated. The paper advises a high value: an underestimate makes all balancers herd to the same
	// servers, whereas an overestimate costs little.
	assumedUtilization = 1.0
	// slowStartMargin is the safety factor between the load that a server in slow start may get and the
	// load at which it collapses, CollapseMultiple times its present capacity. All balancers act alike, so
	// the probability with which one of them selects the server is the server's fraction of all arrivals.
	// When arrivals equal the fleet's capacity, the server gets at most 1/slowStartMargin of the load at
	// which it collapses; the rest is a reserve for bursts, overload, retries and random variation.
	// slowStartSampleMargin is the safety factor where servers are probed one by one and busy ones are
	// passed over.
	slowStartMargin, slowStartSampleMargin = 8, 4
	// busySampleDivisor divides the sampling weight of a server that a report less than busyReportMaxAge
	// old shows busy: a server that has become slow stays slow for seconds.
	busySampleDivisor, busyReportMaxAge = 4, time.Second
	// affinityWeightFactor multiplies the weight of the server that most likely has the key of a request
	// cached.
	affinityWeightFactor = 2
	// The penalty of other zones includes the estimated arrivals since the last reports, which keeps those
	// requests in this balancer's zone, while the queue delay is below spilloverDelayFraction of the
	// latency target. As the delay rises over the next spilloverDelayRange of the target, the included part
	// falls linearly to 0.
	spilloverDelayFraction, spilloverDelayRange = 0.1, 0.4
	// probabilityTolerance is the rounding error within which a sum of probabilities counts as 1.
	probabilityTolerance = 1e-6
)

// selectServer selects a server at random from the sample or, if the sample is empty or takes no request,
// from all eligible servers. It returns nil if the caps of servers in slow start leave the request to none.
func (b *Balancer) selectServer(now time.Duration, r *request, eligible, sample []*server) *server {
	var capacity fleetCapacity
	for _, s := range eligible {
		c := b.capacity(r.Class, s)
		capacity.full += c
		capacity.now += c * b.slowStartFactor(now, s)
	}
	if len(sample) > 0 {
		arrivals := b.weighCandidates(now, r, sample, capacity, true)
		waterFill(b.candidates, arrivals)
		if drawn := b.draw(); drawn != nil {
			return drawn.server
		}
		// The caps of a sample in slow start may exclude this request; other eligible servers may take it.
	}
	arrivals := b.weighCandidates(now, r, eligible, capacity, false)
	waterFill(b.candidates, arrivals)
	if drawn := b.draw(); drawn != nil {
		return drawn.server
	}
	return nil
}

// weighCandidates fills b.candidates with the servers and their weights, levels and probability caps for r.
// It returns the estimated arrivals to spread over them, in requests. sampled states that servers is a
// sample of the eligible servers, not all of them.
func (b *Balancer) weighCandidates(now time.Duration, r *request, servers []*server, capacity fleetCapacity,
	sampled bool) float64 {
	typicalLoad, reportAge := b.summarizeReports(now, servers)
	b.candidates = b.candidates[:0]
	totalWeight, sameZoneWeight := 0.0, 0.0
	for _, s := range servers {
		slowStart := b.slowStartFactor(now, s)
		weight := b.capacity(r.Class, s) * slowStart * s.halfOpenFactor()
		c := candidate{server: s, weight: weight, level: s.estimatedLoad(typicalLoad) / weight, maxProbability: 1}
		if s.Zone == b.settings.Zone {
			sameZoneWeight += c.weight
		}
		if s == r.affinityServer {
			// A request whose key is cached takes less work. That justifies a wait of one more service
			// time, and a higher weight where the levels don't differ.
			c.level -= b.concurrency
			c.weight *= affinityWeightFactor
		}
		if slowStart < 1 && !(sampled && b.probesAreCostly()) { // where probes are costly, sampleOne has capped it
			c.maxProbability = b.slowStartCap(c.weight, capacity)
			if sampled { // the cap is for all requests, but only some of these have the server in their sample
				c.maxProbability /= min(1, float64(len(servers))*c.weight/capacity.now)
			}
		}
		totalWeight += c.weight
		b.candidates = append(b.candidates, c)
	}
	arrivals := reportAge * assumedUtilization * totalWeight * b.concurrency
	if sameZoneWeight > 0 {
		b.penalizeOtherZones(b.crossZonePenalty(now, r, arrivals/sameZoneWeight))
	}
	return arrivals
}

// estimatedLoad returns the estimated number of requests in flight at s. For a server without a report it
// is typicalLoad plus the outstanding attempts of this balancer.
func (s *server) estimatedLoad(typicalLoad float64) float64 {
	if s.hasReport {
		return s.reportedLoad()
	}
	return typicalLoad + float64(s.outstanding)
}

// slowStartCap returns the highest probability with which a server of the given weight in slow start may be
// selected.
func (b *Balancer) slowStartCap(weight float64, capacity fleetCapacity) float64 {
	return b.settings.CollapseMultiple / slowStartMargin * weight / capacity.full
}

// summarizeReports returns the mean load in the reports of the servers, in requests in flight, and the mean
// age of the reports beyond reportTTL, including reportLag, in service times.
func (b *Balancer) summarizeReports(now time.Duration, servers []*server) (typicalLoad, reportAge float64) {
	reports, load, age := 0.0, 0.0, 0.0
	for _, s := range servers {
		if s.hasReport {
			reports++
			load += s.inFlight
			age += max(now-s.reportedAt-reportTTL, 0).Seconds()
		}
	}
	if reports == 0 {
		return 0, unknownReportAge
	}
	return load / reports, (age/reports + b.reportLag()) / b.meanServiceTime()
}

// penalizeOtherZones raises the levels of the candidates outside this balancer's zone by penalty.
func (b *Balancer) penalizeOtherZones(penalty float64) {
	for i := range b.candidates {
		if b.candidates[i].server.Zone != b.settings.Zone {
			b.candidates[i].level += penalty
		}
	}
}

// crossZonePenalty returns by how much the levels in this balancer's zone may exceed those of another zone
// before the other zone is worth its cost. A wait of one latency target loses the whole value of a request,
// so a cost equals a wait of the same fraction of the target; b.concurrency over the service time converts
// this wait to a level. arrivals is by how much the estimated arrivals may have raised the levels of this
// zone. Stale levels can't show whether another zone is worth its cost, so the penalty includes the
// arrivals, except as far as the recent queue delay takes up much of the latency target.
func (b *Balancer) crossZonePenalty(now time.Duration, r *request, arrivals float64) float64 {
	if b.settings.Costs.CrossZone <= 0 {
		return 0
	}
	target := b.latencyTarget(r).Seconds()
	spillover := min(max(b.recentQueueDelay(now)/target-spilloverDelayFraction, 0)/spilloverDelayRange, 1)
	return b.settings.Costs.CrossZone*target/b.serviceTimes[r.Class].mean*b.concurrency + arrivals*(1-spillover)
}

// sample appends up to count of the servers to chosen. They are drawn by weight and without replacement, so
// that servers in slow start are drawn less often.
func (b *Balancer) sample(now time.Duration, r *request, servers []*server, count int,
	chosen []*server) []*server {
	for range count {
		if s := b.sampleOne(now, r, servers, chosen); s != nil {
			chosen = append(chosen, s)
		}
	}
	return chosen
}

// sampleOne draws one of the servers that are not in chosen. Where probes are costly, the probabilities of
// servers in slow start are capped in relation to the others. It returns nil if no server is left, or only
// capped ones.
func (b *Balancer) sampleOne(now time.Duration, r *request, servers, chosen []*server) *server {
	costly := b.probesAreCostly()
	b.candidates = b.candidates[:0]
	uncappedSum, cappedSum, capacity := 0.0, 0.0, 0.0
	for _, s := range servers {
		if slices.Contains(chosen, s) {
			continue
		}
		c := b.sampleCandidate(now, r, s)
		capacity += b.capacity(r.Class, s)
		if !costly || b.slowStartFactor(now, s) == 1 {
			uncappedSum += c.probability
		}
		b.candidates = append(b.candidates, c)
	}
	for i := range b.candidates {
		if c := &b.candidates[i]; costly && b.slowStartFactor(now, c.server) < 1 {
			limit := uncappedSum * b.settings.CollapseMultiple / slowStartSampleMargin * c.weight / capacity
			c.probability = min(c.probability, limit)
			cappedSum += c.probability
		}
	}
	if drawn := b.drawUpTo(uncappedSum + cappedSum); drawn != nil {
		return drawn.server
	}
	return nil
}

// sampleCandidate returns s as a candidate for a sample, with its weight and without a cap. The
// probabilities of such candidates don't add up to 1; each counts relative to their sum.
func (b *Balancer) sampleCandidate(now time.Duration, r *request, s *server) candidate {
	weight := b.capacity(r.Class, s) * b.slowStartFactor(now, s) * s.halfOpenFactor()
	if b.probesAreCostly() && s.hasReport && now-s.reportedAt < busyReportMaxAge && !b.isIdle(now, s) {
		weight /= busySampleDivisor
	}
	c := candidate{server: s, weight: weight, probability: weight}
	if r.affinityBoost > 0 && s.Cell == r.affinityCell {
		c.probability *= r.affinityBoost
	}
	return c
}

// draw selects one of the candidates at random by their probabilities. It returns nil if the caps leave the
// request to none.
func (b *Balancer) draw() *candidate {
	sum := 0.0
	for i := range b.candidates {
		sum += b.candidates[i].probability
	}
	if sum < 1-probabilityTolerance {
		sum = 1 // the caps leave a part of the requests that no candidate may take
	}
	return b.drawUpTo(sum)
}

// drawUpTo draws a random point in [0, sum) and returns the candidate whose interval of probability
// contains it, or nil if the point lies beyond all of them.
func (b *Balancer) drawUpTo(sum float64) *candidate {
	point := b.rng.Float64() * sum
	for i := range b.candidates {
		if point -= b.candidates[i].probability; point < 0 {
			return &b.candidates[i]
		}
	}
	return nil
}
