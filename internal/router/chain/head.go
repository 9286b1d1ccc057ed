package chain

import (
	"slices"
	"time"

	"cresshub/internal/invariant"
)

// headState is the state of a node as the head of one epoch. It is volatile: a new epoch or a restart resets
// it, and its requests are answered Unavailable.
type headState struct {
	// open means that the full chain has accepted the head's entry in this epoch.
	open bool
	// pending means that the latest accepted entry is a write that is not committed yet. At most one write is
	// pending at a time. waiters are the requests that asked for it.
	pending bool
	waiters []request
	// sentAt is when the latest accepted entry was last sent.
	sentAt time.Duration
	// queuedWrites wait until the pending write is committed.
	queuedWrites []request
	// queuedForMarker are the requests to be confirmed by the next marker: reads, confirmations, and writes that
	// seem to conflict. A conflict is certain only once the chain has confirmed that this node is still its
	// head.
	queuedForMarker []request
	// awaitingMarker are the requests that the marker in flight confirms; if empty, no marker is in flight.
	awaitingMarker []request
	// marker is the number of the latest marker, which was last sent at markerSentAt.
	marker       uint64
	markerSentAt time.Duration
}

// requestKind is the type of a request.
type requestKind int

const (
	writeRequest requestKind = iota
	readRequest
	// confirmRequest asks whether a change is committed, without writing anything.
	confirmRequest
)

// request is a client request that waits at the head.
type request struct {
	kind requestKind
	// from is the node at which a client made the request, id the request's number there.
	from MemberID
	id   uint64
	// knownSequence is the sequence of the entry that the reader already has.
	knownSequence uint64
	// proposal and digest identify the change that a write makes or a confirmation asks about.
	proposal Proposal
	digest   Digest
	deadline time.Duration
}

// isHead reports whether this node is the head of the view that it knows.
func (n *Node) isHead() bool {
	return n.state.view.Epoch > 0 && n.state.view.head() == n.state.id
}

// queues returns pointers to all queues of requests.
func (h *headState) queues() []*[]request {
	return []*[]request{&h.waiters, &h.queuedWrites, &h.queuedForMarker, &h.awaitingMarker}
}

// queued returns the number of requests in all queues.
func (h *headState) queued() int {
	return len(h.waiters) + len(h.queuedWrites) + len(h.queuedForMarker) + len(h.awaitingMarker)
}

// resetHead answers Unavailable to all requests of the epoch that has ended. It draws the first marker at
// random, so that replies to markers of an earlier epoch or incarnation don't match.
func (n *Node) resetHead() {
	for _, queue := range n.head.queues() {
		for _, r := range *queue {
			n.answer(r, Unavailable)
		}
	}
	n.head = headState{marker: n.config.Random.Uint64()}
}

// sendAccepted sends the head's latest accepted entry down the chain: first at the start of an epoch, which
// opens once the tail has acknowledged the entry, and again while the acknowledgement is missing.
func (n *Node) sendAccepted() {
	if n.state.accepted.Epoch != n.state.view.Epoch {
		n.state.accepted.Epoch = n.state.view.Epoch
		n.changed[recordPosition] = true
	}
	n.head.sentAt = n.now
	n.repropagate()
}

// resend sends the entry and the marker in flight again if they were not acknowledged within
// Config.ResendAfter.
func (n *Node) resend() {
	head := &n.head
	if !n.isHead() {
		return
	}
	if (!head.open || head.pending) && n.now-head.sentAt >= n.config.ResendAfter {
		n.sendAccepted()
	}
	if len(head.awaitingMarker) > 0 && n.now-head.markerSentAt >= n.config.ResendAfter {
		n.sendMarker()
	}
}

// onAck handles the tail's acknowledgement: it opens the epoch or commits the pending write.
func (n *Node) onAck(m *Message) {
	if !n.isHead() || m.From != n.state.view.tail() || m.Sequence != n.state.accepted.Sequence {
		return
	}
	n.commitPending()
	n.startNext()
}

// commitPending opens the epoch and, if the chain has enough replicas, commits the latest accepted entry,
// which the full chain has accepted.
func (n *Node) commitPending() {
	head := &n.head
	if head.open && !head.pending {
		return
	}
	head.open, head.pending = true, false
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
	for _, r := range head.waiters {
		n.answer(r, Applied)
	}
	head.waiters = nil
}

// addWrite queues a write. A write that equals the pending one waits for the outcome of that one.
func (n *Node) addWrite(r request) {
	head := &n.head
	switch {
	case r.proposal.Version <= r.proposal.Expected:
		n.answer(r, Invalid)
	case !n.enoughReplicas() || n.diskFailing || head.queued() >= n.config.QueueLimit:
		n.answer(r, Unavailable)
	case head.pending && n.isAccepted(r):
		head.waiters = append(head.waiters, r)
	default:
		head.queuedWrites = append(head.queuedWrites, r)
		n.startNext()
	}
}

// addForMarker queues a request that a marker has to confirm: a read or a confirmation.
func (n *Node) addForMarker(r request) {
	if n.head.queued() >= n.config.QueueLimit {
		n.answer(r, Unavailable)
		return
	}
	n.head.queuedForMarker = append(n.head.queuedForMarker, r)
	n.startNext()
}

// isAccepted reports whether the latest accepted entry is the result of a write.
func (n *Node) isAccepted(r request) bool {
	return n.state.accepted.Version == r.proposal.Version && n.state.accepted.digest == r.digest
}

// startNext starts the next write if none is pending, and the next marker if none is in flight.
func (n *Node) startNext() {
	if n.head.open {
		n.startNextWrite()
		n.startNextMarker()
	}
}

// startNextWrite starts the first queued write whose expected version is the accepted one. The requests
// before it in the queue, which are other writes and confirmations, have to wait for a marker.
func (n *Node) startNextWrite() {
	head := &n.head
	for !head.pending && len(head.queuedWrites) > 0 {
		next := head.queuedWrites[0]
		head.queuedWrites = head.queuedWrites[1:]
		if next.kind == writeRequest && n.state.accepted.Version == next.proposal.Expected {
			n.startWrite(next)
		} else {
			head.queuedForMarker = append(head.queuedForMarker, next)
		}
	}
}

// startNextMarker sends one marker for all requests that need one, unless a marker is in flight.
func (n *Node) startNextMarker() {
	head := &n.head
	if len(head.awaitingMarker) == 0 && len(head.queuedForMarker) > 0 {
		head.awaitingMarker, head.queuedForMarker = head.queuedForMarker, nil
		head.marker++
		n.sendMarker()
	}
}

// startWrite accepts a proposal as the next entry and propagates it.
func (n *Node) startWrite(r request) {
	head := &n.head
	head.pending, head.sentAt = true, n.now
	head.waiters = append(head.waiters, r)
	next := Entry{
		Epoch: n.state.view.Epoch, Sequence: n.state.accepted.Sequence + 1,
		Version: r.proposal.Version, Body: r.proposal.Body,
	}
	n.acceptSuccessor(next, r.digest)
	n.propagate(r.from, r.id)
}

// sendMarker sends the current marker down the chain.
func (n *Node) sendMarker() {
	n.head.markerSentAt = n.now
	n.passMarker(n.head.marker)
}

// onMarkerReply answers the batch of requests that the marker confirms: the reply proves that the chain was
// still in this epoch after the last request of the batch had arrived.
func (n *Node) onMarkerReply(m *Message) {
	head := &n.head
	if !n.isHead() || m.From != n.state.view.tail() || m.Marker != head.marker || len(head.awaitingMarker) == 0 {
		return
	}
	if head.pending && m.Sequence == n.state.accepted.Sequence {
		n.commitPending()
	}
	confirmed := head.awaitingMarker
	head.awaitingMarker = nil
	n.answerConfirmed(confirmed)
	n.startNext()
}

// answerConfirmed answers a batch of requests that a marker has confirmed. While a write is pending, requests
// other than reads return to the front of the queue of writes, in their order.
func (n *Node) answerConfirmed(batch []request) {
	head := &n.head
	var requeued []request
	for _, r := range batch {
		switch {
		case r.kind == readRequest:
			n.answerRead(r)
		case head.pending:
			requeued = append(requeued, r)
		default:
			n.resolve(r)
		}
	}
	head.queuedWrites = slices.Concat(requeued, head.queuedWrites)
}

// resolve answers a write or confirmation from the committed entry and its history, or starts the write if
// its expected version is the committed one. A change that was committed is acknowledged even if a later one
// has replaced it. If the change may be older than the history, its outcome is unknown, and the answer is
// Unavailable.
func (n *Node) resolve(r request) {
	accepted := &n.state.accepted
	switch {
	case accepted.includes(r.proposal.Version, r.digest):
		n.answer(r, Applied)
	case r.kind == confirmRequest && accepted.Version == r.proposal.Expected:
		n.answer(r, Unavailable) // the change may still be proposed
	case accepted.Version == r.proposal.Expected:
		n.startWrite(r)
	case accepted.mayPrecedeHistory(r.proposal.Version):
		n.answer(r, Unavailable)
	default:
		n.answer(r, Conflict)
	}
}

// answerRead answers a read with the committed entry, or Unavailable if this head doesn't know which entry is
// the latest committed one.
func (n *Node) answerRead(r request) {
	if !n.knowsLatestCommitted() {
		n.answer(r, Unavailable)
		return
	}
	n.answer(r, Applied)
}

// knowsLatestCommitted reports whether the entry that this node knows to be committed is the latest one.
// While no write is pending, the latest one is the accepted entry, which is committed only once enough
// replicas have accepted it.
func (n *Node) knowsLatestCommitted() bool {
	if !n.state.committedKnown {
		return false
	}
	return n.head.pending || n.state.committed.Sequence == n.state.accepted.Sequence
}

// answer sends the outcome of a request to the node at which the request was made. The body is omitted if the
// reader already has it.
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
