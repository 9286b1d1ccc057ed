package chain

import (
	"slices"
	"time"

	"cresshub/internal/invariant"
)

// headState is the state of a node as the head of one epoch. It is volatile: a new epoch or a restart resets
// it, and its requests are answered Unavailable.
type headState struct {
	// open says that the full chain has accepted the head's entry in this epoch.
	open bool
	// pending says that the latest accepted entry is a write that is not committed; waiters want its outcome.
	pending bool
	waiters []request
	// sentAt is when the latest accepted entry was sent last.
	sentAt time.Duration
	// queuedWrites wait until the pending write is committed.
	queuedWrites []request
	// queuedReads wait for the next marker, markedReads for the one in flight. Both may hold writes that seem
	// to conflict: that is certain only once the chain has confirmed that this node is still its head.
	queuedReads, markedReads []request
	marker                   uint64
	markerSentAt             time.Duration
}

// requestKind is the type of a request.
type requestKind int

const (
	writeRequest requestKind = iota
	readRequest
	// confirmRequest asks whether a change is committed, and writes nothing.
	confirmRequest
)

// request is a request that waits at the head.
type request struct {
	kind requestKind
	// from is the node at which the request came in, id its number there.
	from MemberID
	id   uint64
	// knownSequence is that of the entry that a reader already has.
	knownSequence uint64
	// proposal and digest are the change that a write makes or a confirmation asks for.
	proposal Proposal
	digest   Digest
	deadline time.Duration
}

// isHead reports whether this node is the head of the view that it knows.
func (n *Node) isHead() bool {
	return n.state.view.Epoch > 0 && n.state.view.head() == n.state.id
}

// queues returns all queues of requests.
func (h *headState) queues() []*[]request {
	return []*[]request{&h.waiters, &h.queuedWrites, &h.queuedReads, &h.markedReads}
}

// queued returns the number of requests that wait.
func (h *headState) queued() int {
	return len(h.waiters) + len(h.queuedWrites) + len(h.queuedReads) + len(h.markedReads)
}

// resetHead answers all requests of the epoch that has ended and starts with a marker that no earlier epoch
// or incarnation used.
func (n *Node) resetHead() {
	for _, queue := range n.head.queues() {
		for _, r := range *queue {
			n.answer(r, Unavailable)
		}
	}
	n.head = headState{marker: n.config.Random.Uint64()}
}

// sendAccepted sends the head's latest accepted entry down the chain: at the start of an epoch, which opens
// once the tail has acknowledged it, and again while an acknowledgement is missing.
func (n *Node) sendAccepted() {
	if n.state.accepted.Epoch != n.state.view.Epoch {
		n.state.accepted.Epoch = n.state.view.Epoch
		n.changed[recordPosition] = true
	}
	n.head.sentAt = n.now
	n.repropagate()
}

// resend repeats what was not acknowledged within Config.ResendAfter.
func (n *Node) resend() {
	h := &n.head
	if !n.isHead() {
		return
	}
	if (!h.open || h.pending) && n.now-h.sentAt >= n.config.ResendAfter {
		n.sendAccepted()
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
	n.startNext()
}

// commitPending opens the epoch and commits the latest accepted entry, which the full chain has accepted.
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
	for _, r := range h.waiters {
		n.answer(r, Applied)
	}
	h.waiters = nil
}

// addWrite queues a write. One that equals the pending write waits for its outcome.
func (n *Node) addWrite(r request) {
	h := &n.head
	switch {
	case r.proposal.Version <= r.proposal.Expected:
		n.answer(r, Invalid)
	case !n.enoughReplicas() || n.diskFailing || h.queued() >= n.config.QueueLimit:
		n.answer(r, Unavailable)
	case h.pending && n.isAccepted(r):
		h.waiters = append(h.waiters, r)
	default:
		h.queuedWrites = append(h.queuedWrites, r)
		n.startNext()
	}
}

// addRead queues a request that waits for a marker: a read or a confirmation.
func (n *Node) addRead(r request) {
	if n.head.queued() >= n.config.QueueLimit {
		n.answer(r, Unavailable)
		return
	}
	n.head.queuedReads = append(n.head.queuedReads, r)
	n.startNext()
}

// isAccepted reports whether the latest accepted entry is the one that a write asks for.
func (n *Node) isAccepted(r request) bool {
	return n.state.accepted.Version == r.proposal.Version && n.state.accepted.digest == r.digest
}

// startNext starts the next write and the next marker if none is in flight.
func (n *Node) startNext() {
	h := &n.head
	if !h.open {
		return
	}
	for !h.pending && len(h.queuedWrites) > 0 {
		next := h.queuedWrites[0]
		h.queuedWrites = h.queuedWrites[1:]
		if next.kind == writeRequest && n.state.accepted.Version == next.proposal.Expected {
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

// startWrite accepts a proposal as the next entry and propagates it.
func (n *Node) startWrite(r request) {
	h := &n.head
	h.pending, h.sentAt = true, n.now
	h.waiters = append(h.waiters, r)
	next := Entry{
		Epoch: n.state.view.Epoch, Sequence: n.state.accepted.Sequence + 1,
		Version: r.proposal.Version, Body: r.proposal.Body,
	}
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

// onMarkerReply answers the batch: after the last of its requests came in, the chain was still in this epoch.
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
		switch {
		case r.kind == readRequest:
			n.answerRead(r)
		case h.pending:
			retries = append(retries, r)
		default:
			n.decide(r)
		}
	}
	h.queuedWrites = slices.Concat(retries, h.queuedWrites)
	n.startNext()
}

// decide answers a write or confirmation by the committed entry and its history. A change that was committed
// is acknowledged even if a later one has replaced it. If the history may no longer include the change, its
// outcome is unknown, and the answer is Unavailable.
func (n *Node) decide(r request) {
	accepted := &n.state.accepted
	switch {
	case accepted.includes(r.proposal.Version, r.digest):
		n.answer(r, Applied)
	case r.kind == confirmRequest && accepted.Version == r.proposal.Expected:
		n.answer(r, Unavailable) // it may still be proposed
	case accepted.Version == r.proposal.Expected:
		n.startWrite(r)
	case accepted.mayHaveForgotten(r.proposal.Version):
		n.answer(r, Unavailable)
	default:
		n.answer(r, Conflict)
	}
}

// answerRead answers a read with the committed entry.
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

// answer sends the outcome of a request to the node at which it came in. The body is left out if the reader
// already has it.
func (n *Node) answer(r request, outcome Outcome) {
	m := Message{Kind: ForwardReply, Request: r.id, Outcome: outcome}
	if outcome != Unavailable {
		committed := &n.state.committed
		m.Sequence, m.Version = committed.Sequence, committed.Version
		if r.kind == readRequest && (r.knownSequence != m.Sequence || m.Sequence == 0) {
			m.HasBody, m.Body = true, committed.Body
		}
	}
	n.send(r.from, m)
}
