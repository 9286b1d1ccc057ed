package chain

import (
	"slices"
	"time"
)

// Rules are the planner's settings, see Config.
type Rules struct {
	TargetMembers    int
	RequiredReplicas int
	SuspectAfter     time.Duration
	RejoinAfter      time.Duration
	ReplaceAfter     time.Duration
}

// PeerObservation is the state of one node as another one has observed it.
type PeerObservation struct {
	Member  Member
	HasDisk bool
	// SinceLastSeen is the time since its latest message; StableFor is how long its messages had arrived without
	// a gap by then.
	SinceLastSeen, StableFor time.Duration
	// Degraded says that it drains or that its disk fails, DegradedFor for how long; Draining distinguishes the
	// two.
	Degraded, Draining bool
	DegradedFor        time.Duration
	// EntryEpoch is the latest epoch in which it accepted an entry.
	EntryEpoch uint64
	// Sealed says that it has promised never to open the current epoch.
	Sealed bool
	// ReportedInEpoch says that it has sent a heartbeat in the current epoch; ReceivesFrom are the members
	// that it named there.
	ReportedInEpoch bool
	ReceivesFrom    []MemberID
	// BehindFor is how long it has sent heartbeats of an earlier epoch in the current one: nothing reaches it.
	BehindFor time.Duration
}

// Observation is what one node has observed of all nodes. Itself and all members of its view are among Peers.
type Observation struct {
	Self  MemberID
	Peers map[MemberID]PeerObservation
}

// Plan returns the view that should follow, or false if the current one should stay or none can follow. It
// is a pure function: members with the same observation plan the same view.
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

// SealNeeded reports whether no view can follow for lack of a possible head, and one could if replicas at
// which the epoch isn't open promised never to open it.
func SealNeeded(view View, observed Observation, rules Rules) bool {
	p := planner{view: &view, observed: observed, rules: rules}
	canSeal := func(id MemberID) bool {
		return p.seenDirectly(id) && observed.Peers[id].EntryEpoch < view.Epoch
	}
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

// Disputed reports whether two live members don't receive from each other, or a live one has not reported in
// this epoch. A plan may then rest on outdated reports, and should be proposed only after it has been stable
// for Config.StabilizationDelay.
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

// planner holds the inputs of one run of Plan or of the predicates beside it.
type planner struct {
	view     *View
	observed Observation
	rules    Rules
	// assumeSealed treats the epoch as sealed, to learn whether sealing it would help.
	assumeSealed bool
}

// seenDirectly reports whether this node itself has seen another one within SuspectAfter.
func (p *planner) seenDirectly(id MemberID) bool {
	peer, ok := p.observed.Peers[id]
	return ok && peer.SinceLastSeen <= p.rules.SuspectAfter
}

// alive reports whether a node was seen by this node, or by a member that this node has seen.
func (p *planner) alive(id MemberID) bool {
	if p.seenDirectly(id) {
		return true
	}
	return slices.ContainsFunc(memberIDs(p.view.Members), func(reporter MemberID) bool {
		return reporter != id && p.seenDirectly(reporter) &&
			slices.Contains(p.observed.Peers[reporter].ReceivesFrom, id)
	})
}

// connected reports whether two nodes receive from each other, as far as this node knows.
func (p *planner) connected(a, b MemberID) bool {
	return p.receivesFrom(a, b) && p.receivesFrom(b, a)
}

// receivesFrom reports whether one node receives from another. A receiver that has not reported in this epoch
// is assumed, for SuspectAfter, to receive from all.
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
