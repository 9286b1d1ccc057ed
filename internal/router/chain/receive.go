package chain

// handle dispatches a message. View notices, forwarded requests and their replies are valid in any epoch. All
// other messages are valid only in the receiver's epoch, so that a replaced head can neither commit nor
// answer reads.
func (n *Node) handle(m Message) {
	n.updatePeer(&m)
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
	case Prepare, Append: // these carry the sender's view; their epoch is checked below
		n.adopt(m.View)
	}
	switch epoch := n.state.view.Epoch; {
	case m.Epoch > epoch:
		n.requestView(m.From)
	case m.Epoch < epoch:
		n.sendView(m.From)
	default:
		n.handleCurrentEpoch(&m)
	}
}

// handleCurrentEpoch dispatches a message of the node's own epoch.
func (n *Node) handleCurrentEpoch(m *Message) {
	switch m.Kind {
	case Heartbeat:
		n.onHeartbeat(m)
	case BootstrapAccept:
		n.onBootstrapAccept(m)
	case BootstrapAcceptReply:
		n.onBootstrapAcceptReply(m)
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

// requestView asks a node of a later epoch for its view: it sends a heartbeat, and as the heartbeat has an
// older epoch, the receiver answers with its view.
func (n *Node) requestView(from MemberID) {
	n.send(from, n.heartbeat())
}

// sendView sends the latest decided view that this node knows.
func (n *Node) sendView(to MemberID) {
	n.send(to, Message{Kind: ViewNotice, View: n.state.view})
}

// adopt installs a decided view if it is newer than the node's own and this node has not revoked it, see
// hasRevoked.
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

// startEpoch resets the volatile state that belongs to one epoch. It draws one random number, for the first
// marker.
func (n *Node) startEpoch() {
	n.epochStarted = n.now
	n.proposer = proposerState{acceptedAt: n.now}
	n.trackMembers()
	n.resetHead()
	n.redirectForwards()
}
