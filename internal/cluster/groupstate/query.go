package groupstate

import (
	"encoding/json"
	"fmt"

	"cresshub/internal/cluster/lease"
	"cresshub/internal/cluster/ledger"
)

// Values of Query.Kind, with the type of their answer. "" asks the ledger, by ledger.Query.
const (
	QueryGrant         = "grant"     // lease.Grant
	QueryView          = "view"      // View
	QueryPendingExport = "statement" // PendingExport
	QueryEndpoints     = "list"      // EndpointView
)

// Query is what Machine.Read answers, as JSON. A ledger.Query in JSON is a Query too.
type Query struct {
	Kind         string `json:"ask,omitempty"`
	ChangedAfter uint64 `json:"after,omitempty"` // QueryEndpoints: leave out the list unless it has changed after this
	ledger.Query
}

// Encode encodes the query.
func (q Query) Encode() []byte {
	b, err := json.Marshal(q)
	if err != nil {
		panic(err) // numbers and strings alone: no input leads here
	}
	return b
}

// View is what operators see of the state beside the ledger.
type View struct {
	Grant              lease.Grant  `json:"grant"`
	LastExported       uint64       `json:"exported"` // the last period that the sink has acknowledged in full
	IntentPeriod       uint64       `json:"sending"`  // the period of the open intent, 0 for none
	IntentToken        uint64       `json:"intent_token"`
	FinalPeriod        uint64       `json:"final"`   // the newest period that may be exported
	OpenPeriod         uint64       `json:"open"`    // the open period of the ledger
	Backlog            int          `json:"backlog"` // periods that may be exported and are not
	PendingCorrections int          `json:"corrections_waiting"`
	Endpoints          EndpointView `json:"list"`
	Stats              Stats        `json:"figures"`
}

// EndpointView is the endpoint list as it was last published.
type EndpointView struct {
	Version        uint64          `json:"version"`       // rises whenever the list is published or confirmed
	ChangedVersion uint64          `json:"changed"`       // Version when the list itself was last published
	Token          uint64          `json:"token"`         // of the owner that published it
	DiscoveryIndex int64           `json:"index"`         // discovery's number of the list
	Raw            json.RawMessage `json:"raw,omitempty"` // in discovery's format
}

// PendingExport is what the owner has to export next.
type PendingExport struct {
	Grant        lease.Grant         `json:"grant"`
	DuePeriod    uint64              `json:"due"`    // the next period that needs an intent, 0 for none
	IntentPeriod uint64              `json:"period"` // of the open intent, 0 for none
	IntentToken  uint64              `json:"token"`  // of the open intent
	Rows         []ledger.Row        `json:"rows"`   // of the open intent
	Corrections  []PendingCorrection `json:"fixes"`
}

// maxCorrectionsPerExport bounds the corrections in a PendingExport.
const maxCorrectionsPerExport = 100

// Read answers a Query and changes nothing. It returns an error if the query doesn't decode or its kind is
// unknown.
func (m *Machine) Read(raw []byte) (any, error) {
	var query Query
	if err := json.Unmarshal(raw, &query); err != nil {
		return nil, fmt.Errorf("a query that does not decode: %w", err)
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
	return nil, fmt.Errorf("%q is no question", query.Kind)
}

// pendingExport returns what the owner has to do next. It aliases the state.
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

// View returns the state beside the ledger.
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
