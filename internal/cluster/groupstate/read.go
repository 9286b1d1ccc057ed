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
	AskGrant     = "grant"     // lease.Grant
	AskView      = "view"      // View
	AskStatement = "statement" // Statement
	AskList      = "list"      // ListView
)

// Query is a question in JSON. One of package ledger's is a Query too.
type Query struct {
	Ask   string `json:"ask,omitempty"`
	After uint64 `json:"after,omitempty"` // AskList: the list's bytes only where it changed after this
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
	Grant    lease.Grant `json:"grant"`
	Exported uint64      `json:"exported"` // the last period that the sink has whole
	Sending  uint64      `json:"sending"`  // the period of an open intent, 0 for none
	Intent   uint64      `json:"intent_token"`
	Final    uint64      `json:"final"` // the newest period that may be sent
	Open     uint64      `json:"open"`
	Backlog  int         `json:"backlog"` // periods that may be sent and were not
	Fixes    int         `json:"corrections_waiting"`
	List     ListView    `json:"list"`
	Figures  Figures     `json:"figures"`
}

// ListView is the list of servers as the last owner told it.
type ListView struct {
	Version uint64          `json:"version"` // rises whenever an owner says how the list is
	Changed uint64          `json:"changed"`
	Token   uint64          `json:"token"`
	Index   int64           `json:"index"`
	Raw     json.RawMessage `json:"raw,omitempty"`
}

// Statement is what the owner has to send next.
type Statement struct {
	Grant  lease.Grant  `json:"grant"`
	Due    uint64       `json:"due"`    // the next period that wants an intent, 0 for none
	Period uint64       `json:"period"` // of the open intent, 0 for none
	Token  uint64       `json:"token"`  // that intent's
	Rows   []ledger.Row `json:"rows"`
	Fixes  []Fix        `json:"fixes"`
}

// fixesAtOnce is how many corrections one statement holds.
const fixesAtOnce = 100

// Read answers a Query in JSON.
func (m *Machine) Read(query []byte) (any, error) {
	var q Query
	if err := json.Unmarshal(query, &q); err != nil {
		return nil, fmt.Errorf("a query that does not decode: %w", err)
	}
	switch q.Ask {
	case "":
		return m.Ledger.Read(q.Query), nil
	case AskGrant:
		return m.leases.Get(Owner), nil
	case AskView:
		return m.View(), nil
	case AskStatement:
		s := Statement{Grant: m.leases.Get(Owner), Fixes: m.s.Fixes[:min(len(m.s.Fixes), fixesAtOnce)]}
		if o := m.s.Open; o != nil {
			s.Period, s.Token, s.Rows = o.Period, o.Token, o.Rows
		} else {
			s.Due = m.due()
		}
		return s, nil
	case AskList:
		l := m.listView()
		if l.Changed > q.After {
			l.Raw = m.s.List.Raw
		}
		return l, nil
	}
	return nil, fmt.Errorf("%q is no question", q.Ask)
}

func (m *Machine) listView() ListView {
	l := &m.s.List
	return ListView{Version: l.Version, Changed: l.Changed, Token: l.Token, Index: l.Index}
}

// View is the chores as they are.
func (m *Machine) View() View {
	v := View{Grant: m.leases.Get(Owner), Exported: m.s.Exported, Final: m.Ledger.Final(),
		Open: m.Ledger.Open(), Fixes: len(m.s.Fixes), List: m.listView(), Figures: m.s.Figures}
	if o := m.s.Open; o != nil {
		v.Sending, v.Intent = o.Period, o.Token
	}
	if from := max(m.s.Exported+1, m.Ledger.First()); v.Final >= from {
		v.Backlog = int(v.Final - from + 1)
	}
	return v
}

// format is that of snapshots; one of a newer format is refused. kindSnapshot stands before it: a snapshot
// from before there were chores is the ledger's alone and begins with another byte.
const (
	format       = 1
	kindSnapshot = 'M'
)

type saved struct {
	Format  int
	Applied uint64
	Grants  map[string]lease.Grant
	State   state
	Ledger  []byte
}

// sorted has the same state give the same bytes, though it holds a map.
var sorted = func() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.StructToArray, h.Canonical = true, true
	return h
}()

// Snapshot returns the whole state. The same state gives the same bytes.
func (m *Machine) Snapshot() []byte {
	var b []byte
	if err := codec.NewEncoderBytes(&b, sorted).Encode(&saved{Format: format, Applied: m.applied,
		Grants: m.leases.Grants(), State: m.s, Ledger: m.Ledger.Snapshot()}); err != nil {
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
		m.s, m.applied = state{}, m.Ledger.Index()
		m.leases.Restore(nil)
		return nil
	}
	var s saved
	if err := codec.NewDecoderBytes(b[1:], handle).Decode(&s); err != nil {
		return fmt.Errorf("a snapshot that does not decode: %w", err)
	}
	if s.Format != format {
		return fmt.Errorf("a snapshot of the chores of format %d; this program reads %d", s.Format, format)
	}
	if err := m.Ledger.Restore(s.Ledger); err != nil {
		return err
	}
	m.s, m.applied = s.State, s.Applied
	m.leases.Restore(s.Grants)
	return nil
}
