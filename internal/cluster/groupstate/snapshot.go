package groupstate

import (
	"errors"
	"fmt"

	"cresshub/internal/cluster/lease"
	"cresshub/internal/cluster/logcodec"
)

const (
	// snapshotFormat is the version of the format; a snapshot of another one is not read.
	snapshotFormat = 1
	// kindSnapshot is the first byte of a snapshot. One from before there were leases and exports is the
	// ledger's alone, and begins with another byte.
	kindSnapshot = 'M'
)

// snapshot is the stored form, see package logcodec.
type snapshot struct {
	Format       int
	AppliedIndex uint64
	Grants       map[string]lease.Grant
	State        state
	Ledger       []byte
}

// Snapshot encodes the full state. Equal states give equal bytes.
func (m *Machine) Snapshot() []byte {
	encoded := logcodec.EncodeCanonical(&snapshot{
		Format:       snapshotFormat,
		AppliedIndex: m.appliedIndex,
		Grants:       m.leases.Grants(),
		State:        m.state,
		Ledger:       m.Ledger.Snapshot(),
	})
	return append([]byte{kindSnapshot}, encoded...)
}

// Restore replaces the state by that of a snapshot. A snapshot that can't be read changes nothing.
func (m *Machine) Restore(data []byte) error {
	if len(data) == 0 {
		return errors.New("an empty snapshot")
	}
	if data[0] != kindSnapshot {
		return m.restoreLedgerOnly(data)
	}
	var stored snapshot
	if err := logcodec.Decode(data[1:], &stored); err != nil {
		return fmt.Errorf("a snapshot that does not decode: %w", err)
	}
	if stored.Format != snapshotFormat {
		return fmt.Errorf("a snapshot of the group of format %d; this program reads %d", stored.Format,
			snapshotFormat)
	}
	if err := m.Ledger.Restore(stored.Ledger); err != nil {
		return err
	}
	m.state, m.appliedIndex = stored.State, stored.AppliedIndex
	m.leases.Restore(stored.Grants)
	return nil
}

// restoreLedgerOnly restores a snapshot from before there were leases and exports.
func (m *Machine) restoreLedgerOnly(data []byte) error {
	if err := m.Ledger.Restore(data); err != nil {
		return err
	}
	m.state, m.appliedIndex = state{}, m.Ledger.AppliedIndex()
	m.leases.Restore(nil)
	return nil
}
