// Package groupstate is the replicated state machine of the Raft group that client proxies share: the usage
// ledger (package ledger), the lease of the singleton roles (package lease), the position of the ledger's
// export to the billing sink, and the endpoint list that the lease holder publishes. It is pure: no I/O,
// clock or goroutines, so that the same log gives the same state on every replica. A Machine is not safe for
// concurrent use; its group serializes the calls.
//
// Every command of a role carries the fencing token of the grant it was made under (Kleppmann, "How to do
// distributed locking", 2016; Burrows, Chubby, OSDI 2006, calls it a sequencer). A command whose token isn't
// that of the current grant is rejected as stale, just as the sink and discovery reject calls.
//
// A period is exported in three steps: an ExportIntent, which freezes the rows to send; the calls to the
// sink; and an ExportDone. If an owner leaves an intent open, the next owner resumes it and sends the same
// bytes under the same IDs, so that the sink recognizes duplicates. Periods are exported in ascending order,
// each only once late answers can no longer be counted in it. A correction that arrives after the intent of
// its period is exported as an entry of its own.
package groupstate

import (
	"fmt"

	"cresshub/internal/cluster/lease"
	"cresshub/internal/cluster/ledger"
	"cresshub/internal/cluster/logcodec"
)

// FleetRole is the only role that is leased: its owner runs all singleton roles of the fleet.
const FleetRole = "fleet"

// Result is the outcome of a command of a role.
type Result struct {
	Status string `json:"status"`
	Reason string `json:"why,omitempty"` // unless it was accepted
}

// Values of Result.Status.
const (
	StatusAccepted = "taken"
	StatusStale    = "stale"   // its token isn't that of the current grant: the proposer doesn't own the role
	StatusRejected = "refused" // it doesn't decode, or the state doesn't allow it
)

var accepted = Result{Status: StatusAccepted}

// Stats count the commands applied and their effects.
type Stats struct {
	Grants              int64 `json:"grants"`  // leases acquired
	Stale               int64 `json:"stale"`   // commands rejected because of their token
	Rejected            int64 `json:"refused"` // commands rejected otherwise
	ExportedPeriods     int64 `json:"periods"` // periods exported
	DroppedPeriods      int64 `json:"unsent"`  // periods dropped before they were exported
	ExportedCorrections int64 `json:"fixes"`   // corrections exported
	EndpointLists       int64 `json:"lists"`   // endpoint lists published or confirmed
}

// Machine is the state machine of a group. Create it with New.
//
// The export of the ledger is a cycle: no export is open and nextDuePeriod is the next period; an
// ExportIntent opens its export and freezes its rows; an ExportDone ends it and makes it the last period
// exported. The last period exported never falls, and at most one intent is open. The current owner of the
// role may take either step, even if an earlier owner took the preceding one.
type Machine struct {
	Ledger       *ledger.Ledger // only Apply and Restore may change it
	leases       *lease.Table
	state        state
	appliedIndex uint64 // log index of the last command applied
}

// state is the state of a Machine without the ledger and the leases. It is stored in snapshots with its
// fields in this order, see package logcodec.
type state struct {
	ExportStarted      bool                // an ExportIntent was applied: unexported periods are retained
	LastExported       uint64              // the last period exported, 0 for none
	OpenExport         *openExport         // nil for none
	PendingCorrections []PendingCorrection // by Seq
	LastCorrectionSeq  uint64              // of the last correction added
	Endpoints          endpointState
	Stats              Stats
}

// New returns a machine with an empty state, or an error if the settings are invalid.
func New(settings ledger.Settings) (*Machine, error) {
	usage, err := ledger.New(settings)
	if err != nil {
		return nil, err
	}
	m := &Machine{Ledger: usage, leases: lease.NewTable()}
	usage.SetMayDrop(m.mayDrop)
	return m, nil
}

// Apply applies the command at an index of the log; indexes must rise. It returns a lease.Result for a lease
// command, a Result for a command of a role, and a ledger.Result for any other. A command that doesn't decode
// is counted as rejected and changes nothing else.
func (m *Machine) Apply(index uint64, data []byte) any {
	m.appliedIndex = index
	if len(data) == 0 {
		return m.Ledger.Apply(index, data)
	}
	switch data[0] {
	case kindLease:
		return m.applyLease(index, data)
	case kindExportIntent:
		return decodeAndApply(m, data, m.applyExportIntent)
	case kindExportDone:
		return decodeAndApply(m, data, m.applyExportDone)
	case kindCorrectionsExported:
		return decodeAndApply(m, data, m.applyCorrectionsExported)
	case kindPublishEndpointList:
		return decodeAndApply(m, data, m.applyPublishEndpointList)
	}
	if correction, ok := ledger.DecodeCorrection(data); ok && correction.Period <= m.lastFrozenPeriod() {
		return m.applyLateCorrection(index, data, correction)
	}
	return m.Ledger.Apply(index, data)
}

// decodeAndApply decodes a command of a role and applies it; one that doesn't decode is rejected.
func decodeAndApply[C any](m *Machine, data []byte, apply func(*C) Result) Result {
	var cmd C
	if err := logcodec.DecodeCommand(data, &cmd); err != nil {
		return m.reject("decoding command: %v", err)
	}
	return apply(&cmd)
}

// applyLease applies a lease command. It rejects commands for roles other than FleetRole.
func (m *Machine) applyLease(index uint64, data []byte) lease.Result {
	var cmd lease.Command
	if err := logcodec.DecodeCommand(data, &cmd); err != nil || cmd.Role != FleetRole {
		m.state.Stats.Rejected++
		return lease.Result{Grant: m.grant()}
	}
	result := m.leases.Apply(index, cmd)
	if result.Applied && cmd.Op == lease.Acquire {
		m.state.Stats.Grants++
	}
	return result
}

// grant returns the current grant of the fleet's role.
func (m *Machine) grant() lease.Grant { return m.leases.Get(FleetRole) }

// owns reports whether token is that of the current grant and member is its holder.
func (m *Machine) owns(member string, token uint64) bool {
	grant := m.grant()
	return member != "" && grant.Holder == member && grant.Token == token
}

// rejectStale counts a command whose token isn't that of the current grant, and returns its result.
func (m *Machine) rejectStale(member string, token uint64) Result {
	m.state.Stats.Stale++
	grant := m.grant()
	reason := fmt.Sprintf("token %d of %q is stale; the current grant is token %d of %q", token, member,
		grant.Token, grant.Holder)
	return Result{Status: StatusStale, Reason: reason}
}

// reject counts a command that is rejected for another reason, and returns its result.
func (m *Machine) reject(format string, args ...any) Result {
	m.state.Stats.Rejected++
	return Result{Status: StatusRejected, Reason: fmt.Sprintf(format, args...)}
}
