package chain

import (
	"slices"
	"time"
)

// changedMembers returns the members with one added or one replaced, if the planner wants that.
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

// candidates returns the nodes that may become members, those that have reported in this epoch, in a fixed
// order.
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

// isSuperseded reports whether another identity of the same machine was seen later.
func (p *planner) isSuperseded(candidate PeerObservation) bool {
	for _, other := range p.observed.Peers {
		sameMachine := other.Member.Address == candidate.Member.Address && candidate.Member.Address != ""
		if sameMachine && other.Member.ID != candidate.Member.ID && other.SinceLastSeen < candidate.SinceLastSeen {
			return true
		}
	}
	return false
}

// indexReplacedBy returns the index of the member that a candidate replaces. One at the candidate's own
// address that was not seen since the candidate was is replaced at once; otherwise it is the one unavailable
// for longest, or one that drains. The candidate must have been seen after the member became replaceable:
// its disk may be lost by now.
func (p *planner) indexReplacedBy(candidate PeerObservation) (int, bool) {
	if index, ok := p.indexOfSameMachine(candidate); ok {
		return index, true
	}
	if candidate.StableFor < p.rules.RejoinAfter || !p.openAtReachableReplicas() {
		return 0, false
	}
	if index, ok := p.indexOfUnavailable(candidate); ok {
		return index, true
	}
	return validIndex(slices.IndexFunc(p.view.Members, func(member Member) bool {
		return p.canDrain(member.ID) && candidate.SinceLastSeen <= p.observed.Peers[member.ID].DegradedFor
	}))
}

// indexOfSameMachine returns the index of the member at a candidate's address that was not seen since the
// candidate was.
func (p *planner) indexOfSameMachine(candidate PeerObservation) (int, bool) {
	return validIndex(slices.IndexFunc(p.view.Members, func(member Member) bool {
		sameMachine := member.Address == candidate.Member.Address && member.Address != ""
		sinceLastSeen := p.observed.Peers[member.ID].SinceLastSeen
		return sameMachine && sinceLastSeen >= candidate.StableFor+candidate.SinceLastSeen
	}))
}

// indexOfUnavailable returns the index of the member that is unavailable for longest, if it was so for long
// enough when a candidate was last seen.
func (p *planner) indexOfUnavailable(candidate PeerObservation) (int, bool) {
	longest, replaced := p.rules.ReplaceAfter+candidate.SinceLastSeen, -1
	for index, member := range p.view.Members {
		if unavailable := p.unavailableFor(member.ID); unavailable > longest {
			longest, replaced = unavailable, index
		}
	}
	return validIndex(replaced)
}

// validIndex returns an index with whether there is one; the functions of package slices return -1 if not.
func validIndex(index int) (int, bool) { return max(index, 0), index >= 0 }

// unavailableFor returns for how long no member has seen a member, or its disk has failed; 0 if it must not
// be replaced yet. One that has timed out and is still in the chain may have the only copy of an entry: a
// view without it in the chain has to come first. A failing disk is replaced only when enough others have
// its state.
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
