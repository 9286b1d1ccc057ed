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
	changesBuffer      = 256 // changes of the view that wait for a reader of Changes
	suspectQueueLength = 64  // suspects that wait for an exchange of states
	// retransmitMult times ceil(log10(members + 1)) is how often each member sends an update. With memberlist's
	// 4, one in fifty members of a small fleet misses a refutation; with 8, one in three thousand.
	retransmitMult = 8
	// minStreamTimeout and streamTimeouts, in probe timeouts, bound how long a stream may take.
	minStreamTimeout = time.Second
	streamTimeouts   = 10
	// minTickInterval is the least time between two ticks of the view.
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
	start      time.Time
	log        *slog.Logger

	meta atomic.Pointer[membership.Meta] // of this member; read under memberlist's locks

	mu       sync.Mutex
	view     *membership.View
	changes  chan membership.Change
	counters Counters

	conflictAddress     string            // where another process has this name, by the last join; "" for none
	announcedLeaves     map[string]uint64 // incarnations of members that announced to leave, by name
	previousIncarnation uint64            // the highest that others had of this name, from before this start
	ownAddress          string            // where this member gossips; "" until its name is known to be free
	pendingUpdates      int               // own updates, not sent yet, that raise this member's SWIM incarnation

	// SWIM's incarnations, which are memberlist's own counts and not those of membership.Meta, by name.
	swimIncarnations      map[string]uint32 // as last gossiped alive
	suspectedIncarnations map[string]uint32 // of members that this one suspected by its own probes

	suspectSyncAt map[string]time.Duration // when to exchange states with a suspect, by name
	suspectQueue  chan string              // suspects to exchange states with, for syncLoop
	suspectSyncs  map[string]bool          // exchanges with suspects under way, by name

	traffic traffic // on the gossip port

	stop       chan struct{} // closed by Leave or Close
	goroutines sync.WaitGroup
	once       sync.Once // of Leave or Close
}

// Start joins the fleet. It returns once this member listens and has attempted to join its seeds; those that
// do not answer are joined again every RejoinInterval, and their failure is logged, not returned. Errors: a
// wrong option, an address that can't be bound, a live member of the same name.
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
	address := f.Address() // takes memberlist's lock: not under f.mu
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
		start:                 time.Now(),
		log:                   opts.Log,
		view:                  view,
		changes:               make(chan membership.Change, changesBuffer),
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
		startTime = f.start
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

// memberlistConfig is memberlist's configuration without what listen adds.
func (f *Fleet) memberlistConfig() *memberlist.Config {
	opts := &f.opts
	config := memberlist.DefaultLANConfig()
	config.Name, config.Label = opts.Name, opts.Label
	config.ProbeInterval, config.ProbeTimeout = opts.ProbeInterval, opts.ProbeTimeout
	config.GossipInterval = opts.GossipInterval
	config.SuspicionMult = opts.SuspicionMult
	config.RetransmitMult = retransmitMult
	config.PushPullInterval = 0         // syncRandomMember does it, at a pace that keeps its cost flat
	config.SkipInboundLabelCheck = true // the transport checks the label, and counts
	config.EnableCompression = false    // messages are small, and the transport reads them
	config.GossipToTheDeadTime = opts.Membership.GoneAfter
	config.DeadNodeReclaimTime = opts.ProbeTimeout // a restart under its name may come from a new address
	// A stream gets across the slowest link with which a member still takes part: a suspicion of it is refuted
	// over one. Only syncLoop and its goroutines wait for streams.
	config.TCPTimeout = max(opts.ProbeTimeout*streamTimeouts, minStreamTimeout)
	config.Events, config.Conflict = (*eventDelegate)(f), (*eventDelegate)(f)
	config.Delegate, config.Merge, config.Alive = (*delegate)(f), (*delegate)(f), (*delegate)(f)
	config.Logger = log.New(&logWriter{f.log}, "", 0)
	return config
}

// Address is the host:port at which this member gossips.
func (f *Fleet) Address() string { return f.memberlist.LocalNode().FullAddress().Addr }

// now is the view's clock: the monotonic time since the start.
func (f *Fleet) now() time.Duration { return time.Since(f.start) }

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

// Members is the view as it is now, by name.
func (f *Fleet) Members() []membership.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Snapshot()
}

// Changes is the stream of the view's changes. A reader that falls behind by changesBuffer loses changes,
// which Counters.LostChanges counts; it never blocks the gossip.
func (f *Fleet) Changes() <-chan membership.Change { return f.changes }

// SetPhase publishes whether this member serves, drains or leaves. It returns once the update was sent to all
// members, or with an error after timeout.
func (f *Fleet) SetPhase(phase membership.Phase, timeout time.Duration) error {
	f.mu.Lock()
	meta := *f.meta.Load()
	meta.Phase = phase
	f.meta.Store(&meta)
	f.pendingUpdates++
	f.mu.Unlock()
	return f.memberlist.UpdateNode(timeout)
}

// Leave announces that this member leaves, waits up to timeout for the update to spread, and stops. The error
// is memberlist's if the leave did not spread in time; the member has stopped all the same. After Leave or
// Close it does nothing and returns nil.
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

// announceLeave sends each live member a leaveMessage. Gossip of the new phase may reach some after the leave
// itself, which would then look like a failure.
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

// Close stops at once, without a leave: to the others this member fails. After Leave or Close it does
// nothing.
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
