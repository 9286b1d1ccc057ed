// Package groupstate is the replicated state machine of the Raft group that client proxies share: the usage
// ledger (package ledger), the lease of the singleton roles (package lease), the position of the ledger's
// export to the billing sink, and the endpoint list that the lease holder publishes. It is pure: no I/O,
// clock or goroutines, so that the same log gives the same state on every replica. A Machine is not safe for
// concurrent use; its group serializes the calls.
//
// Every command of a role carries the fencing token of the grant it was made under (Kleppmann, "How to do
// distributed locking", 2016; Burrows, Chubby, OSDI 2006, calls it a sequencer). A command whose token isn't
// that of the current grant is rejected as stale, as the sink and discovery reject calls.
//
// A period is exported in three steps: an ExportIntent, which freezes what is sent; the calls to the sink;
// and an ExportDone. An intent that was left open is resumed by the next owner, which sends the same bytes
// under the same ids, so that the sink recognizes duplicates. Periods are exported in their order, each once
// no late answer can count in it any more. Corrections of a period from its intent on are exported on their
// own.
package groupstate

import (
	"fmt"

	"cresshub/internal/cluster/lease"
	"cresshub/internal/cluster/ledger"
	"cresshub/internal/cluster/logcodec"
)

// FleetRole is the one role that is leased: its owner runs all singleton roles of the fleet.
const FleetRole = "fleet"

// Result is the outcome of a command of a role.
type Result struct {
	Status string `json:"status"`
	Reason string `json:"why,omitempty"` // unless it was accepted
}

// Values of Result.Status.
const (
	StatusAccepted = "taken"
	StatusStale    = "stale"   // its token isn't that of the current grant: its proposer is no owner any more
	StatusRejected = "refused" // it doesn't decode, or doesn't fit the state
)

var accepted = Result{Status: StatusAccepted}

// Stats count what was applied.
type Stats struct {
	Grants              int64 `json:"grants"`  // leases acquired
	Stale               int64 `json:"stale"`   // commands rejected because of their token
	Rejected            int64 `json:"refused"` // commands rejected otherwise
	ExportedPeriods     int64 `json:"periods"` // periods exported
	DroppedPeriods      int64 `json:"unsent"`  // periods dropped before they were exported
	ExportedCorrections int64 `json:"fixes"`   // corrections exported
	EndpointLists       int64 `json:"lists"`   // endpoint lists published or confirmed
}

// Machine is the state machine of a group. Use New.
//
// The ledger's export goes from period to period: none is open and nextDue is the next one; an ExportIntent
// opens it and freezes its rows; an ExportDone ends it and makes it the last one exported. Exported never
// falls, and at most one intent is open. Whoever owns the role may take either step, also where an earlier
// owner took the one before.
type Machine struct {
	Ledger       *ledger.Ledger // changed by Apply and Restore alone
	leases       *lease.Table
	state        state
	appliedIndex uint64 // of the last command
}

// state is what a Machine has beside the ledger and the leases. It is stored in snapshots, see package
// logcodec.
type state struct {
	ExportStarted      bool                // there was an ExportIntent: from then on periods wait for their export
	LastExported       uint64              // the last period exported, 0 for none
	OpenExport         *openExport         // nil for none
	PendingCorrections []PendingCorrection // by Seq
	LastCorrectionSeq  uint64              // of the last correction added
	Endpoints          endpointState
	Stats              Stats
}

// New returns a machine with an empty state, or an error if the settings are unsound.
func New(settings ledger.Settings) (*Machine, error) {
	usage, err := ledger.New(settings)
	if err != nil {
		return nil, err
	}
	m := &Machine{Ledger: usage, leases: lease.NewTable()}
	usage.SetMayDrop(m.mayDrop)
	return m, nil
}

// Apply applies the command at an index of the log; indexes have to rise. It returns a lease.Result for a
// command of the lease, a Result for one of a role, and a ledger.Result for any other. A command that doesn't
// decode is counted and changes nothing else.
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
		return m.reject("it does not decode: %v", err)
	}
	return apply(&cmd)
}

// applyLease applies a command of the lease, of which there is one role alone.
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

// owns reports whether a token is that of the current grant, and member its holder.
func (m *Machine) owns(member string, token uint64) bool {
	grant := m.grant()
	return member != "" && grant.Holder == member && grant.Token == token
}

// rejectStale counts a command whose token isn't that of the current grant, and returns its result.
func (m *Machine) rejectStale(member string, token uint64) Result {
	m.state.Stats.Stale++
	grant := m.grant()
	reason := fmt.Sprintf("token %d of %q; the grant is %d of %q", token, member, grant.Token, grant.Holder)
	return Result{Status: StatusStale, Reason: reason}
}

// reject counts a command that is rejected for another reason, and returns its result.
func (m *Machine) reject(format string, args ...any) Result {
	m.state.Stats.Rejected++
	return Result{Status: StatusRejected, Reason: fmt.Sprintf(format, args...)}
}
