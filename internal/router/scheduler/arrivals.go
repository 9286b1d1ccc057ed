package scheduler

import "time"

// The arrivals of Basic LI are the work in ms that arrives before a newer load report is known:
//
//	arrivals = T·λ·n
//	T = mean over the candidates of min(age of the report, maxAgeServiceTimes·S)
//	λ = min(1, max(minUtilization, utilizationMargin·u))
//
// T is the mean age of the load reports in ms. S is the mean time of a request in ms; reports older than a
// few S have lost their weight by their decay (water_level.go), so that T is at most maxAgeServiceTimes·S.
// λ is the assumed utilization, and u the observed one: the fraction of the servers' capacity in use by
// their reports. These come with responses, and the load that a departing request leaves behind has the same
// distribution as the load that an arriving request finds. λ is an overestimate, as the paper advises. n is
// the number of servers whose arrivals compete for the candidates: all of them if any request of the service
// may go to any candidate; one if the candidates depend on the prompt, because other prompts then have other
// candidates; between them for prefixes that no server has cached (prefix_affinity.go).
const (
	maxAgeServiceTimes = 2.0
	minUtilization     = 0.5
	utilizationMargin  = 1.25
)

// expectedArrivals returns the arrivals in ms of work. arrivalServers is n of the formulas above.
func expectedArrivals(
	now time.Duration, pool *servicePool, role Role, candidates []candidate, arrivalServers int,
) float64 {
	serviceMs := pool.serviceTime(role, 0)
	ageMs := meanReportAge(now, serviceMs, candidates)
	if pool.peerLoadKnown {
		ageMs = min(pool.peerLoadAgeMs, maxAgeServiceTimes*serviceMs)
	}
	return ageMs * assumedUtilization(pool.utilization(role)) * float64(arrivalServers)
}

// meanReportAge returns T in ms. A candidate without a report counts with the maximum age.
func meanReportAge(now time.Duration, serviceMs float64, candidates []candidate) float64 {
	if len(candidates) == 0 {
		return 0
	}
	sumMs := 0.0
	for i := range candidates {
		candidate := &candidates[i]
		ageMs := maxAgeServiceTimes * serviceMs
		if candidate.hasReport {
			ageMs = min(ageMs, ms(now-candidate.reportedAt))
		}
		sumMs += ageMs
	}
	return sumMs / float64(len(candidates))
}

// assumedUtilization returns λ for an observed utilization u.
func assumedUtilization(observed *movingMean) float64 {
	return min(1, max(minUtilization, utilizationMargin*observed.value))
}
