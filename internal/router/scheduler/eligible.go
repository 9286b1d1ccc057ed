package scheduler

import (
	"slices"
	"time"
)

// patience is how long after its rest a server on probation gets requests that must not run twice, where no
// other request has tried it before.
const patience = 3 * time.Second

// eligible returns the servers that may take the call, with their queues and what they would have to read.
// Servers in trouble or full are passed over while there are others.
func (c *Chooser) eligible(now time.Duration, p *pool, r *Request, role Role, chain *prompt) []candidate {
	servers := p.of(role)
	average := meanOthers(servers)
	p.age, p.sharing = c.sharedAge(now)
	c.candidates = c.candidates[:0]
	for _, s := range servers {
		if !slices.Contains(r.Tried, s.ID) {
			c.candidates = append(c.candidates, candidate{server: s})
			p.measure(now, role, average, &c.candidates[len(c.candidates)-1])
		}
	}
	c.candidates = wellOnly(now, r, role, c.candidates)
	service := p.serviceTime(role, 0)
	for i := range c.candidates {
		x := &c.candidates[i]
		x.avoid = x.stuck(now) || x.full(now, service)
	}
	c.candidates = dropAvoided(c.candidates)
	if p.service.Engine != nil && role != Write {
		c.lookUp(chain)
	}
	return c.candidates
}

// lookUp fills in what each candidate would have to read of a prompt: what this proxy has not sent there.
// Other proxies may have, so that it may be no more than what the prompt shares with none.
func (c *Chooser) lookUp(chain *prompt) {
	_, shared, _ := chain.shared()
	for i := range c.candidates {
		x := &c.candidates[i]
		x.uncached = chain.tokens - c.holdings.tokens(x.hash, chain)
		x.most = x.uncached
		x.least = min(x.uncached, chain.tokens-shared)
	}
}

// wellOnly leaves out servers that rest, and those on probation but for one idempotent request at a time.
// Where all are in trouble the one whose rest ends first is taken.
func wellOnly(now time.Duration, r *Request, role Role, all []candidate) []candidate {
	least := 0
	for i := range all {
		x := &all[i]
		x.avoid = !x.well(now, r.Idempotent || role == Read)
		if x.restsUntil() < all[least].restsUntil() {
			least = i
		}
	}
	kept := dropAvoided(all)
	if len(kept) > 0 && kept[0].avoid {
		kept[0] = all[least]
		kept = kept[:1]
	}
	return kept
}

// well tells whether a server may get a request: it does not rest, and where it failed before, the request
// may try it.
func (s *server) well(now time.Duration, repeatable bool) bool {
	if now < s.restsUntil() {
		return false
	}
	if !s.trust.probation() && !s.handles.probation() {
		return true
	}
	return len(s.calls) == 0 && (repeatable || now > s.restsUntil()+patience)
}

func (s *server) restsUntil() time.Duration { return max(s.trust.until, s.handles.until) }

// dropAvoided deletes the candidates to avoid, unless those are all.
func dropAvoided(all []candidate) []candidate {
	kept := 0
	for i := range all {
		if !all[i].avoid {
			all[kept] = all[i]
			kept++
		}
	}
	if kept == 0 {
		return all
	}
	return all[:kept]
}
