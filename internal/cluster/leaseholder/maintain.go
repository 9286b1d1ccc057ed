package leaseholder

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"cresshub/internal/cluster/groupstate"
	"cresshub/internal/cluster/lease"
)

// now returns the time of the candidate's monotonic clock.
func (r *Runner) now() time.Duration { return time.Since(r.start) }

// minCheckInterval is the shortest time between two checks of the lease.
const minCheckInterval = 5 * time.Millisecond

// checkInterval returns the time between two checks of the lease: a fortieth of the TTL, so that a renewal,
// which is due after a third of the lease, begins in time.
func (r *Runner) checkInterval() time.Duration { return max(r.opts.Lease.TTL/40, minCheckInterval) }

// maintainLease acquires and renews the lease until Close.
func (r *Runner) maintainLease() {
	tick := time.NewTicker(r.checkInterval())
	defer tick.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-tick.C:
		}
		r.observeGrant()
		r.reportTransition()
		if cmd, due := r.nextProposal(); due {
			r.goroutines.Go(func() { r.propose(cmd) })
		}
	}
}

// observeGrant passes the grant of this member's replica to the candidate.
func (r *Runner) observeGrant() {
	value, ok := r.opts.Store.Peek(groupstate.Query{Kind: groupstate.QueryGrant}.Encode())
	grant, isGrant := value.(lease.Grant)
	if !ok || !isGrant {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.candidate.Observe(r.now(), grant)
}

// nextProposal returns the candidate's next proposal, false during the backoff after a failed command.
func (r *Runner) nextProposal() (lease.Command, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.backoffStart) <= r.opts.Lease.TTL/10 {
		return lease.Command{}, false
	}
	return r.candidate.NextProposal(r.now())
}

// propose proposes a lease command to the store and passes its result to the candidate.
func (r *Runner) propose(cmd lease.Command) {
	ctx, cancel := context.WithTimeout(r.ctx, r.opts.Lease.TTL)
	defer cancel()
	raw, err := r.opts.Store.Propose(ctx, groupstate.EncodeLease(cmd))
	var result lease.Result
	if err == nil {
		err = json.Unmarshal(raw, &result)
	}
	r.mu.Lock()
	if err != nil {
		r.candidate.HandleNoResult()
		r.backoffStart = time.Now().Add(rand.N(r.opts.Lease.TTL / 20))
	} else {
		r.candidate.HandleResult(r.now(), result)
		if result.Applied && cmd.Op == lease.Renew {
			r.stats.Renewals++
		}
	}
	r.mu.Unlock()
	r.reportTransition()
}

// reportTransition counts and logs the acquisition or loss of the lease since the last call, and wakes the
// publisher of the endpoint list after an acquisition.
func (r *Runner) reportTransition() {
	change := r.recordTransition()
	switch {
	case change.token == change.previous:
	case change.token == 0:
		r.opts.Log.Warn("owner: lease lost", "token", change.previous, "holder", change.grant.Holder, "its_token",
			change.grant.Token)
	default:
		r.opts.Log.Info("owner: lease acquired", "token", change.token, "before", change.previous)
		select {
		case r.acquired <- struct{}{}:
		default:
		}
	}
}

// transition is the change of this member's lease between two calls of recordTransition.
type transition struct {
	token    uint64 // of the lease that this member holds now, 0 for none
	previous uint64 // of the lease that it held at the last call, 0 for none
	grant    lease.Grant
}

// recordTransition sets reportedToken to the token of the current lease, and counts the change if there is
// one.
func (r *Runner) recordTransition() transition {
	r.mu.Lock()
	defer r.mu.Unlock()
	change := transition{previous: r.reportedToken, grant: r.candidate.Grant()}
	if r.candidate.Owns(r.now()) {
		change.token = r.candidate.Token()
	}
	r.reportedToken = change.token
	switch {
	case change.token == change.previous:
	case change.token != 0:
		r.stats.Grants++
		r.acquiredAt = r.now()
	default:
		r.stats.Losses++
	}
	return change
}

// resign ends this member's ownership immediately and releases the lease in the log, so that another member
// need not wait until the lease expires.
func (r *Runner) resign(reason string) {
	r.mu.Lock()
	cmd, ok := r.candidate.Resign()
	token := r.reportedToken
	r.reportedToken = 0
	if ok {
		r.stats.Resigned++
	}
	r.mu.Unlock()
	if !ok {
		return
	}
	r.opts.Log.Info("owner: lease released", "token", token, "why", reason)
	ctx, cancel := context.WithTimeout(context.Background(), r.opts.Lease.TTL/2)
	defer cancel()
	if _, err := r.opts.Store.Propose(ctx, groupstate.EncodeLease(cmd)); err != nil {
		r.opts.Log.Debug("owner: lease not released in the log, it will expire", "err", err)
	}
}

// ownedLease is a snapshot of the lease that this member holds. The zero ownedLease means that it holds none.
type ownedLease struct {
	token     uint64        // fencing token, above 0
	remaining time.Duration // time until the lease expires unless it is renewed
}

// activeLease returns the lease that this member holds now; false if it holds none.
func (r *Runner) activeLease() (ownedLease, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if !r.candidate.Owns(now) {
		return ownedLease{}, false
	}
	return ownedLease{token: r.candidate.Token(), remaining: r.candidate.Remaining(now)}, true
}

// checkLease returns the time until the lease with that token expires, ErrNotOwner if this member doesn't
// hold that lease.
func (r *Runner) checkLease(token uint64) (remaining time.Duration, err error) {
	owned, ok := r.activeLease()
	if !ok || owned.token != token {
		return 0, ErrNotOwner
	}
	return owned.remaining, nil
}

// stepDown ends this member's ownership after a call or command under a token was rejected as stale, unless
// the member holds a lease with another token by now.
func (r *Runner) stepDown(token uint64, reason string) {
	r.opts.Log.Warn("owner: call rejected, another member holds the lease", "token", token, "why", reason)
	if _, err := r.checkLease(token); err == nil {
		r.resign("token rejected: " + reason)
	}
}
