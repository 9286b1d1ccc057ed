package balance

import "time"

const (
	// rejectTargetFraction of a latency target spent waiting is where a usual request is rejected. Where probes
	// are costly, a wait of rejectServiceTimes is still accepted, up to maxWaitFraction of the time there is.
	rejectTargetFraction, rejectServiceTimes = 0.3, 2.5
	maxWaitFraction                          = 0.7
)

// shouldReject reports whether a request is better rejected at once: when the queue at the selected server
// takes up a part of its latency target. The limit is soft, so that many balancers together reject the part
// that is too much, and what earns little for its work is rejected first. It ends early, and past it nothing
// gets in: clients retry at once, and a server loaded beyond what it can do gets slower for long. One long
// queue alone is no overload, so it counts only as far as such delays were observed lately.
func (b *Balancer) shouldReject(now time.Duration, r *request, s *server) bool {
	wait := b.fleetQueueDelay(now)
	if b.hasFreshReport(now, s) && b.reportLag() == 0 {
		capacity := b.capacity(r.Class, s) * max(b.slowStartFactor(now, s), 1/b.concurrency)
		expected := max((s.inFlight+float64(s.sentSinceReport)+1)/b.concurrency/capacity-1, 0) * b.meanServiceTime()
		if b.probesAreCostly() {
			// What a probe found says more than what one unhealthy server kept.
			b.recordQueueDelay(now, expected, reportedDelayGain)
			return r.isRejectedByDraw(b.rng, 2*b.rejectFraction(r, expected)-1)
		}
		wait = min(expected, 2*wait)
	}
	return r.isRejectedByDraw(b.rng, b.rejectFraction(r, wait))
}

// rejectFraction is the fraction of requests like r to reject where they wait so long, in seconds.
func (b *Balancer) rejectFraction(r *request, wait float64) float64 {
	spare := (min(b.latencyTarget(r), r.Deadline-r.receivedAt) - b.expectedServiceTime(r)).Seconds()
	limit := rejectTargetFraction * spare
	if b.probesAreCostly() {
		limit = max(limit, min(rejectServiceTimes*b.meanServiceTime(), maxWaitFraction*spare))
	}
	return wait / max(limit, 1e-4) / max(b.valueRate(r.Class)/b.meanValueRate(), 0.5)
}
