package chain

import "time"

const (
	// maxPeers bounds Node.peers: once it has this many, heartbeats of unknown nodes add no more. It also bounds
	// bootstrapState.replied.
	maxPeers = 256
	// peerExpiry is how long a node that is not a member stays in Node.peers after it was last seen.
	peerExpiry = 10 * time.Second
	// contactHeartbeatPeriod is the time between two heartbeats to the contacts, in heartbeat intervals.
	contactHeartbeatPeriod = 3
)

// peerState is the latest observed state of another node, like the Progress of etcd's raft.
type peerState struct {
	member Member
	// lastSeen is when its latest message arrived. For a member that was never seen, see trackMembers.
	lastSeen time.Duration
	// stableSince is when its messages began to arrive without a gap of more than Config.SuspectAfter.
	stableSince time.Duration
	// heartbeat is its latest heartbeat; the Kind is 0 if none has arrived.
	heartbeat Message
	// degradedSince is when the peer began to report that it is draining or stalled; 0 if it reports neither.
	degradedSince time.Duration
}

// isDegraded reports whether the sender of a heartbeat is draining or stalled.
func isDegraded(heartbeat *Message) bool { return heartbeat.Draining || heartbeat.Stalled }

// updatePeer updates the state of the node that sent a message. A heartbeat from an unknown node adds it.
func (n *Node) updatePeer(m *Message) {
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
		peer.updateHeartbeat(m, n.now)
	}
}

// updateHeartbeat stores the latest heartbeat. Heartbeats may arrive out of order; the stored epoch of the
// accepted entry nevertheless never falls.
func (p *peerState) updateHeartbeat(m *Message, now time.Duration) {
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

// trackMembers adds members that were never seen to the peers. Such a member counts as last seen now or, if
// another identity at the same address has sent heartbeats, as last seen at the stableSince of that identity.
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

// compensateForProcessStall keeps members from being suspected only because this process itself did not run
// for a while. It doesn't apply to members that had timed out before the stall, nor to candidates: a
// candidate that stopped in the meantime must not count as live.
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

// removeExpiredPeers removes nodes that are not members and were not seen for peerExpiry.
func (n *Node) removeExpiredPeers() {
	for id, peer := range n.peers {
		if n.now-peer.lastSeen > peerExpiry && !n.state.view.isMember(id) {
			delete(n.peers, id)
		}
	}
}

// recentlySeen reports whether a message from a peer has arrived within Config.SuspectAfter.
func (n *Node) recentlySeen(peer *peerState) bool {
	return n.now-peer.lastSeen <= n.config.SuspectAfter
}

// memberByID returns the node with an ID and its latest known address.
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

// observePeer returns the planner's input about another node.
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
		observed.StaleEpochFor = n.now - n.epochStarted
	}
	if observed.Degraded {
		observed.DegradedFor = n.now - peer.degradedSince
	}
	return observed
}

// observeSelf returns the planner's input about this node, taken from the heartbeat that it would send now.
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
