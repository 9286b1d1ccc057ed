package scheduler

import "time"

const (
	// directTokens is the longest prompt that its writer reads itself: a few pieces between the tokens of its
	// other requests, which a second call and a place in a reader's queue are not worth.
	directTokens = 2000
	// shortRest is how many tokens a writer may have to read of a longer prompt that it is known to hold else.
	shortRest = 256
)

// Split tells whether a request is better read by one server and written by another, now. It is, unless
// little has to be read at a writer, or the readers have no place. Estimates of the time until the first
// token at either were tried in its place (docs/design/routing.md): they send too much to writers, since
// what a prompt read there costs the streams of others does not show in any figure of its own request.
func (c *Chooser) Split(now time.Duration, r *Request) bool {
	if r.Service.Engine == nil {
		return false
	}
	p, chain := c.pool(now, r.Service), newPrompt(r)
	p.watchDirect(now)
	switch {
	case !c.anyWell(now, p.readers):
		return false
	case !c.anyWell(now, p.writers):
		return true
	case r.PromptTokens <= directTokens || c.leastRest(p, &chain) <= shortRest:
		return false
	}
	return !allFull(now, p, c.eligible(now, p, r, Read, &chain))
}

// leastRest is the fewest tokens that a writer is known to have to read of a prompt.
func (c *Chooser) leastRest(p *pool, chain *prompt) int {
	least := chain.tokens
	for _, s := range p.writers {
		least = min(least, chain.tokens-c.holdings.tokens(s.hash, chain))
	}
	return least
}

// allFull tells whether fresh figures say that no reader has a place left.
func allFull(now time.Duration, p *pool, readers []candidate) bool {
	service := p.serviceTime(Read, 0)
	for i := range readers {
		if !readers[i].full(now, service) {
			return false
		}
	}
	return true
}

func (c *Chooser) anyWell(now time.Duration, servers []*server) bool {
	for _, s := range servers {
		if now >= s.restsUntil() {
			return true
		}
	}
	return false
}

const never = 1e12 // ms
