package groupstate

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/hashicorp/go-msgpack/v2/codec"

	"cresshub/internal/cluster/lease"
	"cresshub/internal/cluster/ledger"
)

// What a query asks for; "" is the ledger, by ledger.Query.
const (
	QueryGrant         = "grant"     // lease.Grant
	QueryView          = "view"      // View
	QueryPendingExport = "statement" // PendingExport
	QueryEndpoints     = "list"      // EndpointView
)

// Query is a question in JSON. One of package ledger's is a Query too.
type Query struct {
	Kind  string `json:"ask,omitempty"`
	After uint64 `json:"after,omitempty"` // QueryEndpoints: the list's bytes only where it changed after this
	ledger.Query
}

// Encode returns the question as it is asked.
func (q Query) Encode() []byte {
	b, err := json.Marshal(q)
	if err != nil {
		panic(err) // numbers and words alone: no input leads here
	}
	return b
}

// View is what operators see of the chores.
type View struct {
	Grant              lease.Grant  `json:"grant"`
	Exported           uint64       `json:"exported"` // the last period that the sink has whole
	Sending            uint64       `json:"sending"`  // the period of an open intent, 0 for none
	IntentToken        uint64       `json:"intent_token"`
	Final              uint64       `json:"final"` // the newest period that may be sent
	Open               uint64       `json:"open"`
	Backlog            int          `json:"backlog"` // periods that may be sent and were not
	PendingCorrections int          `json:"corrections_waiting"`
	Endpoints          EndpointView `json:"list"`
	Stats              Stats        `json:"figures"`
}

// EndpointView is the list of servers as the last owner told it.
type EndpointView struct {
	Version uint64          `json:"version"` // rises whenever an owner says how the list is
	Changed uint64          `json:"changed"`
	Token   uint64          `json:"token"`
	Index   int64           `json:"index"`
	Raw     json.RawMessage `json:"raw,omitempty"`
}

// PendingExport is what the owner has to send next.
type PendingExport struct {
	Grant       lease.Grant         `json:"grant"`
	Due         uint64              `json:"due"`    // the next period that wants an intent, 0 for none
	Period      uint64              `json:"period"` // of the open intent, 0 for none
	IntentToken uint64              `json:"token"`  // that intent's
	Rows        []ledger.Row        `json:"rows"`
	Corrections []PendingCorrection `json:"fixes"`
}

// maxCorrectionsPerExport is how many corrections one statement holds.
const maxCorrectionsPerExport = 100

// Read answers a Query in JSON.
func (m *Machine) Read(query []byte) (any, error) {
	var q Query
	if err := json.Unmarshal(query, &q); err != nil {
		return nil, fmt.Errorf("a query that does not decode: %w", err)
	}
	switch q.Kind {
	case "":
		return m.Ledger.Read(q.Query), nil
	case QueryGrant:
		return m.leases.Get(FleetRole), nil
	case QueryView:
		return m.View(), nil
	case QueryPendingExport:
		s := PendingExport{Grant: m.leases.Get(FleetRole),
			Corrections: m.state.Corrections[:min(len(m.state.Corrections), maxCorrectionsPerExport)]}
		if o := m.state.Open; o != nil {
			s.Period, s.IntentToken, s.Rows = o.Period, o.Token, o.Rows
		} else {
			s.Due = m.nextDue()
		}
		return s, nil
	case QueryEndpoints:
		l := m.endpointView()
		if l.Changed > q.After {
			l.Raw = m.state.Endpoints.Raw
		}
		return l, nil
	}
	return nil, fmt.Errorf("%q is no question", q.Kind)
}

func (m *Machine) endpointView() EndpointView {
	l := &m.state.Endpoints
	return EndpointView{Version: l.Version, Changed: l.Changed, Token: l.Token, Index: l.Index}
}

// View is the chores as they are.
func (m *Machine) View() View {
	v := View{Grant: m.leases.Get(FleetRole), Exported: m.state.Exported, Final: m.Ledger.FinalPeriod(),
		Open: m.Ledger.OpenPeriod(), PendingCorrections: len(m.state.Corrections), Endpoints: m.endpointView(),
		Stats: m.state.Stats}
	if o := m.state.Open; o != nil {
		v.Sending, v.IntentToken = o.Period, o.Token
	}
	if from := max(m.state.Exported+1, m.Ledger.FirstPeriod()); v.Final >= from {
		v.Backlog = int(v.Final - from + 1)
	}
	return v
}

// format is that of snapshots; one of a newer format is refused. kindSnapshot stands before it: a snapshot
// from before there were chores is the ledger's alone and begins with another byte.
const (
	snapshotFormat = 1
	kindSnapshot   = 'M'
)

type snapshot struct {
	Format       int
	AppliedIndex uint64
	Grants       map[string]lease.Grant
	State        state
	Ledger       []byte
}

// canonicalHandle has the same state give the same bytes, though it holds a map.
var canonicalHandle = func() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.StructToArray, h.Canonical = true, true
	return h
}()

// Snapshot returns the whole state. The same state gives the same bytes.
func (m *Machine) Snapshot() []byte {
	var b []byte
	if err := codec.NewEncoderBytes(&b, canonicalHandle).Encode(&snapshot{Format: snapshotFormat,
		AppliedIndex: m.appliedIndex,
		Grants:       m.leases.Grants(), State: m.state, Ledger: m.Ledger.Snapshot()}); err != nil {
		panic(err) // as in encode
	}
	return append([]byte{kindSnapshot}, b...)
}

// Restore puts a snapshot's state in place of what there is. One that cannot be read changes nothing.
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
		return fmt.Errorf("a snapshot of the chores of format %d; this program reads %d", s.Format, snapshotFormat)
	}
	if err := m.Ledger.Restore(s.Ledger); err != nil {
		return err
	}
	m.state, m.appliedIndex = s.State, s.AppliedIndex
	m.leases.Restore(s.Grants)
	return nil
}
