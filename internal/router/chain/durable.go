package chain

import "fmt"

// The kinds of durable records, the first byte of each, with the values that follow it. A record replaces the
// earlier ones of its kind. The records of one step are persisted in ascending order of kinds: a view before
// the acceptor that it resets, an entry before its position and history.
const (
	// recordIdentity: id, and 1 if bootstrapAllowed.
	recordIdentity = iota + 1
	// recordGenesis: genesis.
	recordGenesis
	// recordView: view. It also resets the acceptor.
	recordView
	// recordAcceptor: promised, accepted, acceptedView.
	recordAcceptor
	// recordEntry: epoch, sequence, version and body of the accepted entry, without its history.
	recordEntry
	// recordPosition: epoch of the accepted entry, committedSequence, sealed.
	recordPosition
	// recordHistory: history of the latest recordEntry. Logs of earlier releases have none.
	recordHistory
	// recordSuccessor: an entry like recordEntry, whose history is that of the entry before it and that entry.
	recordSuccessor
	// recordKinds is one more than the highest kind.
	recordKinds
)

// recordEnd terminates records that would otherwise end in zeros, which a log could take for a sector that
// was never written. It is ignored on reading.
const recordEnd = 0xff

// RecordError reports a durable record that this release can't read.
type RecordError struct {
	Kind   byte
	Reason string
}

// Error implements error.
func (e *RecordError) Error() string {
	return fmt.Sprintf("chain: record of kind %d: %s; start the release that wrote it, or empty the folder of "+
		"the control state to join anew", e.Kind, e.Reason)
}

// durableState is what a node persists. It corresponds to Raft's persistent state on all servers. Only a step
// of Node changes it, and the step's records are durable before anything that depends on the change leaves.
type durableState struct {
	id MemberID
	// bootstrapAllowed says that this disk was first used with Config.AllowBootstrap set.
	bootstrapAllowed bool
	// genesis is the latest first view that this node has accepted, decided or not.
	genesis View
	// view is the latest decided view that this node knows.
	view     View
	acceptor acceptorState
	// accepted is the latest entry that this node accepted. Its epoch is the one in which it was accepted last.
	accepted acceptedEntry
	// predecessor is the entry before the accepted one, if the disk still has it. It is committed, as a write
	// starts only then. It is used only by Open.
	predecessor acceptedEntry
	// committedSequence is the highest sequence known to be committed; it may lag.
	committedSequence uint64
	// sealed is the epoch in which this node has promised never to accept a first entry.
	sealed uint64
}

// acceptorState is the state of the Paxos acceptor for the successor of the current view; a new view resets
// it. The number accepted is never above promised.
type acceptorState struct {
	// promised is the highest number that was prepared or accepted; lower ones are rejected.
	promised ProposalNumber
	// accepted is the number of the latest accepted proposal, zero if there is none, and acceptedView its view.
	accepted     ProposalNumber
	acceptedView View
}

// encodeRecord returns the current record of one kind.
func (s *durableState) encodeRecord(kind int) []byte {
	data := encoder{byte(kind)}
	switch kind {
	case recordIdentity:
		data.text(string(s.id))
		if s.bootstrapAllowed {
			data.number(1)
		}
	case recordGenesis:
		data.view(&s.genesis)
	case recordView:
		data.view(&s.view)
	case recordAcceptor:
		data.proposalNumber(s.acceptor.promised)
		data.proposalNumber(s.acceptor.accepted)
		data.view(&s.acceptor.acceptedView)
	case recordEntry, recordSuccessor:
		data.number(s.accepted.Epoch)
		data.number(s.accepted.Sequence)
		data.signed(s.accepted.Version)
		data = append(data, s.accepted.Body...)
	case recordPosition:
		data.number(s.accepted.Epoch)
		data.number(s.committedSequence)
		data.number(s.sealed)
	case recordHistory:
		data.history(s.accepted.history)
	}
	if kind != recordIdentity && kind != recordEntry && kind != recordSuccessor {
		data = append(data, recordEnd)
	}
	return data
}

// apply replays one record. Records have to be applied in the order in which they were persisted.
func (s *durableState) apply(record []byte, config *Config) error {
	if len(record) == 0 {
		return &RecordError{Reason: "it is empty"}
	}
	data := decoder{data: record[1:]}
	switch int(record[0]) {
	case recordIdentity:
		s.id = MemberID(data.text())
		s.bootstrapAllowed = len(data.data) > 0 // absent in logs of earlier releases
	case recordGenesis:
		s.genesis = data.view()
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
		s.accepted.Epoch = data.number()
		s.committedSequence = data.number()
		s.sealed = data.number()
	case recordHistory:
		s.accepted.history = data.history()
	default:
		return &RecordError{Kind: record[0], Reason: "the kind is not known"}
	}
	if data.failed {
		return &RecordError{Kind: record[0], Reason: "a value is truncated"}
	}
	return nil
}
