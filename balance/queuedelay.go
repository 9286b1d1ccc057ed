package balance

import (
	"math"
	"time"
)

const (
	// queueDelayTimeConstantSeconds is the time in which a queue delay that nothing confirms decays to 1/e.
	queueDelayTimeConstantSeconds = 3
	// reportedDelayGain and measuredDelayGain are the weights of one reported and one measured delay in the
	// moving average.
	reportedDelayGain, measuredDelayGain = 0.1, 0.2
	// maxReportedDelayFactor bounds the delay assumed from measurements, as a multiple of the mean delay
	// that reports show: reports come late, so the delay may exceed theirs.
	maxReportedDelayFactor = 3
	// reportedDelayMaxAge is the age below which a report counts in that mean.
	reportedDelayMaxAge = time.Second
)

// recordQueueDelay updates the queue delay with the number of seconds by which the latency of a request
// exceeded its service time, or would exceed it according to a report. gain is the weight of this number in
// the moving average.
func (b *Balancer) recordQueueDelay(now time.Duration, wait, gain float64) {
	b.queueDelay, b.queueDelayAt = b.recentQueueDelay(now), now
	b.queueDelay += gain * (max(wait, 0) - b.queueDelay)
}

// recentQueueDelay returns the queue delay that a request must expect, in seconds. It decays exponentially,
// so that a balancer that rejects everything accepts requests again after some time.
func (b *Balancer) recentQueueDelay(now time.Duration) float64 {
	return b.queueDelay * math.Exp(-(now-b.queueDelayAt).Seconds()/queueDelayTimeConstantSeconds)
}

// fleetQueueDelay returns the queue delay that a request must expect, in seconds, as far as the servers'
// reports confirm it: the delay of a single unhealthy server is no reason to reject requests for others.
func (b *Balancer) fleetQueueDelay(now time.Duration) float64 {
	sum, reports := 0.0, 0.0
	for _, s := range b.servers {
		if s.hasReport && now-s.reportedAt < reportedDelayMaxAge {
			sum += max(b.expectedQueueDelay(s.reportedLoad()), 0)
			reports++
		}
	}
	if reports == 0 {
		return b.recentQueueDelay(now)
	}
	return min(b.recentQueueDelay(now), maxReportedDelayFactor*sum/reports)
}

// expectedQueueDelay returns the queue delay, in seconds, of a request that finds inFlight others at a
// server of average capacity. It is negative if the server has concurrency to spare.
func (b *Balancer) expectedQueueDelay(inFlight float64) float64 {
	mean := b.meanServiceTime()
	return (inFlight+1)/b.concurrency*mean - mean
}
