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
	changesBuffer      = 256
	suspectQueueLength = 64
)

// Fleet is this process as a member of the fleet, and its view of the others.
type Fleet struct {
	opts  Options
	ml    *memberlist.Memberlist
	start time.Time
	log   *slog.Logger

	meta atomic.Pointer[membership.Meta] // of this member; read under memberlist's locks

	mu       sync.Mutex
	view     *membership.View
	changes  chan membership.Change
	counters Counters

	conflictAddress     string            // where another process has this name, by the last join; "" for none
	announcedLeaves     map[string]uint64 // incarnations of members that announced to leave, by name
	previousIncarnation uint64            // the highest that others have of this name from before this start
	ownAddress          string            // where this member gossips; "" until its name is known to be free
	pendingUpdates      int               // own updates, not sent yet, that raise this member's SWIM incarnation

	// SWIM's incarnations, which are memberlist's own counts and not those of membership.Meta, by name.
	swimIncarnations      map[string]uint32 // as last gossiped alive
	suspectedIncarnations map[string]uint32 // of members that this one suspected by its own probes

	suspectSyncAt map[string]time.Duration // when to exchange states with a suspect, by name
	suspectQueue  chan string              // suspects to exchange states with, for syncLoop
	suspectSyncs  map[string]bool          // exchanges with suspects under way, by name

	traffic traffic // on the gossip port

	stop chan struct{}
	done sync.WaitGroup
	once sync.Once // of Leave or Close
}

// Start joins the fleet. It returns once this member listens and has attempted to join its seeds; those that
// do not answer are joined again every RejoinInterval, and their failure is logged, not returned. Errors: a
// wrong option, an address that can't be bound, a live member of the same name.
func Start(o Options) (*Fleet, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	view, err := membership.NewView(o.Membership, o.Name)
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		opts: o, start: time.Now(), log: o.Log, view: view, stop: make(chan struct{}),
		announcedLeaves: map[string]uint64{}, swimIncarnations: map[string]uint32{},
		suspectedIncarnations: map[string]uint32{}, changes: make(chan membership.Change, changesBuffer),
		suspectQueue:  make(chan string, suspectQueueLength),
		suspectSyncAt: map[string]time.Duration{}, suspectSyncs: map[string]bool{},
	}
	startTime := o.StartTime
	if startTime.IsZero() {
		startTime = f.start
	}
	f.meta.Store(&membership.Meta{Incarnation: uint64(startTime.UnixMilli()), Version: o.Version, Hall: o.Hall,
		LedgerAddress: o.LedgerAddress, ReplicaID: o.ReplicaID})
	if err := f.listen(); err != nil {
		return nil, fmt.Errorf("fleet.bind %s: %w", o.Bind, err)
	}
	f.log.Info("fleet: listening", "gossip", f.Address(), "label", o.Label)
	if len(o.Seeds) > 0 {
		f.join(o.Seeds)
	}
	if conflict := f.nameConflict(); conflict != "" && f.nameAnswersAt(conflict) {
		err := fmt.Errorf("fleet: the name %q is held by a live member at %s; names must be unique",
			o.Name, conflict)
		return nil, errors.Join(err, f.ml.Shutdown())
	}
	address := f.Address() // takes memberlist's lock: not under f.mu
	f.mu.Lock()
	f.ownAddress = address
	f.mu.Unlock()
	f.supersedePrevious()
	f.done.Add(2)
	go f.tickLoop()
	go f.syncLoop()
	return f, nil
}

// listen starts the transport, and memberlist on it.
func (f *Fleet) listen() error {
	c := f.memberlistConfig()
	ip, port, err := splitHostPort(f.opts.Bind)
	if err != nil {
		return err
	}
	t, err := newTransport(f, ip.String(), port, c.TCPTimeout, c.Logger)
	if err != nil {
		return err
	}
	c.Transport, c.BindAddr, c.BindPort = t, ip.String(), t.GetAutoBindPort()
	if f.opts.Advertise != "" {
		ip, port, err := splitHostPort(f.opts.Advertise)
		if err != nil {
			return errors.Join(err, t.Shutdown())
		}
		c.AdvertiseAddr, c.AdvertisePort = ip.String(), port
	}
	if f.ml, err = memberlist.Create(c); err != nil {
		return errors.Join(err, t.Shutdown())
	}
	return nil
}

// memberlistConfig is memberlist's configuration without what listen adds.
func (f *Fleet) memberlistConfig() *memberlist.Config {
	o := &f.opts
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label = o.Name, o.Label
	c.ProbeInterval, c.ProbeTimeout, c.GossipInterval = o.ProbeInterval, o.ProbeTimeout, o.GossipInterval
	c.SuspicionMult = o.SuspicionMult
	c.PushPullInterval = 0         // syncRandomMember does it, at a pace that keeps its cost flat
	c.SkipInboundLabelCheck = true // the transport checks the label, and counts
	c.EnableCompression = false    // messages are small, and the transport reads them
	// Each member sends an update RetransmitMult * ceil(log10(members + 1)) times. With memberlist's 4, one in
	// fifty members of a small fleet misses a refutation; with 8, one in three thousand.
	c.RetransmitMult = 8
	c.GossipToTheDeadTime = o.Membership.GoneAfter
	c.DeadNodeReclaimTime = o.ProbeTimeout // a restart under its name may come from a new address
	// A stream gets across the slowest link with which a member still takes part: a suspicion of it is refuted
	// over one. Only syncLoop and its goroutines wait for streams.
	c.TCPTimeout = max(o.ProbeTimeout*10, time.Second)
	c.Events, c.Conflict = (*eventDelegate)(f), (*eventDelegate)(f)
	c.Delegate, c.Merge = (*delegate)(f), (*delegate)(f)
	c.Logger = log.New(&logWriter{f.log}, "", 0)
	return c
}

// Address is the host:port at which this member gossips.
func (f *Fleet) Address() string { return f.ml.LocalNode().FullAddress().Addr }

// now is the view's clock: the monotonic time since the start.
func (f *Fleet) now() time.Duration { return time.Since(f.start) }

// tickLoop passes the time to the view at intervals, until the member stops.
func (f *Fleet) tickLoop() {
	defer f.done.Done()
	tick := time.NewTicker(max(f.opts.ProbeInterval/2, 20*time.Millisecond))
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
func (f *Fleet) SetPhase(p membership.Phase, timeout time.Duration) error {
	f.mu.Lock()
	m := *f.meta.Load()
	m.Phase = p
	f.meta.Store(&m)
	f.pendingUpdates++
	f.mu.Unlock()
	return f.ml.UpdateNode(timeout)
}

// Leave announces that this member leaves, waits up to timeout for the update to spread, and stops.
func (f *Fleet) Leave(timeout time.Duration) error {
	var err error
	f.once.Do(func() {
		if err := f.SetPhase(membership.Leaving, timeout/4); err != nil {
			f.log.Debug("fleet: phase not sent to all", "err", err)
		}
		f.announceLeave()
		err = f.ml.Leave(timeout / 2)
		close(f.stop)
		f.done.Wait()
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
	for _, n := range f.ml.Members() {
		if n.Name != f.opts.Name {
			_ = f.ml.SendBestEffort(n, msg) // a datagram, which may get lost anyway
		}
	}
}

// Close stops at once, without a leave.
func (f *Fleet) Close() {
	f.once.Do(func() {
		close(f.stop)
		f.done.Wait()
		f.shutdown()
	})
}

func (f *Fleet) shutdown() {
	if err := f.ml.Shutdown(); err != nil {
		f.log.Debug("fleet: shutdown", "err", err)
	}
}
