package scheduler

import "time"

const (
	// ranked is k, the number of servers that a prompt which shares parts with others may go to at least. One
	// more would take load off the others for a moment and bring them a second reading of the same parts later.
	minAffinityServers = 2
	// firstPrefillDivisor is the part of the readers, as its inverse, that a prompt may go to which no reader
	// holds: it is read for the first time wherever that is, so that more choices cost nothing but a second
	// reading by a proxy that has not heard of the first one. Of eight readers or fewer that is no more than
	// ranked.
	firstPrefillDivisor = 4
)

// affine returns the servers that a prompt may go to, and the n of what arrives. A prompt that shares nothing
// may go to any server.
//
// Readers: those that rank first among the servers that hold what it shares, as proxies tell each other, then
// among the others; where none holds it, the part of the readers that ranks first, and since other prompts
// are read there for the first time too, n grows with their number. Without word from the others, the first
// ranks, which are taken to hold it. Writers, which get memory by moves as well: the first ranks, and those
// that are known to hold nearly all of the prompt.
func (s *Scheduler) prefixAffinity(
	now time.Duration, pool *servicePool, role Role, candidates []candidate, chain *prefixChain,
) ([]candidate, int) {
	name, shared, ok := chain.shared()
	if !ok {
		s.estimateCost(pool, role, candidates)
		return candidates, len(candidates)
	}
	k, arrivalServers := pool.popularity.affinityServers(name, len(candidates)), 1
	switch {
	case role != Prefill:
		rank(candidates, name, k)
		k = appendCached(candidates, k)
	case pool.peerLoadKnown && markCached(candidates, chain.tokens-shared):
		rank(candidates, name, k)
	case !s.prefixesKnown(now):
		rank(candidates, name, k)
		assumeCached(candidates[:k-1], chain, shared)
	default:
		k = max(k, (len(candidates)+firstPrefillDivisor-1)/firstPrefillDivisor)
		arrivalServers = k - minAffinityServers + 1
		rank(candidates, name, k)
	}
	s.estimateCost(pool, role, candidates)
	return candidates[:k], arrivalServers
}

// markCached marks the servers that are known to hold a prompt but for so many tokens, and tells whether
// there are any.
func markCached(all []candidate, maxUncached int) bool {
	cached := false
	for i := range all {
		all[i].cachesPrefix = all[i].uncachedTokens <= maxUncached
		cached = cached || all[i].cachesPrefix
	}
	return cached
}

// rank moves the k servers that rank first for a name to the front, in their order: those marked as its
// holders, then those with the highest scores.
func rank(all []candidate, name uint64, k int) {
	for i := range all {
		all[i].score = rendezvousScore(all[i].hash, name)
	}
	for i := range min(k, len(all)) {
		selectBest(all, i)
	}
}

// before tells whether a server ranks before another one.
func (c *candidate) ranksBefore(other *candidate) bool {
	if c.cachesPrefix != other.cachesPrefix {
		return c.cachesPrefix
	}
	return c.score > other.score
}

// raise moves the server that ranks first from place i on to place i.
func selectBest(all []candidate, i int) {
	best := i
	for j := i + 1; j < len(all); j++ {
		if all[j].ranksBefore(&all[best]) {
			best = j
		}
	}
	all[i], all[best] = all[best], all[i]
}

// assume takes the first-ranked servers to hold all that is shared. Other proxies have probably sent it
// there, and where none has, reading it there is of use to the next request, and anywhere else it is not.
func assumeCached(first []candidate, chain *prefixChain, shared int) {
	for i := range first {
		first[i].uncachedTokens = min(first[i].uncachedTokens, chain.tokens-shared)
	}
}

// holders moves servers behind the first k to their end that are known to hold nearly all of the prompt, and
// returns the new k.
func appendCached(all []candidate, k int) int {
	for i := k; i < len(all); i++ {
		if all[i].uncachedTokens <= maxDirectUncached {
			all[i], all[k] = all[k], all[i]
			k++
		}
	}
	return k
}

// price fills in what the prompt costs at each server.
func (s *Scheduler) estimateCost(pool *servicePool, role Role, all []candidate) {
	for i := range all {
		candidate := &all[i]
		tokens := pool.prefillTime.slope * float64(candidate.uncachedTokens) / candidate.speed
		if role == Serve {
			candidate.prefillMs = pool.prefillTime.base + decodePrefillFactor*tokens
			candidate.costMs = pool.prefillTime.base + directPrefillWeight*decodePrefillFactor*tokens
		} else {
			candidate.prefillMs = pool.prefillTime.base + tokens
			candidate.costMs = recomputeWeight * tokens
		}
	}
}
