package chain

import (
	"slices"
	"time"
)

const (
	// maxPeers bounds the table of nodes that were heard.
	maxPeers = 256
	// forgetAfter is how long a node that is no member stays in the table.
	forgetAfter = 10 * time.Second
	// heartbeatsPerContact is how many heartbeat intervals are between two messages to the contacts.
	heartbeatsPerContact = 3
)

// peerState is what this node has heard of another.
type peerState struct {
	member   Member
	lastSeen time.Duration
	// stableSince is when the heartbeats began that have come without a gap since.
	stableSince time.Duration
	heartbeat   Message
	// degradedSince is when the peer began to say that it leaves or that its disk fails; 0 is never.
	degradedSince time.Duration
}

// isDegraded tells whether a heartbeat says that its sender leaves or that its disk fails.
func isDegraded(heartbeat *Message) bool { return heartbeat.Draining || heartbeat.Stalled }

// recordReceipt notes that a message came.
func (n *Node) recordReceipt(m *Message) {
	if m.From == "" || m.From == n.state.id {
		return
	}
	peer := n.peers[m.From]
	if peer == nil {
		if m.Kind != Heartbeat || len(n.peers) >= maxPeers {
			return
		}
		peer = &peerState{member: Member{ID: m.From}, stableSince: n.now}
		n.peers[m.From] = peer
	}
	if n.now-peer.lastSeen > n.config.SuspectAfter {
		peer.stableSince = n.now
	}
	peer.lastSeen = n.now
	if m.Kind == Heartbeat {
		peer.recordHeartbeat(m, n.now)
	}
}

// recordHeartbeat keeps a heartbeat's content.
func (p *peerState) recordHeartbeat(m *Message, now time.Duration) {
	if m.Address != "" {
		p.member.Address = m.Address
	}
	switch {
	case !isDegraded(m):
		p.degradedSince = 0
	case p.degradedSince == 0:
		p.degradedSince = now
	}
	entryEpoch := max(p.heartbeat.EntryEpoch, m.EntryEpoch)
	p.heartbeat = *m
	p.heartbeat.EntryEpoch = entryEpoch
}

// trackMembers enters members that were never heard, as if they had been heard now, or before another
// identity of the same machine was heard first.
func (n *Node) trackMembers() {
	for _, member := range n.state.view.Members {
		if n.peers[member.ID] != nil || member.ID == n.state.id {
			continue
		}
		lastSeen := n.now
		for _, peer := range n.peers {
			if peer.member.Address == member.Address && peer.heartbeat.Kind == Heartbeat {
				lastSeen = min(lastSeen, peer.stableSince)
			}
		}
		n.peers[member.ID] = &peerState{member: member, lastSeen: lastSeen, stableSince: lastSeen}
	}
}

// compensateForProcessStall lets no member be suspected for silence while this node itself was stopped,
// unless it was silent before. A candidate that went away meanwhile must not be taken for one that is there.
func (n *Node) compensateForProcessStall() {
	lastTick := n.lastTick
	n.lastTick = n.now
	for id, peer := range n.peers {
		seenBefore := lastTick-peer.lastSeen <= n.config.SuspectAfter
		if n.now-lastTick > n.config.SuspectAfter/2 && seenBefore && n.state.view.isMember(id) {
			peer.lastSeen = max(peer.lastSeen, n.now-n.config.HeartbeatInterval)
		}
		if n.now-peer.lastSeen > forgetAfter && !n.state.view.isMember(id) {
			delete(n.peers, id)
		}
	}
}

// recentlySeen tells whether a node was heard lately.
func (n *Node) recentlySeen(peer *peerState) bool {
	return n.now-peer.lastSeen <= n.config.SuspectAfter
}

// heartbeat makes this node's heartbeat.
func (n *Node) heartbeat() Message {
	m := Message{
		Kind:       Heartbeat,
		Address:    n.config.Self.Address,
		HasDisk:    n.config.HasDisk,
		EntryEpoch: n.state.accepted.Epoch,
		Open:       n.IsOpenHead(),
		Draining:   n.draining,
		Stalled:    n.stalled || n.awaitsBootstrap(),
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

// sendHeartbeats sends to the members, as a member to all other nodes that are heard, and to the contacts if
// no member is heard.
func (n *Node) sendHeartbeats() {
	n.lastHeartbeat = n.now
	m := n.heartbeat()
	for _, member := range n.state.view.Members {
		if member.ID != n.state.id {
			n.send(member.ID, m)
		}
	}
	for _, id := range n.peerIDs() {
		peer := n.peers[id]
		isListening := n.recentlySeen(peer) && peer.heartbeat.Kind == Heartbeat && !n.state.view.isMember(id)
		if isListening && n.state.view.isMember(n.state.id) {
			n.send(id, m)
		}
	}
	if len(m.ReceivesFrom) == 0 &&
		n.now-n.lastContactsHeartbeat >= heartbeatsPerContact*n.config.HeartbeatInterval {
		n.heartbeatContacts(m)
	}
}

// heartbeatContacts sends a heartbeat to nodes that are no members: one that knows a newer view answers with
// it.
func (n *Node) heartbeatContacts(m Message) {
	n.lastContactsHeartbeat = n.now
	for _, contact := range n.contacts {
		if contact.ID != n.state.id && !n.state.view.isMember(contact.ID) {
			n.sendTo(contact, m)
		}
	}
}

// peerIDs returns the known nodes in a fixed order.
func (n *Node) peerIDs() []MemberID {
	ids := make([]MemberID, 0, len(n.peers))
	for id := range n.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// memberByID finds a node's latest address.
func (n *Node) memberByID(id MemberID) Member {
	if id == n.state.id {
		return n.Self()
	}
	if peer := n.peers[id]; peer != nil && peer.member.Address != "" {
		return peer.member
	}
	if member, ok := n.state.view.member(id); ok {
		return member
	}
	for _, contact := range n.contacts {
		if contact.ID == id {
			return contact
		}
	}
	return Member{ID: id}
}

// onHeartbeat learns what the head has committed.
func (n *Node) onHeartbeat(m *Message) {
	if m.Open && m.From == n.state.view.head() {
		n.learnCommitted(m.Sequence)
	}
}

// observe returns what the planner decides by.
func (n *Node) observe() Observation {
	observation := Observation{Self: n.state.id, Peers: map[MemberID]PeerObservation{}}
	for id, peer := range n.peers {
		observed := PeerObservation{
			Member:        peer.member,
			HasDisk:       peer.heartbeat.HasDisk,
			SinceLastSeen: n.now - peer.lastSeen,
			StableFor:     peer.lastSeen - peer.stableSince,
			Degraded:      peer.degradedSince != 0,
			Draining:      peer.heartbeat.Draining && !peer.heartbeat.Stalled,
			EntryEpoch:    peer.heartbeat.EntryEpoch,
			Sealed:        peer.heartbeat.Sealed && peer.heartbeat.Epoch == n.state.view.Epoch,
		}
		if peer.heartbeat.Kind == Heartbeat && peer.heartbeat.Epoch == n.state.view.Epoch {
			observed.ReportedInEpoch, observed.ReceivesFrom = true, peer.heartbeat.ReceivesFrom
		}
		if peer.heartbeat.Kind == Heartbeat && peer.heartbeat.Epoch < n.state.view.Epoch {
			observed.BehindFor = n.now - n.epochSince
		}
		if observed.Degraded {
			observed.DegradedFor = n.now - peer.degradedSince
		}
		observation.Peers[id] = observed
	}
	own := n.heartbeat()
	self := PeerObservation{
		Member: n.Self(), HasDisk: n.config.HasDisk, StableFor: n.now - n.started, Degraded: isDegraded(&own),
		Draining:   own.Draining && !own.Stalled,
		EntryEpoch: own.EntryEpoch, Sealed: own.Sealed, ReportedInEpoch: true, ReceivesFrom: own.ReceivesFrom,
	}
	if n.draining {
		self.DegradedFor = n.now - n.drainingSince
	}
	observation.Peers[n.state.id] = self
	return observation
}
