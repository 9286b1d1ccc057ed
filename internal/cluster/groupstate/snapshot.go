package groupstate

import (
	"errors"
	"fmt"

	"cresshub/internal/cluster/lease"
	"cresshub/internal/cluster/logcodec"
)

const (
	// snapshotFormat is the version of the format; Restore rejects snapshots of any other version.
	snapshotFormat = 1
	// kindSnapshot is the first byte of a snapshot. Snapshots written before leases and exports existed contain
	// only the ledger and begin with another byte.
	kindSnapshot = 'M'
)

// snapshot is the stored form of a Machine, with its fields in this order, see package logcodec.
type snapshot struct {
	Format       int
	AppliedIndex uint64
	Grants       map[string]lease.Grant
	State        state
	Ledger       []byte
}

// Snapshot encodes the complete state. Equal states give equal bytes.
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

// Restore replaces the state with that of a snapshot. If it returns an error, the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	if len(data) == 0 {
		return errors.New("snapshot is empty")
	}
	if data[0] != kindSnapshot {
		return m.restoreLedgerOnly(data)
	}
	var stored snapshot
	if err := logcodec.Decode(data[1:], &stored); err != nil {
		return fmt.Errorf("decoding snapshot: %w", err)
	}
	if stored.Format != snapshotFormat {
		return fmt.Errorf("snapshot of the group has format %d, this version reads only %d", stored.Format,
			snapshotFormat)
	}
	if err := m.Ledger.Restore(stored.Ledger); err != nil {
		return err
	}
	m.state, m.appliedIndex = stored.State, stored.AppliedIndex
	m.leases.Restore(stored.Grants)
	return nil
}

// restoreLedgerOnly restores a snapshot that was written before leases and exports existed.
func (m *Machine) restoreLedgerOnly(data []byte) error {
	if err := m.Ledger.Restore(data); err != nil {
		return err
	}
	m.state, m.appliedIndex = state{}, m.Ledger.AppliedIndex()
	m.leases.Restore(nil)
	return nil
}
