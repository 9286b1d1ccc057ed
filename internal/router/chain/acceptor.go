package chain

// onPrepare promises to accept nothing of an earlier ballot for the view behind the current one.
func (n *Node) onPrepare(m *Message) {
	if !n.state.view.isMember(n.state.id) {
		return
	}
	acceptor := &n.state.acceptor
	if m.ProposalNumber.less(acceptor.promised) {
		n.send(m.From, Message{Kind: Nack, ProposalNumber: acceptor.promised})
		return
	}
	acceptor.promised = m.ProposalNumber
	n.changed[recordAcceptor] = true
	n.send(m.From, Message{
		Kind: PrepareReply, ProposalNumber: m.ProposalNumber, AcceptedNumber: acceptor.accepted,
		View: acceptor.acceptedView,
	})
}

// onAccept accepts a proposed view unless a later ballot was promised.
func (n *Node) onAccept(m *Message) {
	if !n.state.view.isMember(n.state.id) {
		return
	}
	acceptor := &n.state.acceptor
	if m.ProposalNumber.less(acceptor.promised) {
		n.send(m.From, Message{Kind: Nack, ProposalNumber: acceptor.promised})
		return
	}
	*acceptor = acceptorState{promised: m.ProposalNumber, accepted: m.ProposalNumber, acceptedView: m.View}
	n.changed[recordAcceptor] = true
	n.proposer.acceptedAt = n.now
	n.send(m.From, Message{Kind: AcceptReply, ProposalNumber: m.ProposalNumber})
}

// onSeal promises never to accept a first entry in the current epoch.
func (n *Node) onSeal() {
	epoch := n.state.view.Epoch
	if !n.InChain() || n.state.accepted.Epoch >= epoch || n.state.sealed == epoch {
		return
	}
	n.state.sealed = epoch
	n.changed[recordPosition] = true
	n.sendHeartbeats()
}
