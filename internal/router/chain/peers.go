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
	// contactEvery is how many heartbeat intervals are between two messages to the contacts.
	contactEvery = 3
)

// peer is what this node has heard of another.
type peer struct {
	member    Member
	lastHeard time.Duration
	// steadySince is when the heartbeats began that have come without a gap since.
	steadySince time.Duration
	heartbeat   Message
	// unfitSince is when the peer began to say that it leaves or that its disk fails; 0 is never.
	unfitSince time.Duration
}

// isUnfit tells whether a heartbeat says that its sender leaves or that its disk fails.
func isUnfit(heartbeat *Message) bool { return heartbeat.Leaving || heartbeat.Stalled }

// hear notes that a message came.
func (n *Node) hear(m *Message) {
	if m.From == "" || m.From == n.state.id {
		return
	}
	known := n.peers[m.From]
	if known == nil {
		if m.Kind != Heartbeat || len(n.peers) >= maxPeers {
			return
		}
		known = &peer{member: Member{ID: m.From}, steadySince: n.now}
		n.peers[m.From] = known
	}
	if n.now-known.lastHeard > n.config.SuspectAfter {
		known.steadySince = n.now
	}
	known.lastHeard = n.now
	if m.Kind == Heartbeat {
		known.note(m, n.now)
	}
}

// note keeps a heartbeat's content.
func (p *peer) note(m *Message, now time.Duration) {
	if m.Address != "" {
		p.member.Address = m.Address
	}
	switch {
	case !isUnfit(m):
		p.unfitSince = 0
	case p.unfitSince == 0:
		p.unfitSince = now
	}
	entryEpoch := max(p.heartbeat.EntryEpoch, m.EntryEpoch)
	p.heartbeat = *m
	p.heartbeat.EntryEpoch = entryEpoch
}

// expectMembers enters members that were never heard, as if they had been heard now, or before another
// identity of the same machine was heard first.
func (n *Node) expectMembers() {
	for _, member := range n.state.view.Members {
		if n.peers[member.ID] != nil || member.ID == n.state.id {
			continue
		}
		heard := n.now
		for _, known := range n.peers {
			if known.member.Address == member.Address && known.heartbeat.Kind == Heartbeat {
				heard = min(heard, known.steadySince)
			}
		}
		n.peers[member.ID] = &peer{member: member, lastHeard: heard, steadySince: heard}
	}
}

// forgiveOwnPause lets no member be suspected for silence while this node itself was stopped, unless it was
// silent before. A candidate that went away meanwhile must not be taken for one that is there.
func (n *Node) forgiveOwnPause() {
	began := n.lastTick
	n.lastTick = n.now
	for id, known := range n.peers {
		heardBefore := began-known.lastHeard <= n.config.SuspectAfter
		if n.now-began > n.config.SuspectAfter/2 && heardBefore && n.state.view.isMember(id) {
			known.lastHeard = max(known.lastHeard, n.now-n.config.HeartbeatInterval)
		}
		if n.now-known.lastHeard > forgetAfter && !n.state.view.isMember(id) {
			delete(n.peers, id)
		}
	}
}

// heard tells whether a node was heard lately.
func (n *Node) heard(known *peer) bool { return n.now-known.lastHeard <= n.config.SuspectAfter }

// heartbeat makes this node's heartbeat.
func (n *Node) heartbeat() Message {
	m := Message{
		Kind:       Heartbeat,
		Address:    n.config.Self.Address,
		HasDisk:    n.config.HasDisk,
		EntryEpoch: n.state.held.Epoch,
		Open:       n.IsOpenHead(),
		Leaving:    n.leaving,
		Stalled:    n.stalled || n.waitsForFounding(),
		Sealed:     n.state.sealed != 0 && n.state.sealed == n.state.view.Epoch,
		Sequence:   n.state.committedSequence,
	}
	for _, member := range n.state.view.Members {
		if known := n.peers[member.ID]; known != nil && n.heard(known) {
			m.Hears = append(m.Hears, member.ID)
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
		known := n.peers[id]
		listens := n.heard(known) && known.heartbeat.Kind == Heartbeat && !n.state.view.isMember(id)
		if listens && n.state.view.isMember(n.state.id) {
			n.send(id, m)
		}
	}
	if len(m.Hears) == 0 && n.now-n.lastContact >= contactEvery*n.config.HeartbeatInterval {
		n.askContacts(m)
	}
}

// askContacts sends a heartbeat to nodes that are no members: one that knows a newer view answers with it.
func (n *Node) askContacts(m Message) {
	n.lastContact = n.now
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
	if known := n.peers[id]; known != nil && known.member.Address != "" {
		return known.member
	}
	if member, found := n.state.view.member(id); found {
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
	seen := Observation{Self: n.state.id, Peers: map[MemberID]PeerState{}}
	for id, known := range n.peers {
		state := PeerState{
			Member:     known.member,
			HasDisk:    known.heartbeat.HasDisk,
			Silence:    n.now - known.lastHeard,
			Steady:     known.lastHeard - known.steadySince,
			Unfit:      known.unfitSince != 0,
			Leaving:    known.heartbeat.Leaving && !known.heartbeat.Stalled,
			EntryEpoch: known.heartbeat.EntryEpoch,
			Sealed:     known.heartbeat.Sealed && known.heartbeat.Epoch == n.state.view.Epoch,
		}
		if known.heartbeat.Kind == Heartbeat && known.heartbeat.Epoch == n.state.view.Epoch {
			state.Reports, state.Hears = true, known.heartbeat.Hears
		}
		if known.heartbeat.Kind == Heartbeat && known.heartbeat.Epoch < n.state.view.Epoch {
			state.Behind = n.now - n.epochSince
		}
		if state.Unfit {
			state.UnfitFor = n.now - known.unfitSince
		}
		seen.Peers[id] = state
	}
	own := n.heartbeat()
	self := PeerState{
		Member: n.Self(), HasDisk: n.config.HasDisk, Steady: n.now - n.started, Unfit: isUnfit(&own),
		Leaving:    own.Leaving && !own.Stalled,
		EntryEpoch: own.EntryEpoch, Sealed: own.Sealed, Reports: true, Hears: own.Hears,
	}
	if n.leaving {
		self.UnfitFor = n.now - n.leavingSince
	}
	seen.Peers[n.state.id] = self
	return seen
}
