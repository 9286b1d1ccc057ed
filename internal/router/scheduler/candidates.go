package scheduler

import (
	"slices"
	"time"
)

// candidate is a server that a decision may select, with the estimates for the request at that server.
type candidate struct {
	*serverState
	inFlight          float64 // requests queued or running at the server, estimated
	queueMs           float64 // work queued at the server, in ms
	prefillMs         float64 // time that the server takes to prefill the prompt
	costMs            float64 // what this server adds to the water level for this request, e.g. recomputation
	uncachedTokens    int     // prompt tokens that the server is expected to prefill
	minUncachedTokens int     // lower bound of uncachedTokens
	maxUncachedTokens int     // upper bound of uncachedTokens
	score             uint64  // rendezvous hashing score for the prompt's shared prefix
	cachesPrefix      bool    // the server is known to have cached the shared prefix
	avoided           bool    // used only if all candidates are avoided
}

// eligible returns the servers that may take a call, with the estimates of their queues and, except for
// Decode, of the tokens that each would have to prefill. It leaves out servers that are ejected, stuck or
// full as long as others remain. The result is valid until the next call of eligible.
func (s *Scheduler) eligible(
	now time.Duration, pool *servicePool, request *Request, role Role, chain *prefixChain,
) []candidate {
	servers := pool.serversFor(role)
	meanOtherCalls := meanReportedOtherCalls(servers)
	pool.peerLoadAgeMs, pool.peerLoadKnown = s.peerLoadAge(now)
	s.candidates = s.candidates[:0]
	for _, server := range servers {
		if !slices.Contains(request.Excluded, server.ID) {
			s.candidates = append(s.candidates, candidate{serverState: server})
			pool.estimateQueue(now, role, meanOtherCalls, &s.candidates[len(s.candidates)-1])
		}
	}
	s.candidates = dropEjected(now, request, role, s.candidates)
	serviceMs := pool.serviceTime(role, 0)
	for i := range s.candidates {
		candidate := &s.candidates[i]
		candidate.avoided = candidate.stuck(now) || candidate.full(now, serviceMs)
	}
	s.candidates = dropAvoided(s.candidates)
	if pool.service.Engine != nil && role != Decode {
		s.fillUncached(chain)
	}
	return s.candidates
}

// fillUncached sets how many tokens each candidate would have to prefill: those of the prompt that it is not
// known to have cached. Other proxies may have sent the shared prefix there without this proxy knowing, so
// that the lower bound leaves the shared prefix out.
func (s *Scheduler) fillUncached(chain *prefixChain) {
	shared, _ := chain.shared()
	for i := range s.candidates {
		candidate := &s.candidates[i]
		candidate.uncachedTokens = chain.tokens - s.prefixes.cachedTokens(candidate.hash, chain)
		candidate.maxUncachedTokens = candidate.uncachedTokens
		candidate.minUncachedTokens = min(candidate.uncachedTokens, chain.tokens-shared.tokens)
	}
}

// dropEjected leaves out ejected servers, and half-open ones that this request must not probe. If none
// remains, it returns only the server whose ejection ends first.
func dropEjected(now time.Duration, request *Request, role Role, all []candidate) []candidate {
	earliest := 0
	for i := range all {
		candidate := &all[i]
		candidate.avoided = !candidate.available(now, request.Idempotent || role == Prefill)
		if candidate.ejectedUntil() < all[earliest].ejectedUntil() {
			earliest = i
		}
	}
	available := dropAvoided(all)
	if len(available) > 0 && available[0].avoided {
		available[0] = all[earliest]
		available = available[:1]
	}
	return available
}

// dropAvoided removes the avoided candidates in place, unless all are avoided.
func dropAvoided(all []candidate) []candidate {
	count := 0
	for i := range all {
		if !all[i].avoided {
			all[count] = all[i]
			count++
		}
	}
	if count == 0 {
		return all
	}
	return all[:count]
}

// full reports whether the server has no free slot: because it has just rejected a request, or because this
// proxy's calls there, plus those of other proxies by a report that is still fresh, take all its slots.
func (c *candidate) full(now time.Duration, serviceMs float64) bool {
	if now < c.outliers.fullUntil {
		return true
	}
	inFlight := float64(len(c.calls))
	if c.hasReport && ms(now-c.reportedAt) < max(serviceMs, minFreshMs) {
		inFlight += c.reportedOtherCalls
	}
	return inFlight >= c.slots()
}

const minFreshMs = 100.0 // a load report is fresh for the mean service time, but at least this long
