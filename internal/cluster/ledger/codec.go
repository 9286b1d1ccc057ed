package ledger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// Commands as they stand in the log: a byte for the kind, then msgpack with structs as arrays.
const (
	kindBatch      = 'B'
	kindClose      = 'C'
	kindCorrection = 'F'
)

// format is that of snapshots; one of a newer format is refused.
const format = 1

var handle = func() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.StructToArray = true
	return h
}()

func encode(kind byte, v any) []byte {
	out := []byte{kind}
	var b []byte
	if err := codec.NewEncoderBytes(&b, handle).Encode(v); err != nil {
		panic(err) // a struct of this package that the codec cannot write: no input leads here
	}
	return append(out, b...)
}

// Encode returns the command as it stands in the log.
func (b *Batch) Encode() []byte      { return encode(kindBatch, b) }
func (c *Close) Encode() []byte      { return encode(kindClose, c) }
func (c *Correction) Encode() []byte { return encode(kindCorrection, c) }

// Mine tells whether a command is one of this package.
func Mine(data []byte) bool {
	return len(data) > 0 && (data[0] == kindBatch || data[0] == kindClose || data[0] == kindCorrection)
}

// DecodeBatch reads a batch, as kept or sent.
func DecodeBatch(data []byte) (*Batch, error) {
	var b Batch
	if len(data) == 0 || data[0] != kindBatch {
		return nil, errors.New("no batch")
	}
	if err := codec.NewDecoderBytes(data[1:], handle).Decode(&b); err != nil {
		return nil, fmt.Errorf("a batch that does not decode: %w", err)
	}
	for i := range b.Answers {
		a := &b.Answers[i]
		if len(a.Ins) != len(a.IDs) || len(a.Outs) != len(a.IDs) || a.N < 0 {
			return nil, errors.New("a batch whose answers do not fit together")
		}
	}
	return &b, nil
}

// DecodeCorrection reads a correction; false where the command is none, or none that decodes.
func DecodeCorrection(data []byte) (c Correction, ok bool) {
	if len(data) == 0 || data[0] != kindCorrection {
		return c, false
	}
	return c, codec.NewDecoderBytes(data[1:], handle).Decode(&c) == nil
}

// Apply applies a command of the log. One that does not decode is counted and changes nothing else: every
// replica decides the same.
func (l *Ledger) Apply(index uint64, data []byte) Result {
	refuse := func() Result {
		l.index = index
		l.figures.Refused++
		return Result{Status: Refused, Index: index}
	}
	if len(data) == 0 {
		return refuse()
	}
	switch data[0] {
	case kindBatch:
		b, err := DecodeBatch(data)
		if err != nil {
			return refuse()
		}
		return l.Batch(index, b)
	case kindClose:
		var c Close
		if codec.NewDecoderBytes(data[1:], handle).Decode(&c) != nil {
			return refuse()
		}
		return l.Close(index, &c)
	case kindCorrection:
		c, ok := DecodeCorrection(data)
		if !ok {
			return refuse()
		}
		return l.Correct(index, &c)
	}
	return refuse()
}

// saved is the form of a snapshot.
type saved struct {
	Format  int
	Index   uint64
	Figures Figures
	Members []savedMember
	Periods []savedPeriod
}

type savedMember struct {
	Name                    string
	Incarnation, Seq, Index uint64
}

type savedPeriod struct {
	ID, ClosedAt uint64
	ClosedMS     int64
	Rows         []Row
	Fixed        []string
	IDs          []byte // 8 bytes each
	Tenants      []string
}

// Snapshot returns the whole state. The same state gives the same bytes.
func (l *Ledger) Snapshot() []byte {
	s := saved{Format: format, Index: l.index, Figures: l.figures}
	for _, name := range slices.Sorted(maps.Keys(l.members)) {
		m := l.members[name]
		s.Members = append(s.Members, savedMember{name, m.Incarnation, m.Seq, m.Index})
	}
	for _, p := range l.periods {
		s.Periods = append(s.Periods, savedPeriod{ID: p.ID, ClosedAt: p.ClosedAt, ClosedMS: p.ClosedMS,
			Rows: p.rows(""), Fixed: slices.Sorted(maps.Keys(p.Fixed)), IDs: packed(p.order),
			Tenants: slices.Sorted(maps.Keys(p.tenants))})
	}
	var b []byte
	if err := codec.NewEncoderBytes(&b, handle).Encode(&s); err != nil {
		panic(err) // as in encode
	}
	return b
}

func packed(ids []uint64) []byte {
	b := make([]byte, 0, 8*len(ids))
	for _, id := range ids {
		b = binary.BigEndian.AppendUint64(b, id)
	}
	return b
}

// Restore puts a snapshot's state in place of what there is. One that cannot be read changes nothing.
func (l *Ledger) Restore(b []byte) error {
	var s saved
	if err := codec.NewDecoderBytes(b, handle).Decode(&s); err != nil {
		return fmt.Errorf("a snapshot that does not decode: %w", err)
	}
	if s.Format != format {
		return fmt.Errorf("a snapshot of format %d; this program reads %d", s.Format, format)
	}
	if len(s.Periods) == 0 {
		return errors.New("a snapshot without a period")
	}
	l.index, l.figures, l.held = s.Index, s.Figures, 0
	l.members, l.periods = map[string]*member{}, nil
	for _, m := range s.Members {
		l.members[m.Name] = &member{m.Incarnation, m.Seq, m.Index}
	}
	for _, sp := range s.Periods {
		p := newPeriod(sp.ID)
		p.ClosedMS, p.ClosedAt = sp.ClosedMS, sp.ClosedAt
		for _, r := range sp.Rows {
			if r.Sum != (Sum{}) {
				p.Sums[r.Key] = &r.Sum
			}
			if r.Corrections != (Sum{}) {
				p.Corrections[r.Key] = &r.Corrections
			}
		}
		for _, id := range sp.Fixed {
			p.Fixed[id] = true
		}
		for b := sp.IDs; len(b) >= 8; b = b[8:] {
			id := binary.BigEndian.Uint64(b)
			p.ids[id] = true
			p.order = append(p.order, id)
		}
		for _, t := range sp.Tenants {
			p.tenants[t] = true
		}
		l.held += len(p.ids)
		l.periods = append(l.periods, p)
	}
	return nil
}
