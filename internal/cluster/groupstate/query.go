package groupstate

import (
	"encoding/json"
	"fmt"

	"cresshub/internal/cluster/lease"
	"cresshub/internal/cluster/ledger"
)

// Values of Query.Kind, with the type of the result of Machine.Read. "" queries the ledger by the embedded
// ledger.Query.
const (
	QueryGrant         = "grant"     // lease.Grant
	QueryView          = "view"      // View
	QueryPendingExport = "statement" // PendingExport
	QueryEndpoints     = "list"      // EndpointView
)

// Query is the argument of Machine.Read, encoded as JSON. A ledger.Query encoded as JSON is a valid Query
// too.
type Query struct {
	Kind         string `json:"ask,omitempty"`
	ChangedAfter uint64 `json:"after,omitempty"` // QueryEndpoints: omit Raw unless ChangedVersion is above this
	ledger.Query
}

// Encode encodes the query.
func (q Query) Encode() []byte {
	b, err := json.Marshal(q)
	if err != nil {
		panic(err) // not reached: the query has only numbers and strings
	}
	return b
}

// View is the state without the ledger, as operators see it.
type View struct {
	Grant              lease.Grant  `json:"grant"`
	LastExported       uint64       `json:"exported"` // the last period that the sink has acknowledged in full
	IntentPeriod       uint64       `json:"sending"`  // the period of the open intent, 0 for none
	IntentToken        uint64       `json:"intent_token"`
	FinalPeriod        uint64       `json:"final"`   // the newest period that may be exported
	OpenPeriod         uint64       `json:"open"`    // the open period of the ledger
	Backlog            int          `json:"backlog"` // periods that may be exported and have not been
	PendingCorrections int          `json:"corrections_waiting"`
	Endpoints          EndpointView `json:"list"`
	Stats              Stats        `json:"figures"`
}

// EndpointView is the endpoint list that was published last.
type EndpointView struct {
	Version        uint64          `json:"version"`       // log index of the last publication or confirmation
	ChangedVersion uint64          `json:"changed"`       // log index of the last publication
	Token          uint64          `json:"token"`         // of the owner that published it
	DiscoveryIndex int64           `json:"index"`         // discovery's version number of the list
	Raw            json.RawMessage `json:"raw,omitempty"` // in discovery's format
}

// PendingExport is the next export work of the owner.
type PendingExport struct {
	Grant        lease.Grant         `json:"grant"`
	DuePeriod    uint64              `json:"due"`    // the next period that needs an intent, 0 for none
	IntentPeriod uint64              `json:"period"` // period of the open intent, 0 for none
	IntentToken  uint64              `json:"token"`  // token under which the intent was proposed
	Rows         []ledger.Row        `json:"rows"`   // frozen rows of the open intent
	Corrections  []PendingCorrection `json:"fixes"`
}

// maxCorrectionsPerExport bounds the corrections in a PendingExport.
const maxCorrectionsPerExport = 100

// Read answers a Query and changes nothing. It returns an error if the query doesn't decode or its kind is
// unknown.
func (m *Machine) Read(raw []byte) (any, error) {
	var query Query
	if err := json.Unmarshal(raw, &query); err != nil {
		return nil, fmt.Errorf("decoding query: %w", err)
	}
	switch query.Kind {
	case "":
		return m.Ledger.Read(query.Query), nil
	case QueryGrant:
		return m.grant(), nil
	case QueryView:
		return m.View(), nil
	case QueryPendingExport:
		return m.pendingExport(), nil
	case QueryEndpoints:
		view := m.endpointView()
		if view.ChangedVersion > query.ChangedAfter {
			view.Raw = m.state.Endpoints.Raw
		}
		return view, nil
	}
	return nil, fmt.Errorf("unknown query kind %q", query.Kind)
}

// pendingExport returns the next export work of the owner. The result aliases the state.
func (m *Machine) pendingExport() PendingExport {
	corrections := m.state.PendingCorrections[:min(len(m.state.PendingCorrections), maxCorrectionsPerExport)]
	next := PendingExport{Grant: m.grant(), Corrections: corrections}
	if open := m.state.OpenExport; open != nil {
		next.IntentPeriod, next.IntentToken, next.Rows = open.Period, open.Token, open.Rows
	} else {
		next.DuePeriod = m.nextDuePeriod()
	}
	return next
}

// View returns the state without the ledger.
func (m *Machine) View() View {
	view := View{
		Grant:              m.grant(),
		LastExported:       m.state.LastExported,
		FinalPeriod:        m.Ledger.FinalPeriod(),
		OpenPeriod:         m.Ledger.OpenPeriod(),
		PendingCorrections: len(m.state.PendingCorrections),
		Endpoints:          m.endpointView(),
		Stats:              m.state.Stats,
	}
	if open := m.state.OpenExport; open != nil {
		view.IntentPeriod, view.IntentToken = open.Period, open.Token
	}
	if first := m.nextUnexportedPeriod(); view.FinalPeriod >= first {
		view.Backlog = int(view.FinalPeriod - first + 1)
	}
	return view
}
