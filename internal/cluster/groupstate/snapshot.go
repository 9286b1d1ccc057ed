package groupstate

import (
	"errors"
	"fmt"

	"github.com/hashicorp/go-msgpack/v2/codec"

	"cresshub/internal/cluster/lease"
)

const (
	// snapshotFormat is the version of the format; a snapshot of another one is not read.
	snapshotFormat = 1
	// kindSnapshot is the first byte of a snapshot. One from before there were leases and exports is the
	// ledger's alone, and begins with another byte.
	kindSnapshot = 'M'
)

// snapshot is the stored form: an array in the order of the fields.
type snapshot struct {
	Format       int
	AppliedIndex uint64
	Grants       map[string]lease.Grant
	State        state
	Ledger       []byte
}

// canonicalHandle sorts the keys of maps, so that equal states give equal bytes.
var canonicalHandle = func() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.StructToArray, h.Canonical = true, true
	return h
}()

// Snapshot encodes the full state. Equal states give equal bytes.
func (m *Machine) Snapshot() []byte {
	s := snapshot{Format: snapshotFormat, AppliedIndex: m.appliedIndex, Grants: m.leases.Grants(),
		State: m.state, Ledger: m.Ledger.Snapshot()}
	var b []byte
	if err := codec.NewEncoderBytes(&b, canonicalHandle).Encode(&s); err != nil {
		panic(err) // as in encode
	}
	return append([]byte{kindSnapshot}, b...)
}

// Restore replaces the state by that of a snapshot. A snapshot that can't be read changes nothing.
func (m *Machine) Restore(b []byte) error {
	if len(b) == 0 {
		return errors.New("an empty snapshot")
	}
	if b[0] != kindSnapshot {
		if err := m.Ledger.Restore(b); err != nil {
			return err
		}
		m.state, m.appliedIndex = state{}, m.Ledger.AppliedIndex()
		m.leases.Restore(nil)
		return nil
	}
	var s snapshot
	if err := codec.NewDecoderBytes(b[1:], msgpackHandle).Decode(&s); err != nil {
		return fmt.Errorf("a snapshot that does not decode: %w", err)
	}
	if s.Format != snapshotFormat {
		return fmt.Errorf("a snapshot of the group of format %d; this program reads %d", s.Format, snapshotFormat)
	}
	if err := m.Ledger.Restore(s.Ledger); err != nil {
		return err
	}
	m.state, m.appliedIndex = s.State, s.AppliedIndex
	m.leases.Restore(s.Grants)
	return nil
}
