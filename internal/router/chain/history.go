package chain

import "slices"

// defaultHistoryLength is how many entries before the current one an entry names. One takes forty bytes in
// memory and at most 45 in a message.
const defaultHistoryLength = 4096

// PastEntry names an entry that was committed before another one, without its body.
type PastEntry struct {
	Version int64
	Digest  Digest
}

// pastEntry returns an entry's name for the history of its successors.
func (e *acceptedEntry) pastEntry() PastEntry { return PastEntry{e.Version, e.digest} }

// successor returns the entry that follows a committed one. A history is never changed in place: messages
// and the state before the step share it.
func (e *acceptedEntry) successor(entry Entry, digest Digest, historyLength int) acceptedEntry {
	next := acceptedEntry{Entry: entry, digest: digest}
	if e.Sequence == 0 {
		return next // nothing was written before
	}
	retained := e.history[max(0, len(e.history)-historyLength+1):]
	next.history = make([]PastEntry, 0, len(retained)+1)
	next.history = append(append(next.history, retained...), e.pastEntry())
	return next
}

// isPredecessorOf tells whether a message brings the write that follows this entry.
func (e *acceptedEntry) isPredecessorOf(m *Message) bool {
	if m.Resend || m.Sequence != e.Sequence+1 {
		return false
	}
	if e.Sequence == 0 || len(m.History) == 0 {
		return e.Sequence == 0 && len(m.History) == 0
	}
	return m.History[len(m.History)-1] == e.pastEntry()
}

// includes tells whether a proposal asks for this entry or for one of its history.
func (e *acceptedEntry) includes(version int64, digest Digest) bool {
	named := PastEntry{version, digest}
	return e.pastEntry() == named || slices.Contains(e.history, named)
}

// mayHaveForgotten tells whether a version could have been in force before all that the history names.
// Versions rise with every entry.
func (e *acceptedEntry) mayHaveForgotten(version int64) bool {
	oldest := e.Version
	if len(e.history) > 0 {
		oldest = e.history[0].Version
	}
	forgotten := uint64(len(e.history))+1 < e.Sequence
	return forgotten && version < oldest
}

// history writes the names of past entries.
func (e *encoder) history(past []PastEntry) {
	e.number(uint64(len(past)))
	for i := range past {
		e.signed(past[i].Version)
		e.text(string(past[i].Digest[:]))
	}
}

// history reads what the encoder's history wrote.
func (d *decoder) history() []PastEntry {
	count := d.count()
	past := make([]PastEntry, 0, count)
	for range count {
		one := PastEntry{Version: d.signed()}
		d.failed = copy(one.Digest[:], d.text()) < len(one.Digest) || d.failed
		past = append(past, one)
	}
	return past
}
