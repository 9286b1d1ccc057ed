package chain

import "slices"

// enoughCopies tells whether the chain is long enough for its entries to count as committed.
func (n *Node) enoughCopies() bool {
	view := &n.state.view
	return len(view.Chain) >= copiesNeeded(view.Members, n.config.RequiredCopies)
}

// onAppend takes an entry of the predecessor and passes it on once it is durable.
func (n *Node) onAppend(m *Message) {
	view, held := &n.state.view, &n.state.held
	if m.From != view.predecessor(n.state.id) || n.state.sealed == view.Epoch {
		return
	}
	if held.Epoch == view.Epoch && m.Sequence < held.Sequence {
		return
	}
	if !held.is(m) {
		n.acceptOther(m)
		return
	}
	if held.Epoch != view.Epoch {
		held.Epoch = view.Epoch
		n.changed[recordPosition] = true
	}
	n.passAgain()
}

// acceptOther takes an entry that this node doesn't hold, or asks for its body.
func (n *Node) acceptOther(m *Message) {
	view, held := &n.state.view, &n.state.held
	if held.Epoch == view.Epoch && m.Sequence == held.Sequence {
		return
	}
	extends := held.isPredecessorOf(m)
	if !m.HasBody || !m.Resend && !extends {
		n.send(m.From, Message{Kind: AskBody, Sequence: m.Sequence})
		return
	}
	if held.Epoch == view.Epoch && n.enoughCopies() {
		// The head begins a write only after the one before it is committed.
		n.setCommitted()
	}
	next := n.config.hold(Entry{view.Epoch, m.Sequence, m.Version, m.Body}, m.History)
	if extends {
		n.extendHeld(next.Entry, next.digest)
		n.passWrite(m.Origin, m.Request)
		return
	}
	n.replaceHeld(next)
	n.passAgain()
}

// extendHeld takes the entry that follows the held one, which is committed. Its record doesn't repeat the
// history; two of them in one step are persisted as a whole.
func (n *Node) extendHeld(entry Entry, digest Digest) {
	next := n.state.held.successor(entry, digest, n.config.HistoryLength)
	if n.changed[recordEntry] || n.changed[recordSuccessor] {
		n.replaceHeld(next)
		return
	}
	n.state.held = next
	n.changed[recordSuccessor] = true
}

// replaceHeld takes another entry in place of the held one.
func (n *Node) replaceHeld(entry heldEntry) {
	n.state.held = entry
	n.changed[recordEntry], n.changed[recordHistory] = true, true
	n.changed[recordSuccessor] = false
}

// passWrite sends a new write to the successor; the tail acknowledges it to the head and answers the node
// where it came in, if that is another.
func (n *Node) passWrite(origin MemberID, number uint64) {
	if next := n.state.view.successor(n.state.id); next != "" {
		m := n.entryMessage()
		m.HasBody, m.Body = true, n.state.held.Body
		if past := n.state.held.history; len(past) > 0 {
			m.History = past[len(past)-1:]
		}
		m.Origin, m.Request = origin, number
		n.send(next, m)
		return
	}
	n.acknowledge()
	if origin != n.state.view.head() && n.enoughCopies() {
		n.answer(request{from: origin, id: number}, Applied)
	}
}

// passAgain sends the held entry without its body to the successor, or acknowledges it as the tail.
func (n *Node) passAgain() {
	if next := n.state.view.successor(n.state.id); next != "" {
		n.sendAgain(next, false)
		return
	}
	n.acknowledge()
}

// acknowledge tells the head that the whole chain holds the entry.
func (n *Node) acknowledge() {
	if n.enoughCopies() {
		n.setCommitted()
	}
	n.send(n.state.view.head(), Message{Kind: Ack, Sequence: n.state.held.Sequence})
}

// entryMessage makes the message that names the held entry.
func (n *Node) entryMessage() Message {
	held := &n.state.held
	return Message{Kind: Append, Sequence: held.Sequence, Version: held.Version,
		Digest: slices.Clone(held.digest[:])}
}

// sendAgain sends an entry that is no new write; the receiver may not know the epoch's view yet.
func (n *Node) sendAgain(to MemberID, withBody bool) {
	m := n.entryMessage()
	m.Resend, m.View = true, n.state.view
	if withBody {
		m.HasBody, m.Body, m.History = true, n.state.held.Body, n.state.held.history
	}
	n.send(to, m)
}

// onAskBody sends the successor the held entry with its body.
func (n *Node) onAskBody(m *Message) {
	view, held := &n.state.view, &n.state.held
	if m.From == view.successor(n.state.id) && held.Epoch == view.Epoch && held.Sequence == m.Sequence {
		n.sendAgain(m.From, true)
	}
}

// onCommit learns from the head what is committed.
func (n *Node) onCommit(m *Message) {
	if m.From == n.state.view.head() {
		n.learnCommitted(m.Sequence)
	}
}

// learnCommitted notes that an entry is committed if it is the held one.
func (n *Node) learnCommitted(sequence uint64) {
	held := &n.state.held
	if held.Epoch == n.state.view.Epoch && held.Sequence == sequence && n.enoughCopies() {
		n.setCommitted()
	}
}

// setCommitted notes that the held entry is committed.
func (n *Node) setCommitted() {
	if n.state.committedSequence != n.state.held.Sequence && !n.state.commitUnsaved {
		n.state.commitUnsaved, n.state.committedSince = true, n.now
	}
	n.state.committedSequence = n.state.held.Sequence
	n.state.committed, n.state.committedKnown = n.state.held, true
}

// onMarker passes a marker on, or answers it as the tail.
func (n *Node) onMarker(m *Message) {
	view := &n.state.view
	if m.From != view.predecessor(n.state.id) || n.state.held.Epoch != view.Epoch {
		return
	}
	if next := view.successor(n.state.id); next != "" {
		n.send(next, Message{Kind: Marker, Marker: m.Marker})
		return
	}
	n.send(view.head(), Message{Kind: MarkerReply, Marker: m.Marker, Sequence: n.state.held.Sequence})
}
