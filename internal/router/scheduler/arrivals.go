package scheduler

import "time"

// The arrivals of Basic LI are the work in ms that arrives while no newer load is known:
//
//	arrivals = T·λ·n
//	T = mean over the candidates of min(age of the report, maxAgeServiceTimes·S)
//	λ = min(1, max(minUtilization, utilizationMargin·u))
//
// S is the mean time of a request; reports older than a few of them have lost their weight by their decay,
// so that T stays below maxAgeServiceTimes·S. u is the fraction of the servers' capacity in use by their
// reports: these come with answers, and the load that a departing request leaves behind is distributed like
// the one that an arriving request finds. λ errs on the high side, as the paper advises. n is the number of
// servers whose arrivals compete for the candidates: all of them if any request of the service may go to any
// candidate; one if the candidates depend on the prompt, because other prompts then have other candidates.
const (
	maxAgeServiceTimes = 2.0
	minUtilization     = 0.5
	utilizationMargin  = 1.25
)

// expectedArrivals returns the arrivals in ms of work; arrivalServers is n.
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

// meanReportAge returns T in ms.
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

// assumedUtilization returns λ.
func assumedUtilization(observed *movingMean) float64 {
	return min(1, max(minUtilization, utilizationMargin*observed.value))
}
