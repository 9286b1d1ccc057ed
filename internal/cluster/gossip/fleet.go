// Package gossip keeps this proxy's view of the other proxies: SWIM membership on
// github.com/hashicorp/memberlist (Das, Gupta and Motivala, DSN 2002, with Lifeguard's refinements), the
// view's decisions in package membership, and the I/O around both: join by seeds, metadata, re-joins that
// heal partitions, a graceful leave.
//
// The view is read by Snapshot (members by name, each with its state and the age of that state in
// milliseconds) and followed by Changes (a bounded stream; a reader that falls behind loses changes, never
// blocks the gossip, and sees the count of lost ones in Counters).
package gossip

import (
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"cresshub/internal/cluster/membership"
)

// Options are what a fleet member is told; Check says what is wrong with them.
type Options struct {
	Name          string
	Bind          string   // host:port for gossip, UDP and TCP; port 0 lets the system choose
	Advertise     string   // host:port others reach this member at; "" is Bind
	Seeds         []string // host:port of members to join by
	Label         string   // members of another label are refused; may be empty
	Version       string
	Hall          string
	LedgerAddress string // where this member is reached for what it holds for others; "" where it holds nothing
	ReplicaID     uint64 // identity of the disk it holds that on

	ProbeInterval         time.Duration // between probes of one member
	ProbeTimeout          time.Duration // for the answer to one probe
	GossipInterval        time.Duration // between rounds of gossip
	SuspicionMult         int           // suspicion lasts SuspicionMult * log(N+1) * Probe
	RejoinInterval        time.Duration // between tries to join seeds and lately dead members
	SyncIntervalPerMember time.Duration // between full exchanges of state, times the members known
	Relay                 string        // host:port of a SOCKS5 relay for all gossip; tests and laboratory only
	Membership            membership.Settings

	// StartTime is the wall time that the incarnation is taken from; zero is now. Tests set a clock back with
	// it.
	StartTime time.Time

	Log *slog.Logger
}

// Check tells what is wrong with the options, naming the key.
func (o *Options) Check() error {
	if _, _, err := splitHostPort(o.Bind); err != nil {
		return fmt.Errorf("fleet.bind: %w", err)
	}
	if o.Advertise != "" {
		if _, port, err := splitHostPort(o.Advertise); err != nil || port == 0 {
			return fmt.Errorf("fleet.advertise: %q is no host and port that others can reach", o.Advertise)
		}
	}
	for _, s := range o.Seeds {
		if _, port, err := splitHostPort(s); err != nil || port == 0 {
			return fmt.Errorf("fleet.seeds: %q is no host and port", s)
		}
	}
	if o.ProbeTimeout >= o.ProbeInterval {
		return fmt.Errorf("fleet.probe_timeout %v must be below fleet.probe %v", o.ProbeTimeout, o.ProbeInterval)
	}
	if o.SyncIntervalPerMember <= 0 {
		return errors.New("fleet.sync_each must be above zero")
	}
	if o.Relay != "" {
		if ip, port, err := splitHostPort(o.Relay); err != nil || port == 0 || ip.To4() == nil {
			return fmt.Errorf("fleet.relay: %q is no IPv4 address and port", o.Relay)
		}
	}
	if err := o.Membership.Check(); err != nil {
		return fmt.Errorf("fleet.%w", err)
	}
	return nil
}

func splitHostPort(s string) (net.IP, int, error) {
	host, port, err := net.SplitHostPort(s)
	if err != nil {
		return nil, 0, err
	}
	ip := net.ParseIP(host)
	if ip == nil {
		return nil, 0, fmt.Errorf("%q is no IP address", host)
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, 0, fmt.Errorf("%q is no port", port)
	}
	return ip, int(n), nil
}

// Fleet is this member of the fleet.
type Fleet struct {
	opts  Options
	ml    *memberlist.Memberlist
	start time.Time
	log   *slog.Logger

	meta atomic.Pointer[membership.Meta] // what this member says of itself; read under memberlist's locks

	mu                  sync.Mutex
	view                *membership.View
	changes             chan membership.Change
	counters            Counters
	conflictAddress     string            // an address that a member holds our name at, as told by the last join
	announcedLeaves     map[string]uint64 // members that said they leave, by name, with their incarnation
	swimIncarnations    map[string]uint32 // SWIM's incarnation of each member, as last gossiped alive
	suspectedAt         map[string]uint32 // SWIM's incarnation of members this one suspected by itself
	previousIncarnation uint64            // the highest that others have of this name from before this start
	ownAddress          string            // where this member gossips; "" until its name is known to be free
	pendingUpdates      int               // own updates, not yet sent, that raise its SWIM incarnation

	traffic traffic // what passes on the gossip port

	suspectSyncAt map[string]time.Duration // when a member that is held suspect is asked
	suspectQueue  chan string              // members to be asked, for the worker
	suspectSyncs  map[string]bool          // members that are asked now
	stop          chan struct{}
	done          sync.WaitGroup
	once          sync.Once
}

// Counters are what this member has seen since its start.
type Counters struct {
	Joins, Restarts, Changes, Gone, Returned, Forgotten int
	Conflicts, Refused, Rejoins, Syncs, LostChanges     int
	MetaRefused                                         int // metadata of others that did not decode
	MessagesRefused                                     int // messages of others that did not decode

	Probes         int // probes of members sent
	IndirectProbes int // asked of other members after a probe without an answer
	Suspicions     int // raised by this member's own probes
	Suspected      int // members this view held suspect, whoever raised it
	Refutations    int // of suspicions against this member, by itself
	Refuted        int // suspicions in this view that their member refuted
	Asked          int // suspects asked over a stream

	PacketsIn, PacketsOut, StreamsIn, StreamsOut int64
	BytesIn, BytesOut                            int64 // of datagrams and streams, labels included
	WireRefused                                  int64 // datagrams and streams that cannot be
	OtherLabel                                   int64 // datagrams and streams of another fleet
}

// Start joins the fleet. It returns once this member listens; seeds that do not answer are tried again
// every Rejoin, and their failure is logged, not returned. Errors: bad options, an address that cannot be
// bound, or another live member that holds the name.
func Start(o Options) (*Fleet, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	view, err := membership.NewView(o.Membership, o.Name)
	if err != nil {
		return nil, err
	}
	f := &Fleet{opts: o, start: time.Now(), log: o.Log, view: view, stop: make(chan struct{}),
		announcedLeaves: map[string]uint64{}, swimIncarnations: map[string]uint32{},
		suspectedAt: map[string]uint32{},
		changes:     make(chan membership.Change, 256), suspectQueue: make(chan string, 64),
		suspectSyncAt: map[string]time.Duration{}, suspectSyncs: map[string]bool{}}
	if o.StartTime.IsZero() {
		o.StartTime = f.start
	}
	f.meta.Store(&membership.Meta{Incarnation: uint64(o.StartTime.UnixMilli()), Version: o.Version, Hall: o.Hall,
		LedgerAddress: o.LedgerAddress, ReplicaID: o.ReplicaID})
	c := f.memberlistConfig()
	ip, port, _ := splitHostPort(o.Bind)
	t, err := newTransport(f, ip.String(), port, c.TCPTimeout, c.Logger)
	if err != nil {
		return nil, fmt.Errorf("fleet.bind %s: %w", o.Bind, err)
	}
	c.Transport, c.BindAddr, c.BindPort = t, ip.String(), t.GetAutoBindPort()
	if o.Advertise != "" {
		aip, aport, _ := splitHostPort(o.Advertise)
		c.AdvertiseAddr, c.AdvertisePort = aip.String(), aport
	}
	if f.ml, err = memberlist.Create(c); err != nil {
		t.Shutdown()
		return nil, fmt.Errorf("fleet.bind %s: %w", o.Bind, err)
	}
	f.log.Info("fleet: listening", "gossip", f.Address(), "label", o.Label)
	if len(o.Seeds) > 0 {
		f.join(o.Seeds)
	}
	if conflict := f.nameConflict(); conflict != "" && f.nameAnswersAt(conflict) {
		f.ml.Shutdown()
		return nil, fmt.Errorf("fleet: the name %q is held by a live member at %s; names must be unique",
			o.Name, conflict)
	}
	address := f.Address() // not under f.mu
	f.mu.Lock()
	f.ownAddress = address
	f.mu.Unlock()
	f.supersedePrevious()
	f.done.Add(2)
	go f.tickLoop()
	go f.syncLoop()
	return f, nil
}

// memberlistConfig are memberlist's, from the options.
func (f *Fleet) memberlistConfig() *memberlist.Config {
	o := &f.opts
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label = o.Name, o.Label
	c.ProbeInterval, c.ProbeTimeout, c.GossipInterval = o.ProbeInterval, o.ProbeTimeout, o.GossipInterval
	c.SuspicionMult = o.SuspicionMult
	c.PushPullInterval = 0         // f.sync does it, at a pace that keeps its cost flat
	c.SkipInboundLabelCheck = true // the transport checks the label, and counts
	c.EnableCompression = false    // messages are small, and the transport reads them
	// News goes out RetransmitMult * ceil(log10(members + 1)) times by each member. memberlist's 4 lets one in
	// fifty members of a small fleet miss a refutation; 8 one in three thousand.
	c.RetransmitMult = 8
	c.GossipToTheDeadTime = o.Membership.GoneAfter
	c.DeadNodeReclaimTime = o.ProbeTimeout // a restart under its name at a new address is let in
	// A stream crosses the slowest link that a member may have and still take part: a suspicion of one with
	// slow links is refuted over it. The worker alone waits for it.
	c.TCPTimeout = max(o.ProbeTimeout*10, time.Second)
	c.Events, c.Conflict = (*eventDelegate)(f), (*eventDelegate)(f)
	c.Delegate, c.Merge = (*delegate)(f), (*delegate)(f)
	c.Logger = log.New(&logWriter{f.log}, "", 0)
	return c
}

// Address is where this member gossips.
func (f *Fleet) Address() string { return f.ml.LocalNode().FullAddress().Addr }

// now is the monotonic time since the start, the module's clock.
func (f *Fleet) now() time.Duration { return time.Since(f.start) }

// tickLoop lets the view's time pass.
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

// Changes is the stream of changes of the view.
func (f *Fleet) Changes() <-chan membership.Change { return f.changes }

// SetPhase tells the fleet that this member serves, drains or leaves; it returns once the news is sent
// to all or timeout passed.
func (f *Fleet) SetPhase(p membership.Phase, timeout time.Duration) error {
	f.mu.Lock()
	m := *f.meta.Load()
	m.Phase = p
	f.meta.Store(&m)
	f.pendingUpdates++
	f.mu.Unlock()
	return f.ml.UpdateNode(timeout)
}

// Leave tells the fleet that this member goes, waits up to timeout for the news to spread, and stops.
func (f *Fleet) Leave(timeout time.Duration) error {
	var err error
	f.once.Do(func() {
		f.SetPhase(membership.Leaving, timeout/4)
		// Gossip of the new phase may reach some after the leave itself, which they would take for a death:
		// each live member is told at once, by one datagram, before the leave.
		msg, _ := json.Marshal(leaveMessage{Name: f.opts.Name, Incarnation: f.meta.Load().Incarnation})
		for _, n := range f.ml.Members() {
			if n.Name != f.opts.Name {
				f.ml.SendBestEffort(n, msg)
			}
		}
		err = f.ml.Leave(timeout / 2)
		close(f.stop)
		f.done.Wait()
		f.ml.Shutdown()
	})
	return err
}

// Close stops at once, telling nobody.
func (f *Fleet) Close() {
	f.once.Do(func() {
		close(f.stop)
		f.done.Wait()
		f.ml.Shutdown()
	})
}
