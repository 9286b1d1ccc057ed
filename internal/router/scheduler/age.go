package scheduler

import "time"

// What arrives while nothing newer is known, in ms of work:
//
//	arrive = T·λ·n
//	T = mean over the candidates of min(age of the figure, ageTimes·S)
//	λ = min(1, max(lowestLoad, loadMargin·u))
//
// S is the mean time of a request; figures older than a few of them have lost their say by their decay, so
// that T stays below ageTimes·S. u is the part of the servers' capacity in use, as the figures tell it: the
// load that a leaving request leaves behind is spread as the one that an arriving request finds. λ errs on
// the high side, as the paper advises. n is the number of servers whose arrivals the draw stands for: all
// candidates where any request of the service may go to any of them; one where the candidates follow from
// the request's prompt, since other prompts have other candidates and only the requests that prefer the same
// server fill the same ones.
const (
	ageTimes   = 2.0
	lowestLoad = 0.5
	loadMargin = 1.25
)

// age is T in ms.
func age(now time.Duration, service float64, candidates []candidate) float64 {
	if len(candidates) == 0 {
		return 0
	}
	sum := 0.0
	for i := range candidates {
		c := &candidates[i]
		limit := ageTimes * service
		if c.known {
			limit = min(limit, ms(now-c.toldAt))
		}
		sum += limit
	}
	return sum / float64(len(candidates))
}

// load is λ.
func load(use *mean) float64 { return min(1, max(lowestLoad, loadMargin*use.value)) }

// arrivals is arrive.
func arrivals(now time.Duration, p *pool, role Role, candidates []candidate, n int) float64 {
	service := p.serviceTime(role, 0)
	since := age(now, service, candidates)
	if p.sharing {
		since = min(p.age, ageTimes*service)
	}
	return since * load(p.use(role)) * float64(n)
}
