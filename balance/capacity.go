package balance

import "time"

// ratingSamples is the weight of a server's rating among measured latencies, in samples.
const ratingSamples = 4

// unusualLatency is the latency, in seconds, that a response of s seldom exceeds.
func (b *Balancer) unusualLatency(r *request, s *server) float64 {
	queue := max((s.inFlight+float64(s.sentSinceReport))/b.concurrency, 1)
	return unresponsiveAfter * queue * b.serviceTime(r.Class, s.Kind).mean
}

// recordLatency records the latency of an attempt of r, if its result makes the latency meaningful.
func (b *Balancer) recordLatency(now time.Duration, r *request, a *attempt, latency time.Duration,
	result Result) {
	if result != Done && result != TimedOut {
		return
	}
	if !b.probesAreCostly() || b.probesAreQueued() {
		b.recordQueueDelay(now, (latency - b.expectedServiceTime(r)).Seconds(), measuredDelayGain)
	}
	if a.freshReport {
		b.compareToReport(r, a, latency, result)
	}
	if result == Done {
		if r.Work > 0 {
			// Service times are learned as of a request of usual work.
			latency = time.Duration(float64(latency) * b.hintedWork[r.Class].mean / r.Work.Seconds())
		}
		b.recordServiceTime(r.Class, a, latency)
	}
}

// recordServiceTime learns from the latency of a served attempt the service time of its class, and how many
// requests servers work on at once.
func (b *Balancer) recordServiceTime(class int, a *attempt, latency time.Duration) {
	seconds := latency.Seconds()
	if !(seconds > 0) {
		return
	}
	b.serviceTimes[class].add(seconds, a.uncontended)
	kindTime := b.serviceTime(class, a.server.Kind)
	kindTime.add(seconds, a.uncontended)
	// A server with more in flight than it works on at once answers them all in inFlight/concurrency service
	// times; below that the latency says nothing of how many it works on.
	if a.requestsAhead+1 > b.concurrency {
		// The fraction of them that a request waits for is averaged, not its inverse: a few very short responses
		// would make servers look wider than they are, and the wider the more they are loaded.
		waitedFraction := min(max(seconds/kindTime.mean/(a.requestsAhead+1), 1/(a.requestsAhead+1)), 1)
		b.concurrency = 1 / (1/b.concurrency + 0.05*(waitedFraction-1/b.concurrency))
	}
}

// capacity is what a server past its slow start can do for a class, relative to the others: the rating until
// its kind's latencies are known.
func (b *Balancer) capacity(class int, s *server) float64 {
	rated := s.Rating / b.meanRating
	kindTime := b.serviceTime(class, s.Kind)
	measured := b.serviceTimes[class].mean / kindTime.mean
	return (ratingSamples*rated + kindTime.samples*measured) / (ratingSamples + kindTime.samples)
}

// slowStartFactor is the fraction of its capacity that a server has by its slow start, 1 once that is over.
func (b *Balancer) slowStartFactor(now time.Duration, s *server) float64 {
	if s.Started <= 0 || now >= s.Started+b.settings.SlowStartWindow {
		return 1
	}
	age := max(0, float64(now-s.Started)/float64(b.settings.SlowStartWindow))
	return max(b.settings.SlowStartMin+(1-b.settings.SlowStartMin)*age, 0.01)
}
