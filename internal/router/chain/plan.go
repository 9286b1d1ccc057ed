package chain

import (
	"slices"
	"time"
)

// PlannerConfig is the planner's configuration; see the fields of the same names in Config.
type PlannerConfig struct {
	TargetMembers    int
	RequiredReplicas int
	SuspectAfter     time.Duration
	RejoinAfter      time.Duration
	ReplaceAfter     time.Duration
}

// PeerObservation is the state of one node as another node has observed it.
type PeerObservation struct {
	Member  Member
	HasDisk bool
	// SinceLastSeen is the time since its latest message arrived; StableFor is how long its messages had arrived
	// without a gap by then.
	SinceLastSeen, StableFor time.Duration
	// Degraded means that it is draining or stalled, see Message; Draining means that it is draining but not
	// stalled. DegradedFor is how long it has been degraded; a node doesn't measure it for its own stall.
	Degraded, Draining bool
	DegradedFor        time.Duration
	// EntryEpoch is the latest epoch in which it accepted an entry.
	EntryEpoch uint64
	// Sealed means that it has promised never to open the current epoch.
	Sealed bool
	// ReportedInEpoch means that its latest heartbeat is of the current epoch; ReceivesFrom are the members
	// that the heartbeat names as those from which it receives.
	ReportedInEpoch bool
	ReceivesFrom    []MemberID
	// StaleEpochFor is how long the current epoch has lasted while its latest heartbeat is still of an earlier
	// one, which means that no message reaches it; 0 if its latest heartbeat is not of an earlier epoch.
	StaleEpochFor time.Duration
}

// Observation is what the node Self has observed of all nodes. Peers includes Self and all members of its
// view.
type Observation struct {
	Self  MemberID
	Peers map[MemberID]PeerObservation
}

// Plan returns the view that should follow the given one, or false if the given one should stay or no view
// can follow it. It is a pure function: members with the same observation plan the same view.
func Plan(view View, observed Observation, config PlannerConfig) (View, bool) {
	p := planner{view: &view, observed: observed, config: config}
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

// SealNeeded reports whether no view can follow the given one for lack of a possible head, but one could if a
// replica at which the epoch isn't open promised never to open it.
func SealNeeded(view View, observed Observation, config PlannerConfig) bool {
	p := planner{view: &view, observed: observed, config: config}
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

// ReportsInconclusive reports whether the observation of the live members is contradictory or incomplete: two
// of them don't receive from each other, or one has not been seen by this node or has not reported in this
// epoch. A plan may then be based on outdated reports, and should be proposed only after it has been
// unchanged for Config.StabilizationDelay.
func ReportsInconclusive(view View, observed Observation, config PlannerConfig) bool {
	p := planner{view: &view, observed: observed, config: config}
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

// planner holds the inputs of one call of Plan, SealNeeded or ReportsInconclusive.
type planner struct {
	view     *View
	observed Observation
	config   PlannerConfig
	// assumeSealed makes the planner treat the epoch as sealed, to find out whether sealing it would help.
	assumeSealed bool
}

// seenDirectly reports whether this node itself has received from another one within SuspectAfter.
func (p *planner) seenDirectly(id MemberID) bool {
	peer, ok := p.observed.Peers[id]
	return ok && peer.SinceLastSeen <= p.config.SuspectAfter
}

// alive reports whether this node, or a member that this node has seen, has received from a node within
// SuspectAfter.
func (p *planner) alive(id MemberID) bool {
	if p.seenDirectly(id) {
		return true
	}
	return slices.ContainsFunc(memberIDs(p.view.Members), func(reporter MemberID) bool {
		return reporter != id && p.seenDirectly(reporter) &&
			slices.Contains(p.observed.Peers[reporter].ReceivesFrom, id)
	})
}

// connected reports whether, as far as this node knows, two nodes receive from each other.
func (p *planner) connected(a, b MemberID) bool {
	return p.receivesFrom(a, b) && p.receivesFrom(b, a)
}

// receivesFrom reports whether one node receives from another. A receiver that this node has not seen, or
// that has not reported in this epoch, is assumed to receive from all nodes. But once its heartbeats have
// been of an earlier epoch for longer than SuspectAfter, it is taken to receive from none.
func (p *planner) receivesFrom(receiver, sender MemberID) bool {
	if receiver == p.observed.Self {
		return p.seenDirectly(sender)
	}
	peer := p.observed.Peers[receiver]
	if peer.StaleEpochFor > p.config.SuspectAfter {
		return false
	}
	if !p.seenDirectly(receiver) || !peer.ReportedInEpoch || !p.view.isMember(sender) {
		return true
	}
	return slices.Contains(peer.ReceivesFrom, sender)
}
