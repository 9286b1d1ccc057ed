package balance

import "time"

const (
	// ratingSamples is the weight of a server's rating among measured latencies, in samples.
	ratingSamples = 4
	// concurrencyGain is the weight of one latency in the moving average of 1/concurrency.
	concurrencyGain = 0.05
	// minSlowStartFactor bounds a divisor: a server can be listed as starting with no capacity.
	minSlowStartFactor = 0.01
)

// unusualLatency is the latency, in seconds, that a response of s seldom exceeds with its present load.
func (b *Balancer) unusualLatency(r *request, s *server) float64 {
	serviceTimesToWait := max(s.reportedLoad()/b.concurrency, 1)
	return unresponsiveAfter * serviceTimesToWait * b.serviceTime(r.Class, s.Kind).mean
}

// recordLatency records the latency of an attempt of r, if its result makes the latency meaningful. A timeout
// bounds the latency from below, which is enough for the queue delay but not for the service time.
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
			// Service times are those of a request with the usual expected work.
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
		// What is averaged is 1/concurrency, not concurrency: a few very short responses would raise the latter
		// above what servers do, and the more so the more they are loaded.
		inverse := min(max(seconds/kindTime.mean/(a.requestsAhead+1), 1/(a.requestsAhead+1)), 1)
		b.concurrency = 1 / (1/b.concurrency + concurrencyGain*(inverse-1/b.concurrency))
	}
}

// capacity is what a server past its slow start can do for a class, relative to the others, about 1 on
// average: by its rating at first, and the more latencies of its kind of machine are known the more by those.
func (b *Balancer) capacity(class int, s *server) float64 {
	rated := s.Rating / b.meanRating
	kindTime := b.serviceTime(class, s.Kind)
	measured := b.serviceTimes[class].mean / kindTime.mean
	return (ratingSamples*rated + kindTime.samples*measured) / (ratingSamples + kindTime.samples)
}

// slowStartFactor is the fraction of its capacity that a server has now: it rises linearly from SlowStartMin
// at the server's start to 1 after SlowStartWindow.
func (b *Balancer) slowStartFactor(now time.Duration, s *server) float64 {
	if s.Started <= 0 || now >= s.Started+b.settings.SlowStartWindow {
		return 1
	}
	age := max(0, float64(now-s.Started)/float64(b.settings.SlowStartWindow))
	return max(b.settings.SlowStartMin+(1-b.settings.SlowStartMin)*age, minSlowStartFactor)
}
