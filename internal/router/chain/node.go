package chain

import (
	"slices"
	"time"
)

// Node is one machine's part in the control state. It is for one goroutine at a time. Every method that
// returns Effects is one step; see Effects for what the caller owes.
type Node struct {
	config Config
	now    time.Duration

	// state is what a step changes, saved what it was before the step.
	state, stable registerState
	// changed are the kinds of records that the step has to persist.
	changed [recordKinds]bool
	// local are messages of this node to itself, handled before the step ends.
	local   []Message
	effects Effects
	// stalled says that the last records could not be made durable.
	stalled bool

	peers    map[MemberID]*peerState
	contacts []Member
	// draining says that this node is about to stop, drainingSince since when.
	draining      bool
	drainingSince time.Duration

	started               time.Duration
	lastTick              time.Duration
	lastHeartbeat         time.Duration
	lastContactsHeartbeat time.Duration
	lastDiskProbe         time.Duration
	// epochSince is since when this node knows its view.
	epochSince time.Duration

	head      headRole
	forwards  map[uint64]forwardedRequest
	proposer  proposerState
	bootstrap *bootstrapState
	// bootstrapTakeoverAt is when this node goes on with a founding that it has consented to.
	bootstrapTakeoverAt time.Duration
}

// registerState is what is set back when records can't be made durable.
type registerState struct {
	durableState
	// committed is the latest entry known to be committed.
	committed      acceptedEntry
	committedKnown bool
	// commitUnpersisted says that committedSequence has changed and isn't persisted, unpersistedSince since
	// when.
	commitUnpersisted bool
	unpersistedSince  time.Duration
}

// Open makes a node of the records that its disk holds; none for an empty disk or none at all. The effects
// of an empty disk persist the node's identity; if that fails the node has to be thrown away.
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
		n.openEpoch()
	}
	return n, n.finish(), nil
}

// restoreCommitted takes what the disk tells of the latest committed entry. That the held one is committed is
// persisted a while after the fact; until the chain confirms it, the one before it is the latest known to be.
func (n *Node) restoreCommitted() {
	s := &n.state
	switch {
	case s.accepted.Sequence > 0 && s.committedSequence == s.accepted.Sequence:
		s.committed, s.committedKnown = s.accepted, true
	case s.predecessor.Sequence > 0:
		s.committed, s.committedKnown = s.predecessor, true
	}
	s.predecessor = acceptedEntry{}
}

// SnapshotRecords returns records that stand for the whole durable state, what the last step changed
// included.
func (n *Node) SnapshotRecords() [][]byte {
	var records [][]byte
	for kind := recordIdentity; kind < recordSuccessor; kind++ {
		records = append(records, n.state.encodeRecord(kind))
	}
	return records
}

// Self returns this node under the identity of its disk.
func (n *Node) Self() Member { return Member{n.state.id, n.config.Self.Address} }

// View returns the latest decided view that this node knows; its epoch is 0 if it knows none.
func (n *Node) View() View { return n.state.view }

// InChain tells whether this node is a replica in the view it knows.
func (n *Node) InChain() bool { return n.state.view.inChain(n.state.id) }

// IsOpenHead tells whether this node is the head and its epoch is open.
func (n *Node) IsOpenHead() bool { return n.isHead() && n.head.open }

// Committed returns the latest entry that this node knows to be committed.
func (n *Node) Committed() (Entry, bool) { return n.state.committed.Entry, n.state.committedKnown }

// SetContacts names other nodes that may know the view.
func (n *Node) SetContacts(contacts []Member) { n.contacts = slices.Clone(contacts) }

// Receive takes a message of another node.
func (n *Node) Receive(now time.Duration, m Message) Effects {
	n.begin(now)
	n.handle(m)
	return n.finish()
}

// Tick lets time pass. It has to be called several times per HeartbeatInterval.
func (n *Node) Tick(now time.Duration) Effects {
	n.begin(now)
	n.compensateForProcessStall()
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

// Drain tells the others that this node is about to stop. It should go on until Drained, if time allows.
func (n *Node) Drain(now time.Duration) Effects {
	n.begin(now)
	if !n.draining {
		n.draining, n.drainingSince = true, n.now
	}
	n.sendHeartbeats()
	return n.finish()
}

// Drained tells whether a node that leaves isn't needed any more: the others hold what it holds, and another
// member has taken its place if there is one to do so.
func (n *Node) Drained() bool {
	view := &n.state.view
	if !n.draining || view.Epoch == 0 || n.InChain() {
		return n.draining && view.Epoch == 0
	}
	head := n.peers[view.head()]
	if head == nil || !n.recentlySeen(head) || !head.heartbeat.Open || head.heartbeat.Epoch != view.Epoch {
		return false
	}
	p := planner{view: view, observed: n.observe(), rules: n.rules()}
	return !view.isMember(n.state.id) || len(p.candidates()) == 0
}

// PersistFailed takes the last step back, because its records could not be made durable. Whoever waits for an
// answer gets Unavailable. The node counts as stalled until a later write works.
func (n *Node) PersistFailed(now time.Duration) Effects {
	failed := n.effects
	n.now = max(n.now, now)
	n.state = n.stable
	n.effects, n.local = Effects{}, nil
	n.changed = [recordKinds]bool{}
	n.stalled = true
	n.lastDiskProbe = n.now
	for _, reply := range failed.Replies {
		n.effects.Replies = append(n.effects.Replies, Reply{Request: reply.Request, Outcome: Unavailable})
	}
	for _, envelope := range failed.Messages {
		if n.isHead() && envelope.Message.Kind == ForwardReply {
			n.send(envelope.To.ID, Message{
				Kind: ForwardReply, Request: envelope.Message.Request, Outcome: Unavailable,
			})
		}
	}
	n.startEpoch()
	return n.finish()
}

// begin starts a step: what the one before it persisted is durable.
func (n *Node) begin(now time.Duration) {
	n.now = max(n.now, now)
	if len(n.effects.Persist) > 0 {
		n.stalled = false
	}
	n.stable = n.state
	n.effects = Effects{}
}

// finish handles the node's messages to itself and collects the records of the step.
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

// send sends a message to a node, which may be this one.
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

// persistDeferred persists what may be late, and tries a disk that had failed.
func (n *Node) persistDeferred() {
	if n.state.commitUnpersisted && n.now-n.state.unpersistedSince >= n.config.PersistCommitAfter {
		n.changed[recordPosition] = true
	}
	if n.stalled && n.now-n.lastDiskProbe >= n.config.ResendAfter {
		n.lastDiskProbe = n.now
		n.changed[recordPosition] = true
	}
}
