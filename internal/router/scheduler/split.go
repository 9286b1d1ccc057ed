package scheduler

import "time"

const (
	// maxDirectTokens is the longest prompt, in tokens, that its decode server prefills itself. Such a prompt
	// takes only a few chunks between the decode steps of other requests, which costs less than a second call
	// and a slot at a prefill server.
	maxDirectTokens = 2000
	// maxDirectUncachedTokens is the maximum number of tokens that a decode server prefills itself of a
	// longer prompt, if it is known to have cached the rest.
	maxDirectUncachedTokens = 256
)

// Split reports whether a request should now be split between a prefill and a decode server (disaggregated
// serving). It should, unless a decode server would have little to prefill, no prefill server has a free
// slot, or all prefill servers are ejected. If a prefill server is available but no decode server is, the
// request is split as well.
//
// A rule by the estimated time to first token was compared with this one (docs/design/routing.md). It sends
// too many requests to decode servers, because the delay that a prefill there causes in the streams of other
// requests does not appear in any measurement of the request itself.
func (s *Scheduler) Split(now time.Duration, request *Request) bool {
	if request.Service.Engine == nil {
		return false
	}
	pool, chain := s.pool(now, request.Service), newPrefixChain(request)
	pool.observeDirectPrefill(now)
	switch {
	case !anyNotEjected(now, pool.prefillServers):
		return false
	case !anyNotEjected(now, pool.decodeServers):
		return true
	case request.PromptTokens <= maxDirectTokens ||
		s.minDecodeUncachedTokens(pool, &chain) <= maxDirectUncachedTokens:
		return false
	}
	return !allFull(now, pool, s.eligible(now, pool, request, Prefill, &chain))
}

// minDecodeUncachedTokens returns how many tokens of a prompt the decode server that has cached most of it
// would have to prefill.
func (s *Scheduler) minDecodeUncachedTokens(pool *servicePool, chain *prefixChain) int {
	fewest := chain.tokens
	for _, server := range pool.decodeServers {
		fewest = min(fewest, chain.tokens-s.prefixes.cachedTokens(server.hash, chain))
	}
	return fewest
}

// allFull reports whether none of the prefill servers has a free slot.
func allFull(now time.Duration, pool *servicePool, prefillServers []candidate) bool {
	serviceMs := pool.serviceTime(Prefill, 0)
	for i := range prefillServers {
		if !prefillServers[i].full(now, serviceMs) {
			return false
		}
	}
	return true
}

// anyNotEjected reports whether at least one server isn't ejected. Half-open servers count as not ejected.
func anyNotEjected(now time.Duration, servers []*serverState) bool {
	for _, server := range servers {
		if now >= server.ejectedUntil() {
			return true
		}
	}
	return false
}
