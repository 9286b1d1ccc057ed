// Package leaseholder runs the fleet's singleton roles on the one member that holds their lease: the export
// of the usage ledger to a billing sink (Exporter), and the watch on discovery whose endpoint list all
// members use (EndpointSync). Package lease decides who holds the lease; package groupstate is what the roles
// leave in the replicated log. This package makes the calls, each with a timeout that ends no later than the
// lease, and each with the lease's fencing token.
//
// Only members that hold a replica of the Raft group compete for the lease, three or five of them: what they
// need to know is in their own replica of the log.
//
// A Runner has one goroutine that maintains the lease, one of the Exporter, two of the EndpointSync, and one
// for each command of the lease in flight, at most one at a time. Close ends them all. The methods of Runner
// may be called from any goroutine.
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

// Store is the replicated state of the Raft group (groupstate.Machine) as this package uses it.
type Store interface {
	// Propose commits a command and returns its result as JSON once it is applied.
	Propose(ctx context.Context, command []byte) (json.RawMessage, error)
	// Read answers a groupstate.Query linearizably: from a state with all that was committed before the call.
	Read(ctx context.Context, query []byte) (json.RawMessage, error)
	// Peek answers a groupstate.Query from this member's replica, which may be behind; false if it has none.
	Peek(query []byte) (any, bool)
}

// Options of a Runner.
type Options struct {
	Name      string // of this member
	Lease     lease.Settings
	Store     Store
	Export    *Exporter     // nil: the ledger isn't exported
	Endpoints *EndpointSync // nil: each member asks discovery by itself
	Faults    Faults        // nil but in tests
	Log       *slog.Logger
}

// Stats count what this member did as the lease holder since its start.
type Stats struct {
	Grants       int64 `json:"grants"`   // leases acquired
	Renewals     int64 `json:"renewals"` // renewals granted
	Losses       int64 `json:"losses"`   // leases that ended without being released
	Resigned     int64 `json:"given_up"` // leases released
	Calls        int64 `json:"calls"`    // calls to the sink, and those that discovery rejected
	Rejected     int64 `json:"refused"`  // calls rejected because of their token
	StaleEntries int64 `json:"stale"`    // commands that the log rejected because of their token
	Failed       int64 `json:"failed"`   // calls that failed otherwise
	Entries      int64 `json:"entries"`  // entries that the sink acknowledged, duplicates included
	Duplicates   int64 `json:"repeated"` // entries that the sink had already
	Resumed      int64 `json:"resumed"`  // exports begun by earlier owners that this one finished
}

// ErrNotOwner is returned if this member doesn't hold the lease, or no longer under the token in question.
var ErrNotOwner = errors.New("this member does not own the fleet's chores")

// errStaleToken is the error of a call or command that was rejected because of its token.
var errStaleToken = errors.New("refused for its fencing token")

// Runner competes for the lease and runs the roles while this member holds it.
type Runner struct {
	opts  Options
	start time.Time // origin of the candidate's clock

	mu          sync.Mutex
	candidate   *lease.Candidate
	activeToken uint64 // token of the lease as last reported, 0 for none
	stats       Stats
	retryFrom   time.Time // when the last command of the lease failed, with jitter

	ctx       context.Context // of all calls; ends with Close
	cancel    context.CancelFunc
	acquired  chan struct{} // wakes the publisher of the endpoint list
	stopCh    chan struct{}
	wg        sync.WaitGroup
	closeOnce sync.Once
}

// New returns a Runner that does nothing until Run. It returns an error if the lease's settings are unsound.
func New(opts Options) (*Runner, error) {
	candidate, err := lease.NewCandidate(opts.Lease, opts.Name, groupstate.FleetRole)
	if err != nil {
		return nil, fmt.Errorf("owner.%w", err)
	}
	r := &Runner{opts: opts, start: time.Now(), candidate: candidate, acquired: make(chan struct{}, 1),
		stopCh: make(chan struct{})}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	if opts.Export != nil {
		opts.Export.attach(r)
	}
	if opts.Endpoints != nil {
		opts.Endpoints.attach(r)
	}
	return r, nil
}

// now is the monotonic clock of package lease.
func (r *Runner) now() time.Duration { return time.Since(r.start) }

// checkInterval is how often the lease is looked at.
func (r *Runner) checkInterval() time.Duration { return max(r.opts.Lease.TTL/40, 5*time.Millisecond) }

// Run starts the goroutines and returns at once.
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

// Close ends all calls and goroutines, waits for them, and releases the lease if this member holds it.
func (r *Runner) Close() {
	r.closeOnce.Do(func() {
		close(r.stopCh)
		r.cancel()
		r.wg.Wait()
		r.resign("the end of the process")
	})
}

// maintainLease acquires and renews the lease until Close.
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
		if cmd, due := r.nextProposal(); due {
			r.wg.Add(1)
			go r.propose(cmd)
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

// nextProposal is the candidate's, with a backoff after a command that failed.
func (r *Runner) nextProposal() (lease.Command, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.retryFrom) <= r.opts.Lease.TTL/10 {
		return lease.Command{}, false
	}
	return r.candidate.NextProposal(r.now())
}

// propose commits a command of the lease and passes its result to the candidate.
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
		r.retryFrom = time.Now().Add(rand.N(r.opts.Lease.TTL / 20))
	} else {
		r.candidate.HandleResult(r.now(), result)
		if result.Applied && cmd.Op == lease.Renew {
			r.stats.Renewals++
		}
	}
	r.mu.Unlock()
	r.reportTransition()
}

// reportTransition counts and logs whether the lease was acquired or lost since the last call.
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
	grant := r.candidate.Grant()
	r.mu.Unlock()
	if token == 0 {
		r.opts.Log.Warn("owner: lease lost", "token", previous, "holder", grant.Holder, "its_token", grant.Token)
		return
	}
	r.opts.Log.Info("owner: lease acquired", "token", token, "before", previous)
	select {
	case r.acquired <- struct{}{}:
	default:
	}
}

// resign gives up the lease at once and releases it in the log, so that another member need not wait for it
// to expire.
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
	r.opts.Log.Info("owner: lease released", "token", token, "why", reason)
	ctx, cancel := context.WithTimeout(context.Background(), r.opts.Lease.TTL/2)
	defer cancel()
	if _, err := r.opts.Store.Propose(ctx, groupstate.EncodeLease(cmd)); err != nil {
		r.opts.Log.Debug("owner: lease not released in the log, it will expire", "err", err)
	}
}

// activeLease returns the token of the lease that this member holds and how long the lease lasts; false if it
// holds none.
func (r *Runner) activeLease() (token uint64, remaining time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if !r.candidate.Owns(now) {
		return 0, 0, false
	}
	return r.candidate.Token(), r.candidate.Remaining(now), true
}

// checkLease returns how long the lease with that token lasts, ErrNotOwner if this member doesn't hold it.
func (r *Runner) checkLease(token uint64) (remaining time.Duration, err error) {
	current, remaining, ok := r.activeLease()
	if !ok || current != token {
		return 0, ErrNotOwner
	}
	return remaining, nil
}

// callFenced makes one call under a token, within a timeout and no longer than the lease lasts. A call that
// was rejected because of its token ends this member's ownership.
func (r *Runner) callFenced(token uint64, timeout time.Duration, do func(ctx context.Context) error) error {
	remaining, err := r.checkLease(token)
	if err != nil {
		return err
	}
	if r.opts.Faults != nil {
		r.opts.Faults.BeforeCall()
	}
	ctx, cancel := context.WithTimeout(r.ctx, min(timeout, remaining))
	defer cancel()
	err = do(ctx)
	r.updateStats(func(s *Stats) {
		s.Calls++
		switch {
		case errors.Is(err, errStaleToken):
			s.Rejected++
		case err != nil:
			s.Failed++
		}
	})
	if errors.Is(err, errStaleToken) {
		r.stepDown(token, err.Error())
	}
	return err
}

// ReportRejection says that discovery rejected a call because of its token.
func (r *Runner) ReportRejection(token uint64, reason string) {
	r.updateStats(func(s *Stats) {
		s.Calls++
		s.Rejected++
	})
	r.stepDown(token, reason)
}

// stepDown ends this member's ownership after something under a token was rejected as stale.
func (r *Runner) stepDown(token uint64, reason string) {
	r.opts.Log.Warn("owner: call rejected, another member holds the lease", "token", token, "why", reason)
	if _, err := r.checkLease(token); err == nil {
		r.resign("refused: " + reason)
	}
}

// commit proposes a command of a role under a token. It returns nil if the command was applied.
func (r *Runner) commit(token uint64, command []byte) error {
	remaining, err := r.checkLease(token)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.ctx, remaining)
	defer cancel()
	raw, err := r.opts.Store.Propose(ctx, command)
	if err != nil {
		return err
	}
	var result groupstate.Result
	if err := json.Unmarshal(raw, &result); err != nil {
		return err
	}
	switch result.Status {
	case groupstate.StatusAccepted:
		return nil
	case groupstate.StatusStale:
		r.updateStats(func(s *Stats) { s.StaleEntries++ })
		r.stepDown(token, result.Reason)
		return errStaleToken
	}
	return errors.New(result.Reason)
}

// query reads from the store within a timeout and decodes the answer into what into points to.
func (r *Runner) query(timeout time.Duration, q groupstate.Query, into any) error {
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
	defer cancel()
	raw, err := r.opts.Store.Read(ctx, q.Encode())
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, into)
}

func (r *Runner) updateStats(update func(s *Stats)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update(&r.stats)
}
