package balance

import "time"

const (
	// ratingSamples is the weight of a server's rating relative to measured latencies, in samples.
	ratingSamples = 4
	// concurrencyGain is the weight of one latency in the moving average of 1/concurrency.
	concurrencyGain = 0.05
	// minSlowStartFactor is the lower bound of the slow start factor, a divisor: SlowStartMin may be 0.
	minSlowStartFactor = 0.01
)

// slowResponseThreshold returns the latency, in seconds, that a response of s to r seldom exceeds under the
// server's present load.
func (b *Balancer) slowResponseThreshold(r *request, s *server) float64 {
	serviceTimesToWait := max(s.reportedLoad()/b.concurrency, 1)
	return slowResponseFactor * serviceTimesToWait * b.serviceTime(r.Class, s.Kind).mean
}

// recordLatency records the latency of an attempt of r that was served or timed out. A timeout gives only a
// lower bound of the latency, which is enough for the queue delay but not for the service time.
func (b *Balancer) recordLatency(now time.Duration, r *request, a *attempt, latency time.Duration,
	result Result) {
	if result != Done && result != TimedOut {
		return
	}
	if !b.probesAreCostly() || b.probesAreQueued() {
		b.recordQueueDelay(now, (latency - b.expectedServiceTime(r)).Seconds(), measuredDelayGain)
	}
	if a.freshReport {
		b.updateForecastMissRate(r, a, latency, result)
	}
	if result == Done {
		if r.Work > 0 {
			// Service times are those of a request with the mean expected work, so scale the latency to it.
			latency = time.Duration(float64(latency) * b.expectedWork[r.Class].mean / r.Work.Seconds())
		}
		b.recordServiceTime(r.Class, a, latency)
	}
}

// recordServiceTime updates the service time of a class and the concurrency of servers from the latency of
// a served attempt.
func (b *Balancer) recordServiceTime(class int, a *attempt, latency time.Duration) {
	seconds := latency.Seconds()
	if !(seconds > 0) {
		return
	}
	b.serviceTimes[class].add(seconds, a.uncontended)
	kindEstimate := b.serviceTime(class, a.server.Kind)
	kindEstimate.add(seconds, a.uncontended)
	// A server with more requests in flight than its concurrency takes inFlight/concurrency service times for
	// all of them. With fewer in flight the latency does not depend on the concurrency.
	if a.requestsAhead+1 > b.concurrency {
		// The moving average is of 1/concurrency. An average of concurrency itself would rise above the actual
		// value with a few very short responses, and the more so the higher the load.
		inverse := min(max(seconds/kindEstimate.mean/(a.requestsAhead+1), 1/(a.requestsAhead+1)), 1)
		b.concurrency = 1 / (1/b.concurrency + concurrencyGain*(inverse-1/b.concurrency))
	}
}

// capacity returns the capacity of a server for a class, relative to the others and as if past slow start;
// it is about 1 on average. It is the server's rating at first; the more latencies of its kind of machine
// are measured, the more weight they have.
func (b *Balancer) capacity(class int, s *server) float64 {
	rated := s.Rating / b.meanRating
	kindEstimate := b.serviceTime(class, s.Kind)
	measured := b.serviceTimes[class].mean / kindEstimate.mean
	return (ratingSamples*rated + kindEstimate.samples*measured) / (ratingSamples + kindEstimate.samples)
}

// slowStartFactor returns the fraction of its capacity that a server has now. It rises linearly from
// SlowStartMin at the server's start to 1 after SlowStartWindow.
func (b *Balancer) slowStartFactor(now time.Duration, s *server) float64 {
	if s.Started <= 0 || now >= s.Started+b.settings.SlowStartWindow {
		return 1
	}
	age := max(0, float64(now-s.Started)/float64(b.settings.SlowStartWindow))
	return max(b.settings.SlowStartMin+(1-b.settings.SlowStartMin)*age, minSlowStartFactor)
}
