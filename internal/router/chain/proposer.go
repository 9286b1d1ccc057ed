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

// proposerState is the state of the Paxos proposer for the successor of the current view. It is volatile.
type proposerState struct {
	phase  proposerPhase
	number ProposalNumber
	// maxCounter is the highest counter that was observed in this instance.
	maxCounter uint64
	// view is what is proposed.
	view View
	// highestAccepted is the highest number of an accepted proposal among the replies to Prepare, and
	// highestAcceptedView its view.
	highestAccepted     ProposalNumber
	highestAcceptedView View
	// replied are the members that have replied in the current phase, which ends at the deadline.
	replied  []MemberID
	deadline time.Duration
	// backoffUntil is when the next proposal may begin.
	backoffUntil time.Duration
	// planned is the result of the planner, unchanged since plannedSince; its epoch is 0 if there is none.
	planned      View
	plannedSince time.Duration
	// stuckSince is since when no view can follow unless the epoch is sealed; 0 if one can.
	stuckSince time.Duration
	// acceptedAt is when this node, as an acceptor, accepted a view of whose decision it has not learnt.
	acceptedAt time.Duration
}

// rules returns the planner's settings.
func (n *Node) rules() Rules {
	return Rules{
		TargetMembers:    n.config.TargetMembers,
		RequiredReplicas: n.config.RequiredReplicas,
		SuspectAfter:     n.config.SuspectAfter,
		RejoinAfter:      n.config.RejoinAfter,
		ReplaceAfter:     n.config.ReplaceAfter,
	}
}

// tickViewChange runs the planner and proposes its result when it is this node's turn.
//
// A view that was accepted and not decided is proposed again even if no planner wants it any more. As long
// as it may still be decided, the loss of any node that it names counts like the loss of a member, and only
// a view after it can replace that node.
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

// updatePlan runs the planner and reports whether another view should follow.
func (n *Node) updatePlan(observation Observation) bool {
	planned, ok := Plan(n.state.view, observation, n.rules())
	if !planned.equal(n.proposer.planned) {
		n.proposer.plannedSince = n.now
	}
	n.proposer.planned = planned
	return ok
}

// proposeAt returns when this node may propose the planned view.
func (n *Node) proposeAt(observation Observation, rankDelay time.Duration) time.Duration {
	at := n.proposer.plannedSince + rankDelay
	if Disputed(n.state.view, observation, n.rules()) {
		at += n.config.StabilizationDelay
	}
	return at
}

// mayPropose reports whether this node may start a proposal now.
func (n *Node) mayPropose() bool {
	return n.proposer.phase == phaseIdle && n.now >= n.proposer.backoffUntil && !n.diskFailing
}

// decisionOverdue reports whether this node has accepted a view and not learnt of a decision for too long.
func (n *Node) decisionOverdue(rankDelay time.Duration) bool {
	return n.state.acceptor.accepted != (ProposalNumber{}) &&
		n.now >= n.proposer.acceptedAt+n.config.ReproposeAfter+rankDelay
}

// tickSeal asks the replicas to seal an epoch that could neither be opened nor followed by another one for
// Config.SealAfter.
func (n *Node) tickSeal(observation Observation) {
	p := &n.proposer
	if !SealNeeded(n.state.view, observation, n.rules()) {
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

// rank returns how many live members propose before this one: the chain in its order, then the others.
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

// prepare starts phase 1 of a proposal with a number above all that were observed.
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

// countReply counts a member's reply to the current proposal and reports whether a majority has replied.
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

// onPrepareReply proposes a view once a majority has promised: the accepted one of the highest number if
// there is any, else what the planner wants.
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

// viewToPropose returns the view for phase 2, or false if the planner wants none any more. By Paxos an
// accepted view, which may be decided already, takes precedence over the own choice.
func (n *Node) viewToPropose() (View, bool) {
	if n.proposer.highestAccepted != (ProposalNumber{}) {
		return n.proposer.highestAcceptedView, true
	}
	return Plan(n.state.view, n.observe(), n.rules())
}

// propose starts phase 2 of the proposal.
func (n *Node) propose(view View) {
	p := &n.proposer
	p.phase, p.view, p.replied = phaseAccepting, view, nil
	p.deadline = n.now + n.config.ProposeTimeout
	n.broadcast(Message{Kind: Accept, ProposalNumber: p.number, View: p.view})
}

// onAcceptReply decides the view once a majority has accepted it.
func (n *Node) onAcceptReply(m *Message) {
	if !n.countReply(m, phaseAccepting) {
		return
	}
	old, next := n.state.view, n.proposer.view
	n.adopt(next)
	n.broadcastView(old.Members)
}

// broadcastView sends the view to its members, to former ones and to all other known nodes.
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

// onNack abandons a proposal whose number is too low.
func (n *Node) onNack(m *Message) {
	p := &n.proposer
	p.maxCounter = max(p.maxCounter, m.ProposalNumber.Counter)
	if p.phase != phaseIdle && p.number.less(m.ProposalNumber) {
		n.backOff()
	}
}

// backOff ends a proposal and waits a random time, so that one of two dueling proposers gets through.
func (n *Node) backOff() {
	p := &n.proposer
	p.phase = phaseIdle
	backoff := n.config.ProposeStagger/4 + time.Duration(n.config.Random.Int63n(int64(n.config.ProposeStagger)))
	p.backoffUntil = n.now + backoff
}
