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

// snapshotFormat is that of snapshots; one of a newer format is refused.
const snapshotFormat = 1

var msgpackHandle = func() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.StructToArray = true
	return h
}()

func encode(kind byte, v any) []byte {
	out := []byte{kind}
	var b []byte
	if err := codec.NewEncoderBytes(&b, msgpackHandle).Encode(v); err != nil {
		panic(err) // a struct of this package that the codec cannot write: no input leads here
	}
	return append(out, b...)
}

// Encode returns the command as it stands in the log.
func (b *Batch) Encode() []byte       { return encode(kindBatch, b) }
func (c *ClosePeriod) Encode() []byte { return encode(kindClose, c) }
func (c *Correction) Encode() []byte  { return encode(kindCorrection, c) }

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
	if err := codec.NewDecoderBytes(data[1:], msgpackHandle).Decode(&b); err != nil {
		return nil, fmt.Errorf("a batch that does not decode: %w", err)
	}
	for i := range b.Usage {
		a := &b.Usage[i]
		if len(a.BytesInByID) != len(a.IDs) || len(a.BytesOutByID) != len(a.IDs) || a.Count < 0 {
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
	return c, codec.NewDecoderBytes(data[1:], msgpackHandle).Decode(&c) == nil
}

// Apply applies a command of the log. One that does not decode is counted and changes nothing else: every
// replica decides the same.
func (l *Ledger) Apply(index uint64, data []byte) Result {
	refuse := func() Result {
		l.appliedIndex = index
		l.stats.Rejected++
		return Result{Status: StatusRejected, Index: index}
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
		return l.applyBatch(index, b)
	case kindClose:
		var c ClosePeriod
		if codec.NewDecoderBytes(data[1:], msgpackHandle).Decode(&c) != nil {
			return refuse()
		}
		return l.applyClose(index, &c)
	case kindCorrection:
		c, ok := DecodeCorrection(data)
		if !ok {
			return refuse()
		}
		return l.applyCorrection(index, &c)
	}
	return refuse()
}

// snapshot is the form of a snapshot.
type snapshot struct {
	Format       int
	AppliedIndex uint64
	Stats        Stats
	Members      []snapshotMember
	Periods      []snapshotPeriod
}

type snapshotMember struct {
	Name                    string
	Incarnation, Seq, Index uint64
}

type snapshotPeriod struct {
	ID, ClosedAtIndex uint64
	ClosedMS          int64
	Rows              []Row
	CorrectionIDs     []string
	IDs               []byte // 8 bytes each
	Tenants           []string
}

// Snapshot returns the whole state. The same state gives the same bytes.
func (l *Ledger) Snapshot() []byte {
	snap := snapshot{Format: snapshotFormat, AppliedIndex: l.appliedIndex, Stats: l.stats}
	for _, name := range slices.Sorted(maps.Keys(l.members)) {
		m := l.members[name]
		snap.Members = append(snap.Members, snapshotMember{name, m.incarnation, m.seq, m.index})
	}
	for _, p := range l.periods {
		snap.Periods = append(snap.Periods, snapshotPeriod{ID: p.id, ClosedAtIndex: p.closedAtIndex,
			ClosedMS: p.closedMS,
			Rows:     p.rows(""), CorrectionIDs: slices.Sorted(maps.Keys(p.correctionIDs)), IDs: packIDs(p.idOrder),
			Tenants: slices.Sorted(maps.Keys(p.tenants))})
	}
	var b []byte
	if err := codec.NewEncoderBytes(&b, msgpackHandle).Encode(&snap); err != nil {
		panic(err) // as in encode
	}
	return b
}

func packIDs(ids []uint64) []byte {
	b := make([]byte, 0, 8*len(ids))
	for _, id := range ids {
		b = binary.BigEndian.AppendUint64(b, id)
	}
	return b
}

// Restore puts a snapshot's state in place of what there is. One that cannot be read changes nothing.
func (l *Ledger) Restore(b []byte) error {
	var snap snapshot
	if err := codec.NewDecoderBytes(b, msgpackHandle).Decode(&snap); err != nil {
		return fmt.Errorf("a snapshot that does not decode: %w", err)
	}
	if snap.Format != snapshotFormat {
		return fmt.Errorf("a snapshot of format %d; this program reads %d", snap.Format, snapshotFormat)
	}
	if len(snap.Periods) == 0 {
		return errors.New("a snapshot without a period")
	}
	l.appliedIndex, l.stats, l.idCount = snap.AppliedIndex, snap.Stats, 0
	l.members, l.periods = map[string]*member{}, nil
	for _, m := range snap.Members {
		l.members[m.Name] = &member{m.Incarnation, m.Seq, m.Index}
	}
	for _, saved := range snap.Periods {
		p := newPeriod(saved.ID)
		p.closedMS, p.closedAtIndex = saved.ClosedMS, saved.ClosedAtIndex
		for _, r := range saved.Rows {
			if r.Usage != (Usage{}) {
				p.usage[r.Key] = &r.Usage
			}
			if r.Corrections != (Usage{}) {
				p.corrections[r.Key] = &r.Corrections
			}
		}
		for _, id := range saved.CorrectionIDs {
			p.correctionIDs[id] = true
		}
		for b := saved.IDs; len(b) >= 8; b = b[8:] {
			id := binary.BigEndian.Uint64(b)
			p.ids[id] = true
			p.idOrder = append(p.idOrder, id)
		}
		for _, t := range saved.Tenants {
			p.tenants[t] = true
		}
		l.idCount += len(p.ids)
		l.periods = append(l.periods, p)
	}
	return nil
}
