package scheduler

import "time"

const (
	// maxDirectTokens is the longest prompt that its decode server prefills itself: a few chunks between the
	// decode steps of other requests, which a second call and a slot at a prefill server are not worth.
	maxDirectTokens = 2000
	// maxDirectUncached is how many tokens a decode server may have to prefill of a longer prompt of which it
	// is known to hold the rest.
	maxDirectUncached = 256
)

// Split reports whether a request should now be split between a prefill and a decode server (disaggregated
// serving). It should, unless a decode server has little to prefill, or the prefill servers have no free
// slot.
//
// Estimates of the time until the first token were compared with this rule (docs/design/routing.md): they
// send too much to decode servers, since what a prefill there costs the streams of other requests does not
// show in any measure of the request itself.
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
	case request.PromptTokens <= maxDirectTokens || s.minDecodeUncached(pool, &chain) <= maxDirectUncached:
		return false
	}
	return !allFull(now, pool, s.eligible(now, pool, request, Prefill, &chain))
}

// minDecodeUncached returns the fewest tokens that a decode server would have to prefill of a prompt.
func (s *Scheduler) minDecodeUncached(pool *servicePool, chain *prefixChain) int {
	fewest := chain.tokens
	for _, server := range pool.decodeServers {
		fewest = min(fewest, chain.tokens-s.prefixes.cachedTokens(server.hash, chain))
	}
	return fewest
}

// allFull reports whether no prefill server has a free slot.
func allFull(now time.Duration, pool *servicePool, prefillServers []candidate) bool {
	serviceMs := pool.serviceTime(Prefill, 0)
	for i := range prefillServers {
		if !prefillServers[i].full(now, serviceMs) {
			return false
		}
	}
	return true
}

// anyNotEjected reports whether a server isn't ejected; it may be half-open.
func anyNotEjected(now time.Duration, servers []*serverState) bool {
	for _, server := range servers {
		if now >= server.ejectedUntil() {
			return true
		}
	}
	return false
}
