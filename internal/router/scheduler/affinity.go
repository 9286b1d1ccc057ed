package scheduler

import "time"

const (
	// ranked is k, the number of servers that a prompt which shares parts with others may go to at least. One
	// more would take load off the others for a moment and bring them a second reading of the same parts later.
	ranked = 2
	// firstPart is the part of the readers, as its inverse, that a prompt may go to which no reader holds: it
	// is read for the first time wherever that is, so that more choices cost nothing but a second reading by a
	// proxy that has not heard of the first one. Of eight readers or fewer that is no more than ranked.
	firstPart = 4
)

// affine returns the servers that a prompt may go to, and the n of what arrives. A prompt that shares nothing
// may go to any server.
//
// Readers: those that rank first among the servers that hold what it shares, as proxies tell each other, then
// among the others; where none holds it, the part of the readers that ranks first, and since other prompts
// are read there for the first time too, n grows with their number. Without word from the others, the first
// ranks, which are taken to hold it. Writers, which get memory by moves as well: the first ranks, and those
// that are known to hold nearly all of the prompt.
func (c *Chooser) affine(
	now time.Duration, p *pool, role Role, all []candidate, chain *prompt,
) ([]candidate, int) {
	name, shared, ok := chain.shared()
	if !ok {
		c.price(p, role, all)
		return all, len(all)
	}
	k, n := p.popular.width(name, len(all)), 1
	switch {
	case role != Read:
		rank(all, name, k)
		k = holders(all, k)
	case p.sharing && markHolders(all, chain.tokens-shared):
		rank(all, name, k)
	case !c.knowsHolders(now):
		rank(all, name, k)
		assume(all[:k-1], chain, shared)
	default:
		k = max(k, (len(all)+firstPart-1)/firstPart)
		n = k - ranked + 1
		rank(all, name, k)
	}
	c.price(p, role, all)
	return all[:k], n
}

// markHolders marks the servers that are known to hold a prompt but for so many tokens, and tells whether
// there are any.
func markHolders(all []candidate, rest int) bool {
	found := false
	for i := range all {
		all[i].holds = all[i].uncached <= rest
		found = found || all[i].holds
	}
	return found
}

// rank moves the k servers that rank first for a name to the front, in their order: those marked as its
// holders, then those with the highest scores.
func rank(all []candidate, name uint64, k int) {
	for i := range all {
		all[i].score = score(all[i].hash, name)
	}
	for i := range min(k, len(all)) {
		raise(all, i)
	}
}

// before tells whether a server ranks before another one.
func (c *candidate) before(other *candidate) bool {
	if c.holds != other.holds {
		return c.holds
	}
	return c.score > other.score
}

// raise moves the server that ranks first from place i on to place i.
func raise(all []candidate, i int) {
	best := i
	for j := i + 1; j < len(all); j++ {
		if all[j].before(&all[best]) {
			best = j
		}
	}
	all[i], all[best] = all[best], all[i]
}

// assume takes the first-ranked servers to hold all that is shared. Other proxies have probably sent it
// there, and where none has, reading it there is of use to the next request, and anywhere else it is not.
func assume(first []candidate, chain *prompt, shared int) {
	for i := range first {
		first[i].uncached = min(first[i].uncached, chain.tokens-shared)
	}
}

// holders moves servers behind the first k to their end that are known to hold nearly all of the prompt, and
// returns the new k.
func holders(all []candidate, k int) int {
	for i := k; i < len(all); i++ {
		if all[i].uncached <= shortRest {
			all[i], all[k] = all[k], all[i]
			k++
		}
	}
	return k
}

// price fills in what the prompt costs at each server.
func (c *Chooser) price(p *pool, role Role, all []candidate) {
	for i := range all {
		x := &all[i]
		tokens := p.read.slope * float64(x.uncached) / x.speed
		if role == Serve {
			x.work = p.read.base + writePace*tokens
			x.cost = p.read.base + direct*writePace*tokens
		} else {
			x.work = p.read.base + tokens
			x.cost = reread * tokens
		}
	}
}
