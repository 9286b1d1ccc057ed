package chain

import "slices"

// defaultHistoryLength is the default of Config.HistoryLength. A past entry takes forty bytes in memory and
// at most 45 in a message.
const defaultHistoryLength = 4096

// PastEntry identifies an entry that was committed before another one, without its body. The history of an
// entry lists its latest Config.HistoryLength predecessors, oldest first. It lets the head tell whether a
// write whose acknowledgement was lost had been committed, even after later writes have replaced it.
//
// A history is immutable: messages, the accepted entry and Node.stable share it.
type PastEntry struct {
	Version int64
	Digest  Digest
}

// pastEntry returns the entry as it appears in the histories of its successors.
func (e *acceptedEntry) pastEntry() PastEntry { return PastEntry{e.Version, e.digest} }

// successor returns the entry that follows e, which has to be committed. Its history is that of e with e
// appended, in a new slice.
func (e *acceptedEntry) successor(entry Entry, digest Digest, historyLength int) acceptedEntry {
	next := acceptedEntry{Entry: entry, digest: digest}
	if e.Sequence == 0 {
		return next // e is the empty register
	}
	retained := e.history[max(0, len(e.history)-historyLength+1):]
	next.history = make([]PastEntry, 0, len(retained)+1)
	next.history = append(append(next.history, retained...), e.pastEntry())
	return next
}

// isPredecessorOf reports whether an Append message carries the write that follows this entry: the history of
// the message ends with this entry, or is empty if this is the empty register.
func (e *acceptedEntry) isPredecessorOf(m *Message) bool {
	if m.Resend || m.Sequence != e.Sequence+1 {
		return false
	}
	if len(m.History) == 0 {
		return e.Sequence == 0
	}
	return e.Sequence != 0 && m.History[len(m.History)-1] == e.pastEntry()
}

// includes reports whether a change, given by its version and digest, produced this entry or one in its
// history.
func (e *acceptedEntry) includes(version int64, digest Digest) bool {
	change := PastEntry{version, digest}
	return e.pastEntry() == change || slices.Contains(e.history, change)
}

// mayPrecedeHistory reports whether a version could have been committed before the oldest entry of a
// truncated history. Versions rise with every entry.
func (e *acceptedEntry) mayPrecedeHistory(version int64) bool {
	oldest := e.Version
	if len(e.history) > 0 {
		oldest = e.history[0].Version
	}
	// One entry was written per sequence number, so a complete history has Sequence-1 entries.
	truncated := uint64(len(e.history))+1 < e.Sequence
	return truncated && version < oldest
}
