// Package ledger is the replicated state machine of the ledger of use: counts of final answers by tenant,
// class, answer and period, and bytes each way. It is pure: no I/O, clock or goroutines. What it is told
// comes from a group's log (package replica), in the log's order, and the same log gives the same state
// everywhere.
//
// A member's counts come in batches with an id of (member, incarnation, sequence), so that a batch sent twice
// counts once. Periods close by an entry of the log, never by a clock of whoever applies it: a batch counts
// in the period that is open where it stands in the log. An answer to a request that was answered before,
// known by the request's id for Settings.Remember periods, counts in the period of the first answer; where
// that has closed, as a correction against it.
package ledger

import (
	"errors"
	"fmt"
	"slices"
)

// Key says what is counted.
type Key struct {
	Tenant string `json:"tenant"`
	Class  string `json:"class"`
	Answer string `json:"answer"` // passed, dropped or bad_gateway, as the figures have them
}

// Sum is how much: answers, and bytes of bodies from and to clients.
type Sum struct {
	N   int64 `json:"n"`
	In  int64 `json:"bytes_in"`
	Out int64 `json:"bytes_out"`
}

// Add adds another sum.
func (s *Sum) Add(o Sum) { s.N, s.In, s.Out = s.N+o.N, s.In+o.In, s.Out+o.Out }

// Row is a key with its sums of a period; Corrections are what came after the period closed, not in Sum.
type Row struct {
	Key
	Sum
	Corrections Sum `json:"corrections"`
}

// Answers are answers of one key: Sum of those without an id, and those that have one each by itself.
type Answers struct {
	Key
	Sum
	IDs  []uint64
	Ins  []int64
	Outs []int64
}

// Batch is what a member counted since its last batch.
type Batch struct {
	Member      string
	Incarnation uint64 // of the member's process
	Seq         uint64 // from 1, without gaps within an incarnation
	Answers     []Answers
}

// Close closes the period of that number, if it is the open one.
type Close struct {
	Period uint64
	AtMS   int64 // wall time of who proposed it, for people
}

// Correction changes a closed period's sums.
type Correction struct {
	ID     string `json:"id"` // a repeated one counts once
	Period uint64 `json:"period"`
	Key
	Sum
	Reason string `json:"reason"`
}

// Settings bound the state.
type Settings struct {
	Keep     int // closed periods kept at most
	Remember int // periods whose requests' ids are kept, the open one included
	IDs      int // ids kept at most
	Tenants  int // tenants of one period at most; further ones count together as Other
	Members  int // members kept at most; the one heard of longest ago makes room
}

// Other stands for tenants beyond the bound.
const Other = "(other)"

// Check tells what is wrong with the settings.
func (s Settings) Check() error {
	if s.Keep < 1 || s.Remember < 1 || s.IDs < 0 || s.Tenants < 1 || s.Members < 1 {
		return errors.New("keep, remember, tenants and members must be above zero, ids not below")
	}
	return nil
}

// Result says what became of a command.
type Result struct {
	Status string `json:"status"`
	Index  uint64 `json:"index"`
	Period uint64 `json:"period,omitempty"`
}

// What becomes of commands.
const (
	Counted   = "counted"
	Duplicate = "duplicate" // counted before: as good as counted
	Past      = "past"      // of an incarnation before the one last heard: never counted again
	Closed    = "closed"
	Corrected = "corrected"
	Refused   = "refused"
)

type member struct {
	Incarnation, Seq, Index uint64
}

// Ledger is the state.
type Ledger struct {
	set      Settings
	periods  []*period // the oldest first; the last is open
	members  map[string]*member
	held     int // ids kept
	index    uint64
	figures  Figures
	exported func(uint64) bool // periods that may be dropped; nil is all
}

// Figures are counts of what was applied.
type Figures struct {
	Batches    int64 `json:"batches"`
	Duplicates int64 `json:"duplicates"`
	Past       int64 `json:"past"`
	Gaps       int64 `json:"gaps"` // sequences that never came: lost with a machine, never promised
	Answers    int64 `json:"answers"`
	Late       int64 `json:"late"`    // answers that count in an earlier period
	Forgot     int64 `json:"forgot"`  // ids dropped for want of room before their time
	Refused    int64 `json:"refused"` // commands that do not decode or make no sense
}

// New returns an empty ledger with period 1 open.
func New(set Settings) (*Ledger, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	return &Ledger{set: set, periods: []*period{newPeriod(1)}, members: map[string]*member{}}, nil
}

// KeepUntil has a closed period kept, beyond Keep too, until exported says that it is done with.
func (l *Ledger) KeepUntil(exported func(period uint64) bool) { l.exported = exported }

// Open is the number of the open period.
func (l *Ledger) Open() uint64 { return l.open().ID }

func (l *Ledger) open() *period { return l.periods[len(l.periods)-1] }

// Index is that of the last command applied.
func (l *Ledger) Index() uint64 { return l.index }

// First is the number of the oldest period kept.
func (l *Ledger) First() uint64 { return l.periods[0].ID }

// Final is the number of the newest period in which no late answer counts any more, 0 where there is none
// yet; of those up to it only a Correction changes the sums.
func (l *Ledger) Final() uint64 {
	return l.Open() - min(l.Open(), uint64(l.set.Remember))
}

// Rows are a period's rows, false where it is not kept.
func (l *Ledger) Rows(id uint64) ([]Row, bool) {
	i := slices.IndexFunc(l.periods, func(p *period) bool { return p.ID == id })
	if i < 0 {
		return nil, false
	}
	return l.periods[i].rows(""), true
}

// Batch applies a batch.
func (l *Ledger) Batch(index uint64, b *Batch) Result {
	l.index = index
	r := Result{Status: Counted, Index: index, Period: l.Open()}
	if b.Member == "" || b.Seq == 0 {
		l.figures.Refused++
		r.Status = Refused
		return r
	}
	m := l.members[b.Member]
	switch {
	case m == nil:
		l.roomForMember()
		m = &member{}
		l.members[b.Member] = m
	case b.Incarnation < m.Incarnation:
		l.figures.Past++
		r.Status = Past
		return r
	case b.Incarnation == m.Incarnation && b.Seq <= m.Seq:
		l.figures.Duplicates++
		r.Status = Duplicate
		return r
	}
	last := m.Seq
	if b.Incarnation != m.Incarnation {
		last = 0
	}
	l.figures.Gaps += int64(b.Seq - last - 1)
	m.Incarnation, m.Seq, m.Index = b.Incarnation, b.Seq, index
	l.figures.Batches++
	for i := range b.Answers {
		l.answers(&b.Answers[i])
	}
	return r
}

// answers counts answers of one key, each where it belongs.
func (l *Ledger) answers(a *Answers) {
	open := l.open()
	if a.N > 0 {
		l.figures.Answers += a.N
		open.count(l.key(open, a.Key), a.Sum)
	}
	for i, id := range a.IDs {
		one := Sum{N: 1}
		if i < len(a.Ins) && i < len(a.Outs) {
			one.In, one.Out = a.Ins[i], a.Outs[i]
		}
		l.figures.Answers++
		if p := l.first(id); p != nil && p != open {
			l.figures.Late++
			k := l.key(p, a.Key)
			if p.Corrections[k] == nil {
				p.Corrections[k] = &Sum{}
			}
			p.Corrections[k].Add(one)
			continue
		}
		open.count(l.key(open, a.Key), one)
		l.remember(open, id)
	}
}

// Close applies a close.
func (l *Ledger) Close(index uint64, c *Close) Result {
	l.index = index
	open := l.open()
	if c.Period != open.ID {
		return Result{Status: Duplicate, Index: index, Period: open.ID}
	}
	open.ClosedMS, open.ClosedAt = max(c.AtMS, 1), index
	l.periods = append(l.periods, newPeriod(open.ID+1))
	if old := len(l.periods) - 1 - l.set.Remember; old >= 0 {
		l.held -= len(l.periods[old].ids)
		l.periods[old].forget()
	}
	for len(l.periods) > l.set.Keep+1 && (l.exported == nil || l.exported(l.periods[0].ID)) {
		l.held -= len(l.periods[0].ids)
		l.periods = l.periods[1:]
	}
	return Result{Status: Closed, Index: index, Period: c.Period}
}

// Correct applies a correction against a closed period.
func (l *Ledger) Correct(index uint64, c *Correction) Result {
	l.index = index
	r := Result{Status: Corrected, Index: index, Period: c.Period}
	i := slices.IndexFunc(l.periods, func(p *period) bool { return p.ID == c.Period })
	switch {
	case i < 0 || l.periods[i].ClosedMS == 0 || c.ID == "" || c.Tenant == "":
		l.figures.Refused++
		r.Status = Refused
	case l.periods[i].Fixed[c.ID]:
		r.Status = Duplicate
	default:
		p := l.periods[i]
		p.Fixed[c.ID] = true
		if p.Corrections[c.Key] == nil {
			p.Corrections[c.Key] = &Sum{}
		}
		p.Corrections[c.Key].Add(c.Sum)
	}
	return r
}

// String is for messages.
func (r Result) String() string {
	return fmt.Sprintf("%s at %d in period %d", r.Status, r.Index, r.Period)
}
