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
	TTL             time.Duration // a grant not renewed lasts so long
	Drift           float64       // a clock is at most this part faster or slower than true time; 0.05 is 5%
	ElectionTimeout time.Duration // of the log's group: a lease is not shorter
}

// Check tells what is wrong with the settings.
func (s Settings) Check() error {
	switch {
	case s.Drift < 0 || s.Drift >= 0.5:
		return fmt.Errorf("drift %g is out of range, 0 to 0.5 is allowed", s.Drift)
	case s.TTL <= s.ElectionTimeout:
		return fmt.Errorf("lease %v is not above the election timeout %v: a change of the log's leader would "+
			"end it", s.TTL, s.ElectionTimeout)
	case time.Duration(2*s.Drift*float64(s.TTL)) >= s.TTL:
		return fmt.Errorf("lease %v is not above twice the drift within it", s.TTL)
	}
	return nil
}

// takeoverDelay is how long another member lets a lease that it has learned of pass: long enough on the
// fastest clock for the holder's to have ended on the slowest.
func (s Settings) takeoverDelay() time.Duration {
	return time.Duration(float64(s.TTL)*(1+s.Drift)/(1-s.Drift)) + 1
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
	Acquire Op = iota + 1 // become the holder of what Seen says
	Renew                 // go on holding the grant of Seen
	Release               // give it back
)

// Command is an entry of the log.
type Command struct {
	Op       Op
	Role     string
	Member   string
	Expected Grant // the grant as the proposer knew it: where it has changed, the command does nothing
}

// Result is what became of a command.
type Result struct {
	Applied bool  `json:"done"`
	Grant   Grant `json:"grant"` // as it stands after the command
}

// MaxRoles bounds the table.
const MaxRoles = 64

// Table is the log's side. Its zero value is not of use; NewTable makes one.
type Table struct{ grants map[string]Grant }

// NewTable returns a table without grants.
func NewTable() *Table { return &Table{grants: map[string]Grant{}} }

// Get is a chore's grant.
func (t *Table) Get(role string) Grant { return t.grants[role] }

// Grants is a copy of all grants, by chore.
func (t *Table) Grants() map[string]Grant {
	out := make(map[string]Grant, len(t.grants))
	for role, grant := range t.grants {
		out[role] = grant
	}
	return out
}

// Restore puts grants, as of Grants, in place of what there is.
func (t *Table) Restore(grants map[string]Grant) {
	t.grants = map[string]Grant{}
	for role, grant := range grants {
		t.grants[role] = grant
	}
}

// Apply applies a command at an index of the log, which rises from command to command.
func (t *Table) Apply(index uint64, cmd Command) Result {
	grant, ok := t.grants[cmd.Role]
	rejected := Result{Grant: grant}
	if cmd.Member == "" || cmd.Role == "" || cmd.Expected != grant || !ok && len(t.grants) >= MaxRoles ||
		index <= grant.Token {
		return rejected
	}
	switch cmd.Op {
	case Acquire:
		grant = Grant{Holder: cmd.Member, Token: index}
	case Renew:
		if grant.Holder != cmd.Member {
			return rejected
		}
		grant.Renewed++
	case Release:
		if grant.Holder != cmd.Member {
			return rejected
		}
		grant = Grant{Token: grant.Token, Renewed: grant.Renewed + 1}
	default:
		return rejected
	}
	t.grants[cmd.Role] = grant
	return Result{Applied: true, Grant: grant}
}

// Candidate is one member's side of one chore.
type Candidate struct {
	settings Settings
	name     string
	role     string

	grant      Grant
	grantSince time.Duration // when known was learned
	noGrant    bool          // nothing was learned yet

	inFlight   *Command      // under way, nil where none is
	proposedAt time.Duration // when it was sent
	expiresAt  time.Duration // as the holder of known: may act before this
}

// NewCandidate returns a member's side of a chore. It knows of no grant until Learn tells it of one, or of
// none.
func NewCandidate(settings Settings, name, role string) (*Candidate, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	if name == "" || role == "" {
		return nil, errors.New("a lease wants a member's name and a chore's")
	}
	return &Candidate{settings: settings, name: name, role: role, noGrant: true}, nil
}

// Observe tells of the grant as this member's copy of the log has it now. What is older than what is known
// already changes nothing.
func (c *Candidate) Observe(now time.Duration, grant Grant) {
	if !c.noGrant && (grant.Token < c.grant.Token || grant.Token == c.grant.Token &&
		grant.Renewed < c.grant.Renewed) {
		return
	}
	if !c.noGrant && grant == c.grant {
		return
	}
	if grant.Holder != c.name || c.noGrant || grant.Token != c.grant.Token {
		c.expiresAt = 0 // only Answered makes a holder of this member: an earlier life's grant is not this one's
	}
	c.grant, c.grantSince, c.noGrant = grant, now, false
}

// NextProposal is what this member should propose now; false where there is nothing to. A holder renews once
// a third of its lease has passed, and again until it is granted or over; others take over what was not
// renewed for long enough. The command counts as sent now: Answered or Lost must follow before the next.
func (c *Candidate) NextProposal(now time.Duration) (Command, bool) {
	if c.noGrant || c.inFlight != nil {
		return Command{}, false
	}
	cmd := Command{Role: c.role, Member: c.name, Expected: c.grant}
	switch {
	case c.Owns(now) || c.grant.Holder == c.name && now < c.expiresAt:
		if now < c.expiresAt-c.settings.TTL*2/3 {
			return Command{}, false
		}
		cmd.Op = Renew
	case c.grant.Holder == "":
		cmd.Op = Acquire
	case now-c.grantSince >= c.settings.takeoverDelay():
		cmd.Op = Acquire
	default:
		return Command{}, false
	}
	c.inFlight, c.proposedAt = &cmd, now
	return cmd, true
}

// Resign is the command by which a holder hands over, false where this member holds nothing. It acts no
// more from here on.
func (c *Candidate) Resign() (Command, bool) {
	if c.grant.Holder != c.name || c.expiresAt == 0 {
		return Command{}, false
	}
	c.expiresAt, c.inFlight = 0, nil
	return Command{Op: Release, Role: c.role, Member: c.name, Expected: c.grant}, true
}

// HandleResult tells what became of the command under way. The lease it grants counts from when it was sent.
func (c *Candidate) HandleResult(now time.Duration, result Result) {
	inFlight := c.inFlight
	c.inFlight = nil
	if inFlight == nil {
		return
	}
	granted := result.Applied && result.Grant.Holder == c.name
	if granted && (c.noGrant || result.Grant.Token > c.grant.Token ||
		result.Grant.Token == c.grant.Token && result.Grant.Renewed >= c.grant.Renewed) {
		c.grant, c.grantSince, c.noGrant = result.Grant, now, false
		c.expiresAt = max(c.expiresAt, c.proposedAt+c.settings.TTL)
		return
	}
	c.Observe(now, result.Grant)
}

// HandleNoResult tells that the command under way has no answer. It may be in the log all the same: a grant
// that came of it is learned, and not acted on, as nobody knows here whether its time has passed.
func (c *Candidate) HandleNoResult() { c.inFlight = nil }

// Owns tells whether this member owns the chore now, and may cause its side effects with Token.
func (c *Candidate) Owns(now time.Duration) bool {
	return !c.noGrant && c.grant.Holder == c.name && now < c.expiresAt
}

// Remaining is how much of its lease a holder has, 0 where it acts no more.
func (c *Candidate) Remaining(now time.Duration) time.Duration {
	if !c.Owns(now) {
		return 0
	}
	return c.expiresAt - now
}

// Token is the fencing token of the grant that this member knows.
func (c *Candidate) Token() uint64 { return c.grant.Token }

// Grant is the grant that this member knows.
func (c *Candidate) Grant() Grant { return c.grant }
