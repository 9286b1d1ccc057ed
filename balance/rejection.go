package balance

import "time"

const (
	// rejectTargetFraction is the wait, as a fraction of the time a request has beyond its service time,
	// from which all requests of average value are rejected. Where probes are costly, rejectServiceTimes are
	// waited in any case, up to maxWaitFraction of that time.
	rejectTargetFraction, rejectServiceTimes = 0.3, 2.5
	maxWaitFraction                          = 0.7
	// minWaitLimit bounds a divisor, in seconds: some requests have no time beyond their service time.
	minWaitLimit = 1e-4
	// minRelativeValue bounds how much sooner than others a request is rejected that earns little for its work.
	minRelativeValue = 0.5
	// maxFleetDelays times the queue delay of the fleet is the longest wait that the report of one server can
	// make a request be rejected for.
	maxFleetDelays = 2
)

// shouldReject reports whether r is better rejected than sent to s: when the queue there takes up too much of
// its latency target.
//
// The limit is soft (see rejectFraction), so that many balancers together reject the part that is too much,
// and requests that earn little for their work are rejected first. It is low, and all is rejected beyond it,
// as clients retry at once and a server that is overloaded stays slow for long. One long queue alone is no
// overload, so it counts only as far as such delays were observed lately.
func (b *Balancer) shouldReject(now time.Duration, r *request, s *server) bool {
	wait := b.fleetQueueDelay(now) // in seconds, as all waits here
	if b.hasFreshReport(now, s) && b.reportLag() == 0 {
		capacity := b.capacity(r.Class, s) * max(b.slowStartFactor(now, s), 1/b.concurrency)
		expected := max((s.reportedLoad()+1)/b.concurrency/capacity-1, 0) * b.meanServiceTime()
		if b.probesAreCostly() {
			// The report of a server that was just probed says more than delays that one unhealthy server caused.
			b.recordQueueDelay(now, expected, reportedDelayGain)
			return r.isRejectedByDraw(b.rng, b.steepRejectFraction(r, expected))
		}
		wait = min(expected, maxFleetDelays*wait)
	}
	return r.isRejectedByDraw(b.rng, b.rejectFraction(r, wait))
}

// rejectFraction is the fraction of requests like r to reject where they wait so long, in seconds. It
// rises in proportion to the wait; from 1 on all are rejected.
func (b *Balancer) rejectFraction(r *request, wait float64) float64 {
	spare := (min(b.latencyTarget(r), r.Deadline-r.receivedAt) - b.expectedServiceTime(r)).Seconds()
	limit := rejectTargetFraction * spare
	if b.probesAreCostly() {
		limit = max(limit, min(rejectServiceTimes*b.meanServiceTime(), maxWaitFraction*spare))
	}
	relativeValue := max(b.valueRate(r.Class)/b.meanValueRate(), minRelativeValue)
	return wait / max(limit, minWaitLimit) / relativeValue
}

// steepRejectFraction is used for rejectFraction where probes are costly: it rises from 0 at half the wait
// from which all are rejected.
func (b *Balancer) steepRejectFraction(r *request, wait float64) float64 {
	return 2*b.rejectFraction(r, wait) - 1
}
