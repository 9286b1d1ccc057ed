package chain

import "fmt"

// The kinds of durable records, each with the values that the record holds. The kind is the first byte of a
// record, and the values follow it. A record replaces the earlier ones of its kind. The records of one step
// are persisted in ascending order of kinds: a view before the acceptor that it resets, an entry before its
// position and history.
const (
	// recordIdentity: id, and 1 if bootstrapAllowed.
	recordIdentity = iota + 1
	// recordFirstView: acceptedFirstView.
	recordFirstView
	// recordView: view. Replaying it also resets the acceptor.
	recordView
	// recordAcceptor: promised, accepted, acceptedView.
	recordAcceptor
	// recordEntry: epoch, sequence, version and body of the accepted entry, without its history.
	recordEntry
	// recordPosition: epoch of the accepted entry, committedSequence, sealed.
	recordPosition
	// recordHistory: history of the latest recordEntry. Logs of earlier releases have no such record.
	recordHistory
	// recordSuccessor: an entry like recordEntry. Its history is that of the entry before it, followed by that
	// entry.
	recordSuccessor
	// recordKinds is one more than the highest kind.
	recordKinds
)

// recordTerminator ends records that could otherwise end in zero bytes, which a log could mistake for a
// sector that was never written. Readers ignore it.
const recordTerminator = 0xff

// RecordError reports a durable record that this release can't read.
type RecordError struct {
	Kind   byte
	Reason string
}

// Error implements error.
func (e *RecordError) Error() string {
	return fmt.Sprintf("chain: record of kind %d: %s; start the release that wrote it, or empty the directory "+
		"of the control state so that this machine joins as a new member", e.Kind, e.Reason)
}

// durableState is the state that a node persists. It corresponds to Raft's persistent state on all servers.
// Only a step of Node changes it, and the step's records are durable before any message or reply that depends
// on the change leaves the process.
type durableState struct {
	id MemberID
	// bootstrapAllowed means that this disk was first used with Config.AllowBootstrap set.
	bootstrapAllowed bool
	// acceptedFirstView is the latest first view that this node has accepted, decided or not.
	acceptedFirstView View
	// view is the latest decided view that this node knows.
	view     View
	acceptor acceptorState
	// accepted is the latest entry that this node accepted. Its epoch is the latest one in which this node
	// accepted it.
	accepted acceptedEntry
	// predecessor is the entry before the accepted one, if the disk still has it. It is committed, as a write
	// starts only when the entry before it is. Only Open uses it.
	predecessor acceptedEntry
	// committedSequence is the sequence of the latest entry known to be committed; it may lag.
	committedSequence uint64
	// sealed is the latest epoch in which this node has promised not to accept an entry, 0 if there is none.
	sealed uint64
}

// acceptorState is the state of the Paxos acceptor in the decision on the successor of the current view; a
// new view resets it. accepted is never above promised.
type acceptorState struct {
	// promised is the highest number in a Prepare or Accept so far; proposals with lower numbers are rejected.
	promised ProposalNumber
	// accepted is the number of the latest accepted proposal, zero if there is none; acceptedView is its view.
	accepted     ProposalNumber
	acceptedView View
}

// encodeRecord returns the record of one kind for the current state.
func (s *durableState) encodeRecord(kind int) []byte {
	data := encoder{byte(kind)}
	switch kind {
	case recordIdentity:
		data.string(string(s.id))
		if s.bootstrapAllowed {
			data.uvarint(1)
		}
	case recordFirstView:
		data.view(&s.acceptedFirstView)
	case recordView:
		data.view(&s.view)
	case recordAcceptor:
		data.proposalNumber(s.acceptor.promised)
		data.proposalNumber(s.acceptor.accepted)
		data.view(&s.acceptor.acceptedView)
	case recordEntry, recordSuccessor:
		data.uvarint(s.accepted.Epoch)
		data.uvarint(s.accepted.Sequence)
		data.varint(s.accepted.Version)
		data = append(data, s.accepted.Body...)
	case recordPosition:
		data.uvarint(s.accepted.Epoch)
		data.uvarint(s.committedSequence)
		data.uvarint(s.sealed)
	case recordHistory:
		data.history(s.accepted.history)
	}
	if kind != recordIdentity && kind != recordEntry && kind != recordSuccessor {
		data = append(data, recordTerminator)
	}
	return data
}

// apply replays one record. Records have to be applied in the order in which they were persisted.
func (s *durableState) apply(record []byte, config *Config) error {
	if len(record) == 0 {
		return &RecordError{Reason: "record is empty"}
	}
	data := decoder{data: record[1:]}
	switch int(record[0]) {
	case recordIdentity:
		s.id = MemberID(data.string())
		s.bootstrapAllowed = len(data.data) > 0 // absent in logs of earlier releases
	case recordFirstView:
		s.acceptedFirstView = data.view()
	case recordView:
		s.view, s.acceptor = data.view(), acceptorState{}
	case recordAcceptor:
		s.acceptor = acceptorState{data.proposalNumber(), data.proposalNumber(), data.view()}
	case recordEntry:
		s.accepted = config.newAcceptedEntry(data.entry(), nil) // a recordHistory follows
		s.predecessor = acceptedEntry{}
	case recordSuccessor:
		entry := data.entry()
		s.predecessor = s.accepted
		s.accepted = s.accepted.successor(entry, config.DigestOf(entry.Body), config.HistoryLength)
	case recordPosition:
		s.accepted.Epoch = data.uvarint()
		s.committedSequence = data.uvarint()
		s.sealed = data.uvarint()
	case recordHistory:
		s.accepted.history = data.history()
	default:
		return &RecordError{Kind: record[0], Reason: "unknown kind"}
	}
	if data.failed {
		return &RecordError{Kind: record[0], Reason: "truncated value"}
	}
	return nil
}
