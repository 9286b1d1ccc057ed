package chain

// onPrepare promises to accept nothing of an earlier ballot for the view behind the current one.
func (n *Node) onPrepare(m *Message) {
	if !n.state.view.isMember(n.state.id) {
		return
	}
	acceptor := &n.state.acceptor
	if m.Ballot.less(acceptor.promised) {
		n.send(m.From, Message{Kind: Nack, Ballot: acceptor.promised})
		return
	}
	acceptor.promised = m.Ballot
	n.changed[recordAcceptor] = true
	n.send(m.From, Message{
		Kind: Promise, Ballot: m.Ballot, AcceptedBallot: acceptor.accepted, View: acceptor.acceptedValue,
	})
}

// onAccept accepts a proposed view unless a later ballot was promised.
func (n *Node) onAccept(m *Message) {
	if !n.state.view.isMember(n.state.id) {
		return
	}
	acceptor := &n.state.acceptor
	if m.Ballot.less(acceptor.promised) {
		n.send(m.From, Message{Kind: Nack, Ballot: acceptor.promised})
		return
	}
	*acceptor = acceptorState{promised: m.Ballot, accepted: m.Ballot, acceptedValue: m.View}
	n.changed[recordAcceptor] = true
	n.proposing.acceptedAt = n.now
	n.send(m.From, Message{Kind: Accepted, Ballot: m.Ballot})
}

// onSeal promises never to accept a first entry in the current epoch.
func (n *Node) onSeal() {
	epoch := n.state.view.Epoch
	if !n.InChain() || n.state.held.Epoch >= epoch || n.state.sealed == epoch {
		return
	}
	n.state.sealed = epoch
	n.changed[recordPosition] = true
	n.sendHeartbeats()
}
