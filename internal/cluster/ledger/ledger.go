// Package ledger is the replicated state machine of the ledger of use: counts of final answers by tenant,
// class, answer and period, and bytes each way. It is pure: no I/O, clock or goroutines. What it is told
// comes from a group's log (package replica), in the log's order, and the same log gives the same state
// everywhere.
//
// A member's counts come in batches with an id of (member, incarnation, sequence), so that a batch sent twice
// counts once. Periods close by an entry of the log, never by a clock of whoever applies it: a batch counts
// in the period that is open where it stands in the log. An answer to a request that was answered before,
// known by the request's id for Settings.DedupPeriods periods, counts in the period of the first answer;
// where that has closed, as a correction against it.
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

// Usage is how much: answers, and bytes of bodies from and to clients.
type Usage struct {
	Count    int64 `json:"n"`
	BytesIn  int64 `json:"bytes_in"`
	BytesOut int64 `json:"bytes_out"`
}

// Add adds another sum.
func (u *Usage) Add(other Usage) {
	u.Count, u.BytesIn, u.BytesOut = u.Count+other.Count, u.BytesIn+other.BytesIn, u.BytesOut+other.BytesOut
}

// Row is a key with its sums of a period; Corrections are what came after the period closed, not in Sum.
type Row struct {
	Key
	Usage
	Corrections Usage `json:"corrections"`
}

// Usage are answers of one key: Sum of those without an id, and those that have one each by itself.
type KeyUsage struct {
	Key
	Usage
	IDs          []uint64
	BytesInByID  []int64
	BytesOutByID []int64
}

// applyBatch is what a member counted since its last batch.
type Batch struct {
	Member      string
	Incarnation uint64 // of the member's process
	Seq         uint64 // from 1, without gaps within an incarnation
	Usage       []KeyUsage
}

// applyClose closes the period of that number, if it is the open one.
type ClosePeriod struct {
	Period uint64
	AtMS   int64 // wall time of who proposed it, for people
}

// Correction changes a closed period's sums.
type Correction struct {
	ID     string `json:"id"` // a repeated one counts once
	Period uint64 `json:"period"`
	Key
	Usage
	Reason string `json:"reason"`
}

// Settings bound the state.
type Settings struct {
	MaxPeriods   int // closed periods kept at most
	DedupPeriods int // periods whose requests' ids are kept, the open one included
	MaxIDs       int // ids kept at most
	MaxTenants   int // tenants of one period at most; further ones count together as Other
	MaxMembers   int // members kept at most; the one heard of longest ago makes room
}

// OtherTenants stands for tenants beyond the bound.
const OtherTenants = "(other)"

// Check tells what is wrong with the settings.
func (s Settings) Check() error {
	if s.MaxPeriods < 1 || s.DedupPeriods < 1 || s.MaxIDs < 0 || s.MaxTenants < 1 || s.MaxMembers < 1 {
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
	StatusCounted          = "counted"
	StatusDuplicate        = "duplicate" // counted before: as good as counted
	StatusStaleIncarnation = "past"      // of an incarnation before the one last heard: never counted again
	StatusClosed           = "closed"
	StatusCorrected        = "corrected"
	StatusRejected         = "refused"
)

type member struct {
	incarnation, seq, index uint64
}

// Ledger is the state.
type Ledger struct {
	settings     Settings
	periods      []*period // the oldest first; the last is open
	members      map[string]*member
	idCount      int // ids kept
	appliedIndex uint64
	stats        Stats
	mayDrop      func(uint64) bool // periods that may be dropped; nil is all
}

// Stats are counts of what was applied.
type Stats struct {
	Batches           int64 `json:"batches"`
	Duplicates        int64 `json:"duplicates"`
	StaleIncarnations int64 `json:"past"`
	Gaps              int64 `json:"gaps"` // sequences that never came: lost with a machine, never promised
	Answers           int64 `json:"answers"`
	Late              int64 `json:"late"`    // answers that count in an earlier period
	ForgottenIDs      int64 `json:"forgot"`  // ids dropped for want of room before their time
	Rejected          int64 `json:"refused"` // commands that do not decode or make no sense
}

// New returns an empty ledger with period 1 open.
func New(settings Settings) (*Ledger, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	return &Ledger{settings: settings, periods: []*period{newPeriod(1)}, members: map[string]*member{}}, nil
}

// SetMayDrop has a closed period kept, beyond Keep too, until exported says that it is done with.
func (l *Ledger) SetMayDrop(mayDrop func(period uint64) bool) { l.mayDrop = mayDrop }

// OpenPeriod is the number of the open period.
func (l *Ledger) OpenPeriod() uint64 { return l.openPeriod().id }

func (l *Ledger) openPeriod() *period { return l.periods[len(l.periods)-1] }

// AppliedIndex is that of the last command applied.
func (l *Ledger) AppliedIndex() uint64 { return l.appliedIndex }

// FirstPeriod is the number of the oldest period kept.
func (l *Ledger) FirstPeriod() uint64 { return l.periods[0].id }

// FinalPeriod is the number of the newest period in which no late answer counts any more, 0 where there is
// none yet; of those up to it only a Correction changes the sums.
func (l *Ledger) FinalPeriod() uint64 {
	return l.OpenPeriod() - min(l.OpenPeriod(), uint64(l.settings.DedupPeriods))
}

// Rows are a period's rows, false where it is not kept.
func (l *Ledger) Rows(id uint64) ([]Row, bool) {
	i := slices.IndexFunc(l.periods, func(p *period) bool { return p.id == id })
	if i < 0 {
		return nil, false
	}
	return l.periods[i].rows(""), true
}

// applyBatch applies a batch.
func (l *Ledger) applyBatch(index uint64, b *Batch) Result {
	l.appliedIndex = index
	r := Result{Status: StatusCounted, Index: index, Period: l.OpenPeriod()}
	if b.Member == "" || b.Seq == 0 {
		l.stats.Rejected++
		r.Status = StatusRejected
		return r
	}
	m := l.members[b.Member]
	switch {
	case m == nil:
		l.evictMember()
		m = &member{}
		l.members[b.Member] = m
	case b.Incarnation < m.incarnation:
		l.stats.StaleIncarnations++
		r.Status = StatusStaleIncarnation
		return r
	case b.Incarnation == m.incarnation && b.Seq <= m.seq:
		l.stats.Duplicates++
		r.Status = StatusDuplicate
		return r
	}
	last := m.seq
	if b.Incarnation != m.incarnation {
		last = 0
	}
	l.stats.Gaps += int64(b.Seq - last - 1)
	m.incarnation, m.seq, m.index = b.Incarnation, b.Seq, index
	l.stats.Batches++
	for i := range b.Usage {
		l.countUsage(&b.Usage[i])
	}
	return r
}

// countUsage counts answers of one key, each where it belongs.
func (l *Ledger) countUsage(usage *KeyUsage) {
	open := l.openPeriod()
	if usage.Count > 0 {
		l.stats.Answers += usage.Count
		open.count(l.boundedKey(open, usage.Key), usage.Usage)
	}
	for i, id := range usage.IDs {
		single := Usage{Count: 1}
		if i < len(usage.BytesInByID) && i < len(usage.BytesOutByID) {
			single.BytesIn, single.BytesOut = usage.BytesInByID[i], usage.BytesOutByID[i]
		}
		l.stats.Answers++
		if p := l.periodOf(id); p != nil && p != open {
			l.stats.Late++
			k := l.boundedKey(p, usage.Key)
			if p.corrections[k] == nil {
				p.corrections[k] = &Usage{}
			}
			p.corrections[k].Add(single)
			continue
		}
		open.count(l.boundedKey(open, usage.Key), single)
		l.rememberID(open, id)
	}
}

// applyClose applies a close.
func (l *Ledger) applyClose(index uint64, c *ClosePeriod) Result {
	l.appliedIndex = index
	open := l.openPeriod()
	if c.Period != open.id {
		return Result{Status: StatusDuplicate, Index: index, Period: open.id}
	}
	open.closedMS, open.closedAtIndex = max(c.AtMS, 1), index
	l.periods = append(l.periods, newPeriod(open.id+1))
	if old := len(l.periods) - 1 - l.settings.DedupPeriods; old >= 0 {
		l.idCount -= len(l.periods[old].ids)
		l.periods[old].forgetIDs()
	}
	for len(l.periods) > l.settings.MaxPeriods+1 && (l.mayDrop == nil || l.mayDrop(l.periods[0].id)) {
		l.idCount -= len(l.periods[0].ids)
		l.periods = l.periods[1:]
	}
	return Result{Status: StatusClosed, Index: index, Period: c.Period}
}

// applyCorrection applies a correction against a closed period.
func (l *Ledger) applyCorrection(index uint64, c *Correction) Result {
	l.appliedIndex = index
	r := Result{Status: StatusCorrected, Index: index, Period: c.Period}
	i := slices.IndexFunc(l.periods, func(p *period) bool { return p.id == c.Period })
	switch {
	case i < 0 || l.periods[i].closedMS == 0 || c.ID == "" || c.Tenant == "":
		l.stats.Rejected++
		r.Status = StatusRejected
	case l.periods[i].correctionIDs[c.ID]:
		r.Status = StatusDuplicate
	default:
		p := l.periods[i]
		p.correctionIDs[c.ID] = true
		if p.corrections[c.Key] == nil {
			p.corrections[c.Key] = &Usage{}
		}
		p.corrections[c.Key].Add(c.Usage)
	}
	return r
}

// String is for messages.
func (r Result) String() string {
	return fmt.Sprintf("%s at %d in period %d", r.Status, r.Index, r.Period)
}
