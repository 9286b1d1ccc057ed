package chain

import (
	"slices"
	"time"
)

// changedMembers returns the members with one more or one replaced.
func (p *planner) changedMembers() ([]Member, bool) {
	for _, id := range p.candidates() {
		candidate := p.seen.Peers[id]
		if at, found := p.replacedBy(candidate); found {
			members := slices.Clone(p.view.Members)
			members[at] = candidate.Member
			return members, true
		}
		steady := candidate.Steady >= p.rules.RejoinAfter
		if steady && len(p.view.Members) < p.rules.TargetMembers {
			return append(slices.Clone(p.view.Members), candidate.Member), true
		}
	}
	return nil, false
}

// candidates returns the nodes that may become members, in a fixed order: those that know this epoch.
func (p *planner) candidates() []MemberID {
	var ids []MemberID
	for id, known := range p.seen.Peers {
		fit := known.HasDisk && !known.Unfit && known.Reports && p.directly(id)
		if fit && !p.view.isMember(id) && !p.isSuperseded(known) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// isSuperseded tells whether another identity of the same machine was heard later.
func (p *planner) isSuperseded(known PeerState) bool {
	for _, other := range p.seen.Peers {
		sameMachine := other.Member.Address == known.Member.Address && known.Member.Address != ""
		if sameMachine && other.Member.ID != known.Member.ID && other.Silence < known.Silence {
			return true
		}
	}
	return false
}

// replacedBy returns the index of the member whose place a candidate takes: at once the one at its own
// address, which has not been heard since the candidate is; else the one that is gone for longest, or one
// that leaves. The candidate must have been heard since there is a place for it: its disk may be gone by now.
func (p *planner) replacedBy(candidate PeerState) (int, bool) {
	for at, member := range p.view.Members {
		known := p.seen.Peers[member.ID]
		sameMachine := member.Address == candidate.Member.Address && member.Address != ""
		if sameMachine && known.Silence >= candidate.Steady+candidate.Silence {
			return at, true
		}
	}
	if candidate.Steady < p.rules.RejoinAfter || !p.openEverywhere() {
		return 0, false
	}
	longest, found, place := p.rules.ReplaceAfter+candidate.Silence, false, 0
	for at, member := range p.view.Members {
		if gone := p.goneFor(member.ID); gone > longest {
			longest, found, place = gone, true, at
		}
	}
	if found {
		return place, true
	}
	place = slices.IndexFunc(p.view.Members, func(member Member) bool {
		return p.mayLeave(member.ID) && candidate.Silence <= p.seen.Peers[member.ID].UnfitFor
	})
	return max(place, 0), place >= 0
}

// goneFor returns how long a member has been silent to all, or its disk has failed. A silent one that the
// chain still names may hold a copy that the others lack: a view without it in the chain comes first. So does
// one with more holders before a failing disk is given up, which still has what it holds.
func (p *planner) goneFor(id MemberID) time.Duration {
	known := p.seen.Peers[id]
	switch {
	case known.Unfit && !known.Leaving && p.othersHold(id):
		return max(known.UnfitFor, known.Silence)
	case p.view.inChain(id):
		return 0
	case known.Behind > p.rules.SuspectAfter:
		return known.Behind
	case p.alive(id):
		return 0
	default:
		return known.Silence
	}
}
