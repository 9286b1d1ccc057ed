package chain

// durableState is what a node keeps on its disk.
type durableState struct {
	id MemberID
	// bootstrapAllowed says that the disk was empty at the first start of the whole system.
	bootstrapAllowed bool
	// genesis is the latest first view that this machine has accepted, decided or not.
	genesis View
	// view is the latest decided view that this node knows.
	view     View
	acceptor acceptorState
	// accepted is the latest entry that this node accepted; its epoch is the one it was accepted in.
	accepted acceptedEntry
	// predecessor is the entry before the held one, where the disk still has it: it was committed, as a write
	// begins only then. Nobody needs it once the node is open.
	predecessor acceptedEntry
	// committedSequence is the latest sequence known to be committed; it may be behind.
	committedSequence uint64
	// sealed is the epoch in which this node has promised not to accept a first entry.
	sealed uint64
}

// acceptorState is the Paxos acceptor for the view behind the current one.
type acceptorState struct {
	promised     ProposalNumber
	accepted     ProposalNumber
	acceptedView View
}

// recordEnd stands behind records that would end in zeros, which a log could take for a sector that was not
// written. Nobody reads it.
const recordEnd = 0xff

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

// apply reads one record.
func (s *durableState) apply(record []byte, config *Config) error {
	if len(record) == 0 {
		return &RecordError{Reason: "it is empty"}
	}
	data := decoder{data: record[1:]}
	switch int(record[0]) {
	case recordIdentity:
		s.id = MemberID(data.text())
		s.bootstrapAllowed = len(data.data) > 0 // a log of an earlier release doesn't tell
	case recordGenesis:
		s.genesis = data.view()
	case recordView:
		s.view, s.acceptor = data.view(), acceptorState{}
	case recordAcceptor:
		s.acceptor = acceptorState{data.proposalNumber(), data.proposalNumber(), data.view()}
	case recordEntry:
		s.accepted = config.newAcceptedEntry(data.entry(), nil) // the record of its history follows
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
		return &RecordError{Kind: record[0], Reason: "a value is cut off"}
	}
	return nil
}
