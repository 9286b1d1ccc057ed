package scheduler

import (
	"slices"
	"time"
)

// patience is how long after its rest a server on probation gets requests that must not run twice, where no
// other request has tried it before.
const nonIdempotentProbeDelay = 3 * time.Second

// eligible returns the servers that may take the call, with their queues and what they would have to read.
// Servers in trouble or full are passed over while there are others.
func (s *Scheduler) eligible(now time.Duration, pool *servicePool, request *Request, role Role,
	chain *prefixChain) []candidate {
	servers := pool.serversFor(role)
	average := meanReportedOthers(servers)
	pool.peerLoadAgeMs, pool.peerLoadKnown = s.peerLoadAge(now)
	s.candidates = s.candidates[:0]
	for _, server := range servers {
		if !slices.Contains(request.Excluded, server.ID) {
			s.candidates = append(s.candidates, candidate{serverState: server})
			pool.estimateQueue(now, role, average, &s.candidates[len(s.candidates)-1])
		}
	}
	s.candidates = dropEjected(now, request, role, s.candidates)
	serviceMs := pool.serviceTime(role, 0)
	for i := range s.candidates {
		x := &s.candidates[i]
		x.avoid = x.stuck(now) || x.full(now, serviceMs)
	}
	s.candidates = dropAvoided(s.candidates)
	if pool.service.Engine != nil && role != Decode {
		s.fillUncached(chain)
	}
	return s.candidates
}

// fillUncached fills in what each candidate would have to read of a prompt: what this proxy has not sent
// there. Other proxies may have, so that it may be no more than what the prompt shares with none.
func (s *Scheduler) fillUncached(chain *prefixChain) {
	_, shared, _ := chain.shared()
	for i := range s.candidates {
		candidate := &s.candidates[i]
		candidate.uncachedTokens = chain.tokens - s.prefixes.cachedTokens(candidate.hash, chain)
		candidate.maxUncached = candidate.uncachedTokens
		candidate.minUncached = min(candidate.uncachedTokens, chain.tokens-shared)
	}
}

// dropEjected leaves out servers that rest, and those on probation but for one idempotent request at a time.
// Where all are in trouble the one whose rest ends first is taken.
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

// well tells whether a server may get a request: it does not rest, and where it failed before, the request
// may try it.
func (s *serverState) available(now time.Duration, idempotent bool) bool {
	if now < s.ejectedUntil() {
		return false
	}
	if !s.outliers.halfOpen() && !s.transferOutliers.halfOpen() {
		return true
	}
	return len(s.calls) == 0 && (idempotent || now > s.ejectedUntil()+nonIdempotentProbeDelay)
}

func (s *serverState) ejectedUntil() time.Duration {
	return max(s.outliers.ejectedUntil, s.transferOutliers.ejectedUntil)
}

// dropAvoided deletes the candidates to avoid, unless those are all.
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
