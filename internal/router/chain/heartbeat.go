package chain

// heartbeat returns a heartbeat that reports this node's current state.
func (n *Node) heartbeat() Message {
	m := Message{
		Kind:       Heartbeat,
		Address:    n.config.Self.Address,
		HasDisk:    n.config.HasDisk,
		EntryEpoch: n.state.accepted.Epoch,
		Open:       n.IsOpenHead(),
		Draining:   n.draining,
		Stalled:    n.diskFailing || n.awaitsBootstrap(),
		Sealed:     n.state.sealed != 0 && n.state.sealed == n.state.view.Epoch,
		Sequence:   n.state.committedSequence,
	}
	for _, member := range n.state.view.Members {
		if peer := n.peers[member.ID]; peer != nil && n.recentlySeen(peer) {
			m.ReceivesFrom = append(m.ReceivesFrom, member.ID)
		}
	}
	return m
}

// sendHeartbeats sends a heartbeat to all members. A member also sends it to each other node that has sent
// heartbeats and was seen recently. A node that has not seen any member recently also sends it to its
// contacts, once every contactHeartbeatPeriod heartbeat intervals.
func (n *Node) sendHeartbeats() {
	n.lastHeartbeat = n.now
	m := n.heartbeat()
	for _, member := range n.state.view.Members {
		if member.ID != n.state.id {
			n.send(member.ID, m)
		}
	}
	for _, id := range sortedKeys(n.peers) {
		peer := n.peers[id]
		isListening := n.recentlySeen(peer) && peer.heartbeat.Kind == Heartbeat && !n.state.view.isMember(id)
		if isListening && n.state.view.isMember(n.state.id) {
			n.send(id, m)
		}
	}
	contactsDue := n.now-n.lastContactsHeartbeat >= contactHeartbeatPeriod*n.config.HeartbeatInterval
	if len(m.ReceivesFrom) == 0 && contactsDue {
		n.heartbeatContacts(m)
	}
}

// heartbeatContacts sends a heartbeat to the contacts that are not members: a contact with a newer view
// replies with that view.
func (n *Node) heartbeatContacts(m Message) {
	n.lastContactsHeartbeat = n.now
	for _, contact := range n.contacts {
		if contact.ID != n.state.id && !n.state.view.isMember(contact.ID) {
			n.sendTo(contact, m)
		}
	}
}

// onHeartbeat learns which entry is committed if the sender is the head and its epoch is open.
func (n *Node) onHeartbeat(m *Message) {
	if m.Open && m.From == n.state.view.head() {
		n.learnCommitted(m.Sequence)
	}
}
