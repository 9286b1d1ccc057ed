// Package leaseholder runs the fleet's singleton roles on the one member that holds their lease: the export
// of the usage ledger to a billing sink (Exporter), and the watch on discovery whose endpoint list all
// members use (EndpointSync). Package lease decides which member holds the lease; package groupstate is the
// replicated state machine that stores what the roles commit. This package makes the calls, each with a
// timeout that ends no later than the lease, and each with the lease's fencing token.
//
// Only members that have a replica of the Raft group compete for the lease, three or five of them: they read
// the current grant from their own replica.
//
// Files: runner.go has the Runner, its start and its shutdown; maintain.go acquires, renews and releases the
// lease; calls.go makes calls and proposals under the lease's token; exporter.go and endpoints.go are the two
// roles; page.go is the status page for operators.
//
// A Runner has one goroutine that maintains the lease, one of the Exporter, two of the EndpointSync, and one
// for the lease command in flight, of which there is at most one. Close ends them all. The methods of Runner
// may be called from any goroutine.
package leaseholder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"cresshub/internal/cluster/groupstate"
	"cresshub/internal/cluster/lease"
)

// Store is the replicated state of the Raft group (groupstate.Machine) as this package uses it.
type Store interface {
	// Propose commits a command and returns its result as JSON once it is applied.
	Propose(ctx context.Context, command []byte) (json.RawMessage, error)
	// Read answers a groupstate.Query linearizably: the state includes everything committed before the call.
	Read(ctx context.Context, query []byte) (json.RawMessage, error)
	// Peek answers a groupstate.Query from this member's replica, which may lag; false if it has no replica.
	Peek(query []byte) (any, bool)
}

// Options of a Runner.
type Options struct {
	// Name is this member's name, under which it holds the lease; unique in the fleet.
	Name string
	// Lease has the settings of the lease, which must be the same on all members.
	Lease lease.Settings
	// Store gives access to the replicated state.
	Store Store
	// Export is the role that sends the ledger to a billing sink. If it is nil, the default, this member doesn't
	// export, even as the lease holder.
	Export *Exporter
	// Endpoints is the role that publishes the endpoint list. If it is nil, the default, this member asks
	// discovery by itself and publishes nothing.
	Endpoints *EndpointSync
	// Faults stalls calls; only tests and the lab use it. Nil, the default, stalls none.
	Faults Faults
	// Log is the logger of the runner and its roles. It must not be nil.
	Log *slog.Logger
}

// Stats count the events at this member in its role as lease holder since its start.
type Stats struct {
	Grants        int64 `json:"grants"`   // leases acquired
	Renewals      int64 `json:"renewals"` // renewals granted
	Losses        int64 `json:"losses"`   // leases that expired or were taken over, without a release
	Resigned      int64 `json:"given_up"` // leases released
	Calls         int64 `json:"calls"`    // calls to the sink, and calls that discovery rejected
	RejectedCalls int64 `json:"refused"`  // calls rejected because of their token
	StaleCommands int64 `json:"stale"`    // commands that the log rejected because of their token
	FailedCalls   int64 `json:"failed"`   // calls that failed otherwise
	Entries       int64 `json:"entries"`  // entries that the sink acknowledged, duplicates included
	Duplicates    int64 `json:"repeated"` // entries that the sink had stored before
	Resumed       int64 `json:"resumed"`  // attempts to finish an export that an earlier owner began
}

// ErrNotOwner is returned if this member doesn't hold the lease, or doesn't hold it under the given token.
var ErrNotOwner = errors.New("this member does not own the fleet's singleton roles")

// errStaleToken is the error of a call or command that was rejected because of its token.
var errStaleToken = errors.New("rejected because of its fencing token")

// Runner competes for the lease and runs the roles while this member holds it. The caller calls New, Run and
// Close in this order, and Run only once. mu guards the candidate, which is not safe for concurrent use, and
// is never held during a call to the store, the sink or discovery.
type Runner struct {
	opts  Options
	start time.Time // time 0 of the candidate's clock

	mu            sync.Mutex
	candidate     *lease.Candidate
	reportedToken uint64        // token of the lease at the last recordTransition, 0 for none
	acquiredAt    time.Duration // when recordTransition found it acquired, by the candidate's clock
	stats         Stats
	backoffStart  time.Time // when the last lease command failed, plus jitter

	ctx        context.Context // parent of all calls' contexts; canceled by Close
	cancel     context.CancelFunc
	acquired   chan struct{} // wakes EndpointSync.runPublisher
	stop       chan struct{} // closed by Close
	goroutines sync.WaitGroup
	closeOnce  sync.Once
}

// New returns a Runner that does nothing until Run, and attaches the roles to it: an Exporter or EndpointSync
// belongs to one Runner. It returns an error if the settings of the lease are invalid.
func New(opts Options) (*Runner, error) {
	candidate, err := lease.NewCandidate(opts.Lease, opts.Name, groupstate.FleetRole)
	if err != nil {
		return nil, fmt.Errorf("owner.%w", err)
	}
	r := &Runner{
		opts:      opts,
		start:     time.Now(),
		candidate: candidate,
		acquired:  make(chan struct{}, 1),
		stop:      make(chan struct{}),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	if opts.Export != nil {
		opts.Export.attach(r)
	}
	if opts.Endpoints != nil {
		opts.Endpoints.attach(r)
	}
	return r, nil
}

// Run starts the goroutines and returns at once.
func (r *Runner) Run() {
	r.goroutines.Go(r.maintainLease)
	if r.opts.Export != nil {
		r.goroutines.Go(r.opts.Export.run)
	}
	if r.opts.Endpoints != nil {
		r.goroutines.Go(r.opts.Endpoints.runPublisher)
		r.goroutines.Go(r.opts.Endpoints.runFollower)
	}
}

// Close cancels all calls, ends the goroutines and waits for them, and releases the lease if this member
// holds it.
func (r *Runner) Close() {
	r.closeOnce.Do(func() {
		close(r.stop)
		r.cancel()
		r.goroutines.Wait()
		r.resign("process shutdown")
	})
}

// updateStats calls update with mu held; update must not call methods of the runner.
func (r *Runner) updateStats(update func(s *Stats)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update(&r.stats)
}
