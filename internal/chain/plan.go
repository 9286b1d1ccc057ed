package chain

import (
	"slices"
	"time"
)

// Rules are the planner's settings.
type Rules struct {
	TargetMembers  int
	RequiredCopies int
	SuspectAfter   time.Duration
	RejoinAfter    time.Duration
	ReplaceAfter   time.Duration
}

// PeerState is what one node knows of a node.
type PeerState struct {
	Member  Member
	HasDisk bool
	// Silence is the time since it was last heard, Steady how long it had been heard without a gap then.
	Silence, Steady time.Duration
	// Unfit says that it leaves or that its disk fails, UnfitFor since how long; Leaving tells the two apart.
	Unfit, Leaving bool
	UnfitFor       time.Duration
	// EntryEpoch is the epoch in which it last accepted an entry.
	EntryEpoch uint64
	// Sealed says that it has promised not to open the current epoch.
	Sealed bool
	// Hears are the members that it hears; Reports says that it has told in the current epoch.
	Reports bool
	Hears   []MemberID
	// Behind is how long it has been heard in this epoch and yet tells of an earlier one: nothing reaches it.
	Behind time.Duration
}

// Observation is what one node knows of all, itself included.
type Observation struct {
	Self  MemberID
	Peers map[MemberID]PeerState
}

// Plan returns the view that should follow, or false if the current one should stay or nothing can be done.
func Plan(view View, seen Observation, rules Rules) (View, bool) {
	p := planner{view: &view, seen: seen, rules: rules}
	choices := [][]Member{view.Members}
	if changed, found := p.changedMembers(); found {
		choices = [][]Member{changed, view.Members}
	}
	for _, members := range choices {
		next, ok := p.viewOf(members)
		if !ok {
			continue
		}
		same := slices.Equal(identities(next.Members), identities(view.Members)) &&
			slices.Equal(next.Chain, view.Chain)
		if same && !p.epochSealed() {
			return View{}, false
		}
		return next, true
	}
	return View{}, false
}

// SealNeeded tells whether no view can follow because each possible head is gone, and one could if replicas
// that the epoch isn't open at promised never to open it.
func SealNeeded(view View, seen Observation, rules Rules) bool {
	p := planner{view: &view, seen: seen, rules: rules}
	canSeal := func(id MemberID) bool { return p.directly(id) && seen.Peers[id].EntryEpoch < view.Epoch }
	if !slices.ContainsFunc(view.Chain, canSeal) {
		return false
	}
	if _, possible := p.viewOf(view.Members); possible {
		return false
	}
	p.assumeSealed = true
	_, possible := p.viewOf(view.Members)
	return possible
}

// Disputed tells whether members differ in whom they hear, or one that is heard has not told yet in this
// epoch. A plan may then rest on old reports, and should stay the same for a while before it is proposed.
func Disputed(view View, seen Observation, rules Rules) bool {
	p := planner{view: &view, seen: seen, rules: rules}
	ids := identities(view.Members)
	for i, one := range ids {
		if !p.alive(one) {
			continue
		}
		if !p.directly(one) || !seen.Peers[one].Reports {
			return true
		}
		apart := func(other MemberID) bool { return p.alive(other) && !p.connected(one, other) }
		if slices.ContainsFunc(ids[i+1:], apart) {
			return true
		}
	}
	return false
}

// planner holds what one planning reads.
type planner struct {
	view  *View
	seen  Observation
	rules Rules
	// assumeSealed takes the epoch for sealed.
	assumeSealed bool
}

// directly tells whether this node itself hears another.
func (p *planner) directly(id MemberID) bool {
	known, found := p.seen.Peers[id]
	return found && known.Silence <= p.rules.SuspectAfter
}

// alive tells whether a member is heard by this node or by a member that this node hears.
func (p *planner) alive(id MemberID) bool {
	if p.directly(id) {
		return true
	}
	for _, reporter := range identities(p.view.Members) {
		if reporter != id && p.directly(reporter) && slices.Contains(p.seen.Peers[reporter].Hears, id) {
			return true
		}
	}
	return false
}

// connected tells whether two nodes hear each other, as far as this node knows.
func (p *planner) connected(one, other MemberID) bool {
	return p.hears(one, other) && p.hears(other, one)
}

// hears tells whether one node hears a member. Who has not told in this epoch is taken to hear all, for a
// while.
func (p *planner) hears(one, other MemberID) bool {
	if one == p.seen.Self {
		return p.directly(other)
	}
	known := p.seen.Peers[one]
	if known.Behind > p.rules.SuspectAfter {
		return false
	}
	if !p.directly(one) || !known.Reports || !p.view.isMember(other) {
		return true
	}
	return slices.Contains(known.Hears, other)
}

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
