package ledger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"

	"cresshub/internal/cluster/logcodec"
)

// snapshotFormat is the version of the snapshot format. A snapshot of another version can't be restored.
const snapshotFormat = 1

// snapshot, snapshotMember and snapshotPeriod are the stored form of the state. Package logcodec encodes
// them as arrays, so that the order of their fields is part of the format.
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

// Snapshot encodes the complete state. Equal states result in equal bytes.
func (l *Ledger) Snapshot() []byte {
	state := snapshot{Format: snapshotFormat, AppliedIndex: l.appliedIndex, Stats: l.stats}
	for _, name := range slices.Sorted(maps.Keys(l.members)) {
		known := l.members[name]
		state.Members = append(state.Members, snapshotMember{name, known.incarnation, known.seq, known.index})
	}
	for _, p := range l.periods {
		state.Periods = append(state.Periods, p.snapshot())
	}
	return logcodec.Encode(&state)
}

// snapshot returns the stored form of a period.
func (p *period) snapshot() snapshotPeriod {
	return snapshotPeriod{
		ID:            p.id,
		ClosedAtIndex: p.closedAtIndex,
		ClosedMS:      p.closedMS,
		Rows:          p.rows(""),
		CorrectionIDs: slices.Sorted(maps.Keys(p.correctionIDs)),
		IDs:           packIDs(p.idOrder),
		Tenants:       slices.Sorted(maps.Keys(p.tenants)),
	}
}

// Restore replaces the state by that of a snapshot. It doesn't change the settings or the function of
// SetMayDrop. If it returns an error, the state is unchanged.
func (l *Ledger) Restore(data []byte) error {
	var state snapshot
	if err := logcodec.Decode(data, &state); err != nil {
		return fmt.Errorf("decoding a snapshot: %w", err)
	}
	if state.Format != snapshotFormat {
		return fmt.Errorf("the snapshot has format %d; only format %d is supported", state.Format, snapshotFormat)
	}
	if len(state.Periods) == 0 {
		return errors.New("the snapshot has no period")
	}
	l.appliedIndex, l.stats, l.idCount = state.AppliedIndex, state.Stats, 0
	l.members, l.periods = map[string]*member{}, nil
	for _, m := range state.Members {
		l.members[m.Name] = &member{m.Incarnation, m.Seq, m.Index}
	}
	for i := range state.Periods {
		p := state.Periods[i].restore()
		l.idCount += len(p.ids)
		l.periods = append(l.periods, p)
	}
	return nil
}

// restore returns the period of its stored form.
func (s *snapshotPeriod) restore() *period {
	restored := newPeriod(s.ID)
	restored.closedMS, restored.closedAtIndex = s.ClosedMS, s.ClosedAtIndex
	for _, row := range s.Rows {
		if row.Usage != (Usage{}) {
			restored.usage[row.Key] = &row.Usage
		}
		if row.Corrections != (Usage{}) {
			restored.corrections[row.Key] = &row.Corrections
		}
	}
	for _, id := range s.CorrectionIDs {
		restored.correctionIDs[id] = true
	}
	for packed := s.IDs; len(packed) >= packedIDSize; packed = packed[packedIDSize:] {
		id := binary.BigEndian.Uint64(packed)
		restored.ids[id] = true
		restored.idOrder = append(restored.idOrder, id)
	}
	for _, tenant := range s.Tenants {
		restored.tenants[tenant] = true
	}
	return restored
}

// packedIDSize is the size in bytes of a request id in a snapshot.
const packedIDSize = 8

// packIDs encodes request ids, each in packedIDSize bytes, in big endian.
func packIDs(ids []uint64) []byte {
	packed := make([]byte, 0, packedIDSize*len(ids))
	for _, id := range ids {
		packed = binary.BigEndian.AppendUint64(packed, id)
	}
	return packed
}
