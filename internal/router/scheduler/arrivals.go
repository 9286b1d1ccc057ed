package scheduler

import "time"

// What arrives while nothing newer is known, in ms of work:
//
//	arrive = T·λ·n
//	T = mean over the candidates of min(age of the figure, maxAgeServiceTimes·S)
//	λ = min(1, max(minUtilization, utilizationMargin·u))
//
// S is the mean time of a request; figures older than a few of them have lost their say by their decay, so
// that T stays below maxAgeServiceTimes·S. u is the part of the servers' capacity in use, as the figures
// tell it: the load that a leaving request leaves behind is spread as the one that an arriving request finds.
// λ errs on the high side, as the paper advises. n is the number of servers whose arrivals the draw stands
// for: all candidates where any request of the service may go to any of them; one where the candidates follow
// from the request's prompt, since other prompts have other candidates and only the requests that prefer the
// same server fill the same ones.
const (
	maxAgeServiceTimes = 2.0
	minUtilization     = 0.5
	utilizationMargin  = 1.25
)

// age is T in ms.
func meanReportAge(now time.Duration, service float64, candidates []candidate) float64 {
	if len(candidates) == 0 {
		return 0
	}
	sum := 0.0
	for i := range candidates {
		c := &candidates[i]
		limit := maxAgeServiceTimes * service
		if c.hasReport {
			limit = min(limit, ms(now-c.reportedAt))
		}
		sum += limit
	}
	return sum / float64(len(candidates))
}

// load is λ.
func assumedUtilization(observed *movingMean) float64 {
	return min(1, max(minUtilization, utilizationMargin*observed.value))
}

// arrivals is arrive.
func expectedArrivals(now time.Duration, pool *servicePool, role Role, candidates []candidate,
	arrivalServers int) float64 {
	service := pool.serviceTime(role, 0)
	ageMs := meanReportAge(now, service, candidates)
	if pool.peerLoadKnown {
		ageMs = min(pool.peerLoadAgeMs, maxAgeServiceTimes*service)
	}
	return ageMs * assumedUtilization(pool.utilization(role)) * float64(arrivalServers)
}
