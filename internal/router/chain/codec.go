package chain

import (
	"encoding/binary"
	"fmt"
)

// The kinds of durable records; each record replaces the one of its kind before it.
const (
	recordIdentity = iota + 1
	recordGenesis
	recordView // a new view also empties the acceptor
	recordAcceptor
	recordEntry
	recordPosition // what changes of an entry without its body, and the sealed epoch
	recordHistory  // of the entry; a log of an earlier release has none
	// recordSuccessor is an entry whose history is that of the entry before it and that entry.
	recordSuccessor
	recordKinds
)

// RecordError tells of a record that this release can't read.
type RecordError struct {
	Kind   byte
	Reason string
}

// Error implements error.
func (b *RecordError) Error() string {
	return fmt.Sprintf("chain: record of kind %d: %s; start the release that wrote it, or empty the folder of "+
		"the control state to join anew", b.Kind, b.Reason)
}

// encoder writes values one behind the other.
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

func (e *encoder) proposalNumber(ballot ProposalNumber) {
	e.number(ballot.Counter)
	e.text(string(ballot.Proposer))
}

// decoder reads what encoder wrote; after a mistake it gives zero values and bad is set.
type decoder struct {
	data   []byte
	failed bool
}

func (d *decoder) number() uint64 {
	value, size := binary.Uvarint(d.data)
	if size <= 0 {
		d.data, d.failed = nil, true
		return 0
	}
	d.data = d.data[size:]
	return value
}

func (d *decoder) signed() int64 {
	value, size := binary.Varint(d.data)
	if size <= 0 {
		d.data, d.failed = nil, true
		return 0
	}
	d.data = d.data[size:]
	return value
}

// count reads a number of elements, each of which takes at least one byte.
func (d *decoder) count() int {
	value := d.number()
	if value > uint64(len(d.data)) {
		d.data, d.failed = nil, true
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
