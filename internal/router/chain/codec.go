package chain

import "encoding/binary"

// encoder appends the values of a durable record one after the other, without tags. Integers are varints as
// in package binary; strings are prefixed with their length in bytes, lists with their number of elements.
// The order of the values is the format of the record, see durableState.encodeRecord.
type encoder []byte

// uvarint appends an unsigned varint.
func (e *encoder) uvarint(value uint64) { *e = binary.AppendUvarint(*e, value) }

// varint appends a zigzag-encoded signed varint.
func (e *encoder) varint(value int64) { *e = binary.AppendVarint(*e, value) }

// string appends the length in bytes and the bytes.
func (e *encoder) string(value string) {
	e.uvarint(uint64(len(value)))
	*e = append(*e, value...)
}

// ids appends a list of member IDs, which are strings.
func (e *encoder) ids(values []MemberID) {
	e.uvarint(uint64(len(values)))
	for _, value := range values {
		e.string(string(value))
	}
}

// view appends all fields of a view in their order.
func (e *encoder) view(view *View) {
	e.uvarint(view.Epoch)
	e.uvarint(uint64(len(view.Members)))
	for _, member := range view.Members {
		e.string(string(member.ID))
		e.string(member.Address)
	}
	e.ids(view.Chain)
	e.ids(view.CatchingUp)
	e.ids(view.Sources)
	e.uvarint(uint64(len(view.Unopened)))
	for _, past := range view.Unopened {
		e.uvarint(past.Epoch)
		e.ids(past.Chain)
	}
}

// proposalNumber appends the counter and the proposer.
func (e *encoder) proposalNumber(number ProposalNumber) {
	e.uvarint(number.Counter)
	e.string(string(number.Proposer))
}

// history appends a list of versions with their digests, oldest first.
func (e *encoder) history(past []PastEntry) {
	e.uvarint(uint64(len(past)))
	for i := range past {
		e.varint(past[i].Version)
		e.string(string(past[i].Digest[:]))
	}
}

// decoder reads what encoder wrote. Once a value is truncated, all reads return zero values and empty lists,
// so the caller has to check failed only once, at the end.
type decoder struct {
	data   []byte // rest of the record
	failed bool   // a value was truncated
}

// fail marks the record as truncated and discards the rest of it.
func (d *decoder) fail() { d.data, d.failed = nil, true }

// uvarint reads an unsigned varint.
func (d *decoder) uvarint() uint64 { return decodeVarint(d, binary.Uvarint) }

// varint reads a zigzag-encoded signed varint.
func (d *decoder) varint() int64 { return decodeVarint(d, binary.Varint) }

// decodeVarint reads a varint with binary.Uvarint or binary.Varint.
func decodeVarint[T uint64 | int64](d *decoder, read func([]byte) (T, int)) T {
	value, size := read(d.data)
	if size <= 0 {
		d.fail()
		return 0
	}
	d.data = d.data[size:]
	return value
}

// count reads the length of a list or string. It fails if the length exceeds the number of bytes left, as
// each element takes at least one byte; a corrupt length therefore can't cause an allocation far larger than
// the record.
func (d *decoder) count() int {
	value := d.uvarint()
	if value > uint64(len(d.data)) {
		d.fail()
		return 0
	}
	return int(value)
}

// string reads a string. The result doesn't share memory with the record.
func (d *decoder) string() string {
	size := d.count()
	value := string(d.data[:size])
	d.data = d.data[size:]
	return value
}

// ids reads a list of member IDs; an empty list is returned as nil.
func (d *decoder) ids() []MemberID {
	var values []MemberID
	for remaining := d.count(); remaining > 0; remaining-- {
		values = append(values, MemberID(d.string()))
	}
	return values
}

// view reads a view.
func (d *decoder) view() View {
	view := View{Epoch: d.uvarint()}
	for remaining := d.count(); remaining > 0; remaining-- {
		view.Members = append(view.Members, Member{MemberID(d.string()), d.string()})
	}
	view.Chain, view.CatchingUp, view.Sources = d.ids(), d.ids(), d.ids()
	for remaining := d.count(); remaining > 0; remaining-- {
		view.Unopened = append(view.Unopened, PastChain{d.uvarint(), d.ids()})
	}
	return view
}

// proposalNumber reads a proposal number.
func (d *decoder) proposalNumber() ProposalNumber {
	return ProposalNumber{d.uvarint(), MemberID(d.string())}
}

// entry reads an entry. Its body is the rest of the record and shares memory with it.
func (d *decoder) entry() Entry {
	entry := Entry{Epoch: d.uvarint(), Sequence: d.uvarint(), Version: d.varint()}
	entry.Body = d.data
	return entry
}

// history reads a list of versions with their digests. A digest shorter than Digest fails the record.
func (d *decoder) history() []PastEntry {
	count := d.count()
	history := make([]PastEntry, 0, count)
	for range count {
		past := PastEntry{Version: d.varint()}
		if copy(past.Digest[:], d.string()) < len(past.Digest) {
			d.failed = true
		}
		history = append(history, past)
	}
	return history
}
