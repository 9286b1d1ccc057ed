// Package leaseholder runs the fleet's singleton roles on the one member that holds their lease: the export
// of the usage ledger to a billing sink (Exporter), and the watch on discovery whose endpoint list all
// members use (EndpointSync). Package lease decides who holds the lease; package groupstate is what the roles
// leave in the replicated log. This package makes the calls, each with a timeout that ends no later than the
// lease, and each with the lease's fencing token.
//
// Only members that hold a replica of the Raft group compete for the lease, three or five of them: what they
// need to know is in their own replica of the log.
//
// The files: runner.go has the Runner and its life, maintain.go how it gets, keeps and gives up the lease,
// calls.go what it does under the lease's token; exporter.go and endpoints.go are the two roles, page.go is
// what operators see of them.
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
	// Name is this member's name, under which it holds the lease; unique in the fleet.
	Name string
	// Lease are the lease's settings, the same on all members.
	Lease lease.Settings
	// Store is this member's way to the replicated state.
	Store Store
	// Export is the role that sends the ledger to a billing sink. Nil, the default: this member doesn't, even as
	// the lease holder.
	Export *Exporter
	// Endpoints is the role that publishes the endpoint list. Nil, the default: this member asks discovery by
	// itself and publishes nothing.
	Endpoints *EndpointSync
	// Faults stalls calls, for tests and the laboratory alone. Nil, the default, stalls none.
	Faults Faults
	// Log takes the messages of the runner and its roles. It must not be nil.
	Log *slog.Logger
}

// Stats count what this member did as the lease holder since its start.
type Stats struct {
	Grants        int64 `json:"grants"`   // leases acquired
	Renewals      int64 `json:"renewals"` // renewals granted
	Losses        int64 `json:"losses"`   // leases that ended without being released
	Resigned      int64 `json:"given_up"` // leases released
	Calls         int64 `json:"calls"`    // calls to the sink, and those that discovery rejected
	RejectedCalls int64 `json:"refused"`  // calls rejected because of their token
	StaleCommands int64 `json:"stale"`    // commands that the log rejected because of their token
	FailedCalls   int64 `json:"failed"`   // calls that failed otherwise
	Entries       int64 `json:"entries"`  // entries that the sink acknowledged, duplicates included
	Duplicates    int64 `json:"repeated"` // entries that the sink had already
	Resumed       int64 `json:"resumed"`  // exports begun by earlier owners that this one finished
}

// ErrNotOwner is returned if this member doesn't hold the lease, or no longer under the token in question.
var ErrNotOwner = errors.New("this member does not own the fleet's singleton roles")

// errStaleToken is the error of a call or command that was rejected because of its token.
var errStaleToken = errors.New("refused for its fencing token")

// Runner competes for the lease and runs the roles while this member holds it. New, Run and Close are called
// in this order; Run once. Its mu guards the candidate, which is not safe for concurrent use, and is never
// held while the store, the sink or discovery is called.
type Runner struct {
	opts  Options
	start time.Time // origin of the candidate's clock

	mu            sync.Mutex
	candidate     *lease.Candidate
	reportedToken uint64        // token of the lease as last reported, 0 for none
	acquiredAt    time.Duration // when it was reported, by the candidate's clock
	stats         Stats
	backoffStart  time.Time // when the last command of the lease failed, with jitter

	ctx        context.Context // of all calls; ends with Close
	cancel     context.CancelFunc
	acquired   chan struct{} // wakes the publisher of the endpoint list
	stop       chan struct{} // closed by Close
	goroutines sync.WaitGroup
	closeOnce  sync.Once
}

// New returns a Runner that does nothing until Run, and attaches the roles to it: an Exporter or EndpointSync
// belongs to one Runner. It returns an error if the lease's settings are unsound.
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

// Close ends all calls and goroutines, waits for them, and releases the lease if this member holds it.
func (r *Runner) Close() {
	r.closeOnce.Do(func() {
		close(r.stop)
		r.cancel()
		r.goroutines.Wait()
		r.resign("the end of the process")
	})
}

// updateStats has update change the stats; update must not call the runner.
func (r *Runner) updateStats(update func(s *Stats)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update(&r.stats)
}
