package chain

// onPrepare promises to accept no proposal with a lower number for the successor of the current view.
func (n *Node) onPrepare(m *Message) {
	if !n.checkProposalNumber(m) {
		return
	}
	acceptor := &n.state.acceptor
	acceptor.promised = m.ProposalNumber
	n.changed[recordAcceptor] = true
	n.send(m.From, Message{
		Kind: PrepareReply, ProposalNumber: m.ProposalNumber,
		AcceptedNumber: acceptor.accepted, View: acceptor.acceptedView,
	})
}

// onAccept accepts a proposed view unless a higher proposal number was promised.
func (n *Node) onAccept(m *Message) {
	if !n.checkProposalNumber(m) {
		return
	}
	n.state.acceptor = acceptorState{
		promised: m.ProposalNumber, accepted: m.ProposalNumber, acceptedView: m.View,
	}
	n.changed[recordAcceptor] = true
	n.proposer.acceptedAt = n.now
	n.send(m.From, Message{Kind: AcceptReply, ProposalNumber: m.ProposalNumber})
}

// checkProposalNumber reports whether this node is an acceptor and has promised no number above that of a
// message. If the message's number is too low, it sends the proposer a Nack.
func (n *Node) checkProposalNumber(m *Message) bool {
	if !n.state.view.isMember(n.state.id) {
		return false
	}
	promised := n.state.acceptor.promised
	if m.ProposalNumber.less(promised) {
		n.send(m.From, Message{Kind: Nack, ProposalNumber: promised})
		return false
	}
	return true
}

// onSeal promises never to accept an entry in the current epoch. A replica that has already accepted one
// ignores the request.
func (n *Node) onSeal() {
	epoch := n.state.view.Epoch
	if !n.InChain() || n.state.accepted.Epoch >= epoch || n.state.sealed == epoch {
		return
	}
	n.state.sealed = epoch
	n.changed[recordPosition] = true
	n.sendHeartbeats()
}
