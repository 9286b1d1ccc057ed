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

// name returns an entry's name for the history of its successors.
func (h *heldEntry) name() PastEntry { return PastEntry{h.Version, h.digest} }

// successor returns the entry that follows a committed one. A history is never changed in place: messages
// and the state before the step share it.
func (h *heldEntry) successor(entry Entry, digest Digest, historyLength int) heldEntry {
	next := heldEntry{Entry: entry, digest: digest}
	if h.Sequence == 0 {
		return next // nothing was written before
	}
	kept := h.history[max(0, len(h.history)-historyLength+1):]
	next.history = make([]PastEntry, 0, len(kept)+1)
	next.history = append(append(next.history, kept...), h.name())
	return next
}

// isPredecessorOf tells whether a message brings the write that follows this entry.
func (h *heldEntry) isPredecessorOf(m *Message) bool {
	if m.Resend || m.Sequence != h.Sequence+1 {
		return false
	}
	if h.Sequence == 0 || len(m.History) == 0 {
		return h.Sequence == 0 && len(m.History) == 0
	}
	return m.History[len(m.History)-1] == h.name()
}

// includes tells whether a proposal asks for this entry or for one of its history.
func (h *heldEntry) includes(version int64, digest Digest) bool {
	wanted := PastEntry{version, digest}
	return h.name() == wanted || slices.Contains(h.history, wanted)
}

// mayHaveForgotten tells whether a version could have been in force before all that the history names.
// Versions rise with every entry.
func (h *heldEntry) mayHaveForgotten(version int64) bool {
	oldest := h.Version
	if len(h.history) > 0 {
		oldest = h.history[0].Version
	}
	forgotten := uint64(len(h.history))+1 < h.Sequence
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
		d.bad = copy(one.Digest[:], d.text()) < len(one.Digest) || d.bad
		past = append(past, one)
	}
	return past
}
