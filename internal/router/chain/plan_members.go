package chain

import (
	"slices"
	"time"
)

// changedMembers returns the members with one more or one replaced.
func (p *planner) changedMembers() ([]Member, bool) {
	for _, id := range p.candidates() {
		candidate := p.observed.Peers[id]
		if index, ok := p.indexReplacedBy(candidate); ok {
			members := slices.Clone(p.view.Members)
			members[index] = candidate.Member
			return members, true
		}
		stable := candidate.StableFor >= p.rules.RejoinAfter
		if stable && len(p.view.Members) < p.rules.TargetMembers {
			return append(slices.Clone(p.view.Members), candidate.Member), true
		}
	}
	return nil, false
}

// candidates returns the nodes that may become members, in a fixed order: those that know this epoch.
func (p *planner) candidates() []MemberID {
	var ids []MemberID
	for id, peer := range p.observed.Peers {
		eligible := peer.HasDisk && !peer.Degraded && peer.ReportedInEpoch && p.seenDirectly(id)
		if eligible && !p.view.isMember(id) && !p.isSuperseded(peer) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// isSuperseded tells whether another identity of the same machine was heard later.
func (p *planner) isSuperseded(candidate PeerObservation) bool {
	for _, other := range p.observed.Peers {
		sameMachine := other.Member.Address == candidate.Member.Address && candidate.Member.Address != ""
		if sameMachine && other.Member.ID != candidate.Member.ID && other.SinceLastSeen < candidate.SinceLastSeen {
			return true
		}
	}
	return false
}

// indexReplacedBy returns the index of the member whose place a candidate takes: at once the one at its own
// address, which has not been heard since the candidate is; else the one that is gone for longest, or one
// that leaves. The candidate must have been heard since there is a place for it: its disk may be gone by now.
func (p *planner) indexReplacedBy(candidate PeerObservation) (int, bool) {
	for index, member := range p.view.Members {
		peer := p.observed.Peers[member.ID]
		sameMachine := member.Address == candidate.Member.Address && member.Address != ""
		if sameMachine && peer.SinceLastSeen >= candidate.StableFor+candidate.SinceLastSeen {
			return index, true
		}
	}
	if candidate.StableFor < p.rules.RejoinAfter || !p.openAtReachableReplicas() {
		return 0, false
	}
	longest, ok, replaced := p.rules.ReplaceAfter+candidate.SinceLastSeen, false, 0
	for index, member := range p.view.Members {
		if unavailable := p.unavailableFor(member.ID); unavailable > longest {
			longest, ok, replaced = unavailable, true, index
		}
	}
	if ok {
		return replaced, true
	}
	replaced = slices.IndexFunc(p.view.Members, func(member Member) bool {
		return p.canDrain(member.ID) && candidate.SinceLastSeen <= p.observed.Peers[member.ID].DegradedFor
	})
	return max(replaced, 0), replaced >= 0
}

// unavailableFor returns how long a member has been silent to all, or its disk has failed. A silent one that
// the chain still names may hold a copy that the others lack: a view without it in the chain comes first. So
// does one with more holders before a failing disk is given up, which still has what it holds.
func (p *planner) unavailableFor(id MemberID) time.Duration {
	peer := p.observed.Peers[id]
	switch {
	case peer.Degraded && !peer.Draining && p.enoughOtherReplicas(id):
		return max(peer.DegradedFor, peer.SinceLastSeen)
	case p.view.inChain(id):
		return 0
	case peer.BehindFor > p.rules.SuspectAfter:
		return peer.BehindFor
	case p.alive(id):
		return 0
	default:
		return peer.SinceLastSeen
	}
}
