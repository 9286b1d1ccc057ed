package chain

import (
	"slices"
	"time"
)

// proposerPhase is the phase of a Paxos proposal.
type proposerPhase int

// The phases: idle, then preparing (Paxos phase 1), then accepting (phase 2), then a decision or idle again.
const (
	phaseIdle      proposerPhase = iota
	phasePreparing               // waits for a majority of PrepareReply
	phaseAccepting               // waits for a majority of AcceptReply
)

// proposerState is the volatile state of the Paxos proposer of a successor to the current view.
type proposerState struct {
	phase  proposerPhase
	number ProposalNumber
	// maxCounter is the highest counter of a proposal number that was observed in this Paxos instance.
	maxCounter uint64
	// view is the proposed view.
	view View
	// highestAccepted is the highest number of an accepted proposal among the replies to Prepare;
	// highestAcceptedView is its view.
	highestAccepted     ProposalNumber
	highestAcceptedView View
	// replied are the members that have replied in the current phase, which times out at the deadline.
	replied  []MemberID
	deadline time.Duration
	// backoffUntil is the earliest time at which the next proposal may begin.
	backoffUntil time.Duration
	// planned is the planner's latest result, unchanged since plannedSince; its epoch is 0 if the planner wants
	// no view.
	planned      View
	plannedSince time.Duration
	// stuckSince is when it was first found that no view can follow unless the epoch is sealed, or when sealing
	// was last requested; 0 if sealing is not needed.
	stuckSince time.Duration
	// acceptedAt is when this node, as an acceptor, last accepted a view; before that, when the epoch started.
	acceptedAt time.Duration
}

// plannerConfig returns the planner's configuration.
func (n *Node) plannerConfig() PlannerConfig {
	return PlannerConfig{
		TargetMembers:    n.config.TargetMembers,
		RequiredReplicas: n.config.RequiredReplicas,
		SuspectAfter:     n.config.SuspectAfter,
		RejoinAfter:      n.config.RejoinAfter,
		ReplaceAfter:     n.config.ReplaceAfter,
	}
}

// tickViewChange runs the planner and proposes its result when it is this node's turn.
//
// A view that was accepted but not decided is proposed again even if no member's planner wants it any more.
// As long as it may still be decided, the loss of any node in it counts like the loss of a member, and only a
// view after it can replace that node.
func (n *Node) tickViewChange() {
	if !n.state.view.isMember(n.state.id) {
		return
	}
	if n.proposer.phase != phaseIdle && n.now >= n.proposer.deadline {
		n.backOff()
	}
	observation := n.observe()
	ok := n.updatePlan(observation)
	rankDelay := time.Duration(n.rank(observation)) * n.config.ProposeStagger
	if n.decisionOverdue(rankDelay) && n.mayPropose() {
		n.prepare()
		return
	}
	if !ok {
		n.tickSeal(observation)
		return
	}
	n.proposer.stuckSince = 0
	if n.now >= n.proposeAt(observation, rankDelay) && n.mayPropose() {
		n.prepare()
	}
}

// updatePlan runs the planner, stores its result and reports whether another view should follow.
func (n *Node) updatePlan(observation Observation) bool {
	planned, ok := Plan(n.state.view, observation, n.plannerConfig())
	if !planned.equal(n.proposer.planned) {
		n.proposer.plannedSince = n.now
	}
	n.proposer.planned = planned
	return ok
}

// proposeAt returns the earliest time at which this node may propose the planned view.
func (n *Node) proposeAt(observation Observation, rankDelay time.Duration) time.Duration {
	at := n.proposer.plannedSince + rankDelay
	if ReportsInconclusive(n.state.view, observation, n.plannerConfig()) {
		at += n.config.StabilizationDelay
	}
	return at
}

// mayPropose reports whether this node may start a proposal now: it runs no proposal, its backoff has passed
// and its disk is not failing.
func (n *Node) mayPropose() bool {
	return n.proposer.phase == phaseIdle && n.now >= n.proposer.backoffUntil && !n.diskFailing
}

// decisionOverdue reports whether this node has accepted a view and not learned of a decision within
// Config.ReproposeAfter plus its rank delay.
func (n *Node) decisionOverdue(rankDelay time.Duration) bool {
	return n.state.acceptor.accepted != (ProposalNumber{}) &&
		n.now >= n.proposer.acceptedAt+n.config.ReproposeAfter+rankDelay
}

// tickSeal asks the replicas to seal the epoch if, for Config.SealAfter, no view could follow it without
// that.
func (n *Node) tickSeal(observation Observation) {
	p := &n.proposer
	if !SealNeeded(n.state.view, observation, n.plannerConfig()) {
		p.stuckSince = 0
		return
	}
	if p.stuckSince == 0 {
		p.stuckSince = n.now
	}
	if n.now-p.stuckSince < n.config.SealAfter {
		return
	}
	p.stuckSince = n.now
	for _, id := range n.state.view.Chain {
		n.send(id, Message{Kind: Seal})
	}
}

// rank returns how many healthy live members propose before this one. Replicas propose in the order of the
// chain, then the other members.
func (n *Node) rank(observation Observation) int {
	order := slices.Clone(n.state.view.Chain)
	for _, id := range memberIDs(n.state.view.Members) {
		if !slices.Contains(order, id) {
			order = append(order, id)
		}
	}
	rank := 0
	for _, id := range order {
		if id == n.state.id {
			break
		}
		peer := observation.Peers[id]
		if peer.SinceLastSeen <= n.config.SuspectAfter && !peer.Degraded {
			rank++
		}
	}
	return rank
}

// prepare starts phase 1 of a proposal with a number above all numbers observed.
func (n *Node) prepare() {
	p := &n.proposer
	p.maxCounter = max(p.maxCounter, n.state.acceptor.promised.Counter) + 1
	p.phase, p.number = phasePreparing, ProposalNumber{p.maxCounter, n.state.id}
	p.highestAccepted, p.highestAcceptedView, p.replied = ProposalNumber{}, View{}, nil
	p.deadline = n.now + n.config.ProposeTimeout
	n.broadcast(Message{Kind: Prepare, ProposalNumber: p.number, View: n.state.view})
}

// broadcast sends a message to all members, this node included.
func (n *Node) broadcast(m Message) {
	for _, member := range n.state.view.Members {
		n.send(member.ID, m)
	}
}

// countReply counts a member's reply in the expected phase of the current proposal and reports whether a
// majority has replied.
func (n *Node) countReply(m *Message, expected proposerPhase) bool {
	p := &n.proposer
	if p.phase != expected || m.ProposalNumber != p.number || !n.state.view.isMember(m.From) {
		return false
	}
	if !slices.Contains(p.replied, m.From) {
		p.replied = append(p.replied, m.From)
	}
	if expected == phasePreparing && p.highestAccepted.less(m.AcceptedNumber) {
		p.highestAccepted, p.highestAcceptedView = m.AcceptedNumber, m.View
	}
	return len(p.replied) >= majority(n.state.view.Members)
}

// onPrepareReply proposes a view once a majority has promised: the accepted view with the highest number if
// there is any, otherwise the one that the planner wants.
func (n *Node) onPrepareReply(m *Message) {
	if !n.countReply(m, phasePreparing) {
		return
	}
	view, ok := n.viewToPropose()
	if !ok {
		n.proposer.phase = phaseIdle
		return
	}
	n.propose(view)
}

// viewToPropose returns the view for phase 2, or false if the planner no longer wants any. By the rules of
// Paxos, an accepted view, which may be decided already, takes precedence over this node's own choice.
func (n *Node) viewToPropose() (View, bool) {
	if n.proposer.highestAccepted != (ProposalNumber{}) {
		return n.proposer.highestAcceptedView, true
	}
	return Plan(n.state.view, n.observe(), n.plannerConfig())
}

// propose starts phase 2 of the proposal.
func (n *Node) propose(view View) {
	p := &n.proposer
	p.phase, p.view, p.replied = phaseAccepting, view, nil
	p.deadline = n.now + n.config.ProposeTimeout
	n.broadcast(Message{Kind: Accept, ProposalNumber: p.number, View: p.view})
}

// onAcceptReply adopts and announces the proposed view once a majority has accepted it, which decides it.
func (n *Node) onAcceptReply(m *Message) {
	if !n.countReply(m, phaseAccepting) {
		return
	}
	old, next := n.state.view, n.proposer.view
	n.adopt(next)
	n.broadcastView(old.Members)
}

// broadcastView sends the view to its members, to former members and to all other known nodes.
func (n *Node) broadcastView(former []Member) {
	notified := []MemberID{n.state.id}
	for _, id := range slices.Concat(
		memberIDs(n.state.view.Members), memberIDs(former), sortedKeys(n.peers),
	) {
		if !slices.Contains(notified, id) {
			notified = append(notified, id)
			n.sendView(id)
		}
	}
}

// onNack abandons the current proposal if its number is below the promised one in the message.
func (n *Node) onNack(m *Message) {
	p := &n.proposer
	p.maxCounter = max(p.maxCounter, m.ProposalNumber.Counter)
	if p.phase != phaseIdle && p.number.less(m.ProposalNumber) {
		n.backOff()
	}
}

// backOff abandons the current proposal and delays the next one by a random time, so that one of two dueling
// proposers succeeds.
func (n *Node) backOff() {
	p := &n.proposer
	p.phase = phaseIdle
	backoff := n.config.ProposeStagger/4 + time.Duration(n.config.Random.Int63n(int64(n.config.ProposeStagger)))
	p.backoffUntil = n.now + backoff
}
