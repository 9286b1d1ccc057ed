package chain

import (
	"slices"
)

// mayLeave tells whether a member wants to leave and enough others hold what it holds.
func (p *planner) mayLeave(id MemberID) bool { return p.seen.Peers[id].Leaving && p.othersHold(id) }

// othersHold tells whether a member isn't in the chain, or as many other replicas as a write needs hold the
// state.
func (p *planner) othersHold(id MemberID) bool {
	others := slices.DeleteFunc(slices.Clone(p.view.Chain), func(other MemberID) bool {
		return other == id || !p.alive(other) || p.seen.Peers[other].Unfit
	})
	return !p.view.inChain(id) || p.holders(others) >= copiesNeeded(p.view.Members, p.rules.RequiredCopies)
}

// holders counts those of the chain's replicas that hold every committed entry.
func (p *planner) holders(replicas []MemberID) int {
	count := 0
	for _, id := range replicas {
		if p.view.inChain(id) && p.isSource(id) {
			count++
		}
	}
	return count
}

// openEverywhere tells whether the epoch is open at each replica that is there and can open it: until then a
// member that is not in the chain may hold the only copy that is left.
func (p *planner) openEverywhere() bool {
	for _, id := range p.view.Chain {
		known := p.seen.Peers[id]
		failing := known.Unfit && !known.Leaving
		if p.alive(id) && !failing && known.EntryEpoch != p.view.Epoch {
			return false
		}
	}
	return true
}

// viewOf returns the next view for a set of members: without the unfit ones if enough others are there. One
// that leaves stays until enough others hold what it holds.
func (p *planner) viewOf(members []Member) (View, bool) {
	needed := copiesNeeded(members, p.rules.RequiredCopies)
	fit := p.bestChain(p.replicas(members, fitOnly))
	if len(fit) >= needed && (p.holders(fit) >= needed || !p.holderLeaves(members)) {
		return p.viewWith(members, fit), true
	}
	staying := p.bestChain(p.replicas(members, fitOrLeaving))
	if len(staying) >= needed {
		return p.viewWith(members, staying), true
	}
	all := p.bestChain(p.replicas(members, fitOrNot))
	if len(all) >= majority(members) {
		return p.viewWith(members, all), true
	}
	return View{}, false
}

// holderLeaves tells whether a replica that holds the state wants to leave.
func (p *planner) holderLeaves(members []Member) bool {
	return slices.ContainsFunc(p.view.Chain, func(id MemberID) bool {
		leaving := p.seen.Peers[id].Leaving && p.alive(id)
		return leaving && p.isSource(id) && slices.Contains(identities(members), id)
	})
}

// fitness says which of the old replicas a chain may have.
type fitness int

const (
	fitOnly fitness = iota
	fitOrLeaving
	fitOrNot
)

// allows tells whether a replica is fit enough.
func (f fitness) allows(known PeerState) bool {
	return !known.Unfit || f == fitOrNot || f == fitOrLeaving && known.Leaving
}

// replicas returns who may be in the chain: the old replicas in their order, then newcomers. Sources stand
// before the others, which they do in any chain as long as its epoch isn't sealed.
func (p *planner) replicas(members []Member, fit fitness) []MemberID {
	old := p.view.Chain
	if p.epochSealed() {
		old = append(slices.Clone(p.view.Sources), old...)
	}
	var replicas []MemberID
	add := func(id MemberID, allowed bool) {
		if allowed && !slices.Contains(replicas, id) && slices.Contains(identities(members), id) {
			replicas = append(replicas, id)
		}
	}
	for _, id := range old {
		add(id, p.alive(id) && fit.allows(p.seen.Peers[id]))
	}
	for _, id := range identities(members) {
		known := p.seen.Peers[id]
		steady := known.Steady >= p.rules.RejoinAfter || !p.view.isMember(id)
		add(id, !p.view.inChain(id) && p.directly(id) && steady && known.Reports && !known.Unfit)
	}
	sources := slices.DeleteFunc(slices.Clone(replicas), func(id MemberID) bool { return !p.isSource(id) })
	others := slices.DeleteFunc(replicas, p.isSource)
	return append(sources, others...)
}

// bestChain returns the longest chain whose replicas all hear each other and whose head is a source; of equal
// ones that whose head comes first.
func (p *planner) bestChain(replicas []MemberID) []MemberID {
	var best []MemberID
	for start, head := range replicas {
		if !p.isSource(head) {
			continue
		}
		chain := []MemberID{head}
		for _, next := range replicas[start+1:] {
			apart := func(id MemberID) bool { return !p.connected(id, next) }
			if !slices.ContainsFunc(chain, apart) {
				chain = append(chain, next)
			}
		}
		if len(chain) > len(best) {
			best = chain
		}
	}
	return best
}
