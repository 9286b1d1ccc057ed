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

// Owner is the chore that the fleet's one owner holds the lease of: all others are done under it.
const Owner = "fleet"

const (
	// backlogMost is how many periods wait for their export at most: two weeks of minutes. Beyond, the oldest
	// go unsent, which Figures.Unsent tells.
	backlogMost = 20_160
	// fixesMost is how many corrections of exported periods wait to be sent; beyond, further ones are refused.
	fixesMost = 10_000
	// listMost bounds a list of servers, in bytes.
	listMost = 8 << 20
)

// Commands of the log, beside those of package ledger.
const (
	kindLease   = 'L'
	kindIntent  = 'I'
	kindDone    = 'D'
	kindSettled = 'S'
	kindList    = 'T'
)

// Intent says that the owner is about to send a period.
type Intent struct {
	Member string
	Token  uint64
	Period uint64
}

// Done says that the sink has all of a period.
type Done struct {
	Member string
	Token  uint64
	Period uint64
}

// Settled says that the sink has all corrections up to one.
type Settled struct {
	Member string
	Token  uint64
	UpTo   uint64
}

// List is the list of zone servers as the owner has it now. An empty Raw says that it is as it was.
type List struct {
	Member string
	Token  uint64
	Index  int64 // discovery's own count of changes
	Raw    []byte
}

var handle = func() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.StructToArray = true
	return h
}()

func encode(kind byte, v any) []byte {
	var b []byte
	if err := codec.NewEncoderBytes(&b, handle).Encode(v); err != nil {
		panic(err) // a struct of this package that the codec cannot write: no input leads here
	}
	return append([]byte{kind}, b...)
}

// Lease returns a lease's command as it stands in the log.
func Lease(c lease.Command) []byte { return encode(kindLease, &c) }

// Encode returns the command as it stands in the log.
func (c *Intent) Encode() []byte  { return encode(kindIntent, c) }
func (c *Done) Encode() []byte    { return encode(kindDone, c) }
func (c *Settled) Encode() []byte { return encode(kindSettled, c) }
func (c *List) Encode() []byte    { return encode(kindList, c) }

// Result says what became of a chore's command.
type Result struct {
	Status string `json:"status"`
	Why    string `json:"why,omitempty"`
}

// What becomes of chores' commands.
const (
	Taken   = "taken"
	Stale   = "stale"   // its token is not that of the grant: whoever sent it owns nothing any more
	Refused = "refused" // it makes no sense
)

// Figures are counts of what was applied.
type Figures struct {
	Grants  int64 `json:"grants"`
	Stale   int64 `json:"stale"`   // entries refused for their token
	Refused int64 `json:"refused"` // entries that do not decode or make no sense
	Periods int64 `json:"periods"` // exported
	Unsent  int64 `json:"unsent"`  // periods that went before they were exported, for want of room
	Fixes   int64 `json:"fixes"`   // corrections exported
	Lists   int64 `json:"lists"`   // told by owners
}

// open is an intent that is not done: what is sent, frozen.
type open struct {
	Period, Token uint64
	Rows          []ledger.Row
}

// Fix is a correction of a period that was sent before it came: it is sent by itself.
type Fix struct {
	Seq uint64 `json:"seq"`
	ledger.Correction
}

// held is the list of servers as owners told it.
type held struct {
	Token, Version, Changed uint64 // Version is the index of the last entry about it, Changed of the last change
	Index                   int64
	Raw                     []byte
}

// Machine is the ledger and the chores as one state machine of a group.
type Machine struct {
	*ledger.Ledger
	s       state
	leases  *lease.Table
	applied uint64
}

// state is all but the ledger and the leases, as a snapshot has it.
type state struct {
	Begun    bool // an export was begun: from then on periods wait for theirs
	Exported uint64
	Open     *open
	Fixes    []Fix
	FixSeq   uint64
	List     held
	Figures  Figures
}

// New returns an empty machine.
func New(set ledger.Settings) (*Machine, error) {
	l, err := ledger.New(set)
	if err != nil {
		return nil, err
	}
	m := &Machine{Ledger: l, leases: lease.NewTable()}
	l.KeepUntil(m.mayGo)
	return m, nil
}

// mayGo tells whether a closed period beyond those that are kept may go: once it is exported, or where no
// export was ever begun, or where too many wait.
func (m *Machine) mayGo(period uint64) bool {
	switch {
	case !m.s.Begun || period <= m.s.Exported:
		return true
	case m.Ledger.Open()-period > backlogMost && (m.s.Open == nil || m.s.Open.Period != period):
		m.s.Figures.Unsent++
		return true
	}
	return false
}

// sealed is the newest period whose statement is sent or being sent.
func (m *Machine) sealed() uint64 {
	if m.s.Open != nil {
		return m.s.Open.Period
	}
	return m.s.Exported
}

// due is the next period to be exported, 0 where there is none.
func (m *Machine) due() uint64 {
	next := max(m.s.Exported+1, m.Ledger.First())
	if next > m.Ledger.Final() {
		return 0
	}
	return next
}

// Apply applies a command of the log.
func (m *Machine) Apply(index uint64, data []byte) any {
	m.applied = index
	if len(data) == 0 {
		return m.Ledger.Apply(index, data)
	}
	switch data[0] {
	case kindLease:
		return m.lease(index, data)
	case kindIntent:
		return decoded(m, data, m.intent)
	case kindDone:
		return decoded(m, data, m.done)
	case kindSettled:
		return decoded(m, data, m.settled)
	case kindList:
		return decoded(m, data, m.list)
	}
	if c, ok := ledger.DecodeCorrection(data); ok && c.Period <= m.sealed() {
		return m.correct(index, data, c)
	}
	return m.Ledger.Apply(index, data)
}

func decoded[C any](m *Machine, data []byte, apply func(*C) Result) Result {
	var c C
	if err := codec.NewDecoderBytes(data[1:], handle).Decode(&c); err != nil {
		return m.refused("it does not decode: %v", err)
	}
	return apply(&c)
}

func (m *Machine) refused(format string, args ...any) Result {
	m.s.Figures.Refused++
	return Result{Status: Refused, Why: fmt.Sprintf(format, args...)}
}

func (m *Machine) lease(index uint64, data []byte) any {
	var c lease.Command
	if err := codec.NewDecoderBytes(data[1:], handle).Decode(&c); err != nil || c.Chore != Owner {
		m.refused("")
		return lease.Result{Grant: m.leases.Get(Owner)}
	}
	r := m.leases.Apply(index, c)
	if r.Done && c.Op == lease.Take {
		m.s.Figures.Grants++
	}
	return r
}

// owns tells whether a token is that of the grant as it stands, held by that member.
func (m *Machine) owns(member string, token uint64) (Result, bool) {
	g := m.leases.Get(Owner)
	if g.Holder == member && member != "" && g.Token == token {
		return Result{Status: Taken}, true
	}
	m.s.Figures.Stale++
	why := fmt.Sprintf("token %d of %q; the grant is %d of %q", token, member, g.Token, g.Holder)
	return Result{Status: Stale, Why: why}, false
}

func (m *Machine) intent(c *Intent) Result {
	r, ok := m.owns(c.Member, c.Token)
	switch {
	case !ok:
		return r
	case m.s.Open != nil && m.s.Open.Period == c.Period:
		return r // said before: what is sent stays as it was
	case m.s.Open != nil:
		return m.refused("period %d is being sent", m.s.Open.Period)
	case c.Period == 0 || c.Period != m.due():
		return m.refused("period %d is not the next to be sent; that is %d", c.Period, m.due())
	}
	rows, ok := m.Ledger.Rows(c.Period)
	if !ok {
		return m.refused("there is no period %d", c.Period)
	}
	m.s.Begun = true
	m.s.Open = &open{Period: c.Period, Token: c.Token, Rows: rows}
	return r
}

func (m *Machine) done(c *Done) Result {
	r, ok := m.owns(c.Member, c.Token)
	switch {
	case !ok:
		return r
	case m.s.Open == nil && c.Period == m.s.Exported:
		return r // said before
	case m.s.Open == nil || m.s.Open.Period != c.Period:
		return m.refused("period %d is not being sent", c.Period)
	}
	m.s.Exported, m.s.Open = c.Period, nil
	m.s.Figures.Periods++
	return r
}

// correct applies a correction of a period that was sent, or is being sent, already: it is sent by itself.
func (m *Machine) correct(index uint64, data []byte, c ledger.Correction) any {
	if len(m.s.Fixes) >= fixesMost {
		m.refused("")
		return ledger.Result{Status: ledger.Refused, Index: index, Period: c.Period}
	}
	r := m.Ledger.Apply(index, data)
	if r.Status == ledger.Corrected {
		m.s.FixSeq++
		m.s.Fixes = append(m.s.Fixes, Fix{m.s.FixSeq, c})
	}
	return r
}

func (m *Machine) settled(c *Settled) Result {
	r, ok := m.owns(c.Member, c.Token)
	if !ok {
		return r
	}
	if c.UpTo > m.s.FixSeq {
		return m.refused("there is no correction %d", c.UpTo)
	}
	for len(m.s.Fixes) > 0 && m.s.Fixes[0].Seq <= c.UpTo {
		m.s.Fixes = m.s.Fixes[1:]
		m.s.Figures.Fixes++
	}
	return r
}

func (m *Machine) list(c *List) Result {
	r, ok := m.owns(c.Member, c.Token)
	l := &m.s.List
	switch {
	case !ok:
		return r
	case len(c.Raw) > listMost:
		return m.refused("a list of %d bytes, %d at most", len(c.Raw), listMost)
	case len(c.Raw) > 0 && !json.Valid(c.Raw):
		return m.refused("the list is no JSON")
	case len(c.Raw) == 0 && (l.Token != c.Token || l.Index != c.Index):
		return m.refused("the list is said to be as it was, and it is another owner's")
	}
	l.Version, l.Token, l.Index = m.applied, c.Token, c.Index
	if len(c.Raw) > 0 {
		l.Changed, l.Raw = m.applied, c.Raw
	}
	m.s.Figures.Lists++
	return r
}
