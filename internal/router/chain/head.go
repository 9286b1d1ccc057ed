package chain

import (
	"slices"
	"time"

	"cresshub/internal/invariant"
)

// headRole is what a node keeps as the head of one epoch.
type headRole struct {
	// open says that the epoch is open.
	open bool
	// pending says that the held entry is a write that is not committed; waiters want its outcome.
	pending bool
	waiters []request
	sentAt  time.Duration
	// queuedWrites wait for the pending one.
	queuedWrites []request
	// queuedReads wait for the next marker, markedReads for the one under way. Both may hold writes that seem to
	// be refused: that is certain only once the chain has confirmed that this node is still its head.
	queuedReads, markedReads []request
	marker                   uint64
	markerSentAt             time.Duration
}

// request is a read or a write that waits at the head.
type request struct {
	from          MemberID
	id            uint64
	read          bool
	confirm       bool   // asks whether a change was committed, and writes nothing
	knownSequence uint64 // the sequence of the entry that a reader holds
	proposal      Proposal
	digest        Digest
	deadline      time.Duration
}

// isHead tells whether this node is the head of the view it knows.
func (n *Node) isHead() bool {
	return n.state.view.Epoch > 0 && n.state.view.head() == n.state.id
}

// dropHeadRole answers everyone who waits at this node as the head of the epoch that ends.
func (n *Node) dropHeadRole() {
	for _, waiting := range n.head.requests() {
		n.answer(*waiting, Unavailable)
	}
	n.head = headRole{marker: n.config.Random.Uint64()}
}

// requests returns every request that waits.
func (h *headRole) requests() []*request {
	var all []*request
	for _, queue := range [][]request{h.waiters, h.queuedWrites, h.queuedReads, h.markedReads} {
		for i := range queue {
			all = append(all, &queue[i])
		}
	}
	return all
}

// openEpoch sends the held entry down the chain, as the first of the epoch or once more.
func (n *Node) openEpoch() {
	if n.state.accepted.Epoch != n.state.view.Epoch {
		n.state.accepted.Epoch = n.state.view.Epoch
		n.changed[recordPosition] = true
	}
	n.head.sentAt = n.now
	n.repropagate()
}

// resend sends again what was not acknowledged for a while.
func (n *Node) resend() {
	h := &n.head
	if !n.isHead() {
		return
	}
	if (!h.open || h.pending) && n.now-h.sentAt >= n.config.ResendAfter {
		n.openEpoch()
	}
	if len(h.markedReads) > 0 && n.now-h.markerSentAt >= n.config.ResendAfter {
		n.sendMarker()
	}
}

// onAck opens the epoch or commits the pending write.
func (n *Node) onAck(m *Message) {
	if !n.isHead() || m.From != n.state.view.tail() || m.Sequence != n.state.accepted.Sequence {
		return
	}
	n.commitPending()
	n.advance()
}

// commitPending notes that the whole chain holds the entry.
func (n *Node) commitPending() {
	h := &n.head
	if h.open && !h.pending {
		return
	}
	h.open, h.pending = true, false
	if !n.enoughReplicas() {
		return
	}
	replicas, members := len(n.state.view.Chain), len(n.state.view.Members)
	invariant.Assert(2*replicas > members, invariant.EnoughReplicas,
		"an entry is committed by %d of %d members", replicas, members)
	n.setCommitted()
	for _, id := range n.state.view.Chain[1:] {
		n.send(id, Message{Kind: Commit, Sequence: n.state.accepted.Sequence})
	}
	for _, waiting := range h.waiters {
		n.answer(waiting, Applied)
	}
	h.waiters = nil
}

// addWrite takes a proposal at the head.
func (n *Node) addWrite(r request) {
	h := &n.head
	switch {
	case r.proposal.Version <= r.proposal.Expected:
		n.answer(r, Invalid)
	case !n.enoughReplicas() || n.stalled || len(h.requests()) >= n.config.QueueLimit:
		n.answer(r, Unavailable)
	case h.pending && n.isAccepted(r):
		h.waiters = append(h.waiters, r)
	default:
		h.queuedWrites = append(h.queuedWrites, r)
		n.advance()
	}
}

// isAccepted tells whether the held entry is the one that a proposal asks for.
func (n *Node) isAccepted(r request) bool {
	return n.state.accepted.Version == r.proposal.Version && n.state.accepted.digest == r.digest
}

// advance does what the head can do now: the next write, the next marker.
func (n *Node) advance() {
	h := &n.head
	if !h.open {
		return
	}
	for !h.pending && len(h.queuedWrites) > 0 {
		next := h.queuedWrites[0]
		h.queuedWrites = h.queuedWrites[1:]
		if !next.confirm && n.state.accepted.Version == next.proposal.Expected {
			n.startWrite(next)
		} else {
			h.queuedReads = append(h.queuedReads, next)
		}
	}
	if len(h.markedReads) == 0 && len(h.queuedReads) > 0 {
		h.markedReads, h.queuedReads = h.queuedReads, nil
		h.marker++
		n.sendMarker()
	}
}

// startWrite takes a proposal as the next entry and sends it down the chain.
func (n *Node) startWrite(r request) {
	h := &n.head
	h.pending, h.sentAt = true, n.now
	h.waiters = append(h.waiters, r)
	next := Entry{n.state.view.Epoch, n.state.accepted.Sequence + 1, r.proposal.Version, r.proposal.Body}
	n.acceptSuccessor(next, r.digest)
	n.propagate(r.from, r.id)
}

// sendMarker sends the marker of the batch in flight down the chain.
func (n *Node) sendMarker() {
	n.head.markerSentAt = n.now
	if next := n.state.view.successor(n.state.id); next != "" {
		n.send(next, Message{Kind: Marker, Marker: n.head.marker})
		return
	}
	n.send(n.state.id, Message{Kind: MarkerReply, Marker: n.head.marker, Sequence: n.state.accepted.Sequence})
}

// onMarkerReply answers the batch: the chain was in this epoch after the batch was complete.
func (n *Node) onMarkerReply(m *Message) {
	h := &n.head
	if !n.isHead() || m.From != n.state.view.tail() || m.Marker != h.marker || len(h.markedReads) == 0 {
		return
	}
	if h.pending && m.Sequence == n.state.accepted.Sequence {
		n.commitPending()
	}
	batch := h.markedReads
	h.markedReads = nil
	var retries []request
	for _, r := range batch {
		if r.read {
			n.answerRead(r)
		} else if h.pending {
			retries = append(retries, r)
		} else {
			n.decide(r)
		}
	}
	h.queuedWrites = slices.Concat(retries, h.queuedWrites)
	n.advance()
}

// decide decides on a write by the committed entry and its history: one that was in force is not refused,
// also where a later one has replaced it. One that the history may have forgotten gets no clear answer.
func (n *Node) decide(r request) {
	accepted := &n.state.accepted
	switch {
	case accepted.includes(r.proposal.Version, r.digest):
		n.answer(r, Applied)
	case r.confirm && accepted.Version == r.proposal.Expected:
		n.answer(r, Unavailable) // it may be proposed now
	case accepted.Version == r.proposal.Expected:
		n.startWrite(r)
	case accepted.mayHaveForgotten(r.proposal.Version):
		n.answer(r, Unavailable)
	default:
		n.answer(r, Conflict)
	}
}

// answerRead answers with the committed entry.
func (n *Node) answerRead(r request) {
	committed := n.state.committedKnown
	if !n.head.pending {
		committed = committed && n.state.committed.Sequence == n.state.accepted.Sequence
	}
	if !committed {
		n.answer(r, Unavailable)
		return
	}
	n.answer(r, Applied)
}

// answer sends the outcome of a request to the node where it came in.
func (n *Node) answer(r request, outcome Outcome) {
	m := Message{Kind: ForwardReply, Request: r.id, Outcome: outcome}
	if outcome != Unavailable {
		committed := &n.state.committed
		m.Sequence, m.Version = committed.Sequence, committed.Version
		if r.read && (r.knownSequence != m.Sequence || m.Sequence == 0) {
			m.HasBody, m.Body = true, committed.Body
		}
	}
	n.send(r.from, m)
}
