// Package leaseholder runs the fleet's chores on the one member that holds their lease: the export of the
// ledger to a billing sink, and asking discovery for all. Who holds the lease is decided by package lease,
// what the chores leave in the log by package chore; this package does the calls, each with a time limit,
// none beyond the lease, and each with the lease's fencing token.
//
// Members that hold a replica of the group stand for owner, three or five of them: what they need to know is
// in their own copy of the log.
package leaseholder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"cresshub/internal/cluster/groupstate"
	"cresshub/internal/cluster/lease"
)

// Store is the replicated store as the chores use it.
type Store interface {
	// Propose has a command committed and applied, and returns what became of it.
	Propose(ctx context.Context, command []byte) (json.RawMessage, error)
	// Read answers a question from a state that holds all that was committed when it was asked.
	Read(ctx context.Context, query []byte) (json.RawMessage, error)
	// Peek answers from this member's own copy, which may be behind; false where it has none.
	Peek(query []byte) (any, bool)
}

// Options are what an Owner is told.
type Options struct {
	Name      string // this member's
	Lease     lease.Settings
	Store     Store
	Export    *Exporter     // nil where the ledger is not exported
	Endpoints *EndpointSync // nil where the owner does not ask discovery for all
	Faults    Faults        // nil but in tests
	Log       *slog.Logger
}

// Faults has calls go wrong, for tests and the laboratory.
type Faults interface {
	// BeforeCall is told of each call between the look at the lease and the call itself.
	BeforeCall()
}

// Stats count what happened to this member as an owner.
type Stats struct {
	Grants       int64 `json:"grants"`   // leases taken
	Renewals     int64 `json:"renewals"` // granted
	Losses       int64 `json:"losses"`   // leases that ended without being given back
	Resigned     int64 `json:"given_up"` // leases given back
	Calls        int64 `json:"calls"`    // side effects tried on the sink, and those that discovery refused
	Rejected     int64 `json:"refused"`  // of them refused for their token
	StaleEntries int64 `json:"stale"`    // entries of the log refused for their token
	Failed       int64 `json:"failed"`   // calls that failed otherwise
	Entries      int64 `json:"entries"`  // taken by the sink, repeats included
	Duplicates   int64 `json:"repeated"` // of them, that it had before
	Resumed      int64 `json:"resumed"`  // intents of other owners that this one finished
}

// ErrNotOwner says that this member does not own the chores now.
var ErrNotOwner = errors.New("this member does not own the fleet's chores")

// errStaleToken is a call that was refused for its token.
var errStaleToken = errors.New("refused for its fencing token")

// Runner is this member's part in the chores.
type Runner struct {
	opts  Options
	start time.Time

	mu          sync.Mutex
	candidate   *lease.Candidate
	activeToken uint64 // of the lease that is acted under, 0 where none is
	stats       Stats
	lastFailure time.Time // of the last try at the lease that came to nothing

	ctx       context.Context // ends with Close, and whatever is under way with it
	cancel    context.CancelFunc
	acquired  chan struct{} // the lease was taken
	stopCh    chan struct{}
	wg        sync.WaitGroup
	closeOnce sync.Once
}

// New returns an owner's part; Run must follow.
func New(o Options) (*Runner, error) {
	candidate, err := lease.NewCandidate(o.Lease, o.Name, groupstate.FleetRole)
	if err != nil {
		return nil, fmt.Errorf("owner.%w", err)
	}
	r := &Runner{opts: o, start: time.Now(), candidate: candidate, acquired: make(chan struct{}, 1),
		stopCh: make(chan struct{})}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	if o.Export != nil {
		o.Export.attach(r)
	}
	if o.Endpoints != nil {
		o.Endpoints.attach(r)
	}
	return r, nil
}

// now is this member's monotonic clock, as package lease wants it.
func (r *Runner) now() time.Duration { return time.Since(r.start) }

// checkInterval is how often the lease is looked at.
func (r *Runner) checkInterval() time.Duration { return max(r.opts.Lease.TTL/40, 5*time.Millisecond) }

// Run takes part until Close. It returns at once.
func (r *Runner) Run() {
	r.wg.Add(1)
	go r.maintainLease()
	if r.opts.Export != nil {
		r.wg.Add(1)
		go r.opts.Export.run()
	}
	if r.opts.Endpoints != nil {
		r.wg.Add(2)
		go r.opts.Endpoints.runPublisher()
		go r.opts.Endpoints.runFollower()
	}
}

// Close gives the lease back, if this member holds it, and ends.
func (r *Runner) Close() {
	r.closeOnce.Do(func() {
		close(r.stopCh)
		r.cancel()
		r.wg.Wait()
		r.resign("the end of the process")
	})
}

// maintainLease looks at the lease and does what it wants, one command at a time.
func (r *Runner) maintainLease() {
	defer r.wg.Done()
	tick := time.NewTicker(r.checkInterval())
	defer tick.Stop()
	for {
		select {
		case <-r.stopCh:
			return
		case <-tick.C:
		}
		r.observeGrant()
		r.reportTransition()
		r.mu.Lock()
		var cmd lease.Command
		due := time.Since(r.lastFailure) > r.opts.Lease.TTL/10
		if due {
			cmd, due = r.candidate.NextProposal(r.now())
		}
		r.mu.Unlock()
		if due {
			r.wg.Add(1)
			go r.propose(cmd)
		}
	}
}

// observeGrant takes the grant from this member's own copy of the log.
func (r *Runner) observeGrant() {
	value, ok := r.opts.Store.Peek(groupstate.Query{Kind: groupstate.QueryGrant}.Encode())
	grant, granted := value.(lease.Grant)
	if !ok || !granted {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.candidate.Observe(r.now(), grant)
}

// propose has a lease's command committed and tells the member's side what became of it.
func (r *Runner) propose(cmd lease.Command) {
	defer r.wg.Done()
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
		r.lastFailure = time.Now().Add(rand.N(r.opts.Lease.TTL / 20))
	} else {
		r.candidate.HandleResult(r.now(), result)
		if result.Applied && cmd.Op == lease.Renew {
			r.stats.Renewals++
		}
	}
	r.mu.Unlock()
	r.reportTransition()
}

// reportTransition tells of a lease that was taken or has ended since the last look.
func (r *Runner) reportTransition() {
	r.mu.Lock()
	token := uint64(0)
	if r.candidate.Owns(r.now()) {
		token = r.candidate.Token()
	}
	previous := r.activeToken
	r.activeToken = token
	switch {
	case token == previous:
		r.mu.Unlock()
		return
	case token != 0:
		r.stats.Grants++
	default:
		r.stats.Losses++
	}
	known := r.candidate.Grant()
	r.mu.Unlock()
	if token == 0 {
		r.opts.Log.Warn("owner: the lease has ended; this member does no chores any more", "token", previous,
			"holder", known.Holder, "its_token", known.Token)
		return
	}
	r.opts.Log.Info("owner: this member owns the fleet's chores", "token", token, "before", previous)
	select {
	case r.acquired <- struct{}{}:
	default:
	}
}

// resign hands the lease over at once.
func (r *Runner) resign(reason string) {
	r.mu.Lock()
	cmd, ok := r.candidate.Resign()
	token := r.activeToken
	r.activeToken = 0
	if ok {
		r.stats.Resigned++
	}
	r.mu.Unlock()
	if !ok {
		return
	}
	r.opts.Log.Info("owner: the lease is given back", "token", token, "why", reason)
	ctx, cancel := context.WithTimeout(context.Background(), r.opts.Lease.TTL/2)
	defer cancel()
	if _, err := r.opts.Store.Propose(ctx, groupstate.EncodeLease(cmd)); err != nil {
		r.opts.Log.Debug("owner: the lease was not given back; it ends by itself", "err", err)
	}
}

// ActiveLease is the token to act with and how long it lasts; false where this member does not own the
// chores.
func (r *Runner) ActiveLease() (token uint64, remaining time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if !r.candidate.Owns(now) {
		return 0, 0, false
	}
	return r.candidate.Token(), r.candidate.Remaining(now), true
}

// callFenced makes one call of a chore under a token, within a time and no longer than the lease lasts. What
// was refused for its token ends this member's ownership.
func (r *Runner) callFenced(token uint64, timeout time.Duration, do func(ctx context.Context) error) error {
	current, remaining, ok := r.ActiveLease()
	if !ok || current != token {
		return ErrNotOwner
	}
	if r.opts.Faults != nil {
		r.opts.Faults.BeforeCall() // the worst place to stand still: the lease was looked at, the call is not out
	}
	ctx, cancel := context.WithTimeout(r.ctx, min(timeout, remaining))
	defer cancel()
	err := do(ctx)
	r.mu.Lock()
	r.stats.Calls++
	switch {
	case errors.Is(err, errStaleToken):
		r.stats.Rejected++
	case err != nil:
		r.stats.Failed++
	}
	r.mu.Unlock()
	if errors.Is(err, errStaleToken) {
		r.StepDown(token, err.Error())
	}
	return err
}

// Rejected tells of a call on discovery that was refused for its token.
func (r *Runner) ReportRejection(token uint64, reason string) {
	r.mu.Lock()
	r.stats.Calls++
	r.stats.Rejected++
	r.mu.Unlock()
	r.StepDown(token, reason)
}

// StepDown tells that something done under a token was refused as stale: this member owns nothing any more.
func (r *Runner) StepDown(token uint64, reason string) {
	r.opts.Log.Warn("owner: a call was refused; another member owns the chores", "token", token, "why", reason)
	if current, _, ok := r.ActiveLease(); ok && current == token {
		r.resign("refused: " + reason)
	}
}

// commit proposes a chore's entry under a token. nil says that it was applied.
func (r *Runner) commit(token uint64, command []byte) error {
	current, remaining, ok := r.ActiveLease()
	if !ok || current != token {
		return ErrNotOwner
	}
	ctx, cancel := context.WithTimeout(r.ctx, remaining)
	defer cancel()
	raw, err := r.opts.Store.Propose(ctx, command)
	var result groupstate.Result
	if err == nil {
		err = json.Unmarshal(raw, &result)
	}
	switch {
	case err != nil:
		return err
	case result.Status == groupstate.StatusStale:
		r.mu.Lock()
		r.stats.StaleEntries++
		r.mu.Unlock()
		r.StepDown(token, result.Reason)
		return errStaleToken
	case result.Status != groupstate.StatusAccepted:
		return errors.New(result.Reason)
	}
	return nil
}

// query asks the store, within a time.
func (r *Runner) query(timeout time.Duration, q groupstate.Query, into any) error {
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
	defer cancel()
	raw, err := r.opts.Store.Read(ctx, q.Encode())
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, into)
}
