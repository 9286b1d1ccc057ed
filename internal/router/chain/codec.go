package chain

import "encoding/binary"

// encoder appends the values of a record one after the other: unsigned and signed varints, and texts and
// lists with their length in front.
type encoder []byte

func (e *encoder) number(value uint64) { *e = binary.AppendUvarint(*e, value) }

func (e *encoder) signed(value int64) { *e = binary.AppendVarint(*e, value) }

func (e *encoder) text(value string) {
	e.number(uint64(len(value)))
	*e = append(*e, value...)
}

func (e *encoder) ids(values []MemberID) {
	e.number(uint64(len(values)))
	for _, value := range values {
		e.text(string(value))
	}
}

func (e *encoder) view(view *View) {
	e.number(view.Epoch)
	e.number(uint64(len(view.Members)))
	for _, member := range view.Members {
		e.text(string(member.ID))
		e.text(member.Address)
	}
	e.ids(view.Chain)
	e.ids(view.Fresh)
	e.ids(view.Sources)
	e.number(uint64(len(view.Unopened)))
	for _, past := range view.Unopened {
		e.number(past.Epoch)
		e.ids(past.Chain)
	}
}

func (e *encoder) proposalNumber(number ProposalNumber) {
	e.number(number.Counter)
	e.text(string(number.Proposer))
}

func (e *encoder) history(past []PastEntry) {
	e.number(uint64(len(past)))
	for i := range past {
		e.signed(past[i].Version)
		e.text(string(past[i].Digest[:]))
	}
}

// decoder reads what encoder wrote. After the first value that is truncated it returns zero values, and
// failed is set.
type decoder struct {
	data   []byte
	failed bool
}

// fail drops the rest of the record.
func (d *decoder) fail() { d.data, d.failed = nil, true }

func (d *decoder) number() uint64 { return decodeVarint(d, binary.Uvarint) }

func (d *decoder) signed() int64 { return decodeVarint(d, binary.Varint) }

// decodeVarint consumes a varint; read is the function of package binary for its type.
func decodeVarint[T uint64 | int64](d *decoder, read func([]byte) (T, int)) T {
	value, size := read(d.data)
	if size <= 0 {
		d.fail()
		return 0
	}
	d.data = d.data[size:]
	return value
}

// count reads the length of a list or text, each element of which takes at least one byte.
func (d *decoder) count() int {
	value := d.number()
	if value > uint64(len(d.data)) {
		d.fail()
		return 0
	}
	return int(value)
}

func (d *decoder) text() string {
	size := d.count()
	value := string(d.data[:size])
	d.data = d.data[size:]
	return value
}

func (d *decoder) ids() []MemberID {
	var values []MemberID
	for remaining := d.count(); remaining > 0; remaining-- {
		values = append(values, MemberID(d.text()))
	}
	return values
}

func (d *decoder) view() View {
	view := View{Epoch: d.number()}
	for remaining := d.count(); remaining > 0; remaining-- {
		view.Members = append(view.Members, Member{MemberID(d.text()), d.text()})
	}
	view.Chain, view.Fresh, view.Sources = d.ids(), d.ids(), d.ids()
	for remaining := d.count(); remaining > 0; remaining-- {
		view.Unopened = append(view.Unopened, PastChain{d.number(), d.ids()})
	}
	return view
}

func (d *decoder) proposalNumber() ProposalNumber {
	return ProposalNumber{d.number(), MemberID(d.text())}
}

// entry reads an entry, whose body is the rest of the record.
func (d *decoder) entry() Entry {
	entry := Entry{Epoch: d.number(), Sequence: d.number(), Version: d.signed()}
	entry.Body = d.data
	return entry
}

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
