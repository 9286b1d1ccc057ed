package scheduler

import "time"

const (
	// maxDirectTokens is the longest prompt that its writer reads itself: a few pieces between the tokens of its
	// other requests, which a second call and a place in a reader's queue are not worth.
	maxDirectTokens = 2000
	// maxDirectUncached is how many tokens a writer may have to read of a longer prompt that it is known to hold
	// else.
	maxDirectUncached = 256
)

// Split tells whether a request is better read by one server and written by another, now. It is, unless
// little has to be read at a writer, or the readers have no place. Estimates of the time until the first
// token at either were tried in its place (docs/design/routing.md): they send too much to writers, since
// what a prompt read there costs the streams of others does not show in any figure of its own request.
func (s *Scheduler) Split(now time.Duration, request *Request) bool {
	if request.Service.Engine == nil {
		return false
	}
	pool, chain := s.pool(now, request.Service), newPrefixChain(request)
	pool.observeDirectPrefill(now)
	switch {
	case !s.anyAvailable(now, pool.prefillServers):
		return false
	case !s.anyAvailable(now, pool.decodeServers):
		return true
	case request.PromptTokens <= maxDirectTokens || s.minDecodeUncached(pool, &chain) <= maxDirectUncached:
		return false
	}
	return !allFull(now, pool, s.eligible(now, pool, request, Prefill, &chain))
}

// minDecodeUncached is the fewest tokens that a writer is known to have to read of a prompt.
func (s *Scheduler) minDecodeUncached(pool *servicePool, chain *prefixChain) int {
	fewest := chain.tokens
	for _, server := range pool.decodeServers {
		fewest = min(fewest, chain.tokens-s.prefixes.cachedTokens(server.hash, chain))
	}
	return fewest
}

// allFull tells whether fresh figures say that no reader has a place left.
func allFull(now time.Duration, pool *servicePool, prefillServers []candidate) bool {
	service := pool.serviceTime(Prefill, 0)
	for i := range prefillServers {
		if !prefillServers[i].full(now, service) {
			return false
		}
	}
	return true
}

func (s *Scheduler) anyAvailable(now time.Duration, servers []*serverState) bool {
	for _, server := range servers {
		if now >= server.ejectedUntil() {
			return true
		}
	}
	return false
}

const neverMs = 1e12 // ms
