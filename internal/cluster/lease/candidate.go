package lease

import (
	"errors"
	"time"
)

// Candidate is the state of one member that competes for the lease of one role. It returns the commands to
// propose (NextProposal, Resign), receives their results (HandleResult, HandleNoResult) and the grants in the
// log (Observe), and reports whether this member owns the role (Owns).
//
// States: before the first Observe it proposes nothing. From then on the role is free, or held by another
// member, or by this one. This member becomes the owner by a result that grants it the lease, and stays the
// owner until that lease expires, until Resign, or until it observes a grant to another member. A grant under
// its own name that it only observes may belong to an earlier incarnation and doesn't make it the owner.
//
// Invariants: at most one command of NextProposal is in flight; the latest known grant is never replaced by
// an older one; expiresAt is at most TTL after the proposal of the command that granted the lease.
//
// The values of now passed to its methods must not decrease. It is not safe for concurrent use.
type Candidate struct {
	settings Settings
	name     string
	role     string

	observed   bool          // grant is set: Observe or HandleResult was called
	grant      Grant         // the latest known grant
	grantSince time.Duration // when grant was first observed

	inFlight   *Command      // proposed command whose result is outstanding, nil if none
	proposedAt time.Duration // when inFlight was proposed
	expiresAt  time.Duration // end of this member's lease by its own clock, 0 if it holds none
}

// NewCandidate returns the Candidate of the member called name for a role. It proposes nothing before the
// first Observe.
func NewCandidate(settings Settings, name, role string) (*Candidate, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	if name == "" || role == "" {
		return nil, errors.New("member name or role name of the lease is empty")
	}
	return &Candidate{settings: settings, name: name, role: role}, nil
}

// Observe records the current grant in this member's replica of the log. A grant older than the latest known
// one is ignored.
func (c *Candidate) Observe(now time.Duration, grant Grant) {
	if c.observed && (grant.olderThan(c.grant) || grant == c.grant) {
		return
	}
	if grant.Holder != c.name || !c.observed || grant.Token != c.grant.Token {
		// Only HandleResult makes this member the owner: an observed grant may belong to an earlier
		// incarnation, or the time at which its command was proposed is no longer known.
		c.expiresAt = 0
	}
	c.setGrant(now, grant)
}

func (c *Candidate) setGrant(now time.Duration, grant Grant) {
	c.grant, c.grantSince, c.observed = grant, now, true
}

// NextProposal returns the command that this member should propose now, false if there is none. A lease
// holder renews once a third of its lease has passed, and retries until the renewal is granted or the lease
// has expired. Another member acquires a role that is free, or whose grant hasn't been renewed for the
// takeover delay. The command counts as proposed at now; HandleResult or HandleNoResult must be called
// before NextProposal returns another one.
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

// Resign ends this member's ownership immediately and returns the command that releases the lease, false if
// it holds no lease. The result of that command need not be reported.
func (c *Candidate) Resign() (Command, bool) {
	if c.grant.Holder != c.name || c.expiresAt == 0 {
		return Command{}, false
	}
	c.expiresAt, c.inFlight = 0, nil
	return Command{Op: Release, Role: c.role, Member: c.name, Expected: c.grant}, true
}

// HandleResult records the result of the command in flight and does nothing if there is none. A lease that
// the result grants starts at the time at which the command was proposed.
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

// HandleNoResult records that the result of the command in flight will not be known. The command may still be
// committed: this member then observes the grant but doesn't become the owner by it, as the time at which its
// lease expires is unknown here.
func (c *Candidate) HandleNoResult() { c.inFlight = nil }

// Owns reports whether this member owns the role at now and may cause side effects under Token.
func (c *Candidate) Owns(now time.Duration) bool {
	return c.observed && c.grant.Holder == c.name && now < c.expiresAt
}

// Remaining returns the time until this member's lease expires, 0 if it doesn't own the role.
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
