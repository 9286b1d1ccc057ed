package chain

import "encoding/binary"

// encoder appends the values of a durable record one after the other, without tags. Integers are varints of
// package binary; texts and lists have their length in front, in bytes or elements. The order of the values
// is the format of the record, see durableState.encodeRecord.
type encoder []byte

// number appends an unsigned varint.
func (e *encoder) number(value uint64) { *e = binary.AppendUvarint(*e, value) }

// signed appends a zigzag-encoded varint.
func (e *encoder) signed(value int64) { *e = binary.AppendVarint(*e, value) }

// text appends the length in bytes and the bytes.
func (e *encoder) text(value string) {
	e.number(uint64(len(value)))
	*e = append(*e, value...)
}

// ids appends a list of texts.
func (e *encoder) ids(values []MemberID) {
	e.number(uint64(len(values)))
	for _, value := range values {
		e.text(string(value))
	}
}

// view appends all fields of a view in their order.
func (e *encoder) view(view *View) {
	e.number(view.Epoch)
	e.number(uint64(len(view.Members)))
	for _, member := range view.Members {
		e.text(string(member.ID))
		e.text(member.Address)
	}
	e.ids(view.Chain)
	e.ids(view.CatchingUp)
	e.ids(view.Sources)
	e.number(uint64(len(view.Unopened)))
	for _, past := range view.Unopened {
		e.number(past.Epoch)
		e.ids(past.Chain)
	}
}

// proposalNumber appends the counter and the proposer.
func (e *encoder) proposalNumber(number ProposalNumber) {
	e.number(number.Counter)
	e.text(string(number.Proposer))
}

// history appends a list of versions with their digests, oldest first.
func (e *encoder) history(past []PastEntry) {
	e.number(uint64(len(past)))
	for i := range past {
		e.signed(past[i].Version)
		e.text(string(past[i].Digest[:]))
	}
}

// decoder reads what encoder wrote. From the first value on that is truncated it returns zero values and
// empty lists, so that the caller has to check failed only once, at the end.
type decoder struct {
	data   []byte // what is left of the record
	failed bool   // a value was truncated
}

// fail marks the record as truncated and drops the rest of it.
func (d *decoder) fail() { d.data, d.failed = nil, true }

// number reads an unsigned varint.
func (d *decoder) number() uint64 { return decodeVarint(d, binary.Uvarint) }

// signed reads a zigzag-encoded varint.
func (d *decoder) signed() int64 { return decodeVarint(d, binary.Varint) }

// decodeVarint reads a varint; read is the function of package binary for its type.
func decodeVarint[T uint64 | int64](d *decoder, read func([]byte) (T, int)) T {
	value, size := read(d.data)
	if size <= 0 {
		d.fail()
		return 0
	}
	d.data = d.data[size:]
	return value
}

// count reads the length of a list or text. It fails if that exceeds the bytes that are left, as each element
// takes at least one, so that a corrupt length allocates no more than the size of the record allows.
func (d *decoder) count() int {
	value := d.number()
	if value > uint64(len(d.data)) {
		d.fail()
		return 0
	}
	return int(value)
}

// text reads a text; the copy doesn't share memory with the record.
func (d *decoder) text() string {
	size := d.count()
	value := string(d.data[:size])
	d.data = d.data[size:]
	return value
}

// ids reads a list of texts; an empty one is nil.
func (d *decoder) ids() []MemberID {
	var values []MemberID
	for remaining := d.count(); remaining > 0; remaining-- {
		values = append(values, MemberID(d.text()))
	}
	return values
}

// view reads a view.
func (d *decoder) view() View {
	view := View{Epoch: d.number()}
	for remaining := d.count(); remaining > 0; remaining-- {
		view.Members = append(view.Members, Member{MemberID(d.text()), d.text()})
	}
	view.Chain, view.CatchingUp, view.Sources = d.ids(), d.ids(), d.ids()
	for remaining := d.count(); remaining > 0; remaining-- {
		view.Unopened = append(view.Unopened, PastChain{d.number(), d.ids()})
	}
	return view
}

// proposalNumber reads a proposal number.
func (d *decoder) proposalNumber() ProposalNumber {
	return ProposalNumber{d.number(), MemberID(d.text())}
}

// entry reads an entry, whose body is the rest of the record and shares its memory.
func (d *decoder) entry() Entry {
	entry := Entry{Epoch: d.number(), Sequence: d.number(), Version: d.signed()}
	entry.Body = d.data
	return entry
}

// history reads a history. A digest shorter than Digest fails the record.
func (d *decoder) history() []PastEntry {
	count := d.count()
	history := make([]PastEntry, 0, count)
	for range count {
		past := PastEntry{Version: d.signed()}
		if copy(past.Digest[:], d.text()) < len(past.Digest) {
			d.failed = true
		}
		history = append(history, past)
	}
	return history
}
