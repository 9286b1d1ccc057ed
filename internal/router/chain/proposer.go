package chain

import (
	"slices"
	"time"
)

// phase is how far a proposal is.
type phase int

const (
	idle phase = iota
	preparing
	accepting
)

// proposing is this node's part as a proposer of the next view.
type proposing struct {
	phase  phase
	ballot Ballot
	// highest is the highest round that was seen in this instance.
	highest uint64
	value   View
	// best is the highest ballot of an accepted value among the promises, bestValue that value.
	best      Ballot
	bestValue View
	answered  []MemberID
	deadline  time.Duration
	// notBefore is when the next try may begin.
	notBefore time.Duration
	// wanted is the view that the planner wants, wantedSince since when; its epoch is 0 if it wants none.
	wanted      View
	wantedSince time.Duration
	// stuckSince is since when no view can follow; 0 if one can.
	stuckSince time.Duration
	// acceptedAt is when this node, as an acceptor, accepted a view that it hasn't heard of being decided.
	acceptedAt time.Duration
}

// rules returns the planner's settings.
func (n *Node) rules() Rules {
	return Rules{
		TargetMembers:  n.config.TargetMembers,
		RequiredCopies: n.config.RequiredCopies,
		SuspectAfter:   n.config.SuspectAfter,
		RejoinAfter:    n.config.RejoinAfter,
		ReplaceAfter:   n.config.ReplaceAfter,
	}
}

// drivePlan asks the planner and proposes what it wants when it is this node's turn. A view that was accepted
// and not decided is finished also if nobody wants it any more: while it stands, a loss among those whom it
// names, members yet or not, counts as one of a member's, and only the view behind it can replace them.
func (n *Node) drivePlan() {
	if !n.state.view.isMember(n.state.id) {
		return
	}
	p := &n.proposing
	if p.phase != idle && n.now >= p.deadline {
		n.retryLater()
	}
	seen := n.observe()
	wanted, found := Plan(n.state.view, seen, n.rules())
	if !wanted.equal(p.wanted) {
		p.wantedSince = n.now
	}
	p.wanted = wanted
	rankDelay := time.Duration(n.rank(seen)) * n.config.ProposeStagger
	unfinished := n.state.acceptor.accepted != (Ballot{}) && n.now >= p.acceptedAt+n.config.FinishAfter+rankDelay
	if unfinished && p.phase == idle && n.now >= p.notBefore && !n.stalled {
		n.prepare()
		return
	}
	if !found {
		n.driveSeal(seen)
		return
	}
	p.stuckSince = 0
	turn := p.wantedSince + rankDelay
	if Disputed(n.state.view, seen, n.rules()) {
		turn += n.config.SettleAfter
	}
	if p.phase == idle && n.now >= turn && n.now >= p.notBefore && !n.stalled {
		n.prepare()
	}
}

// driveSeal asks the replicas to give an epoch up that can't be opened or followed for long.
func (n *Node) driveSeal(seen Observation) {
	p := &n.proposing
	if !SealNeeded(n.state.view, seen, n.rules()) {
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
func (n *Node) rank(seen Observation) int {
	order := slices.Clone(n.state.view.Chain)
	for _, id := range identities(n.state.view.Members) {
		if !slices.Contains(order, id) {
			order = append(order, id)
		}
	}
	rank := 0
	for _, id := range order {
		if id == n.state.id {
			break
		}
		known := seen.Peers[id]
		if known.Silence <= n.config.SuspectAfter && !known.Unfit {
			rank++
		}
	}
	return rank
}

// prepare opens a ballot above all that were seen.
func (n *Node) prepare() {
	p := &n.proposing
	p.highest = max(p.highest, n.state.acceptor.promised.Round) + 1
	p.phase, p.ballot = preparing, Ballot{p.highest, n.state.id}
	p.best, p.bestValue, p.answered = Ballot{}, View{}, nil
	p.deadline = n.now + n.config.ProposeTimeout
	n.broadcast(Message{Kind: Prepare, Ballot: p.ballot, View: n.state.view})
}

// broadcast sends a message to all members.
func (n *Node) broadcast(m Message) {
	for _, member := range n.state.view.Members {
		n.send(member.ID, m)
	}
}

// countAnswer notes a member's answer to the current ballot and tells whether a majority has answered now.
func (n *Node) countAnswer(m *Message, expected phase) bool {
	p := &n.proposing
	if p.phase != expected || m.Ballot != p.ballot || !n.state.view.isMember(m.From) {
		return false
	}
	if !slices.Contains(p.answered, m.From) {
		p.answered = append(p.answered, m.From)
	}
	if expected == preparing && p.best.less(m.AcceptedBallot) {
		p.best, p.bestValue = m.AcceptedBallot, m.View
	}
	return len(p.answered) >= majority(n.state.view.Members)
}

// onPromise proposes a view when a majority has promised: an accepted one if there is any.
func (n *Node) onPromise(m *Message) {
	if !n.countAnswer(m, preparing) {
		return
	}
	p := &n.proposing
	p.value = p.bestValue
	if p.best == (Ballot{}) {
		next, wanted := Plan(n.state.view, n.observe(), n.rules())
		if !wanted {
			p.phase = idle
			return
		}
		p.value = next
	}
	p.phase, p.answered = accepting, nil
	p.deadline = n.now + n.config.ProposeTimeout
	n.broadcast(Message{Kind: Accept, Ballot: p.ballot, View: p.value})
}

// onAccepted decides the view when a majority has accepted it, and tells it to all.
func (n *Node) onAccepted(m *Message) {
	if !n.countAnswer(m, accepting) {
		return
	}
	old, next := n.state.view, n.proposing.value
	n.adopt(next)
	n.spread(old.Members)
}

// spread tells the view to its members, to former ones and to all other nodes that are heard.
func (n *Node) spread(former []Member) {
	told := []MemberID{n.state.id}
	tell := func(id MemberID) {
		if !slices.Contains(told, id) {
			told = append(told, id)
			n.tellView(id)
		}
	}
	for _, id := range identities(n.state.view.Members) {
		tell(id)
	}
	for _, id := range identities(former) {
		tell(id)
	}
	for _, id := range n.peerIDs() {
		tell(id)
	}
}

// onNack gives up a ballot that came too late.
func (n *Node) onNack(m *Message) {
	p := &n.proposing
	p.highest = max(p.highest, m.Ballot.Round)
	if p.phase != idle && p.ballot.less(m.Ballot) {
		n.retryLater()
	}
}

// retryLater ends a ballot and waits a random time, so that of two proposers one gets through.
func (n *Node) retryLater() {
	p := &n.proposing
	p.phase = idle
	backoff := n.config.ProposeStagger/4 + time.Duration(n.config.Random.Int63n(int64(n.config.ProposeStagger)))
	p.notBefore = n.now + backoff
}
