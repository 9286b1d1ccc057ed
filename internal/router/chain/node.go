package chain

import (
	"slices"
	"time"
)

// Node is the state machine of one machine: always a client of the register, a Paxos acceptor and proposer if
// it is a member of the view, and a replica if it is also in the chain. Its methods must not be called
// concurrently. A call that returns Effects is one step; see Effects for what the caller has to do with them.
type Node struct {
	config Config
	now    time.Duration

	// state is changed by steps. stable is the state before the current step: its records are durable, and
	// PersistFailed returns to it.
	state, stable registerState
	// changed marks the kinds of records that the current step has to persist.
	changed [recordKinds]bool
	// selfMessages are messages of this node to itself, handled in their order before the step ends.
	selfMessages []Message
	// effects are those of the latest step.
	effects Effects
	// diskFailing means that the latest records could not be made durable. Heartbeats report it as Stalled.
	diskFailing bool

	// peers are the other nodes from which messages arrived, and all other members of the view.
	peers map[MemberID]*peerState
	// contacts are nodes that may know the view, see SetContacts.
	contacts []Member
	// draining means that this node is about to stop.
	draining      bool
	drainingSince time.Duration

	// Times of the latest event of each kind; started is when Open was called.
	started               time.Duration
	lastTick              time.Duration
	lastHeartbeat         time.Duration
	lastContactsHeartbeat time.Duration
	lastDiskProbe         time.Duration
	// epochStarted is when startEpoch ran last: for a new view, after a restart or after a failed write.
	epochStarted time.Duration

	// head is in use only while this node is the head of its view.
	head headState
	// forwards are the local requests that the head has not answered yet, by request number.
	forwards map[uint64]forwardedRequest
	// proposer is in use only while this node is a member.
	proposer proposerState
	// bootstrap is nil unless this node tries to get a first view decided. At bootstrapTakeoverAt, a node that
	// has accepted a first view and still has no view starts to do so with the accepted one.
	bootstrap           *bootstrapState
	bootstrapTakeoverAt time.Duration
}

// registerState is the part of a node's state that PersistFailed resets: the durable state and what is
// derived from it. Copies share slices, so slices are never modified in place.
type registerState struct {
	durableState
	// committed is the latest entry known to be committed, if committedKnown.
	committed      acceptedEntry
	committedKnown bool
	// commitUnpersisted means that committedSequence changed at commitUnpersistedSince and is not persisted
	// yet. After a crash, the node learns it from the chain again.
	commitUnpersisted      bool
	commitUnpersistedSince time.Duration
}

// Open restores a node from the records of its disk, in the order in which they were persisted; there are
// none if the disk is empty or the machine has no disk. For an empty disk the returned effects persist the
// node's identity; if that fails, the node must not be used. A record that can't be read is reported by a
// *RecordError.
func Open(config Config, now time.Duration, records [][]byte) (*Node, Effects, error) {
	n := &Node{
		config:   config.withDefaults(),
		now:      now,
		started:  now,
		lastTick: now,
		peers:    map[MemberID]*peerState{},
		forwards: map[uint64]forwardedRequest{},
	}
	n.state.accepted = n.config.newAcceptedEntry(Entry{}, nil)
	for _, record := range records {
		if err := n.state.apply(record, &n.config); err != nil {
			return nil, Effects{}, err
		}
	}
	if n.state.id == "" {
		n.state.id, n.state.bootstrapAllowed = config.Self.ID, config.AllowBootstrap
		n.changed[recordIdentity] = true
	}
	n.restoreCommitted()
	n.stable = n.state
	n.resetBootstrapTakeover()
	n.startEpoch()
	if n.isHead() {
		n.sendAccepted()
	}
	return n, n.finish(), nil
}

// restoreCommitted sets the latest entry known to be committed after a restart. The commit of the accepted
// entry may not have been persisted; until the chain confirms it, the entry before it is the latest one known
// to be committed.
func (n *Node) restoreCommitted() {
	state := &n.state
	switch {
	case state.accepted.Sequence > 0 && state.committedSequence == state.accepted.Sequence:
		state.committed, state.committedKnown = state.accepted, true
	case state.predecessor.Sequence > 0:
		state.committed, state.committedKnown = state.predecessor, true
	}
	state.predecessor = acceptedEntry{}
}

// SnapshotRecords returns records that replace all earlier ones, including those of the latest step. The
// accepted entry is returned as a recordEntry and a recordHistory, even if it was persisted as a
// recordSuccessor.
func (n *Node) SnapshotRecords() [][]byte {
	var records [][]byte
	for kind := recordIdentity; kind < recordSuccessor; kind++ {
		records = append(records, n.state.encodeRecord(kind))
	}
	return records
}

// Self returns this node as a member, with the identity that its disk holds.
func (n *Node) Self() Member { return Member{n.state.id, n.config.Self.Address} }

// View returns the latest decided view that this node knows; its epoch is 0 if the node knows none.
func (n *Node) View() View { return n.state.view }

// InChain reports whether this node is a replica in its view.
func (n *Node) InChain() bool { return n.state.view.inChain(n.state.id) }

// IsOpenHead reports whether this node is the head and its epoch is open. Its epoch then serves as a fencing
// token.
func (n *Node) IsOpenHead() bool { return n.isHead() && n.head.open }

// Committed returns the latest entry that this node knows to be committed, which may lag behind the register.
// The second result is false if the node knows of none yet.
func (n *Node) Committed() (Entry, bool) { return n.state.committed.Entry, n.state.committedKnown }

// SetContacts sets the nodes that this node sends heartbeats to, to learn the view, while it receives from no
// member. The ID of a contact may be empty if only its address is known.
func (n *Node) SetContacts(contacts []Member) { n.contacts = slices.Clone(contacts) }

// Receive handles a message from another node. The transport has to ensure that the sender is a node of the
// same fleet: Message.From is trusted.
func (n *Node) Receive(now time.Duration, m Message) Effects {
	n.begin(now)
	n.handle(m)
	return n.finish()
}

// Tick performs the work that depends on time: timeouts, retransmissions, view changes and heartbeats. It has
// to be called several times per Config.HeartbeatInterval.
func (n *Node) Tick(now time.Duration) Effects {
	n.begin(now)
	n.compensateForProcessStall()
	n.removeExpiredPeers()
	n.expireRequests()
	n.resend()
	n.tickBootstrap()
	n.tickViewChange()
	n.persistDeferred()
	if n.now-n.lastHeartbeat >= n.config.HeartbeatInterval {
		n.sendHeartbeats()
	}
	return n.finish()
}

// Drain announces to the other nodes that this node is about to stop. The caller should keep driving the node
// until Drained returns true, if time allows.
func (n *Node) Drain(now time.Duration) Effects {
	n.begin(now)
	if !n.draining {
		n.draining, n.drainingSince = true, n.now
	}
	n.sendHeartbeats()
	return n.finish()
}

// Drained reports whether a draining node is no longer needed: the epoch is open without it in the chain,
// and another machine has replaced it as a member if there is a candidate.
func (n *Node) Drained() bool {
	view := &n.state.view
	switch {
	case !n.draining:
		return false
	case view.Epoch == 0:
		return true
	case n.InChain():
		return false
	}
	if !n.isEpochOpenAt(view.head()) {
		return false
	}
	plan := planner{view: view, observed: n.observe(), config: n.plannerConfig()}
	return !view.isMember(n.state.id) || len(plan.candidates()) == 0
}

// isEpochOpenAt reports whether the head, another node, was seen recently and said in its latest heartbeat
// that the epoch is open.
func (n *Node) isEpochOpenAt(head MemberID) bool {
	peer := n.peers[head]
	return peer != nil && n.recentlySeen(peer) && peer.heartbeat.Open &&
		peer.heartbeat.Epoch == n.state.view.Epoch
}

// PersistFailed reverts the latest step because its records could not be made durable. All waiting requests
// are answered Unavailable. The disk counts as failing until a later write succeeds.
func (n *Node) PersistFailed(now time.Duration) Effects {
	failed := n.effects
	n.now = max(n.now, now)
	n.state = n.stable
	n.effects, n.selfMessages = Effects{}, nil
	n.changed = [recordKinds]bool{}
	n.diskFailing = true
	n.lastDiskProbe = n.now
	n.revokeReplies(failed)
	n.startEpoch()
	return n.finish()
}

// revokeReplies answers Unavailable to the requests that the failed step had answered: they are no longer in
// any queue, and the replies of that step must not leave the process.
func (n *Node) revokeReplies(failed Effects) {
	for _, reply := range failed.Replies {
		n.reply(Reply{Request: reply.Request, Outcome: Unavailable})
	}
	for _, envelope := range failed.Messages {
		if n.isHead() && envelope.Message.Kind == ForwardReply {
			n.answer(request{from: envelope.To.ID, id: envelope.Message.Request}, Unavailable)
		}
	}
}

// begin starts a step. The records of the previous step are durable by now, or PersistFailed has reverted it.
func (n *Node) begin(now time.Duration) {
	n.now = max(n.now, now)
	if len(n.effects.Persist) > 0 {
		n.diskFailing = false
	}
	n.stable = n.state
	n.effects = Effects{}
}

// finish handles the node's messages to itself and encodes the records of the step.
func (n *Node) finish() Effects {
	for len(n.selfMessages) > 0 {
		next := n.selfMessages[0]
		n.selfMessages = n.selfMessages[1:]
		n.handle(next)
	}
	if n.changed != [recordKinds]bool{} && n.state.commitUnpersisted {
		n.state.commitUnpersisted = false
		n.changed[recordPosition] = true
	}
	for kind, changed := range n.changed {
		if changed && n.config.HasDisk {
			n.effects.Persist = append(n.effects.Persist, n.state.encodeRecord(kind))
		}
		n.changed[kind] = false
	}
	return n.effects
}

// send sends a message to a node, which may be this one, at its latest known address.
func (n *Node) send(to MemberID, m Message) {
	n.sendTo(n.memberByID(to), m)
}

// sendTo sends a message to a node whose ID may be unknown (empty).
func (n *Node) sendTo(to Member, m Message) {
	m.From, m.Epoch = n.state.id, n.state.view.Epoch
	if to.ID == n.state.id {
		n.selfMessages = append(n.selfMessages, m)
		return
	}
	n.effects.Messages = append(n.effects.Messages, Envelope{to, m})
}

// persistDeferred persists a committed sequence that has waited for Config.PersistCommitAfter, and probes a
// failing disk with a write every Config.ResendAfter.
func (n *Node) persistDeferred() {
	if n.state.commitUnpersisted && n.now-n.state.commitUnpersistedSince >= n.config.PersistCommitAfter {
		n.changed[recordPosition] = true
	}
	if n.diskFailing && n.now-n.lastDiskProbe >= n.config.ResendAfter {
		n.lastDiskProbe = n.now
		n.changed[recordPosition] = true
	}
}
