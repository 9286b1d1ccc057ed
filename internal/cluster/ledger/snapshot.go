package ledger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// snapshotFormat is the version of the format; a snapshot of another one is not read.
const snapshotFormat = 1

// snapshot, snapshotMember and snapshotPeriod are the stored form: arrays in the order of the fields.
type snapshot struct {
	Format       int
	AppliedIndex uint64
	Stats        Stats
	Members      []snapshotMember // by name
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
	CorrectionIDs     []string // sorted
	IDs               []byte   // 8 bytes each, big endian, in the order of the log
	Tenants           []string // sorted
}

// Snapshot encodes the full state. Equal states give equal bytes.
func (l *Ledger) Snapshot() []byte {
	s := snapshot{Format: snapshotFormat, AppliedIndex: l.appliedIndex, Stats: l.stats}
	for _, name := range slices.Sorted(maps.Keys(l.members)) {
		m := l.members[name]
		s.Members = append(s.Members, snapshotMember{name, m.incarnation, m.seq, m.index})
	}
	for _, p := range l.periods {
		s.Periods = append(s.Periods, snapshotPeriod{ID: p.id, ClosedAtIndex: p.closedAtIndex,
			ClosedMS: p.closedMS, Rows: p.rows(""), CorrectionIDs: slices.Sorted(maps.Keys(p.correctionIDs)),
			IDs: packIDs(p.idOrder), Tenants: slices.Sorted(maps.Keys(p.tenants))})
	}
	var b []byte
	if err := codec.NewEncoderBytes(&b, msgpackHandle).Encode(&s); err != nil {
		panic(err) // as in encode
	}
	return b
}

// Restore replaces the state by that of a snapshot. A snapshot that can't be read changes nothing.
func (l *Ledger) Restore(b []byte) error {
	var s snapshot
	if err := codec.NewDecoderBytes(b, msgpackHandle).Decode(&s); err != nil {
		return fmt.Errorf("a snapshot that does not decode: %w", err)
	}
	if s.Format != snapshotFormat {
		return fmt.Errorf("a snapshot of format %d; this program reads %d", s.Format, snapshotFormat)
	}
	if len(s.Periods) == 0 {
		return errors.New("a snapshot without a period")
	}
	l.appliedIndex, l.stats, l.idCount = s.AppliedIndex, s.Stats, 0
	l.members, l.periods = map[string]*member{}, nil
	for _, m := range s.Members {
		l.members[m.Name] = &member{m.Incarnation, m.Seq, m.Index}
	}
	for i := range s.Periods {
		p := s.Periods[i].restore()
		l.idCount += len(p.ids)
		l.periods = append(l.periods, p)
	}
	return nil
}

func (s *snapshotPeriod) restore() *period {
	p := newPeriod(s.ID)
	p.closedMS, p.closedAtIndex = s.ClosedMS, s.ClosedAtIndex
	for _, row := range s.Rows {
		if row.Usage != (Usage{}) {
			p.usage[row.Key] = &row.Usage
		}
		if row.Corrections != (Usage{}) {
			p.corrections[row.Key] = &row.Corrections
		}
	}
	for _, id := range s.CorrectionIDs {
		p.correctionIDs[id] = true
	}
	for b := s.IDs; len(b) >= 8; b = b[8:] {
		id := binary.BigEndian.Uint64(b)
		p.ids[id] = true
		p.idOrder = append(p.idOrder, id)
	}
	for _, tenant := range s.Tenants {
		p.tenants[tenant] = true
	}
	return p
}

func packIDs(ids []uint64) []byte {
	b := make([]byte, 0, 8*len(ids))
	for _, id := range ids {
		b = binary.BigEndian.AppendUint64(b, id)
	}
	return b
}
