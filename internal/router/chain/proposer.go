package chain

import (
	"slices"
	"time"
)

// proposerPhase is how far a proposal is.
type proposerPhase int

const (
	idle proposerPhase = iota
	preparing
	accepting
)

// proposerState is this node's part as a proposer of the next view.
type proposerState struct {
	phase  proposerPhase
	number ProposalNumber
	// maxCounter is the highest round that was seen in this instance.
	maxCounter uint64
	view       View
	// highestAccepted is the highest ballot of an accepted value among the promises, highestAcceptedView that
	// value.
	highestAccepted     ProposalNumber
	highestAcceptedView View
	replied             []MemberID
	deadline            time.Duration
	// backoffUntil is when the next try may begin.
	backoffUntil time.Duration
	// planned is the view that the planner wants, plannedSince since when; its epoch is 0 if it wants none.
	planned      View
	plannedSince time.Duration
	// stuckSince is since when no view can follow; 0 if one can.
	stuckSince time.Duration
	// acceptedAt is when this node, as an acceptor, accepted a view that it hasn't heard of being decided.
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

// tickViewChange asks the planner and proposes what it wants when it is this node's turn. A view that was
// accepted and not decided is finished also if nobody wants it any more: while it stands, a loss among those
// whom it names, members yet or not, counts as one of a member's, and only the view behind it can replace
// them.
func (n *Node) tickViewChange() {
	if !n.state.view.isMember(n.state.id) {
		return
	}
	p := &n.proposer
	if p.phase != idle && n.now >= p.deadline {
		n.backOff()
	}
	observation := n.observe()
	planned, ok := Plan(n.state.view, observation, n.rules())
	if !planned.equal(p.planned) {
		p.plannedSince = n.now
	}
	p.planned = planned
	rankDelay := time.Duration(n.rank(observation)) * n.config.ProposeStagger
	unfinished := n.state.acceptor.accepted != (ProposalNumber{}) &&
		n.now >= p.acceptedAt+n.config.ReproposeAfter+rankDelay
	if unfinished && p.phase == idle && n.now >= p.backoffUntil && !n.stalled {
		n.prepare()
		return
	}
	if !ok {
		n.tickSeal(observation)
		return
	}
	p.stuckSince = 0
	proposeAt := p.plannedSince + rankDelay
	if Disputed(n.state.view, observation, n.rules()) {
		proposeAt += n.config.StabilizationDelay
	}
	if p.phase == idle && n.now >= proposeAt && n.now >= p.backoffUntil && !n.stalled {
		n.prepare()
	}
}

// tickSeal asks the replicas to give an epoch up that can't be opened or followed for long.
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

// rank returns how many members propose before this one: the chain in its order, then the others.
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

// prepare opens a ballot above all that were seen.
func (n *Node) prepare() {
	p := &n.proposer
	p.maxCounter = max(p.maxCounter, n.state.acceptor.promised.Counter) + 1
	p.phase, p.number = preparing, ProposalNumber{p.maxCounter, n.state.id}
	p.highestAccepted, p.highestAcceptedView, p.replied = ProposalNumber{}, View{}, nil
	p.deadline = n.now + n.config.ProposeTimeout
	n.broadcast(Message{Kind: Prepare, ProposalNumber: p.number, View: n.state.view})
}

// broadcast sends a message to all members.
func (n *Node) broadcast(m Message) {
	for _, member := range n.state.view.Members {
		n.send(member.ID, m)
	}
}

// countReply notes a member's answer to the current ballot and tells whether a majority has answered now.
func (n *Node) countReply(m *Message, expected proposerPhase) bool {
	p := &n.proposer
	if p.phase != expected || m.ProposalNumber != p.number || !n.state.view.isMember(m.From) {
		return false
	}
	if !slices.Contains(p.replied, m.From) {
		p.replied = append(p.replied, m.From)
	}
	if expected == preparing && p.highestAccepted.less(m.AcceptedNumber) {
		p.highestAccepted, p.highestAcceptedView = m.AcceptedNumber, m.View
	}
	return len(p.replied) >= majority(n.state.view.Members)
}

// onPrepareReply proposes a view when a majority has promised: an accepted one if there is any.
func (n *Node) onPrepareReply(m *Message) {
	if !n.countReply(m, preparing) {
		return
	}
	p := &n.proposer
	p.view = p.highestAcceptedView
	if p.highestAccepted == (ProposalNumber{}) {
		next, ok := Plan(n.state.view, n.observe(), n.rules())
		if !ok {
			p.phase = idle
			return
		}
		p.view = next
	}
	p.phase, p.replied = accepting, nil
	p.deadline = n.now + n.config.ProposeTimeout
	n.broadcast(Message{Kind: Accept, ProposalNumber: p.number, View: p.view})
}

// onAcceptReply decides the view when a majority has accepted it, and tells it to all.
func (n *Node) onAcceptReply(m *Message) {
	if !n.countReply(m, accepting) {
		return
	}
	old, next := n.state.view, n.proposer.view
	n.adopt(next)
	n.broadcastView(old.Members)
}

// broadcastView tells the view to its members, to former ones and to all other nodes that are heard.
func (n *Node) broadcastView(former []Member) {
	notified := []MemberID{n.state.id}
	notify := func(id MemberID) {
		if !slices.Contains(notified, id) {
			notified = append(notified, id)
			n.sendView(id)
		}
	}
	for _, id := range memberIDs(n.state.view.Members) {
		notify(id)
	}
	for _, id := range memberIDs(former) {
		notify(id)
	}
	for _, id := range n.peerIDs() {
		notify(id)
	}
}

// onNack gives up a ballot that came too late.
func (n *Node) onNack(m *Message) {
	p := &n.proposer
	p.maxCounter = max(p.maxCounter, m.ProposalNumber.Counter)
	if p.phase != idle && p.number.less(m.ProposalNumber) {
		n.backOff()
	}
}

// backOff ends a ballot and waits a random time, so that of two proposers one gets through.
func (n *Node) backOff() {
	p := &n.proposer
	p.phase = idle
	backoff := n.config.ProposeStagger/4 + time.Duration(n.config.Random.Int63n(int64(n.config.ProposeStagger)))
	p.backoffUntil = n.now + backoff
}
