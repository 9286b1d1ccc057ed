package scheduler

import "time"

const (
	// minAffinityServers is the least k, the number of servers that a prompt with a shared prefix may go to.
	// One more would take load off the others for a moment and bring them a second prefill of the same prefix
	// later.
	minAffinityServers = 2
	// firstPrefillDivisor sets k for a prefix that no prefill server has cached: the number of prefill
	// servers divided by it. Any server has to prefill such a prefix completely, so that more choices cost
	// nothing except a second prefill by a proxy to which the first one is not reported yet. With eight
	// servers or fewer, k is minAffinityServers.
	firstPrefillDivisor = 4
)

// prefixAffinity returns the k servers that a prompt may go to, with their costs, and the number of servers
// whose arrivals compete for them (n in arrivals.go). A prompt that shares nothing may go to any server. All
// proxies rank the servers alike, by rendezvous hashing of the shared prefix.
//
// Prefill: the servers of the first ranks, those first that have cached the prefix by the reports of the
// proxies. If none has, one in firstPrefillDivisor of all; other new prefixes are prefilled there too, so
// that the arrivals grow with the number of these servers. If this proxy may have missed reports, the
// servers of the first ranks are assumed to have cached it.
//
// Serve, at decode servers, which get prefixes by transfers as well: the servers of the first ranks, and
// those that are known to have cached nearly all of the prompt.
func (s *Scheduler) prefixAffinity(
	now time.Duration, pool *servicePool, role Role, candidates []candidate, chain *prefixChain,
) (chosen []candidate, arrivalServers int) {
	shared, ok := chain.shared()
	if !ok {
		pool.estimateCost(role, candidates)
		return candidates, len(candidates)
	}
	count := pool.popularity.affinityServers(shared.hash, len(candidates)) // k
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

// markCached marks the servers that are known to hold a prompt but for maxUncached tokens, and reports
// whether there are any.
func markCached(all []candidate, maxUncached int) bool {
	anyCached := false
	for i := range all {
		all[i].cachesPrefix = all[i].uncachedTokens <= maxUncached
		anyCached = anyCached || all[i].cachesPrefix
	}
	return anyCached
}

// rank moves the servers that rank first for a prefix to the front, as many as count, in their order: those
// marked by markCached, then those with the highest scores.
func rank(all []candidate, prefix uint64, count int) {
	for i := range all {
		all[i].score = rendezvousScore(all[i].hash, prefix)
	}
	for i := range min(count, len(all)) {
		selectBest(all, i)
	}
}

// ranksBefore reports whether a server ranks before another one: by the mark of markCached, then by score.
func (c *candidate) ranksBefore(other *candidate) bool {
	if c.cachesPrefix != other.cachesPrefix {
		return c.cachesPrefix
	}
	return c.score > other.score
}

// selectBest swaps the server that ranks first of all[from:] to index from.
func selectBest(all []candidate, from int) {
	best := from
	for i := from + 1; i < len(all); i++ {
		if all[i].ranksBefore(&all[best]) {
			best = i
		}
	}
	all[from], all[best] = all[best], all[from]
}

// assumeCached assumes that servers hold the shared prefix. Other proxies have probably sent it there, and
// where none has, a prefill there is of use to the next request, and anywhere else it is not.
func assumeCached(first []candidate, chain *prefixChain, sharedTokens int) {
	for i := range first {
		first[i].uncachedTokens = min(first[i].uncachedTokens, chain.tokens-sharedTokens)
	}
}

// appendCached moves the servers that are known to have cached nearly all of the prompt to the positions
// after the chosen ones, and returns how many are chosen then.
func appendCached(all []candidate, chosen int) int {
	for i := chosen; i < len(all); i++ {
		if all[i].uncachedTokens <= maxDirectUncached {
			all[i], all[chosen] = all[chosen], all[i]
			chosen++
		}
	}
	return chosen
}

// estimateCost sets prefillMs and costMs of each server: how long the prefill of the prompt takes there, and
// what it adds to the water level.
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
