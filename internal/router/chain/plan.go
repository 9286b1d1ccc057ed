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
