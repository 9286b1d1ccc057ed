package chain

// handle dispatches a message. Messages of a view or of clients are valid in any epoch; all others only in
// the receiver's, so that a replaced head can neither commit nor answer reads.
func (n *Node) handle(m Message) {
	n.recordReceipt(&m)
	switch m.Kind {
	case ViewNotice:
		n.adopt(m.View)
		return
	case Forward, ForwardRead:
		n.onForward(&m)
		return
	case ForwardReply:
		n.onForwardReply(&m)
		return
	case Prepare, Append: // they carry the sender's view, and go on to the check of epochs
		n.adopt(m.View)
	}
	switch epoch := n.state.view.Epoch; {
	case m.Epoch > epoch:
		n.requestView(m.From)
	case m.Epoch < epoch:
		n.sendView(m.From)
	default:
		n.handleOfEpoch(&m)
	}
}

// handleOfEpoch dispatches a message of the node's own epoch.
func (n *Node) handleOfEpoch(m *Message) {
	switch m.Kind {
	case Heartbeat:
		n.onHeartbeat(m)
	case BootstrapAccept:
		n.onGenesis(m)
	case BootstrapAcceptReply:
		n.onGenesisReply(m)
	case Prepare:
		n.onPrepare(m)
	case PrepareReply:
		n.onPrepareReply(m)
	case Accept:
		n.onAccept(m)
	case AcceptReply:
		n.onAcceptReply(m)
	case Nack:
		n.onNack(m)
	case Seal:
		n.onSeal()
	case Append:
		n.onAppend(m)
	case FetchBody:
		n.onFetchBody(m)
	case Ack:
		n.onAck(m)
	case Commit:
		n.onCommit(m)
	case Marker:
		n.onMarker(m)
	case MarkerReply:
		n.onMarkerReply(m)
	}
}

// requestView sends a heartbeat: its older epoch is answered with the view.
func (n *Node) requestView(from MemberID) {
	n.send(from, n.heartbeat())
}

// sendView sends the latest decided view.
func (n *Node) sendView(to MemberID) {
	n.send(to, Message{Kind: ViewNotice, View: n.state.view})
}

// adopt installs a decided view if it is newer than the node's own.
func (n *Node) adopt(view View) {
	if view.Epoch <= n.state.view.Epoch || n.hasRevoked(&view) {
		return
	}
	n.state.view = view
	n.state.acceptor = acceptorState{}
	n.changed[recordView] = true
	n.startEpoch()
	if n.isHead() {
		n.sendAccepted()
	}
}

// startEpoch resets what belongs to one epoch. It draws one random number, for the first marker.
func (n *Node) startEpoch() {
	n.epochSince = n.now
	n.proposer = proposerState{acceptedAt: n.now}
	n.trackMembers()
	n.resetHead()
	n.redirectForwards()
}
