package balance

import (
	"math"
	"time"
)

const (
	// queueDelayFade is the time, in seconds, in which a queue delay that nothing confirms falls to 1/e.
	queueDelayFade = 3
	// reportedDelayGain and measuredDelayGain are the weights of one report and one latency in the average.
	reportedDelayGain, measuredDelayGain = 0.1, 0.2
)

// recordQueueDelay records by how many seconds the latency of a request exceeded its service time, or would
// have by a report; gain is the weight in the moving average.
func (b *Balancer) recordQueueDelay(now time.Duration, wait, gain float64) {
	b.queueDelay, b.queueDelayAt = b.recentQueueDelay(now), now
	b.queueDelay += gain * (max(wait, 0) - b.queueDelay)
}

// recentQueueDelay is the delay a request has to expect, in seconds. It fades, so that a balancer that
// rejects everything tries again after some time.
func (b *Balancer) recentQueueDelay(now time.Duration) float64 {
	return b.queueDelay * math.Exp(-(now-b.queueDelayAt).Seconds()/queueDelayFade)
}

// fleetQueueDelay is the delay to expect, in seconds, as far as reports bear it out: the delay of a single
// unhealthy server is no reason to reject requests for others. Reports come late, so more than they say is
// believed.
func (b *Balancer) fleetQueueDelay(now time.Duration) float64 {
	sum, n := 0.0, 0.0
	for _, s := range b.servers {
		if s.hasReport && now-s.reportedAt < time.Second {
			sum, n = sum+max(b.queueDelayBehind(s.inFlight+float64(s.sentSinceReport)), 0), n+1
		}
	}
	if n == 0 {
		return b.recentQueueDelay(now)
	}
	return min(b.recentQueueDelay(now), 3*sum/n)
}

// queueDelayBehind is the delay, in seconds, at a usual server with so many requests in flight.
func (b *Balancer) queueDelayBehind(inFlight float64) float64 {
	mean := b.meanServiceTime()
	return (inFlight+1)/b.concurrency*mean - mean
}
