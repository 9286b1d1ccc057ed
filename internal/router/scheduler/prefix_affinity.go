package scheduler

import "time"

const (
	// minAffinityServers is the minimum of k, the number of servers that a prompt with a shared prefix may go
	// to. One more server would relieve the others briefly and bring them a second prefill of the same prefix
	// later.
	minAffinityServers = 2
	// firstPrefillDivisor determines k for a prefix that no prefill server has cached: k is the number of
	// prefill servers divided by firstPrefillDivisor, rounded up. Any server has to prefill such a prefix
	// completely, so that a larger k costs nothing, except for a second prefill by a proxy that has no report
	// of the first one yet. With eight servers or fewer, k is minAffinityServers.
	firstPrefillDivisor = 4
)

// prefixAffinity returns the k servers that a prompt may go to, with their costs, and the number of servers
// whose arrivals compete for them (n in arrivals.go). A prompt without a shared prefix may go to any server.
// All proxies rank the servers identically, by rendezvous hashing of the shared prefix.
//
// For Prefill, these are the k servers that rank first; servers that have cached the prefix, by the reports
// of the proxies, rank before all others. If none has cached it, k grows with the fleet
// (firstPrefillDivisor); because other new prefixes are prefilled at these servers too, the arrivals grow
// with their number. If this proxy may have missed reports, the servers that rank first, except the last of
// the k, are assumed to have cached the prefix.
//
// For Serve, which goes to decode servers, these are the servers that rank first and those that are known to
// have cached nearly all of the prompt, as decode servers receive prefixes by transfers too.
func (s *Scheduler) prefixAffinity(
	now time.Duration, pool *servicePool, role Role, candidates []candidate, chain *prefixChain,
) (chosen []candidate, arrivalServers int) {
	shared, ok := chain.shared()
	if !ok {
		pool.estimateCost(role, candidates)
		return candidates, len(candidates)
	}
	count := pool.popularity.affinityServerCount(shared.hash, len(candidates)) // k
	arrivalServers = 1
	switch {
	case role != Prefill:
		rank(candidates, shared.hash, count)
		count = appendCached(candidates, count)
	case pool.peerLoadKnown && markCached(candidates, chain.tokens-shared.tokens):
		rank(candidates, shared.hash, count)
	case !s.prefixesKnown(now):
		rank(candidates, shared.hash, count)
		assumeCached(candidates[:count-1], chain, shared.tokens)
	default:
		count = max(count, (len(candidates)+firstPrefillDivisor-1)/firstPrefillDivisor)
		arrivalServers = count - minAffinityServers + 1
		rank(candidates, shared.hash, count)
	}
	pool.estimateCost(role, candidates)
	return candidates[:count], arrivalServers
}

// markCached marks the servers that are known to have cached all of a prompt except at most maxUncachedTokens
// tokens, and reports whether there are any.
func markCached(all []candidate, maxUncachedTokens int) bool {
	anyCached := false
	for i := range all {
		all[i].cachesPrefix = all[i].uncachedTokens <= maxUncachedTokens
		anyCached = anyCached || all[i].cachesPrefix
	}
	return anyCached
}

// rank moves the count servers that rank first for a prefix to the front, in rank order: those marked by
// markCached first, then by descending score.
func rank(all []candidate, prefix uint64, count int) {
	for i := range all {
		all[i].score = rendezvousScore(all[i].hash, prefix)
	}
	for i := range min(count, len(all)) {
		selectBest(all, i)
	}
}

// ranksBefore reports whether the server ranks before another one, by the mark of markCached and then by
// score.
func (c *candidate) ranksBefore(other *candidate) bool {
	if c.cachesPrefix != other.cachesPrefix {
		return c.cachesPrefix
	}
	return c.score > other.score
}

// selectBest swaps the server that ranks first in all[from:] to index from.
func selectBest(all []candidate, from int) {
	best := from
	for i := from + 1; i < len(all); i++ {
		if all[i].ranksBefore(&all[best]) {
			best = i
		}
	}
	all[from], all[best] = all[best], all[from]
}

// assumeCached lowers uncachedTokens of the given servers as if they had cached the shared prefix. Other
// proxies have probably sent it there. If none has, prefilling it at these servers helps the next request
// with the same prefix, which prefilling it at any other server does not.
func assumeCached(first []candidate, chain *prefixChain, sharedTokens int) {
	for i := range first {
		first[i].uncachedTokens = min(first[i].uncachedTokens, chain.tokens-sharedTokens)
	}
}

// appendCached moves the servers that are known to have cached nearly all of the prompt behind the first
// chosen ones, and returns the new number of chosen servers.
func appendCached(all []candidate, chosen int) int {
	for i := chosen; i < len(all); i++ {
		if all[i].uncachedTokens <= maxDirectUncachedTokens {
			all[i], all[chosen] = all[chosen], all[i]
			chosen++
		}
	}
	return chosen
}

// estimateCost sets prefillMs and costMs of each candidate: how long the prefill of the prompt takes there,
// and what it adds to the candidate's water level.
func (p *servicePool) estimateCost(role Role, all []candidate) {
	for i := range all {
		candidate := &all[i]
		tokensMs := p.prefillTime.slope * float64(candidate.uncachedTokens) / candidate.speed
		if role == Serve {
			candidate.prefillMs = p.prefillTime.base + decodePrefillFactor*tokensMs
			candidate.costMs = p.prefillTime.base + directPrefillWeight*decodePrefillFactor*tokensMs
		} else {
			candidate.prefillMs = p.prefillTime.base + tokensMs
			candidate.costMs = recomputeWeight * tokensMs
		}
	}
}
