package gossip

import (
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"cresshub/internal/cluster/membership"
)

const (
	changesBufferSize  = 256 // capacity of the channel of Changes
	suspectQueueLength = 64  // suspects that wait for a state exchange
	// retransmitMult times ceil(log10(members + 1)) is how many times each member transmits an update by
	// gossip. In a small fleet, one member in fifty misses a refutation with memberlist's default of 4, and one
	// in three thousand with 8.
	retransmitMult = 8
	// A stream times out after streamTimeoutMult times ProbeTimeout, but not before minStreamTimeout.
	minStreamTimeout  = time.Second
	streamTimeoutMult = 10
	// minTickInterval is the lower bound of the interval at which tickLoop passes the time to the view.
	minTickInterval = 20 * time.Millisecond
)

// Fleet is this process as a member of the fleet, and its view of the others. Use Start, and Leave or Close
// once; in between its methods may be called from any goroutine.
//
// Lock order: memberlist's locks come before mu. memberlist calls the delegates, which take mu, with its
// locks held, so that no method calls memberlist with mu held.
type Fleet struct {
	opts       Options
	memberlist *memberlist.Memberlist
	startedAt  time.Time
	log        *slog.Logger

	meta atomic.Pointer[membership.Meta] // of this member; read under memberlist's locks

	mu       sync.Mutex
	view     *membership.View
	changes  chan membership.Change
	counters Counters

	conflictAddress     string            // of another process of this name, found since the last join began
	announcedLeaves     map[string]uint64 // incarnations of members that announced their leave, by name
	previousIncarnation uint64            // the highest of an earlier start of this member that others know
	ownAddress          string            // of this member's gossip; "" until Start has found its name free
	pendingUpdates      int               // own updates that raise the SWIM incarnation and are not sent yet

	// SWIM incarnations by member name: memberlist's counters, distinct from membership.Meta.Incarnation.
	swimIncarnations      map[string]uint32 // the highest in an alive message
	suspectedIncarnations map[string]uint32 // the highest that this member suspected by its own probes

	suspectSyncAt map[string]time.Duration // time by now() of the next state exchange with a suspect, by name
	suspectQueue  chan string              // suspects to exchange states with, for syncLoop
	suspectSyncs  map[string]bool          // suspects with a running state exchange, by name

	traffic traffic // on the gossip port

	stop       chan struct{} // closed by Leave or Close
	goroutines sync.WaitGroup
	once       sync.Once // of Leave or Close
}

// Start joins the fleet. It returns once this member listens and has attempted to join its seeds. Seeds that
// do not answer cause no error: the failure is logged, and every RejoinInterval a join of one of them is
// attempted. Start returns an error if an option is invalid, the address can't be bound, or a live member has
// the same name.
func Start(opts Options) (*Fleet, error) {
	if err := opts.Check(); err != nil {
		return nil, err
	}
	view, err := membership.NewView(opts.Membership, opts.Name)
	if err != nil {
		return nil, err
	}
	f := newFleet(opts, view)
	if err := f.listen(); err != nil {
		return nil, fmt.Errorf("fleet.bind %s: %w", opts.Bind, err)
	}
	f.log.Info("fleet: listening", "gossip", f.Address(), "label", opts.Label)
	if len(opts.Seeds) > 0 {
		f.join(opts.Seeds)
	}
	if err := f.checkNameIsFree(); err != nil {
		return nil, errors.Join(err, f.memberlist.Shutdown())
	}
	address := f.Address() // takes memberlist's lock, so f.mu must not be held
	f.mu.Lock()
	f.ownAddress = address
	f.mu.Unlock()
	f.supersedePrevious()
	f.goroutines.Go(f.tickLoop)
	f.goroutines.Go(f.syncLoop)
	return f, nil
}

// newFleet returns a member that does not listen yet.
func newFleet(opts Options, view *membership.View) *Fleet {
	f := &Fleet{
		opts:                  opts,
		startedAt:             time.Now(),
		log:                   opts.Log,
		view:                  view,
		changes:               make(chan membership.Change, changesBufferSize),
		announcedLeaves:       map[string]uint64{},
		swimIncarnations:      map[string]uint32{},
		suspectedIncarnations: map[string]uint32{},
		suspectSyncAt:         map[string]time.Duration{},
		suspectQueue:          make(chan string, suspectQueueLength),
		suspectSyncs:          map[string]bool{},
		stop:                  make(chan struct{}),
	}
	startTime := opts.StartTime
	if startTime.IsZero() {
		startTime = f.startedAt
	}
	f.meta.Store(&membership.Meta{
		Incarnation:   uint64(startTime.UnixMilli()),
		Version:       opts.Version,
		Hall:          opts.Hall,
		LedgerAddress: opts.LedgerAddress,
		ReplicaID:     opts.ReplicaID,
	})
	return f
}

// listen starts the transport, and memberlist on it.
func (f *Fleet) listen() error {
	config := f.memberlistConfig()
	ip, port, err := splitHostPort(f.opts.Bind)
	if err != nil {
		return err
	}
	transport, err := newTransport(f, ip.String(), port, config.TCPTimeout, config.Logger)
	if err != nil {
		return err
	}
	config.Transport, config.BindAddr, config.BindPort = transport, ip.String(), transport.GetAutoBindPort()
	if f.opts.Advertise != "" {
		ip, port, err := splitHostPort(f.opts.Advertise)
		if err != nil {
			return errors.Join(err, transport.Shutdown())
		}
		config.AdvertiseAddr, config.AdvertisePort = ip.String(), port
	}
	if f.memberlist, err = memberlist.Create(config); err != nil {
		return errors.Join(err, transport.Shutdown())
	}
	return nil
}

// memberlistConfig returns memberlist's configuration without the transport and addresses, which listen sets.
func (f *Fleet) memberlistConfig() *memberlist.Config {
	opts := &f.opts
	config := memberlist.DefaultLANConfig()
	config.Name, config.Label = opts.Name, opts.Label
	config.ProbeInterval, config.ProbeTimeout = opts.ProbeInterval, opts.ProbeTimeout
	config.GossipInterval = opts.GossipInterval
	config.SuspicionMult = opts.SuspicionMult
	config.RetransmitMult = retransmitMult
	config.PushPullInterval = 0         // syncRandomMember does it, at an interval that keeps its cost constant
	config.SkipInboundLabelCheck = true // the transport checks labels and counts mismatches
	config.EnableCompression = false    // messages are small, and the transport decodes them
	config.GossipToTheDeadTime = opts.Membership.GoneAfter
	config.DeadNodeReclaimTime = opts.ProbeTimeout // then a dead member may restart at a new address
	// Long enough for a stream over the slowest link with which a member can still take part in the fleet,
	// because a suspicion of that member is refuted over a stream. Once Start has returned, only syncLoop and
	// the goroutines that it starts wait for streams.
	config.TCPTimeout = max(opts.ProbeTimeout*streamTimeoutMult, minStreamTimeout)
	config.Events, config.Conflict = (*eventDelegate)(f), (*eventDelegate)(f)
	config.Delegate, config.Merge, config.Alive = (*delegate)(f), (*delegate)(f), (*delegate)(f)
	config.Logger = log.New(&logWriter{f.log}, "", 0)
	return config
}

// Address returns the host:port at which this member gossips.
func (f *Fleet) Address() string { return f.memberlist.LocalNode().FullAddress().Addr }

// now returns the time by the view's clock: the monotonic time since newFleet.
func (f *Fleet) now() time.Duration { return time.Since(f.startedAt) }

// tickLoop passes the time to the view at intervals, until the member stops.
func (f *Fleet) tickLoop() {
	tick := time.NewTicker(max(f.opts.ProbeInterval/2, minTickInterval))
	defer tick.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-tick.C:
			f.mu.Lock()
			f.publish(f.view.Tick(f.now()))
			f.scheduleSuspectSyncs()
			f.mu.Unlock()
		}
	}
}

// Members returns the members in the current view, sorted by name.
func (f *Fleet) Members() []membership.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Snapshot()
}

// Changes returns the channel of the view's changes. While changesBufferSize of them wait for the reader,
// further ones are dropped and counted in Counters.LostChanges, so that a slow reader never blocks gossip.
func (f *Fleet) Changes() <-chan membership.Change { return f.changes }

// SetPhase publishes in this member's metadata whether it serves, drains or leaves. It waits until memberlist
// has finished gossiping the update, and returns an error if that takes longer than timeout.
func (f *Fleet) SetPhase(phase membership.Phase, timeout time.Duration) error {
	f.mu.Lock()
	meta := *f.meta.Load()
	meta.Phase = phase
	f.meta.Store(&meta)
	f.pendingUpdates++
	f.mu.Unlock()
	return f.memberlist.UpdateNode(timeout)
}

// Leave announces that this member leaves, waits up to timeout for the announcement to spread, and stops this
// member. It returns memberlist's error if the leave did not spread in time; the member is stopped in either
// case. After an earlier Leave or Close it does nothing and returns nil.
func (f *Fleet) Leave(timeout time.Duration) error {
	var err error
	f.once.Do(func() {
		if err := f.SetPhase(membership.Leaving, timeout/4); err != nil {
			f.log.Debug("fleet: phase not sent to all", "err", err)
		}
		f.announceLeave()
		err = f.memberlist.Leave(timeout / 2)
		close(f.stop)
		f.goroutines.Wait()
		f.shutdown()
	})
	return err
}

// announceLeave sends each live member a leaveMessage, because gossip of the Leaving phase may reach a member
// only after gossip of the leave, which that member would then take for a failure.
func (f *Fleet) announceLeave() {
	msg, err := json.Marshal(leaveMessage{Name: f.opts.Name, Incarnation: f.meta.Load().Incarnation})
	if err != nil {
		return
	}
	for _, node := range f.memberlist.Members() {
		if node.Name != f.opts.Name {
			_ = f.memberlist.SendBestEffort(node, msg) // a datagram, which may get lost anyway
		}
	}
}

// Close stops this member at once without announcing a leave, so that the others see it fail. After an
// earlier Leave or Close it does nothing.
func (f *Fleet) Close() {
	f.once.Do(func() {
		close(f.stop)
		f.goroutines.Wait()
		f.shutdown()
	})
}

// shutdown stops memberlist and its transport.
func (f *Fleet) shutdown() {
	if err := f.memberlist.Shutdown(); err != nil {
		f.log.Debug("fleet: shutdown", "err", err)
	}
}
