package chain

import "fmt"

// The kinds of durable records, the first byte of each. A record replaces the earlier ones of its kind.
const (
	recordIdentity = iota + 1
	recordGenesis
	recordView // a new view also resets the acceptor
	recordAcceptor
	recordEntry
	recordPosition  // what changes of an entry without its body, and the sealed epoch
	recordHistory   // of the latest recordEntry; logs of earlier releases have none
	recordSuccessor // an entry whose history is the one of the entry before it and that entry
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

// durableState is what a node persists. It corresponds to Raft's persistent state on all servers.
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

// acceptorState is the state of the Paxos acceptor for the successor of the current view.
type acceptorState struct {
	promised     ProposalNumber
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
		s.accepted = config.newAcceptedEntry(data.entry(), nil) // recordHistory follows
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
