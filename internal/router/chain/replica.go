package chain

import "slices"

// enoughReplicas reports whether the chain has enough replicas for an entry that all of them have accepted to
// be committed.
func (n *Node) enoughReplicas() bool {
	view := &n.state.view
	return len(view.Chain) >= replicasNeeded(view.Members, n.config.RequiredReplicas)
}

// onAppend accepts an entry from the predecessor and propagates it. The entry is durable before the messages
// of this step leave, see Effects.
func (n *Node) onAppend(m *Message) {
	view, accepted := &n.state.view, &n.state.accepted
	if m.From != view.predecessor(n.state.id) || n.state.sealed == view.Epoch {
		return
	}
	if accepted.Epoch == view.Epoch && m.Sequence < accepted.Sequence {
		return // an older entry, delayed by the network
	}
	if !accepted.matches(m) {
		n.acceptNew(m)
		return
	}
	if accepted.Epoch != view.Epoch {
		accepted.Epoch = view.Epoch
		n.changed[recordPosition] = true
	}
	n.repropagate()
}

// acceptNew accepts an entry that is not the latest accepted one, or fetches its body and history if they are
// needed and missing.
func (n *Node) acceptNew(m *Message) {
	view, accepted := &n.state.view, &n.state.accepted
	if accepted.Epoch == view.Epoch && m.Sequence == accepted.Sequence {
		return // within an epoch there is only one entry per sequence number
	}
	extends := accepted.isPredecessorOf(m)
	if !m.HasBody || !m.Resend && !extends {
		n.send(m.From, Message{Kind: FetchBody, Sequence: m.Sequence})
		return
	}
	if accepted.Epoch == view.Epoch && n.enoughReplicas() {
		// The head starts a write only after the previous one is committed, so the accepted entry is.
		n.setCommitted()
	}
	entry := Entry{Epoch: view.Epoch, Sequence: m.Sequence, Version: m.Version, Body: m.Body}
	next := n.config.newAcceptedEntry(entry, m.History)
	if extends {
		n.acceptSuccessor(next.Entry, next.digest)
		n.propagate(m.Origin, m.Request)
		return
	}
	n.replaceAccepted(next)
	n.repropagate()
}

// acceptSuccessor accepts the entry that follows the latest accepted one, which is committed. The new entry
// is persisted without its history. As a step persists at most one record of a kind, an entry that is
// accepted after another one in the same step is persisted with its full history.
func (n *Node) acceptSuccessor(entry Entry, digest Digest) {
	next := n.state.accepted.successor(entry, digest, n.config.HistoryLength)
	if n.changed[recordEntry] || n.changed[recordSuccessor] {
		n.replaceAccepted(next)
		return
	}
	n.state.accepted = next
	n.changed[recordSuccessor] = true
}

// replaceAccepted accepts an entry and persists it with its full history.
func (n *Node) replaceAccepted(entry acceptedEntry) {
	n.state.accepted = entry
	n.changed[recordEntry], n.changed[recordHistory] = true, true
	n.changed[recordSuccessor] = false
}

// propagate sends a new write to the successor. The tail instead acknowledges it to the head, and answers the
// node at which the request was made (origin) unless that is the head.
func (n *Node) propagate(origin MemberID, requestID uint64) {
	if next := n.state.view.successor(n.state.id); next != "" {
		m := n.appendMessage()
		m.HasBody, m.Body = true, n.state.accepted.Body
		if history := n.state.accepted.history; len(history) > 0 {
			m.History = history[len(history)-1:]
		}
		m.Origin, m.Request = origin, requestID
		n.send(next, m)
		return
	}
	n.sendAck()
	if origin != n.state.view.head() && n.enoughReplicas() {
		n.answer(request{from: origin, id: requestID}, Applied)
	}
}

// repropagate resends the latest accepted entry, without its body, to the successor. The tail instead
// acknowledges it to the head.
func (n *Node) repropagate() {
	if next := n.state.view.successor(n.state.id); next != "" {
		n.resendEntry(next, false)
		return
	}
	n.sendAck()
}

// sendAck is called at the tail: it tells the head that all replicas have accepted the latest accepted entry.
func (n *Node) sendAck() {
	if n.enoughReplicas() {
		n.setCommitted()
	}
	n.send(n.state.view.head(), Message{Kind: Ack, Sequence: n.state.accepted.Sequence})
}

// appendMessage returns an Append message that identifies the latest accepted entry but has no body.
func (n *Node) appendMessage() Message {
	accepted := &n.state.accepted
	return Message{Kind: Append, Sequence: accepted.Sequence, Version: accepted.Version,
		Digest: slices.Clone(accepted.digest[:])}
}

// resendEntry sends the latest accepted entry when it is not a new write. The message carries the view, which
// the receiver may not know yet.
func (n *Node) resendEntry(to MemberID, withBody bool) {
	m := n.appendMessage()
	m.Resend, m.View = true, n.state.view
	if withBody {
		m.HasBody, m.Body, m.History = true, n.state.accepted.Body, n.state.accepted.history
	}
	n.send(to, m)
}

// onFetchBody resends the latest accepted entry, with its body and history, to the successor.
func (n *Node) onFetchBody(m *Message) {
	view, accepted := &n.state.view, &n.state.accepted
	if m.From == view.successor(n.state.id) && accepted.Epoch == view.Epoch && accepted.Sequence == m.Sequence {
		n.resendEntry(m.From, true)
	}
}

// onCommit handles the head's notice that an entry is committed.
func (n *Node) onCommit(m *Message) {
	if m.From == n.state.view.head() {
		n.learnCommitted(m.Sequence)
	}
}

// learnCommitted marks the latest accepted entry as committed if it has that sequence.
func (n *Node) learnCommitted(sequence uint64) {
	accepted := &n.state.accepted
	if accepted.Epoch == n.state.view.Epoch && accepted.Sequence == sequence && n.enoughReplicas() {
		n.setCommitted()
	}
}

// setCommitted marks the latest accepted entry as committed.
func (n *Node) setCommitted() {
	if n.state.committedSequence != n.state.accepted.Sequence && !n.state.commitUnpersisted {
		n.state.commitUnpersisted, n.state.commitUnpersistedSince = true, n.now
	}
	n.state.committedSequence = n.state.accepted.Sequence
	n.state.committed, n.state.committedKnown = n.state.accepted, true
}

// onMarker forwards a marker from the predecessor. A replica that has not accepted an entry in this epoch
// drops it.
func (n *Node) onMarker(m *Message) {
	view := &n.state.view
	if m.From == view.predecessor(n.state.id) && n.state.accepted.Epoch == view.Epoch {
		n.passMarker(m.Marker)
	}
}

// passMarker sends a marker to the successor. The tail instead sends a MarkerReply to the head.
func (n *Node) passMarker(marker uint64) {
	view := &n.state.view
	if next := view.successor(n.state.id); next != "" {
		n.send(next, Message{Kind: Marker, Marker: marker})
		return
	}
	n.send(view.head(), Message{
		Kind: MarkerReply, Marker: marker, Sequence: n.state.accepted.Sequence,
	})
}
