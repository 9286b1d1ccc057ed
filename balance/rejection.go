package balance

import "time"

const (
	// rejectTargetFraction is the wait from which all requests of average value are rejected, as a fraction
	// of a request's slack: the time that its latency target or deadline leaves beyond its service time.
	// Where probes are costly this limit is at least rejectServiceTimes mean service times, but this
	// minimum is at most maxWaitFraction of the slack.
	rejectTargetFraction, rejectServiceTimes = 0.3, 2.5
	maxWaitFraction                          = 0.7
	// minWaitLimitSeconds is the lower bound of the wait limit, a divisor: some requests have no slack.
	minWaitLimitSeconds = 1e-4
	// minRelativeValue is the lower bound of a request's value relative to others, which scales its wait
	// limit: a request that earns little for its work is rejected at shorter waits, down to this fraction
	// of the limit.
	minRelativeValue = 0.5
	// The expected wait at one server counts for a rejection only up to maxFleetDelayFactor times the queue
	// delay of the fleet.
	maxFleetDelayFactor = 2
)

// shouldReject reports whether r should be rejected rather than sent to s, because the queue there would
// take up too much of its latency target.
//
// The limit is soft (see rejectFraction), so that many balancers together reject just the excess, and
// requests that earn little for their work are rejected first. The limit is low and everything beyond it is
// rejected, because clients retry at once and an overloaded server stays slow for long. One long queue
// alone is not an overload, so its wait counts only as far as such delays were observed recently.
func (b *Balancer) shouldReject(now time.Duration, r *request, s *server) bool {
	wait := b.fleetQueueDelay(now) // in seconds, as all waits here
	if b.hasFreshReport(now, s) && b.reportLag() == 0 {
		capacity := b.capacity(r.Class, s) * max(b.slowStartFactor(now, s), 1/b.concurrency)
		expected := max((s.reportedLoad()+1)/b.concurrency/capacity-1, 0) * b.meanServiceTime()
		if b.probesAreCostly() {
			// The report of a server that was just probed is better evidence than measured delays, which a
			// single unhealthy server may have caused.
			b.recordQueueDelay(now, expected, reportedDelayGain)
			return r.isRejectedByDraw(b.rng, b.steepRejectFraction(r, expected))
		}
		wait = min(expected, maxFleetDelayFactor*wait)
	}
	return r.isRejectedByDraw(b.rng, b.rejectFraction(r, wait))
}

// rejectFraction returns the fraction of requests like r to reject if their expected wait is wait seconds.
// It is proportional to the wait; from 1 on all are rejected.
func (b *Balancer) rejectFraction(r *request, wait float64) float64 {
	slack := (min(b.latencyTarget(r), r.Deadline-r.receivedAt) - b.expectedServiceTime(r)).Seconds()
	limit := rejectTargetFraction * slack
	if b.probesAreCostly() {
		limit = max(limit, min(rejectServiceTimes*b.meanServiceTime(), maxWaitFraction*slack))
	}
	relativeValue := max(b.valueRate(r.Class)/b.meanValueRate(), minRelativeValue)
	return wait / max(limit, minWaitLimitSeconds) / relativeValue
}

// steepRejectFraction replaces rejectFraction where probes are costly: it rises from 0, at half the wait
// from which all requests are rejected, to 1 at that wait.
func (b *Balancer) steepRejectFraction(r *request, wait float64) float64 {
	return 2*b.rejectFraction(r, wait) - 1
}
