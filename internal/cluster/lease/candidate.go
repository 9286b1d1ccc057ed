package lease

import (
	"errors"
	"time"
)

// Candidate is one member's side of the lease of one role. It proposes commands (NextProposal, Resign), is
// given their results (HandleResult, HandleNoResult) and what the log says (Observe), and answers whether
// this member owns the role (Owns).
//
// Its states: before the first Observe it proposes nothing. From then on the role is free, or held by another
// member, or by this one. It owns the role from a result that grants the lease to the end of that lease, or
// to Resign, or until it observes a grant to somebody else; a grant to its name that it only observes may be
// of an earlier incarnation, and makes it no owner.
//
// Its invariants: at most one command of NextProposal is in flight; the latest known grant never gets older;
// expiresAt is at most TTL after the proposal of the command that granted the lease.
//
// The values of now that it is given must not fall. It is not safe for concurrent use.
type Candidate struct {
	settings Settings
	name     string
	role     string

	observed   bool          // grant is set: Observe or HandleResult was called
	grant      Grant         // the latest known
	grantSince time.Duration // when grant was observed

	inFlight   *Command      // proposed and without a result, nil if none
	proposedAt time.Duration // when inFlight was proposed
	expiresAt  time.Duration // end of this member's lease by its own clock, 0 if it has none
}

// NewCandidate returns the side of the member called name. It proposes nothing before the first Observe.
func NewCandidate(settings Settings, name, role string) (*Candidate, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	if name == "" || role == "" {
		return nil, errors.New("a lease needs the name of a member and of a role")
	}
	return &Candidate{settings: settings, name: name, role: role}, nil
}

// Observe takes in the grant as this member's replica of the log has it. A grant older than the latest known
// is ignored.
func (c *Candidate) Observe(now time.Duration, grant Grant) {
	if c.observed && (grant.olderThan(c.grant) || grant == c.grant) {
		return
	}
	if grant.Holder != c.name || !c.observed || grant.Token != c.grant.Token {
		// Only HandleResult makes this member the owner: the grant may be that of an earlier incarnation, or
		// its command was proposed at an unknown time.
		c.expiresAt = 0
	}
	c.setGrant(now, grant)
}

func (c *Candidate) setGrant(now time.Duration, grant Grant) {
	c.grant, c.grantSince, c.observed = grant, now, true
}

// NextProposal returns the command that this member should propose now, false if there is none. A lease
// holder renews once a third of its lease has passed, and retries until the renewal is granted or the lease
// has ended. Another member acquires a role that is free or whose lease was not renewed for long enough. The
// command counts as proposed at now; HandleResult or HandleNoResult has to follow before the next one.
func (c *Candidate) NextProposal(now time.Duration) (Command, bool) {
	if !c.observed || c.inFlight != nil {
		return Command{}, false
	}
	op, due := c.nextOp(now)
	if !due {
		return Command{}, false
	}
	cmd := Command{Op: op, Role: c.role, Member: c.name, Expected: c.grant}
	c.inFlight, c.proposedAt = &cmd, now
	return cmd, true
}

// nextOp returns the operation that is due now, false if there is none.
func (c *Candidate) nextOp(now time.Duration) (Op, bool) {
	if c.Owns(now) {
		renewAt := c.expiresAt - c.settings.TTL*2/3
		return Renew, now >= renewAt
	}
	free := c.grant.Holder == "" || now-c.grantSince >= c.settings.takeoverDelay()
	return Acquire, free
}

// Resign ends this member's ownership at once and returns the command that releases the lease, false if it
// holds none. The result of that command isn't needed.
func (c *Candidate) Resign() (Command, bool) {
	if c.grant.Holder != c.name || c.expiresAt == 0 {
		return Command{}, false
	}
	c.expiresAt, c.inFlight = 0, nil
	return Command{Op: Release, Role: c.role, Member: c.name, Expected: c.grant}, true
}

// HandleResult takes in the result of the command in flight, and is ignored if there is none. A lease that
// the result grants counts from when the command was proposed.
func (c *Candidate) HandleResult(now time.Duration, result Result) {
	if c.inFlight == nil {
		return
	}
	c.inFlight = nil
	granted := result.Applied && result.Grant.Holder == c.name
	if granted && (!c.observed || !result.Grant.olderThan(c.grant)) {
		c.setGrant(now, result.Grant)
		c.expiresAt = max(c.expiresAt, c.proposedAt+c.settings.TTL)
		return
	}
	c.Observe(now, result.Grant)
}

// HandleNoResult says that the result of the command in flight will not be known. The command may be in the
// log all the same: a grant that comes of it is observed, but not acted on, as nobody here knows when its
// lease ends.
func (c *Candidate) HandleNoResult() { c.inFlight = nil }

// Owns reports whether this member owns the role at now and may cause side effects under Token.
func (c *Candidate) Owns(now time.Duration) bool {
	return c.observed && c.grant.Holder == c.name && now < c.expiresAt
}

// Remaining returns how much of its lease an owner has left, 0 if it doesn't own the role.
func (c *Candidate) Remaining(now time.Duration) time.Duration {
	if !c.Owns(now) {
		return 0
	}
	return c.expiresAt - now
}

// Token returns the fencing token of the latest known grant.
func (c *Candidate) Token() uint64 { return c.grant.Token }

// Grant returns the latest known grant.
func (c *Candidate) Grant() Grant { return c.grant }
