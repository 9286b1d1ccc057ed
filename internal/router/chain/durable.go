package chain

// durable is what a node keeps on its disk.
type durable struct {
	id MemberID
	// fromFirstStart says that the disk was empty at the first start of the whole system.
	fromFirstStart bool
	// genesis is the latest first view that this machine has accepted, decided or not.
	genesis View
	// view is the latest decided view that this node knows.
	view     View
	acceptor acceptorState
	// held is the latest entry that this node accepted; its epoch is the one it was accepted in.
	held heldEntry
	// predecessor is the entry before the held one, where the disk still has it: it was committed, as a write
	// begins only then. Nobody needs it once the node is open.
	predecessor heldEntry
	// committedSequence is the latest sequence known to be committed; it may be behind.
	committedSequence uint64
	// sealed is the epoch in which this node has promised not to accept a first entry.
	sealed uint64
}

// acceptorState is the Paxos acceptor for the view behind the current one.
type acceptorState struct {
	promised      Ballot
	accepted      Ballot
	acceptedValue View
}

// recordEnd stands behind records that would end in zeros, which a log could take for a sector that was not
// written. Nobody reads it.
const recordEnd = 0xff

// encodeRecord returns the current record of one kind.
func (s *durable) encodeRecord(kind int) []byte {
	data := encoder{byte(kind)}
	switch kind {
	case recordIdentity:
		data.text(string(s.id))
		if s.fromFirstStart {
			data.number(1)
		}
	case recordGenesis:
		data.view(&s.genesis)
	case recordView:
		data.view(&s.view)
	case recordAcceptor:
		data.ballot(s.acceptor.promised)
		data.ballot(s.acceptor.accepted)
		data.view(&s.acceptor.acceptedValue)
	case recordEntry, recordSuccessor:
		data.number(s.held.Epoch)
		data.number(s.held.Sequence)
		data.signed(s.held.Version)
		data = append(data, s.held.Body...)
	case recordPosition:
		data.number(s.held.Epoch)
		data.number(s.committedSequence)
		data.number(s.sealed)
	case recordHistory:
		data.history(s.held.history)
	}
	if kind != recordIdentity && kind != recordEntry && kind != recordSuccessor {
		data = append(data, recordEnd)
	}
	return data
}

// apply reads one record.
func (s *durable) apply(record []byte, config *Config) error {
	if len(record) == 0 {
		return &BadRecord{Reason: "it is empty"}
	}
	data := decoder{data: record[1:]}
	switch int(record[0]) {
	case recordIdentity:
		s.id = MemberID(data.text())
		s.fromFirstStart = len(data.data) > 0 // a log of an earlier release doesn't tell
	case recordGenesis:
		s.genesis = data.view()
	case recordView:
		s.view, s.acceptor = data.view(), acceptorState{}
	case recordAcceptor:
		s.acceptor = acceptorState{data.ballot(), data.ballot(), data.view()}
	case recordEntry:
		s.held = config.hold(data.entry(), nil) // the record of its history follows
		s.predecessor = heldEntry{}
	case recordSuccessor:
		entry := data.entry()
		s.predecessor = s.held
		s.held = s.held.successor(entry, config.DigestOf(entry.Body), config.HistoryLength)
	case recordPosition:
		s.held.Epoch = data.number()
		s.committedSequence = data.number()
		s.sealed = data.number()
	case recordHistory:
		s.held.history = data.history()
	default:
		return &BadRecord{Kind: record[0], Reason: "the kind is not known"}
	}
	if data.bad {
		return &BadRecord{Kind: record[0], Reason: "a value is cut off"}
	}
	return nil
}
