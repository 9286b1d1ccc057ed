package chain

import "time"

const (
	// maxPeers bounds the table of nodes that were seen.
	maxPeers = 256
	// forgetAfter is how long a node that is not a member stays in the table after it was last seen.
	forgetAfter = 10 * time.Second
	// heartbeatsPerContact is how many heartbeat intervals pass between two heartbeats to the contacts.
	heartbeatsPerContact = 3
)

// peerState is the last observed state of another node, like the Progress of etcd's raft.
type peerState struct {
	member Member
	// lastSeen is when its latest message came. Of a member that was never seen, see trackMembers.
	lastSeen time.Duration
	// stableSince is when its messages began to arrive without a gap.
	stableSince time.Duration
	// heartbeat is the latest one; its Kind is 0 if none has come.
	heartbeat Message
	// degradedSince is when the peer began to report that it drains or that its disk fails; 0 if it does not.
	degradedSince time.Duration
}

// isDegraded reports whether the sender of a heartbeat drains or its disk fails.
func isDegraded(heartbeat *Message) bool { return heartbeat.Draining || heartbeat.Stalled }

// recordReceipt updates the peer that a message came from; a heartbeat adds an unknown one.
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

// recordHeartbeat stores the latest heartbeat. The epoch of the accepted entry never falls, though
// heartbeats may arrive out of order.
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

// trackMembers adds members that were never seen, as if they had been seen now, or when another identity of
// the same machine was first seen.
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

// compensateForProcessStall keeps members from being suspected only because this process itself did not run.
// It leaves out members that had timed out before the stall, and all candidates: one that stopped meanwhile
// must not count as live.
func (n *Node) compensateForProcessStall() {
	lastTick := n.lastTick
	n.lastTick = n.now
	if n.now-lastTick <= n.config.SuspectAfter/2 {
		return
	}
	for id, peer := range n.peers {
		seenBefore := lastTick-peer.lastSeen <= n.config.SuspectAfter
		if seenBefore && n.state.view.isMember(id) {
			peer.lastSeen = max(peer.lastSeen, n.now-n.config.HeartbeatInterval)
		}
	}
}

// forgetPeers removes nodes that are not members and were not seen for long.
func (n *Node) forgetPeers() {
	for id, peer := range n.peers {
		if n.now-peer.lastSeen > forgetAfter && !n.state.view.isMember(id) {
			delete(n.peers, id)
		}
	}
}

// recentlySeen reports whether a peer was seen within Config.SuspectAfter.
func (n *Node) recentlySeen(peer *peerState) bool {
	return n.now-peer.lastSeen <= n.config.SuspectAfter
}

// memberByID returns a node with its latest known address.
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

// observe returns the planner's input.
func (n *Node) observe() Observation {
	observation := Observation{Self: n.state.id, Peers: map[MemberID]PeerObservation{}}
	for id, peer := range n.peers {
		observation.Peers[id] = n.observePeer(peer)
	}
	observation.Peers[n.state.id] = n.observeSelf()
	return observation
}

// observePeer returns the planner's input of another node.
func (n *Node) observePeer(peer *peerState) PeerObservation {
	heartbeat := &peer.heartbeat
	observed := PeerObservation{
		Member:        peer.member,
		HasDisk:       heartbeat.HasDisk,
		SinceLastSeen: n.now - peer.lastSeen,
		StableFor:     peer.lastSeen - peer.stableSince,
		Degraded:      peer.degradedSince != 0,
		Draining:      heartbeat.Draining && !heartbeat.Stalled,
		EntryEpoch:    heartbeat.EntryEpoch,
		Sealed:        heartbeat.Sealed && heartbeat.Epoch == n.state.view.Epoch,
	}
	hasReported := heartbeat.Kind == Heartbeat
	if hasReported && heartbeat.Epoch == n.state.view.Epoch {
		observed.ReportedInEpoch, observed.ReceivesFrom = true, heartbeat.ReceivesFrom
	}
	if hasReported && heartbeat.Epoch < n.state.view.Epoch {
		observed.BehindFor = n.now - n.epochSince
	}
	if observed.Degraded {
		observed.DegradedFor = n.now - peer.degradedSince
	}
	return observed
}

// observeSelf returns the planner's input of this node, from the heartbeat that it would send now.
func (n *Node) observeSelf() PeerObservation {
	own := n.heartbeat()
	self := PeerObservation{
		Member: n.Self(), HasDisk: n.config.HasDisk, StableFor: n.now - n.started, Degraded: isDegraded(&own),
		Draining:   own.Draining && !own.Stalled,
		EntryEpoch: own.EntryEpoch, Sealed: own.Sealed, ReportedInEpoch: true, ReceivesFrom: own.ReceivesFrom,
	}
	if n.draining {
		self.DegradedFor = n.now - n.drainingSince
	}
	return self
}
