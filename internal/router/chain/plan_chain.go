package chain

import "slices"

// canDrain reports whether a member drains and enough other replicas have its state.
func (p *planner) canDrain(id MemberID) bool {
	return p.observed.Peers[id].Draining && p.enoughOtherReplicas(id)
}

// enoughOtherReplicas reports whether a member isn't in the chain, or there are as many other healthy
// sources in it as a write needs replicas.
func (p *planner) enoughOtherReplicas(id MemberID) bool {
	others := slices.DeleteFunc(slices.Clone(p.view.Chain), func(other MemberID) bool {
		return other == id || !p.alive(other) || p.observed.Peers[other].Degraded
	})
	needed := replicasNeeded(p.view.Members, p.rules.RequiredReplicas)
	return !p.view.inChain(id) || p.countSources(others) >= needed
}

// countSources counts the replicas of the current chain that are sources.
func (p *planner) countSources(replicas []MemberID) int {
	count := 0
	for _, id := range replicas {
		if p.view.inChain(id) && p.isSource(id) {
			count++
		}
	}
	return count
}

// openAtReachableReplicas reports whether the epoch is open at each replica that is alive and able to open
// it. Until then a member outside the chain may have the only copy of an entry.
func (p *planner) openAtReachableReplicas() bool {
	for _, id := range p.view.Chain {
		peer := p.observed.Peers[id]
		failing := peer.Degraded && !peer.Draining
		if p.alive(id) && !failing && peer.EntryEpoch != p.view.Epoch {
			return false
		}
	}
	return true
}

// nextView returns the next view for a set of members, if there can be one. Its chain is without degraded
// replicas if the others are enough; a draining one stays until enough others have its state.
func (p *planner) nextView(members []Member) (View, bool) {
	needed := replicasNeeded(members, p.rules.RequiredReplicas)
	healthy := p.longestChain(p.eligibleReplicas(members, healthyOnly))
	if len(healthy) >= needed && (p.countSources(healthy) >= needed || !p.hasDrainingSource(members)) {
		return p.buildView(members, healthy), true
	}
	withDraining := p.longestChain(p.eligibleReplicas(members, healthyOrDraining))
	if len(withDraining) >= needed {
		return p.buildView(members, withDraining), true
	}
	all := p.longestChain(p.eligibleReplicas(members, anyHealth))
	if len(all) >= majority(members) {
		return p.buildView(members, all), true
	}
	return View{}, false
}

// hasDrainingSource reports whether a source in the chain drains.
func (p *planner) hasDrainingSource(members []Member) bool {
	return slices.ContainsFunc(p.view.Chain, func(id MemberID) bool {
		draining := p.observed.Peers[id].Draining && p.alive(id)
		return draining && p.isSource(id) && slices.Contains(memberIDs(members), id)
	})
}

// replicaHealth says which of the old replicas a chain may keep.
type replicaHealth int

const (
	healthyOnly replicaHealth = iota
	healthyOrDraining
	anyHealth
)

// allows reports whether a replica is healthy enough.
func (h replicaHealth) allows(peer PeerObservation) bool {
	return !peer.Degraded || h == anyHealth || h == healthyOrDraining && peer.Draining
}

// eligibleReplicas returns the members that may be in the chain: the old replicas in their order, then those
// that join. Sources come before the others, as they do in any chain whose epoch isn't sealed.
func (p *planner) eligibleReplicas(members []Member, health replicaHealth) []MemberID {
	old := p.view.Chain
	if p.epochSealed() {
		old = append(slices.Clone(p.view.Sources), old...)
	}
	var replicas []MemberID
	add := func(id MemberID, allowed bool) {
		if allowed && !slices.Contains(replicas, id) && slices.Contains(memberIDs(members), id) {
			replicas = append(replicas, id)
		}
	}
	for _, id := range old {
		add(id, p.alive(id) && health.allows(p.observed.Peers[id]))
	}
	for _, id := range memberIDs(members) {
		peer := p.observed.Peers[id]
		stable := peer.StableFor >= p.rules.RejoinAfter || !p.view.isMember(id)
		add(id, !p.view.inChain(id) && p.seenDirectly(id) && stable && peer.ReportedInEpoch && !peer.Degraded)
	}
	sources := slices.DeleteFunc(slices.Clone(replicas), func(id MemberID) bool { return !p.isSource(id) })
	others := slices.DeleteFunc(replicas, p.isSource)
	return append(sources, others...)
}

// longestChain returns the longest chain of candidates that are connected pairwise and whose head is a
// source; of equally long ones that whose head comes first.
func (p *planner) longestChain(candidates []MemberID) []MemberID {
	var best []MemberID
	for start, head := range candidates {
		if !p.isSource(head) {
			continue
		}
		chain := []MemberID{head}
		for _, next := range candidates[start+1:] {
			disconnected := func(id MemberID) bool { return !p.connected(id, next) }
			if !slices.ContainsFunc(chain, disconnected) {
				chain = append(chain, next)
			}
		}
		if len(chain) > len(best) {
			best = chain
		}
	}
	return best
}
