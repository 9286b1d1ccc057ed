package scheduler

import (
	"slices"
	"time"
)

// candidate is a server that a decision is about.
type candidate struct {
	*serverState
	inFlight       float64 // requests that it has
	queueMs        float64 // of work that it has
	prefillMs      float64 // that it takes to prefill the prompt
	costMs         float64 // of the request there beyond what it costs everywhere
	uncachedTokens int     // prompt tokens that it is expected to prefill
	minUncached    int     // the fewest that they can be
	maxUncached    int     // the most
	score          uint64  // by rendezvous hashing of the prompt's shared prefix
	cachesPrefix   bool    // it is known to hold the shared prefix
	avoid          bool    // not taken while there are others
}

// eligible returns the servers that may take a call, with their queues and what they would have to prefill.
// Servers that are ejected, stuck or full are left out while there are others. The result is valid until the
// next call of eligible.
func (s *Scheduler) eligible(
	now time.Duration, pool *servicePool, request *Request, role Role, chain *prefixChain,
) []candidate {
	servers := pool.serversFor(role)
	meanOthers := meanReportedOthers(servers)
	pool.peerLoadAgeMs, pool.peerLoadKnown = s.peerLoadAge(now)
	s.candidates = s.candidates[:0]
	for _, server := range servers {
		if !slices.Contains(request.Excluded, server.ID) {
			s.candidates = append(s.candidates, candidate{serverState: server})
			pool.estimateQueue(now, role, meanOthers, &s.candidates[len(s.candidates)-1])
		}
	}
	s.candidates = dropEjected(now, request, role, s.candidates)
	serviceMs := pool.serviceTime(role, 0)
	for i := range s.candidates {
		candidate := &s.candidates[i]
		candidate.avoid = candidate.stuck(now) || candidate.full(now, serviceMs)
	}
	s.candidates = dropAvoided(s.candidates)
	if pool.service.Engine != nil && role != Decode {
		s.fillUncached(chain)
	}
	return s.candidates
}

// fillUncached sets how many tokens each candidate would have to prefill: those that this proxy has not sent
// there. If other proxies may have sent the shared part of the prompt, the minimum is the rest.
func (s *Scheduler) fillUncached(chain *prefixChain) {
	shared, _ := chain.shared()
	for i := range s.candidates {
		candidate := &s.candidates[i]
		candidate.uncachedTokens = chain.tokens - s.prefixes.cachedTokens(candidate.hash, chain)
		candidate.maxUncached = candidate.uncachedTokens
		candidate.minUncached = min(candidate.uncachedTokens, chain.tokens-shared.tokens)
	}
}

// dropEjected leaves out ejected servers, and half-open ones that must not get this request. Where that
// leaves none, it returns the one whose ejection ends first.
func dropEjected(now time.Duration, request *Request, role Role, all []candidate) []candidate {
	soonest := 0
	for i := range all {
		candidate := &all[i]
		candidate.avoid = !candidate.available(now, request.Idempotent || role == Prefill)
		if candidate.ejectedUntil() < all[soonest].ejectedUntil() {
			soonest = i
		}
	}
	available := dropAvoided(all)
	if len(available) > 0 && available[0].avoid {
		available[0] = all[soonest]
		available = available[:1]
	}
	return available
}

// dropAvoided deletes the candidates to avoid in place, unless those are all.
func dropAvoided(all []candidate) []candidate {
	count := 0
	for i := range all {
		if !all[i].avoid {
			all[count] = all[i]
			count++
		}
	}
	if count == 0 {
		return all
	}
	return all[:count]
}

// full reports whether the server has no free slot: by its own calls, by a report that is still fresh, or
// because it has just rejected a request.
func (c *candidate) full(now time.Duration, serviceMs float64) bool {
	if now < c.outliers.fullUntil {
		return true
	}
	inFlight := float64(len(c.calls))
	if c.hasReport && ms(now-c.reportedAt) < max(serviceMs, minFreshMs) {
		inFlight += c.reportedOthers
	}
	return inFlight >= c.slots()
}

const minFreshMs = 100.0 // a report is fresh for the mean time of a request, and at least that long
