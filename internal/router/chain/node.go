package chain

import (
	"slices"
	"time"
)

// Node is one machine's part in the register: a replica, a Paxos acceptor and proposer if it is a member,
// and always a client. All methods are for one goroutine at a time. A method that returns Effects is one
// step; see Effects for what the caller has to do with them.
type Node struct {
	config Config
	now    time.Duration

	// state is what a step changes. stable is the state before the step, whose records are durable, to which
	// PersistFailed returns.
	state, stable registerState
	// changed are the kinds of records that the step has to persist.
	changed [recordKinds]bool
	// local are messages of this node to itself, handled in their order before the step ends.
	local []Message
	// effects are those of the latest step.
	effects Effects
	// diskFailing says that the latest records could not be made durable. Heartbeats report it as Stalled.
	diskFailing bool

	// peers are the other nodes that were seen, and all other members of the view.
	peers map[MemberID]*peerState
	// contacts are nodes that may know the view, see SetContacts.
	contacts []Member
	// draining says that this node is about to stop.
	draining      bool
	drainingSince time.Duration

	// Times of the latest event of each kind; started is when Open was called.
	started               time.Duration
	lastTick              time.Duration
	lastHeartbeat         time.Duration
	lastContactsHeartbeat time.Duration
	lastDiskProbe         time.Duration
	// epochSince is since when this node has its view.
	epochSince time.Duration

	// head is in use only while this node is the head of its view.
	head headState
	// forwards are the local requests that the head has not answered, by number.
	forwards map[uint64]forwardedRequest
	// proposer is in use only while this node is a member.
	proposer proposerState
	// bootstrap is nil unless this node tries to have a first view agreed on. At bootstrapTakeoverAt it begins
	// to do so with the one that it has accepted.
	bootstrap           *bootstrapState
	bootstrapTakeoverAt time.Duration
}

// registerState is what PersistFailed resets: the durable state and what is derived from it. Copies share
// slices, which are therefore never changed in place.
type registerState struct {
	durableState
	// committed is the latest entry known to be committed, if committedKnown.
	committed      acceptedEntry
	committedKnown bool
	// commitUnpersisted says that committedSequence has changed at commitUnpersistedSince and isn't persisted
	// yet. After a crash, the node learns it from the chain again.
	commitUnpersisted      bool
	commitUnpersistedSince time.Duration
}

// Open restores a node from the records that its disk holds, in their order; none for an empty disk or
// without a disk. The effects of an empty disk persist the node's identity; if that fails the node must not
// be used. Records that can't be read are reported by a *RecordError.
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

// restoreCommitted sets the latest entry known to be committed. That the accepted entry is committed may be
// persisted late; until the chain confirms it, the one before it is the latest known to be committed.
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
// accepted entry is one recordEntry with a recordHistory, whatever kind it was persisted as.
func (n *Node) SnapshotRecords() [][]byte {
	var records [][]byte
	for kind := recordIdentity; kind < recordSuccessor; kind++ {
		records = append(records, n.state.encodeRecord(kind))
	}
	return records
}

// Self returns this node, with the identity of its disk.
func (n *Node) Self() Member { return Member{n.state.id, n.config.Self.Address} }

// View returns the latest decided view that this node knows; its epoch is 0 if there is none.
func (n *Node) View() View { return n.state.view }

// InChain reports whether this node is a replica in its view.
func (n *Node) InChain() bool { return n.state.view.inChain(n.state.id) }

// IsOpenHead reports whether this node is the head and its epoch is open. Its epoch then serves as a fencing
// token.
func (n *Node) IsOpenHead() bool { return n.isHead() && n.head.open }

// Committed returns the latest entry that this node knows to be committed, which may lag. It is false if
// there is none yet.
func (n *Node) Committed() (Entry, bool) { return n.state.committed.Entry, n.state.committedKnown }

// SetContacts sets the nodes that this one asks for the view while it sees no member; of a contact maybe
// only the address is known.
func (n *Node) SetContacts(contacts []Member) { n.contacts = slices.Clone(contacts) }

// Receive handles a message of another node. The transport has to ensure that it comes from a node of the
// same fleet: Message.From is trusted.
func (n *Node) Receive(now time.Duration, m Message) Effects {
	n.begin(now)
	n.handle(m)
	return n.finish()
}

// Tick lets time pass. It has to be called several times per Config.HeartbeatInterval.
func (n *Node) Tick(now time.Duration) Effects {
	n.begin(now)
	n.compensateForProcessStall()
	n.forgetPeers()
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

// Drain announces that this node is about to stop. The caller should keep driving it until Drained, if time
// allows.
func (n *Node) Drain(now time.Duration) Effects {
	n.begin(now)
	if !n.draining {
		n.draining, n.drainingSince = true, n.now
	}
	n.sendHeartbeats()
	return n.finish()
}

// Drained reports whether a draining node isn't needed any more: the epoch is open without it in the chain,
// and another member has replaced it if there is a candidate.
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
	plan := planner{view: view, observed: n.observe(), rules: n.rules()}
	return !view.isMember(n.state.id) || len(plan.candidates()) == 0
}

// isEpochOpenAt reports whether another node has lately reported, as the head, that the epoch is open.
func (n *Node) isEpochOpenAt(head MemberID) bool {
	peer := n.peers[head]
	return peer != nil && n.recentlySeen(peer) && peer.heartbeat.Open &&
		peer.heartbeat.Epoch == n.state.view.Epoch
}

// PersistFailed reverts the latest step because its records could not be made durable. All requests that
// wait are answered Unavailable. The disk counts as failing until a later write succeeds.
func (n *Node) PersistFailed(now time.Duration) Effects {
	failed := n.effects
	n.now = max(n.now, now)
	n.state = n.stable
	n.effects, n.local = Effects{}, nil
	n.changed = [recordKinds]bool{}
	n.diskFailing = true
	n.lastDiskProbe = n.now
	n.revokeReplies(failed)
	n.startEpoch()
	return n.finish()
}

// revokeReplies answers Unavailable what a failed step had answered: those requests have left their queues
// already, and its replies must not leave the process.
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

// begin starts a step. The records of the step before it are durable.
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
	for len(n.local) > 0 {
		next := n.local[0]
		n.local = n.local[1:]
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

// sendTo sends a message to a node of which maybe only the address is known.
func (n *Node) sendTo(to Member, m Message) {
	m.From, m.Epoch = n.state.id, n.state.view.Epoch
	if to.ID == n.state.id {
		n.local = append(n.local, m)
		return
	}
	n.effects.Messages = append(n.effects.Messages, Envelope{to, m})
}

// persistDeferred persists a committed sequence that has waited for long enough, and probes a disk that has
// failed.
func (n *Node) persistDeferred() {
	if n.state.commitUnpersisted && n.now-n.state.commitUnpersistedSince >= n.config.PersistCommitAfter {
		n.changed[recordPosition] = true
	}
	if n.diskFailing && n.now-n.lastDiskProbe >= n.config.ResendAfter {
		n.lastDiskProbe = n.now
		n.changed[recordPosition] = true
	}
}
