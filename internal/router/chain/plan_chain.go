package chain

import "slices"

// mayStop reports whether a member is draining and enough other replicas have its state.
func (p *planner) mayStop(id MemberID) bool {
	return p.observed.Peers[id].Draining && p.enoughOtherReplicas(id)
}

// enoughOtherReplicas reports whether a member isn't in the chain, or the chain has at least as many other
// live and healthy sources as a write needs replicas.
func (p *planner) enoughOtherReplicas(id MemberID) bool {
	others := slices.DeleteFunc(slices.Clone(p.view.Chain), func(other MemberID) bool {
		return other == id || !p.alive(other) || p.observed.Peers[other].Degraded
	})
	needed := replicasNeeded(p.view.Members, p.config.RequiredReplicas)
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

// openAtReachableReplicas reports whether the epoch is open at each replica that is alive and not stalled.
// Until then, a member outside the chain may have the only copy of an entry.
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

// nextView returns the next view with the given members, or false if none is possible. Its chain omits
// degraded replicas if the others are enough; a draining source stays until enough others have its state.
func (p *planner) nextView(members []Member) (View, bool) {
	needed := replicasNeeded(members, p.config.RequiredReplicas)
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

// hasDrainingSource reports whether a live source in the chain that remains a member is draining.
func (p *planner) hasDrainingSource(members []Member) bool {
	return slices.ContainsFunc(p.view.Chain, func(id MemberID) bool {
		draining := p.observed.Peers[id].Draining && p.alive(id)
		return draining && p.isSource(id) && slices.Contains(memberIDs(members), id)
	})
}

// replicaHealth says which of the current replicas the next chain may keep.
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

// eligibleReplicas returns the members that may be in the next chain: the current replicas in their order,
// then those that join. Of both, sources come first, as they already do in any chain whose epoch isn't
// sealed.
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
		stable := peer.StableFor >= p.config.RejoinAfter || !p.view.isMember(id)
		add(id, !p.view.inChain(id) && p.seenDirectly(id) && stable && peer.ReportedInEpoch && !peer.Degraded)
	}
	sources := slices.DeleteFunc(slices.Clone(replicas), func(id MemberID) bool { return !p.isSource(id) })
	others := slices.DeleteFunc(replicas, p.isSource)
	return append(sources, others...)
}

// longestChain returns the longest chain found whose replicas are pairwise connected and whose head is a
// source. For each possible head it adds the later candidates greedily in their order; of equally long chains
// it returns the one whose head comes first.
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
