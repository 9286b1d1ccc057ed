package chain

import (
	"slices"
	"time"
)

// Rules are the planner's settings.
type Rules struct {
	TargetMembers    int
	RequiredReplicas int
	SuspectAfter     time.Duration
	RejoinAfter      time.Duration
	ReplaceAfter     time.Duration
}

// PeerObservation is what one node knows of a node.
type PeerObservation struct {
	Member  Member
	HasDisk bool
	// SinceLastSeen is the time since it was last heard, Steady how long it had been heard without a gap then.
	SinceLastSeen, StableFor time.Duration
	// Degraded says that it leaves or that its disk fails, DegradedFor since how long; Leaving tells the two
	// apart.
	Degraded, Draining bool
	DegradedFor        time.Duration
	// EntryEpoch is the epoch in which it last accepted an entry.
	EntryEpoch uint64
	// Sealed says that it has promised not to open the current epoch.
	Sealed bool
	// ReceivesFrom are the members that it hears; Reports says that it has told in the current epoch.
	ReportedInEpoch bool
	ReceivesFrom    []MemberID
	// BehindFor is how long it has been heard in this epoch and yet tells of an earlier one: nothing reaches it.
	BehindFor time.Duration
}

// Observation is what one node knows of all, itself included.
type Observation struct {
	Self  MemberID
	Peers map[MemberID]PeerObservation
}

// Plan returns the view that should follow, or false if the current one should stay or nothing can be done.
func Plan(view View, observed Observation, rules Rules) (View, bool) {
	p := planner{view: &view, observed: observed, rules: rules}
	choices := [][]Member{view.Members}
	if changed, ok := p.changedMembers(); ok {
		choices = [][]Member{changed, view.Members}
	}
	for _, members := range choices {
		next, ok := p.nextView(members)
		if !ok {
			continue
		}
		same := slices.Equal(memberIDs(next.Members), memberIDs(view.Members)) &&
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
func SealNeeded(view View, observed Observation, rules Rules) bool {
	p := planner{view: &view, observed: observed, rules: rules}
	canSeal := func(id MemberID) bool { return p.seenDirectly(id) && observed.Peers[id].EntryEpoch < view.Epoch }
	if !slices.ContainsFunc(view.Chain, canSeal) {
		return false
	}
	if _, possible := p.nextView(view.Members); possible {
		return false
	}
	p.assumeSealed = true
	_, possible := p.nextView(view.Members)
	return possible
}

// Disputed tells whether members differ in whom they hear, or one that is heard has not told yet in this
// epoch. A plan may then rest on old reports, and should stay the same for a while before it is proposed.
func Disputed(view View, observed Observation, rules Rules) bool {
	p := planner{view: &view, observed: observed, rules: rules}
	ids := memberIDs(view.Members)
	for i, reporter := range ids {
		if !p.alive(reporter) {
			continue
		}
		if !p.seenDirectly(reporter) || !observed.Peers[reporter].ReportedInEpoch {
			return true
		}
		disconnected := func(other MemberID) bool { return p.alive(other) && !p.connected(reporter, other) }
		if slices.ContainsFunc(ids[i+1:], disconnected) {
			return true
		}
	}
	return false
}

// planner holds what one planning reads.
type planner struct {
	view     *View
	observed Observation
	rules    Rules
	// assumeSealed takes the epoch for sealed.
	assumeSealed bool
}

// seenDirectly tells whether this node itself hears another.
func (p *planner) seenDirectly(id MemberID) bool {
	peer, ok := p.observed.Peers[id]
	return ok && peer.SinceLastSeen <= p.rules.SuspectAfter
}

// alive tells whether a member is heard by this node or by a member that this node hears.
func (p *planner) alive(id MemberID) bool {
	if p.seenDirectly(id) {
		return true
	}
	for _, reporter := range memberIDs(p.view.Members) {
		if reporter != id && p.seenDirectly(reporter) && slices.Contains(p.observed.Peers[reporter].ReceivesFrom,
			id) {
			return true
		}
	}
	return false
}

// connected tells whether two nodes hear each other, as far as this node knows.
func (p *planner) connected(a, b MemberID) bool {
	return p.receivesFrom(a, b) && p.receivesFrom(b, a)
}

// receivesFrom tells whether one node hears a member. Who has not told in this epoch is taken to hear all,
// for a while.
func (p *planner) receivesFrom(receiver, sender MemberID) bool {
	if receiver == p.observed.Self {
		return p.seenDirectly(sender)
	}
	peer := p.observed.Peers[receiver]
	if peer.BehindFor > p.rules.SuspectAfter {
		return false
	}
	if !p.seenDirectly(receiver) || !peer.ReportedInEpoch || !p.view.isMember(sender) {
		return true
	}
	return slices.Contains(peer.ReceivesFrom, sender)
}
