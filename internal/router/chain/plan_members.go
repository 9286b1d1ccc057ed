package chain

import (
	"slices"
	"time"
)

// changedMembers returns the members with one candidate added or one member replaced by a candidate, or false
// if the members should stay.
func (p *planner) changedMembers() ([]Member, bool) {
	for _, id := range p.candidates() {
		candidate := p.observed.Peers[id]
		if index, ok := p.indexReplacedBy(candidate); ok {
			members := slices.Clone(p.view.Members)
			members[index] = candidate.Member
			return members, true
		}
		stable := candidate.StableFor >= p.config.RejoinAfter
		if stable && len(p.view.Members) < p.config.TargetMembers {
			return append(slices.Clone(p.view.Members), candidate.Member), true
		}
	}
	return nil, false
}

// candidates returns the nodes that may become members, in ascending order of their IDs. They have a disk,
// are not degraded, were seen by this node and have reported in this epoch.
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

// isSuperseded reports whether another identity at the same address was seen later.
func (p *planner) isSuperseded(candidate PeerObservation) bool {
	for _, other := range p.observed.Peers {
		sameMachine := other.Member.Address == candidate.Member.Address && candidate.Member.Address != ""
		if sameMachine && other.Member.ID != candidate.Member.ID && other.SinceLastSeen < candidate.SinceLastSeen {
			return true
		}
	}
	return false
}

// indexReplacedBy returns the index of the member that a candidate replaces. A member at the candidate's own
// address that was not seen since the candidate's messages began to arrive without a gap is replaced at once.
// Otherwise it is the member that has been unavailable for longest, or a draining one. In these last two
// cases the candidate must have been seen after the member became replaceable, as the disk of a candidate
// that is no longer seen may be lost.
func (p *planner) indexReplacedBy(candidate PeerObservation) (int, bool) {
	if index, ok := p.indexOfSameMachine(candidate); ok {
		return index, true
	}
	if candidate.StableFor < p.config.RejoinAfter || !p.openAtReachableReplicas() {
		return 0, false
	}
	if index, ok := p.indexOfUnavailable(candidate); ok {
		return index, true
	}
	return validIndex(slices.IndexFunc(p.view.Members, func(member Member) bool {
		return p.mayStop(member.ID) && candidate.SinceLastSeen <= p.observed.Peers[member.ID].DegradedFor
	}))
}

// indexOfSameMachine returns the index of the member at a candidate's address that was not seen since the
// candidate's messages began to arrive without a gap.
func (p *planner) indexOfSameMachine(candidate PeerObservation) (int, bool) {
	return validIndex(slices.IndexFunc(p.view.Members, func(member Member) bool {
		sameMachine := member.Address == candidate.Member.Address && member.Address != ""
		sinceLastSeen := p.observed.Peers[member.ID].SinceLastSeen
		return sameMachine && sinceLastSeen >= candidate.StableFor+candidate.SinceLastSeen
	}))
}

// indexOfUnavailable returns the index of the member that has been unavailable for longest, if it had been
// unavailable for more than ReplaceAfter when the candidate was last seen.
func (p *planner) indexOfUnavailable(candidate PeerObservation) (int, bool) {
	longest, replaced := p.config.ReplaceAfter+candidate.SinceLastSeen, -1
	for index, member := range p.view.Members {
		if unavailable := p.unavailableFor(member.ID); unavailable > longest {
			longest, replaced = unavailable, index
		}
	}
	return validIndex(replaced)
}

// validIndex converts an index that is -1 for "not found", as in package slices, to an index and a boolean.
func validIndex(index int) (int, bool) { return max(index, 0), index >= 0 }

// unavailableFor returns for how long a member has been unavailable: its disk has been failing, no message
// has reached it, or no live member has received from it. It returns 0 if the member must not be replaced
// yet. A member that has timed out and is still in the chain may have the only copy of an entry: a view
// without it in the chain has to come first. A member with a failing disk is replaced only when enough other
// replicas have its state.
func (p *planner) unavailableFor(id MemberID) time.Duration {
	peer := p.observed.Peers[id]
	switch {
	case peer.Degraded && !peer.Draining && p.enoughOtherReplicas(id):
		return max(peer.DegradedFor, peer.SinceLastSeen)
	case p.view.inChain(id):
		return 0
	case peer.StaleEpochFor > p.config.SuspectAfter:
		return peer.StaleEpochFor
	case p.alive(id):
		return 0
	default:
		return peer.SinceLastSeen
	}
}
