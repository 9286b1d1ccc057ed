// Package groupstate is what the fleet's chores leave in the replicated log: who owns them, how far the
// export of the ledger has come, and the list of zone servers that the owner asked for. It is pure: no I/O,
// clock or goroutines; the same log gives the same state everywhere.
//
// Every entry of a chore carries the fencing token of the grant it was made under (Kleppmann, "How to do
// distributed locking", 2016; Burrows, Chubby, OSDI 2006, calls it a sequencer). One whose token is not that
// of the grant as it stands is refused by the log itself, as the sinks refuse its calls.
//
// A period is exported in three steps: an Intent, which freezes what is sent; the sending; and a Done. What
// an intent left open the next owner sends again, the same bytes under the same ids, so that the sink can
// tell a repeat. Periods go out in their order, each once no late answer can count in it any more.
package groupstate

import (
	"encoding/json"
	"fmt"

	"github.com/hashicorp/go-msgpack/v2/codec"

	"cresshub/internal/cluster/lease"
	"cresshub/internal/cluster/ledger"
)

// FleetRole is the chore that the fleet's one owner holds the lease of: all others are done under it.
const FleetRole = "fleet"

const (
	// maxUnexportedPeriods is how many periods wait for their export at most: two weeks of minutes. Beyond, the
	// oldest go unsent, which Figures.Unsent tells.
	maxUnexportedPeriods = 20_160
	// maxPendingCorrections is how many corrections of exported periods wait to be sent; beyond, further ones
	// are refused.
	maxPendingCorrections = 10_000
	// maxEndpointListBytes bounds a list of servers, in bytes.
	maxEndpointListBytes = 8 << 20
)

// Commands of the log, beside those of package ledger.
const (
	kindLease           = 'L'
	kindExportIntent    = 'I'
	kindExportDone      = 'D'
	kindCorrectionsSent = 'S'
	kindEndpointList    = 'T'
)

// IntentToken says that the owner is about to send a period.
type ExportIntent struct {
	Member string
	Token  uint64
	Period uint64
}

// ExportDone says that the sink has all of a period.
type ExportDone struct {
	Member string
	Token  uint64
	Period uint64
}

// CorrectionsSent says that the sink has all corrections up to one.
type CorrectionsSent struct {
	Member string
	Token  uint64
	UpTo   uint64
}

// Endpoints is the list of zone servers as the owner has it now. An empty Raw says that it is as it was.
type EndpointList struct {
	Member string
	Token  uint64
	Index  int64 // discovery's own count of changes
	Raw    []byte
}

var msgpackHandle = func() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.StructToArray = true
	return h
}()

func encode(kind byte, v any) []byte {
	var b []byte
	if err := codec.NewEncoderBytes(&b, msgpackHandle).Encode(v); err != nil {
		panic(err) // a struct of this package that the codec cannot write: no input leads here
	}
	return append([]byte{kind}, b...)
}

// EncodeLease returns a lease's command as it stands in the log.
func EncodeLease(c lease.Command) []byte { return encode(kindLease, &c) }

// Encode returns the command as it stands in the log.
func (c *ExportIntent) Encode() []byte    { return encode(kindExportIntent, c) }
func (c *ExportDone) Encode() []byte      { return encode(kindExportDone, c) }
func (c *CorrectionsSent) Encode() []byte { return encode(kindCorrectionsSent, c) }
func (c *EndpointList) Encode() []byte    { return encode(kindEndpointList, c) }

// Result says what became of a chore's command.
type Result struct {
	Status string `json:"status"`
	Reason string `json:"why,omitempty"`
}

// What becomes of chores' commands.
const (
	StatusAccepted = "taken"
	StatusStale    = "stale"   // its token is not that of the grant: whoever sent it owns nothing any more
	StatusRejected = "refused" // it makes no sense
)

// Stats are counts of what was applied.
type Stats struct {
	Grants        int64 `json:"grants"`
	Stale         int64 `json:"stale"`   // entries refused for their token
	Rejected      int64 `json:"refused"` // entries that do not decode or make no sense
	Periods       int64 `json:"periods"` // exported
	Unsent        int64 `json:"unsent"`  // periods that went before they were exported, for want of room
	Corrections   int64 `json:"fixes"`   // corrections exported
	EndpointLists int64 `json:"lists"`   // told by owners
}

// openExport is an intent that is not done: what is sent, frozen.
type openExport struct {
	Period, Token uint64
	Rows          []ledger.Row
}

// PendingCorrection is a correction of a period that was sent before it came: it is sent by itself.
type PendingCorrection struct {
	Seq uint64 `json:"seq"`
	ledger.Correction
}

// endpointState is the list of servers as owners told it.
type endpointState struct {
	Token, Version, Changed uint64 // Version is the index of the last entry about it, Changed of the last change
	Index                   int64
	Raw                     []byte
}

// Machine is the ledger and the chores as one state machine of a group.
type Machine struct {
	*ledger.Ledger
	state        state
	leases       *lease.Table
	appliedIndex uint64
}

// state is all but the ledger and the leases, as a snapshot has it.
type state struct {
	ExportStarted bool // an export was begun: from then on periods wait for theirs
	Exported      uint64
	Open          *openExport
	Corrections   []PendingCorrection
	CorrectionSeq uint64
	Endpoints     endpointState
	Stats         Stats
}

// New returns an empty machine.
func New(settings ledger.Settings) (*Machine, error) {
	l, err := ledger.New(settings)
	if err != nil {
		return nil, err
	}
	m := &Machine{Ledger: l, leases: lease.NewTable()}
	l.SetMayDrop(m.mayDrop)
	return m, nil
}

// mayDrop tells whether a closed period beyond those that are kept may go: once it is exported, or where no
// export was ever begun, or where too many wait.
func (m *Machine) mayDrop(period uint64) bool {
	switch {
	case !m.state.ExportStarted || period <= m.state.Exported:
		return true
	case m.Ledger.OpenPeriod()-period > maxUnexportedPeriods && (m.state.Open == nil ||
		m.state.Open.Period != period):
		m.state.Stats.Unsent++
		return true
	}
	return false
}

// lastSealed is the newest period whose statement is sent or being sent.
func (m *Machine) lastSealed() uint64 {
	if m.state.Open != nil {
		return m.state.Open.Period
	}
	return m.state.Exported
}

// nextDue is the next period to be exported, 0 where there is none.
func (m *Machine) nextDue() uint64 {
	next := max(m.state.Exported+1, m.Ledger.FirstPeriod())
	if next > m.Ledger.FinalPeriod() {
		return 0
	}
	return next
}

// Apply applies a command of the log.
func (m *Machine) Apply(index uint64, data []byte) any {
	m.appliedIndex = index
	if len(data) == 0 {
		return m.Ledger.Apply(index, data)
	}
	switch data[0] {
	case kindLease:
		return m.applyLease(index, data)
	case kindExportIntent:
		return decodeAndApply(m, data, m.applyIntent)
	case kindExportDone:
		return decodeAndApply(m, data, m.applyDone)
	case kindCorrectionsSent:
		return decodeAndApply(m, data, m.applyCorrectionsSent)
	case kindEndpointList:
		return decodeAndApply(m, data, m.applyEndpointList)
	}
	if c, ok := ledger.DecodeCorrection(data); ok && c.Period <= m.lastSealed() {
		return m.applyCorrection(index, data, c)
	}
	return m.Ledger.Apply(index, data)
}

func decodeAndApply[C any](m *Machine, data []byte, apply func(*C) Result) Result {
	var c C
	if err := codec.NewDecoderBytes(data[1:], msgpackHandle).Decode(&c); err != nil {
		return m.reject("it does not decode: %v", err)
	}
	return apply(&c)
}

func (m *Machine) reject(format string, args ...any) Result {
	m.state.Stats.Rejected++
	return Result{Status: StatusRejected, Reason: fmt.Sprintf(format, args...)}
}

func (m *Machine) applyLease(index uint64, data []byte) any {
	var cmd lease.Command
	if err := codec.NewDecoderBytes(data[1:], msgpackHandle).Decode(&cmd); err != nil || cmd.Role != FleetRole {
		m.reject("")
		return lease.Result{Grant: m.leases.Get(FleetRole)}
	}
	result := m.leases.Apply(index, cmd)
	if result.Applied && cmd.Op == lease.Acquire {
		m.state.Stats.Grants++
	}
	return result
}

// checkToken tells whether a token is that of the grant as it stands, held by that member.
func (m *Machine) checkToken(member string, token uint64) (Result, bool) {
	grant := m.leases.Get(FleetRole)
	if grant.Holder == member && member != "" && grant.Token == token {
		return Result{Status: StatusAccepted}, true
	}
	m.state.Stats.Stale++
	reason := fmt.Sprintf("token %d of %q; the grant is %d of %q", token, member, grant.Token, grant.Holder)
	return Result{Status: StatusStale, Reason: reason}, false
}

func (m *Machine) applyIntent(cmd *ExportIntent) Result {
	result, ok := m.checkToken(cmd.Member, cmd.Token)
	switch {
	case !ok:
		return result
	case m.state.Open != nil && m.state.Open.Period == cmd.Period:
		return result // said before: what is sent stays as it was
	case m.state.Open != nil:
		return m.reject("period %d is being sent", m.state.Open.Period)
	case cmd.Period == 0 || cmd.Period != m.nextDue():
		return m.reject("period %d is not the next to be sent; that is %d", cmd.Period, m.nextDue())
	}
	rows, ok := m.Ledger.Rows(cmd.Period)
	if !ok {
		return m.reject("there is no period %d", cmd.Period)
	}
	m.state.ExportStarted = true
	m.state.Open = &openExport{Period: cmd.Period, Token: cmd.Token, Rows: rows}
	return result
}

func (m *Machine) applyDone(cmd *ExportDone) Result {
	result, ok := m.checkToken(cmd.Member, cmd.Token)
	switch {
	case !ok:
		return result
	case m.state.Open == nil && cmd.Period == m.state.Exported:
		return result // said before
	case m.state.Open == nil || m.state.Open.Period != cmd.Period:
		return m.reject("period %d is not being sent", cmd.Period)
	}
	m.state.Exported, m.state.Open = cmd.Period, nil
	m.state.Stats.Periods++
	return result
}

// applyCorrection applies a correction of a period that was sent, or is being sent, already: it is sent by
// itself.
func (m *Machine) applyCorrection(index uint64, data []byte, correction ledger.Correction) any {
	if len(m.state.Corrections) >= maxPendingCorrections {
		m.reject("")
		return ledger.Result{Status: ledger.StatusRejected, Index: index, Period: correction.Period}
	}
	result := m.Ledger.Apply(index, data)
	if result.Status == ledger.StatusCorrected {
		m.state.CorrectionSeq++
		m.state.Corrections = append(m.state.Corrections, PendingCorrection{m.state.CorrectionSeq, correction})
	}
	return result
}

func (m *Machine) applyCorrectionsSent(cmd *CorrectionsSent) Result {
	result, ok := m.checkToken(cmd.Member, cmd.Token)
	if !ok {
		return result
	}
	if cmd.UpTo > m.state.CorrectionSeq {
		return m.reject("there is no correction %d", cmd.UpTo)
	}
	for len(m.state.Corrections) > 0 && m.state.Corrections[0].Seq <= cmd.UpTo {
		m.state.Corrections = m.state.Corrections[1:]
		m.state.Stats.Corrections++
	}
	return result
}

func (m *Machine) applyEndpointList(cmd *EndpointList) Result {
	result, ok := m.checkToken(cmd.Member, cmd.Token)
	current := &m.state.Endpoints
	switch {
	case !ok:
		return result
	case len(cmd.Raw) > maxEndpointListBytes:
		return m.reject("a list of %d bytes, %d at most", len(cmd.Raw), maxEndpointListBytes)
	case len(cmd.Raw) > 0 && !json.Valid(cmd.Raw):
		return m.reject("the list is no JSON")
	case len(cmd.Raw) == 0 && (current.Token != cmd.Token || current.Index != cmd.Index):
		return m.reject("the list is said to be as it was, and it is another owner's")
	}
	current.Version, current.Token, current.Index = m.appliedIndex, cmd.Token, cmd.Index
	if len(cmd.Raw) > 0 {
		current.Changed, current.Raw = m.appliedIndex, cmd.Raw
	}
	m.state.Stats.EndpointLists++
	return result
}
