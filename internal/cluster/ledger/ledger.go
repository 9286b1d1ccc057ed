// Package ledger is the usage ledger as a replicated state machine: counts of final answers, and bytes of
// bodies each way, by tenant, class, answer and period. It is pure: no I/O, clock or goroutines, so that the
// same log gives the same state on every replica. A Ledger is not safe for concurrent use; its Raft group
// serializes the calls.
//
// The usage that a member counted comes in a Batch with the id (member, incarnation, sequence number), so
// that a batch sent twice counts once. Periods are closed by a command in the log, not by a clock of who
// applies it: a batch counts in the period that is open at its position in the log. An answer to a request
// that was answered before counts in the period of the first answer, as a correction of it if that has
// closed; the ids of requests are remembered for Settings.DedupPeriods periods.
package ledger

import (
	"errors"
	"slices"
)

// Key is what usage is counted by.
type Key struct {
	Tenant string `json:"tenant"`
	Class  string `json:"class"`
	Answer string `json:"answer"` // passed, dropped or bad_gateway, as the metrics have them
}

// Usage is a number of final answers, and the bytes of bodies from and to clients.
type Usage struct {
	Count    int64 `json:"n"`
	BytesIn  int64 `json:"bytes_in"`
	BytesOut int64 `json:"bytes_out"`
}

// Add adds other to u.
func (u *Usage) Add(other Usage) {
	u.Count += other.Count
	u.BytesIn += other.BytesIn
	u.BytesOut += other.BytesOut
}

// Row is the usage of one key in one period. Corrections came after the period had closed and aren't in
// Usage.
type Row struct {
	Key
	Usage
	Corrections Usage `json:"corrections"`
}

// Settings bound the state. They have to be the same on all replicas, or the same log gives different states.
// The defaults are those of the client proxy's settings.
type Settings struct {
	// MaxPeriods is how many closed periods are retained; 1440 by default, a day of minutes. Older ones are
	// dropped with their usage, unless SetMayDrop retains them. At least 1.
	MaxPeriods int
	// DedupPeriods is the number of periods whose request ids are remembered, the open one included; 2 by
	// default. An answer to a request counts in the period of its first answer if that is among them, else in
	// the open one. At least 1.
	DedupPeriods int
	// MaxIDs bounds the request ids remembered in all periods; 1000000 by default. Beyond it those of the oldest
	// period are forgotten early; with 0 none are remembered.
	MaxIDs int
	// MaxTenants bounds the tenants in one period; 10000 by default. Further ones count together as
	// OtherTenants. At least 1.
	MaxTenants int
	// MaxMembers bounds the members whose last batch is remembered; 4096 by default. Beyond it the one whose
	// last batch is oldest is evicted, and a batch of it that is sent again counts again. At least 1.
	MaxMembers int
}

// OtherTenants is the tenant of usage beyond Settings.MaxTenants.
const OtherTenants = "(other)"

// Check returns an error if a setting is out of range.
func (s Settings) Check() error {
	if s.MaxPeriods < 1 || s.DedupPeriods < 1 || s.MaxIDs < 0 || s.MaxTenants < 1 || s.MaxMembers < 1 {
		return errors.New("keep, remember, tenants and members must be above zero, ids not below")
	}
	return nil
}

// Stats count what was applied.
type Stats struct {
	Batches           int64 `json:"batches"`
	Duplicates        int64 `json:"duplicates"` // batches that were counted before
	StaleIncarnations int64 `json:"past"`       // batches of an incarnation before the member's latest
	Gaps              int64 `json:"gaps"`       // sequence numbers that never came: lost with a machine
	Answers           int64 `json:"answers"`
	Late              int64 `json:"late"`    // answers that count in an earlier period
	ForgottenIDs      int64 `json:"forgot"`  // request ids dropped early because of Settings.MaxIDs
	Rejected          int64 `json:"refused"` // commands that don't decode or don't fit the state
}

// Ledger is the state machine. Use New.
//
// Its periods are numbered from 1 without gaps; exactly one, the last, is open. A period is opened by the
// close of the one before; once closed, its usage changes by corrections alone; it is dropped at last, the
// oldest first. A batch counts at most once as long as its member is remembered.
type Ledger struct {
	settings     Settings
	periods      []*period // oldest first; the last one is open, the others are closed
	members      map[string]*member
	idCount      int    // request ids remembered in all periods
	appliedIndex uint64 // of the last command
	stats        Stats
	mayDrop      func(period uint64) bool // nil: all closed periods may be dropped
}

// member is what is known of the batches of one member.
type member struct {
	incarnation, seq uint64 // of its last batch
	index            uint64 // of the log entry of that
}

// New returns an empty ledger whose period 1 is open, or an error if the settings are out of range.
func New(settings Settings) (*Ledger, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	return &Ledger{settings: settings, periods: []*period{newPeriod(1)}, members: map[string]*member{}}, nil
}

// SetMayDrop sets a function that retains closed periods beyond Settings.MaxPeriods: the oldest one is
// dropped only once mayDrop returns true for it. It has to depend on the log alone.
func (l *Ledger) SetMayDrop(mayDrop func(period uint64) bool) { l.mayDrop = mayDrop }

// OpenPeriod returns the number of the open period.
func (l *Ledger) OpenPeriod() uint64 { return l.openPeriod().id }

func (l *Ledger) openPeriod() *period { return l.periods[len(l.periods)-1] }

// AppliedIndex returns the index of the last command applied.
func (l *Ledger) AppliedIndex() uint64 { return l.appliedIndex }

// FirstPeriod returns the number of the oldest period retained.
func (l *Ledger) FirstPeriod() uint64 { return l.periods[0].id }

// FinalPeriod returns the number of the newest period in which no late answer can count any more, 0 if there
// is none yet. Up to it only a Correction changes the usage.
func (l *Ledger) FinalPeriod() uint64 {
	return l.OpenPeriod() - min(l.OpenPeriod(), uint64(l.settings.DedupPeriods))
}

// Rows returns the rows of a period by key, false if it isn't retained.
func (l *Ledger) Rows(id uint64) ([]Row, bool) {
	p := l.period(id)
	if p == nil {
		return nil, false
	}
	return p.rows(""), true
}

// period returns a retained period, nil if it isn't.
func (l *Ledger) period(id uint64) *period {
	i := slices.IndexFunc(l.periods, func(p *period) bool { return p.id == id })
	if i < 0 {
		return nil
	}
	return l.periods[i]
}
