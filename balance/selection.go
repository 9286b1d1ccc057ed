package balance

import (
	"slices"
	"time"
)

// Selection is Basic LI of Dahlin, "Interpreting Stale Load Information" (1999), over weighted servers. The
// load that a request finds at a server is its level: requests in flight divided by the server's weight,
// which is its capacity relative to the others. The arrivals are the requests by which all levels together
// may have risen since the reports, and the water fill of these over the levels gives the probabilities.

const (
	// assumedLoad is the arrival rate a server is assumed to have, as a fraction of what it can do. The paper
	// advises a high value: an underestimate makes all balancers herd to the same servers, an overestimate
	// costs little.
	assumedLoad = 1.0
	// slowStartMargin divides the multiple of its capacity at which a server in slow start collapses. All
	// balancers act alike, so what each sends to such a server adds up to its part of all arrivals. With
	// arrivals at what the fleet can do, it gets 1/slowStartMargin of that multiple; the rest is for bursts,
	// overload, retries and chance. slowStartSampleMargin is the same where servers are probed one by one and
	// busy ones passed over.
	slowStartMargin, slowStartSampleMargin = 8, 4
	// busySampleDivisor divides the weight in samples of a server that was busy less than busyMemory ago: one
	// that got slow stays so for seconds.
	busySampleDivisor, busyMemory = 4, time.Second
	// affinityWeight multiplies the weight of the server that likeliest has the key of a request cached.
	affinityWeight = 2
	// The arrivals since the last reports stay in this balancer's zone while the queue delay is below
	// toleratedDelay of the latency target; over the next delayRange of the target ever fewer of them do.
	toleratedDelay, delayRange = 0.1, 0.4
	// capTolerance is the rounding error up to which probabilities add up to 1.
	capTolerance = 1e-6
)

// selectServer draws one of the sample or, where that is empty or takes no request, of all eligible servers.
// It is nil where caps of servers in slow start leave the request to none.
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
		// A sample of servers in slow start may not take it; the others may.
	}
	arrivals := b.weighCandidates(now, r, eligible, capacity, false)
	waterFill(b.candidates, arrivals)
	if drawn := b.draw(); drawn != nil {
		return drawn.server
	}
	return nil
}

// weighCandidates sets b.candidates to servers, with weight, level and cap for one request, and returns the
// arrivals to spread over them, in requests. sampled says that servers are a sample of the eligible ones.
func (b *Balancer) weighCandidates(now time.Duration, r *request, servers []*server, capacity fleetCapacity,
	sampled bool) float64 {
	typicalLoad, reportAge := b.summarizeReports(now, servers)
	b.candidates = b.candidates[:0]
	totalWeight, homeWeight := 0.0, 0.0
	for _, s := range servers {
		slowStart := b.slowStartFactor(now, s)
		weight := b.capacity(r.Class, s) * slowStart * s.halfOpenFactor()
		c := candidate{server: s, weight: weight, level: s.load(typicalLoad) / weight, maxProbability: 1}
		if s.Zone == b.settings.Zone {
			homeWeight += c.weight
		}
		if s == r.affinityServer {
			// A request for a cached key takes less work, which is worth a wait of one service time more, and more
			// weight where levels say nothing.
			c.level -= b.concurrency
			c.weight *= affinityWeight
		}
		if slowStart < 1 && !(sampled && b.probesAreCostly()) { // sampleOne has capped it where probes are costly
			c.maxProbability = b.slowStartCap(c.weight, capacity)
			if sampled { // the cap holds for all requests, but only some of them have it in their sample
				c.maxProbability /= min(1, float64(len(servers))*c.weight/capacity.now)
			}
		}
		totalWeight += c.weight
		b.candidates = append(b.candidates, c)
	}
	arrivals := reportAge * assumedLoad * totalWeight * b.concurrency
	if homeWeight > 0 {
		b.penalizeOtherZones(b.crossZonePenalty(now, r, arrivals/homeWeight))
	}
	return arrivals
}

// load is the number of requests in flight at s, as far as known. typicalLoad is assumed of a server
// without a report, beside the attempts of this balancer.
func (s *server) load(typicalLoad float64) float64 {
	if s.hasReport {
		return s.reportedLoad()
	}
	return typicalLoad + float64(s.outstanding)
}

// slowStartCap is the probability with which a server in slow start may be selected at most, by its weight.
func (b *Balancer) slowStartCap(weight float64, capacity fleetCapacity) float64 {
	return b.settings.CollapseMultiple / slowStartMargin * weight / capacity.full
}

// summarizeReports returns the mean load in the reports of servers, in requests in flight, and the mean
// age of the reports beyond reportTTL, in service times.
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

// penalizeOtherZones raises the levels of candidates that are not in this balancer's zone.
func (b *Balancer) penalizeOtherZones(penalty float64) {
	for i := range b.candidates {
		if b.candidates[i].server.Zone != b.settings.Zone {
			b.candidates[i].level += penalty
		}
	}
}

// crossZonePenalty is by how much levels in this balancer's zone may be higher before another zone is
// worth its cost. A wait of one latency target loses the whole value, so a cost is worth a wait of the
// same fraction of the target; b.concurrency over the service time turns that into a level. arrivals is by
// how much the arrivals may have raised the levels of this zone: as old levels can't show whether another
// zone is worth it, these arrivals stay too, except as far as the recent queue delay takes up much of the
// latency target.
func (b *Balancer) crossZonePenalty(now time.Duration, r *request, arrivals float64) float64 {
	if b.settings.Costs.CrossZone <= 0 {
		return 0
	}
	target := b.latencyTarget(r).Seconds()
	leaving := min(max(b.recentQueueDelay(now)/target-toleratedDelay, 0)/delayRange, 1)
	return b.settings.Costs.CrossZone*target/b.serviceTimes[r.Class].mean*b.concurrency + arrivals*(1-leaving)
}

// sample appends up to count of the servers to chosen, drawn by weight, so that those in slow start are drawn
// less often.
func (b *Balancer) sample(now time.Duration, r *request, servers []*server, count int,
	chosen []*server) []*server {
	for range count {
		if s := b.sampleOne(now, r, servers, chosen); s != nil {
			chosen = append(chosen, s)
		}
	}
	return chosen
}

// sampleOne draws one of the servers that are not in chosen. Where probes are costly, those in slow start are
// capped in relation to the others. It is nil where no server is left, or only capped ones.
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

// sampleCandidate is s with its weight in a sample, not yet capped. The probabilities of such candidates
// don't add up to 1; they count in relation to their sum.
func (b *Balancer) sampleCandidate(now time.Duration, r *request, s *server) candidate {
	weight := b.capacity(r.Class, s) * b.slowStartFactor(now, s) * s.halfOpenFactor()
	if b.probesAreCostly() && s.hasReport && now-s.reportedAt < busyMemory && !b.isIdle(now, s) {
		weight /= busySampleDivisor
	}
	c := candidate{server: s, weight: weight, probability: weight}
	if r.affinityBoost > 0 && s.Cell == r.affinityCell {
		c.probability *= r.affinityBoost
	}
	return c
}

// draw selects one of the candidates at random by their probabilities, nil where caps leave the request to
// none.
func (b *Balancer) draw() *candidate {
	sum := 0.0
	for i := range b.candidates {
		sum += b.candidates[i].probability
	}
	if sum < 1-capTolerance {
		sum = 1 // all caps together leave a part that no server may take
	}
	return b.drawUpTo(sum)
}

// drawUpTo draws a point below sum and selects the candidate that it falls on, nil if it falls beyond all.
func (b *Balancer) drawUpTo(sum float64) *candidate {
	point := b.rng.Float64() * sum
	for i := range b.candidates {
		if point -= b.candidates[i].probability; point < 0 {
			return &b.candidates[i]
		}
	}
	return nil
}
