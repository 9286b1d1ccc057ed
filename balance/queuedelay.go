package balance

import (
	"math"
	"time"
)

const (
	// queueDelayTimeConstant is the time, in seconds, in which a queue delay that nothing confirms falls to 1/e.
	queueDelayTimeConstant = 3
	// reportedDelayGain and measuredDelayGain are the weights of one report and one latency in the average.
	reportedDelayGain, measuredDelayGain = 0.1, 0.2
	// maxReportedDelays times the mean delay that reports show is the most that is believed of measured delays:
	// reports come late, so the delay may be more than they say.
	maxReportedDelays = 3
	// reportedDelayAge is the age up to which a report counts in that mean.
	reportedDelayAge = time.Second
)

// recordQueueDelay records by how many seconds the latency of a request exceeded its service time, or would
// have by a report; gain is the weight in the moving average.
func (b *Balancer) recordQueueDelay(now time.Duration, wait, gain float64) {
	b.queueDelay, b.queueDelayAt = b.recentQueueDelay(now), now
	b.queueDelay += gain * (max(wait, 0) - b.queueDelay)
}

// recentQueueDelay is the delay a request has to expect, in seconds. It decays exponentially, so that a
// balancer that rejects everything tries again after some time.
func (b *Balancer) recentQueueDelay(now time.Duration) float64 {
	return b.queueDelay * math.Exp(-(now-b.queueDelayAt).Seconds()/queueDelayTimeConstant)
}

// fleetQueueDelay is the delay a request has to expect, in seconds, as far as the servers' reports confirm
// it: the delay of a single unhealthy server is no reason to reject requests for others.
func (b *Balancer) fleetQueueDelay(now time.Duration) float64 {
	sum, reports := 0.0, 0.0
	for _, s := range b.servers {
		if s.hasReport && now-s.reportedAt < reportedDelayAge {
			sum += max(b.queueDelayBehind(s.reportedLoad()), 0)
			reports++
		}
	}
	if reports == 0 {
		return b.recentQueueDelay(now)
	}
	return min(b.recentQueueDelay(now), maxReportedDelays*sum/reports)
}

// queueDelayBehind is the delay, in seconds, that a request has at a server of average capacity with so many
// requests in flight. Below its concurrency it is negative.
func (b *Balancer) queueDelayBehind(inFlight float64) float64 {
	mean := b.meanServiceTime()
	return (inFlight+1)/b.concurrency*mean - mean
}
