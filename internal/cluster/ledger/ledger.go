// Package ledger implements the usage ledger as a replicated state machine. It counts final answers, and
// the bytes of their bodies in both directions, by tenant, class, answer and period. It is pure: no I/O,
// clock or goroutines, so that the same log results in the same state on every replica. A Ledger is not
// safe for concurrent use; its Raft group serializes the calls.
//
// The usage that a member has counted arrives in a Batch, identified by member, incarnation and sequence
// number, so that a batch that is sent twice counts once. Periods are closed by a command in the log, not
// by the clock of the replica that applies it: a batch counts in the period that is open at its position in
// the log. A further answer to the same request counts in the period of the first answer, as a correction
// if that period is closed. Request ids are remembered for Settings.DedupPeriods periods.
package ledger

import (
	"errors"
	"slices"
)

// Key identifies what usage is counted for within a period.
type Key struct {
	Tenant string `json:"tenant"`
	Class  string `json:"class"`
	Answer string `json:"answer"` // passed, dropped or bad_gateway, as in the metrics
}

// Usage is a number of final answers, and the bytes of bodies received from and sent to clients.
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

// Row is the usage of one key in one period. Corrections is the usage that was added after the period had
// been closed; it isn't included in Usage.
type Row struct {
	Key
	Usage
	Corrections Usage `json:"corrections"`
}

// Settings bound the state. They have to be the same on all replicas, since otherwise the same log results in
// different states. The defaults are those of the client proxy's settings.
type Settings struct {
	// MaxPeriods is how many closed periods are retained; 1440 by default, which is a day of minutes. Older
	// ones are dropped with their usage, unless the function of SetMayDrop retains them. At least 1.
	MaxPeriods int
	// DedupPeriods is the number of periods whose request ids are remembered, including the open one; 2 by
	// default. An answer counts in the period of the first answer to its request if that is among them, else
	// in the open period. At least 1.
	DedupPeriods int
	// MaxIDs is the maximum number of request ids remembered in all periods; 1000000 by default. Beyond it the
	// ids of the oldest period that has any are forgotten early. With 0 none are remembered.
	MaxIDs int
	// MaxTenants is the maximum number of tenants in one period; 10000 by default. The usage of further ones is
	// counted together as that of OtherTenants. At least 1.
	MaxTenants int
	// MaxMembers is the maximum number of members whose last batch is remembered; 4096 by default. Beyond it
	// the member whose last batch is oldest is evicted, and a batch of it that is sent again counts again. At
	// least 1.
	MaxMembers int
}

// OtherTenants is the tenant under which the usage of tenants beyond Settings.MaxTenants is counted.
const OtherTenants = "(other)"

// Check returns an error if a setting is out of range.
func (s Settings) Check() error {
	if s.MaxPeriods < 1 || s.DedupPeriods < 1 || s.MaxIDs < 0 || s.MaxTenants < 1 || s.MaxMembers < 1 {
		return errors.New("keep, remember, tenants and members must be above zero, ids not below")
	}
	return nil
}

// Stats counts the commands that were applied, and their effects.
type Stats struct {
	Batches           int64 `json:"batches"`
	Duplicates        int64 `json:"duplicates"` // batches that had been counted before
	StaleIncarnations int64 `json:"past"`       // batches of an incarnation earlier than the member's latest
	Gaps              int64 `json:"gaps"`       // skipped sequence numbers: batches lost with a machine
	Answers           int64 `json:"answers"`
	Late              int64 `json:"late"`    // answers that were counted in a closed period
	ForgottenIDs      int64 `json:"forgot"`  // request ids forgotten early because of Settings.MaxIDs
	Rejected          int64 `json:"refused"` // commands that don't decode or don't fit the state
}

// Ledger is the state machine. Use New.
//
// Its periods are numbered from 1 without gaps, and exactly one, the last, is open. Closing a period opens
// the next one. After that only corrections change the usage of the closed period, until it is dropped; the
// oldest period is dropped first. A batch counts at most once as long as its member is remembered.
type Ledger struct {
	settings     Settings
	periods      []*period // oldest first; the last one is open, the others are closed
	members      map[string]*member
	idCount      int    // request ids remembered in all periods
	appliedIndex uint64 // index of the last command applied
	stats        Stats
	mayDrop      func(period uint64) bool // set by SetMayDrop; if nil, all closed periods may be dropped
}

// member describes the last batch of one member.
type member struct {
	incarnation, seq uint64 // incarnation and sequence number of the batch
	index            uint64 // index of the batch in the log
}

// New returns an empty ledger whose period 1 is open, or an error if the settings are out of range.
func New(settings Settings) (*Ledger, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	return &Ledger{settings: settings, periods: []*period{newPeriod(1)}, members: map[string]*member{}}, nil
}

// SetMayDrop sets a function that can retain closed periods beyond Settings.MaxPeriods: the oldest one is
// dropped only once mayDrop returns true for it. The result has to depend on the log alone.
func (l *Ledger) SetMayDrop(mayDrop func(period uint64) bool) { l.mayDrop = mayDrop }

// OpenPeriod returns the number of the open period.
func (l *Ledger) OpenPeriod() uint64 { return l.openPeriod().id }

// openPeriod returns the open period.
func (l *Ledger) openPeriod() *period { return l.periods[len(l.periods)-1] }

// AppliedIndex returns the index of the last command applied.
func (l *Ledger) AppliedIndex() uint64 { return l.appliedIndex }

// FirstPeriod returns the number of the oldest period retained.
func (l *Ledger) FirstPeriod() uint64 { return l.periods[0].id }

// FinalPeriod returns the number of the newest period to which no late answer can be added any more, 0 if
// there is none yet. The usage of that period and of earlier ones can be changed only by a Correction.
func (l *Ledger) FinalPeriod() uint64 {
	return l.OpenPeriod() - min(l.OpenPeriod(), uint64(l.settings.DedupPeriods))
}

// Rows returns the rows of a period, sorted by key; false if the period isn't retained.
func (l *Ledger) Rows(id uint64) ([]Row, bool) {
	p := l.period(id)
	if p == nil {
		return nil, false
	}
	return p.rows(""), true
}

// period returns the period with a number, nil if it isn't retained.
func (l *Ledger) period(id uint64) *period {
	i := slices.IndexFunc(l.periods, func(p *period) bool { return p.id == id })
	if i < 0 {
		return nil
	}
	return l.periods[i]
}
