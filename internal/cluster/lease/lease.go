// Package lease decides who owns a chore: one member at a time, by a lease that is granted in a replicated
// log (Gray and Cheriton, SOSP 1989), with a fencing token that only rises. It is pure: no I/O, clock or
// goroutines. Time is what the caller's monotonic clock says, as a duration since a start of its own; clocks
// of different members may run apart by Settings.Drift each way and are never compared.
//
// There are two sides. Table is the log's: it applies Take, Renew and Release in the log's order, without any
// clock, each only where it names the grant as it stands (compare and set). Member is one member's: it says
// when this member may act, when it renews, and when it may take over.
//
// A holder counts its lease from when it sent the renewal that was granted, not from the answer. Another
// member counts from when it learned of that renewal, later, and waits longer by the drift of both clocks. So
// the holder has stopped by itself before anybody else's Take can be in the log, whatever got lost, came late
// or stood still. What a holder sent before it stopped and arrives later carries its token, and whoever
// takes it refuses tokens lower than the highest seen (Fence).
package lease

import (
	"errors"
	"fmt"
	"time"
)

// Settings are the same at all members.
type Settings struct {
	Lease    time.Duration // a grant not renewed lasts so long
	Drift    float64       // a clock is at most this part faster or slower than true time; 0.05 is 5%
	Election time.Duration // of the log's group: a lease is not shorter
}

// Check tells what is wrong with the settings.
func (s Settings) Check() error {
	switch {
	case s.Drift < 0 || s.Drift >= 0.5:
		return fmt.Errorf("drift %g is out of range, 0 to 0.5 is allowed", s.Drift)
	case s.Lease <= s.Election:
		return fmt.Errorf("lease %v is not above the election timeout %v: a change of the log's leader would "+
			"end it", s.Lease, s.Election)
	case time.Duration(2*s.Drift*float64(s.Lease)) >= s.Lease:
		return fmt.Errorf("lease %v is not above twice the drift within it", s.Lease)
	}
	return nil
}

// wait is how long another member lets a lease that it has learned of pass: long enough on the fastest clock
// for the holder's to have ended on the slowest.
func (s Settings) wait() time.Duration {
	return time.Duration(float64(s.Lease)*(1+s.Drift)/(1-s.Drift)) + 1
}

// Grant is who owns a chore, as the log has it.
type Grant struct {
	Holder  string `json:"holder"`  // "" where nobody does
	Token   uint64 `json:"token"`   // index of the log entry that granted it; only rises
	Renewed uint64 `json:"renewed"` // how often it was renewed since
}

// Op is what a command does.
type Op uint8

const (
	Take    Op = iota + 1 // become the holder of what Seen says
	Renew                 // go on holding the grant of Seen
	Release               // give it back
)

// Command is an entry of the log.
type Command struct {
	Op     Op
	Chore  string
	Member string
	Seen   Grant // the grant as the proposer knew it: where it has changed, the command does nothing
}

// Result is what became of a command.
type Result struct {
	Done  bool  `json:"done"`
	Grant Grant `json:"grant"` // as it stands after the command
}

// MaxChores bounds the table.
const MaxChores = 64

// Table is the log's side. Its zero value is not of use; NewTable makes one.
type Table struct{ grants map[string]Grant }

// NewTable returns a table without grants.
func NewTable() *Table { return &Table{grants: map[string]Grant{}} }

// Get is a chore's grant.
func (t *Table) Get(chore string) Grant { return t.grants[chore] }

// Grants is a copy of all grants, by chore.
func (t *Table) Grants() map[string]Grant {
	out := make(map[string]Grant, len(t.grants))
	for c, g := range t.grants {
		out[c] = g
	}
	return out
}

// Restore puts grants, as of Grants, in place of what there is.
func (t *Table) Restore(grants map[string]Grant) {
	t.grants = map[string]Grant{}
	for c, g := range grants {
		t.grants[c] = g
	}
}

// Apply applies a command at an index of the log, which rises from command to command.
func (t *Table) Apply(index uint64, c Command) Result {
	g, known := t.grants[c.Chore]
	refused := Result{Grant: g}
	if c.Member == "" || c.Chore == "" || c.Seen != g || !known && len(t.grants) >= MaxChores ||
		index <= g.Token {
		return refused
	}
	switch c.Op {
	case Take:
		g = Grant{Holder: c.Member, Token: index}
	case Renew:
		if g.Holder != c.Member {
			return refused
		}
		g.Renewed++
	case Release:
		if g.Holder != c.Member {
			return refused
		}
		g = Grant{Token: g.Token, Renewed: g.Renewed + 1}
	default:
		return refused
	}
	t.grants[c.Chore] = g
	return Result{Done: true, Grant: g}
}

// Member is one member's side of one chore.
type Member struct {
	set   Settings
	name  string
	chore string

	known   Grant
	learned time.Duration // when known was learned
	never   bool          // nothing was learned yet

	asked   *Command      // under way, nil where none is
	askedAt time.Duration // when it was sent
	until   time.Duration // as the holder of known: may act before this
}

// NewMember returns a member's side of a chore. It knows of no grant until Learn tells it of one, or of none.
func NewMember(set Settings, name, chore string) (*Member, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	if name == "" || chore == "" {
		return nil, errors.New("a lease wants a member's name and a chore's")
	}
	return &Member{set: set, name: name, chore: chore, never: true}, nil
}

// Learn tells of the grant as this member's copy of the log has it now. What is older than what is known
// already changes nothing.
func (m *Member) Learn(now time.Duration, g Grant) {
	if !m.never && (g.Token < m.known.Token || g.Token == m.known.Token && g.Renewed < m.known.Renewed) {
		return
	}
	if !m.never && g == m.known {
		return
	}
	if g.Holder != m.name || m.never || g.Token != m.known.Token {
		m.until = 0 // only Answered makes a holder of this member: an earlier life's grant is not this one's
	}
	m.known, m.learned, m.never = g, now, false
}

// Next is what this member should propose now; false where there is nothing to. A holder renews once a third
// of its lease has passed, and again until it is granted or over; others take over what was not renewed for
// long enough. The command counts as sent now: Answered or Lost must follow before the next.
func (m *Member) Next(now time.Duration) (Command, bool) {
	if m.never || m.asked != nil {
		return Command{}, false
	}
	c := Command{Chore: m.chore, Member: m.name, Seen: m.known}
	switch {
	case m.Acts(now) || m.known.Holder == m.name && now < m.until:
		if now < m.until-m.set.Lease*2/3 {
			return Command{}, false
		}
		c.Op = Renew
	case m.known.Holder == "":
		c.Op = Take
	case now-m.learned >= m.set.wait():
		c.Op = Take
	default:
		return Command{}, false
	}
	m.asked, m.askedAt = &c, now
	return c, true
}

// GiveBack is the command by which a holder hands over, false where this member holds nothing. It acts no
// more from here on.
func (m *Member) GiveBack() (Command, bool) {
	if m.known.Holder != m.name || m.until == 0 {
		return Command{}, false
	}
	m.until, m.asked = 0, nil
	return Command{Op: Release, Chore: m.chore, Member: m.name, Seen: m.known}, true
}

// Answered tells what became of the command under way. The lease it grants counts from when it was sent.
func (m *Member) Answered(now time.Duration, r Result) {
	asked := m.asked
	m.asked = nil
	if asked == nil {
		return
	}
	held := r.Done && r.Grant.Holder == m.name
	if held && (m.never || r.Grant.Token > m.known.Token ||
		r.Grant.Token == m.known.Token && r.Grant.Renewed >= m.known.Renewed) {
		m.known, m.learned, m.never = r.Grant, now, false
		m.until = max(m.until, m.askedAt+m.set.Lease)
		return
	}
	m.Learn(now, r.Grant)
}

// Lost tells that the command under way has no answer. It may be in the log all the same: a grant that came
// of it is learned, and not acted on, as nobody knows here whether its time has passed.
func (m *Member) Lost() { m.asked = nil }

// Acts tells whether this member owns the chore now, and may cause its side effects with Token.
func (m *Member) Acts(now time.Duration) bool {
	return !m.never && m.known.Holder == m.name && now < m.until
}

// Left is how much of its lease a holder has, 0 where it acts no more.
func (m *Member) Left(now time.Duration) time.Duration {
	if !m.Acts(now) {
		return 0
	}
	return m.until - now
}

// Token is the fencing token of the grant that this member knows.
func (m *Member) Token() uint64 { return m.known.Token }

// Known is the grant that this member knows.
func (m *Member) Known() Grant { return m.known }
