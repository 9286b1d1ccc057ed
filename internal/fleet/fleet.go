// Package fleet keeps this proxy's view of the other proxies: SWIM membership on
// github.com/hashicorp/memberlist (Das, Gupta and Motivala, DSN 2002, with Lifeguard's refinements), the
// view's decisions in package membership, and the I/O around both: join by seeds, metadata, re-joins that
// heal partitions, a graceful leave.
//
// The view is read by Snapshot (members by name, each with its state and the age of that state in
// milliseconds) and followed by Changes (a bounded stream; a reader that falls behind loses changes, never
// blocks the gossip, and sees the count of lost ones in Counters).
package fleet

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"cresshub/internal/membership"
)

// Options are what a fleet member is told; Check says what is wrong with them.
type Options struct {
	Name      string
	Bind      string   // host:port for gossip, UDP and TCP; port 0 lets the system choose
	Advertise string   // host:port others reach this member at; "" is Bind
	Seeds     []string // host:port of members to join by
	Label     string   // members of another label are refused; may be empty
	Version   string
	Hall      string

	Probe         time.Duration // between probes of one member
	ProbeTimeout  time.Duration // for the answer to one probe
	Gossip        time.Duration // between rounds of gossip
	SuspicionMult int           // suspicion lasts SuspicionMult * log(N+1) * Probe
	Rejoin        time.Duration // between tries to join seeds and lately dead members
	View          membership.Settings

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
	if o.ProbeTimeout >= o.Probe {
		return fmt.Errorf("fleet.probe_timeout %v must be below fleet.probe %v", o.ProbeTimeout, o.Probe)
	}
	if err := o.View.Check(); err != nil {
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
	opt   Options
	ml    *memberlist.Memberlist
	start time.Time
	log   *slog.Logger

	meta atomic.Pointer[membership.Meta] // what this member says of itself; read under memberlist's locks

	mu       sync.Mutex
	view     *membership.View
	changes  chan membership.Change
	counts   Counters
	conflict string            // a live member that holds our name, as told at the start
	joining  bool              // Start is joining the seeds
	left     map[string]uint64 // members that said they leave, by name, with their incarnation

	stop chan struct{}
	done sync.WaitGroup
	once sync.Once
}

// Counters are what this member has seen since its start.
type Counters struct {
	Joins, Restarts, Changes, Gone, Returned, Forgotten int
	Conflicts, Refused, Rejoins, LostChanges            int
	MetaRefused                                         int // metadata of others that did not decode
	MessagesRefused                                     int // messages of others that did not decode
}

// Start joins the fleet. It returns once this member listens; seeds that do not answer are tried again
// every Rejoin, and their failure is logged, not returned. Errors: bad options, an address that cannot be
// bound, or another live member that holds the name.
func Start(o Options) (*Fleet, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	view, err := membership.New(o.View, o.Name)
	if err != nil {
		return nil, err
	}
	f := &Fleet{opt: o, start: time.Now(), log: o.Log, view: view, stop: make(chan struct{}),
		left:    map[string]uint64{},
		changes: make(chan membership.Change, 256)}
	f.meta.Store(&membership.Meta{Incarnation: uint64(f.start.UnixMilli()), Version: o.Version, Hall: o.Hall})
	c := memberlist.DefaultLANConfig()
	c.Name = o.Name
	ip, port, _ := splitHostPort(o.Bind)
	c.BindAddr, c.BindPort = ip.String(), port
	if o.Advertise != "" {
		aip, aport, _ := splitHostPort(o.Advertise)
		c.AdvertiseAddr, c.AdvertisePort = aip.String(), aport
	}
	c.Label = o.Label
	c.ProbeInterval, c.ProbeTimeout, c.GossipInterval = o.Probe, o.ProbeTimeout, o.Gossip
	c.SuspicionMult = o.SuspicionMult
	c.PushPullInterval = max(4*o.Probe, 2*time.Second)
	c.GossipToTheDeadTime = o.View.GoneAfter
	c.DeadNodeReclaimTime = o.ProbeTimeout // a restart under its name at a new address is let in
	c.TCPTimeout = max(o.ProbeTimeout*2, 200*time.Millisecond)
	c.Events, c.Delegate, c.Conflict = (*events)(f), (*delegate)(f), (*events)(f)
	c.Logger = log.New(&gossipLog{f.log}, "", 0)
	if f.ml, err = memberlist.Create(c); err != nil {
		return nil, fmt.Errorf("fleet.bind %s: %w", o.Bind, err)
	}
	f.log.Info("fleet: listening", "gossip", f.Address(), "label", o.Label)
	f.mu.Lock()
	f.joining = true
	f.mu.Unlock()
	if len(o.Seeds) > 0 {
		f.join(o.Seeds)
	}
	f.mu.Lock()
	conflict := f.conflict
	f.joining = false
	f.mu.Unlock()
	if conflict != "" {
		f.ml.Shutdown()
		return nil, fmt.Errorf("fleet: the name %q is held by a live member at %s; names must be unique",
			o.Name, conflict)
	}
	f.done.Add(1)
	go f.loop()
	return f, nil
}

// Address is where this member gossips.
func (f *Fleet) Address() string { return f.ml.LocalNode().FullAddress().Addr }

// now is the monotonic time since the start, the module's clock.
func (f *Fleet) now() time.Duration { return time.Since(f.start) }

func (f *Fleet) join(addresses []string) int {
	n, err := f.ml.Join(addresses)
	if err != nil && n == 0 {
		f.log.Debug("fleet: join found nobody", "tried", len(addresses), "err", err)
	}
	return n
}

// loop lets the view's time pass and joins seeds and lately dead members again now and then.
func (f *Fleet) loop() {
	defer f.done.Done()
	tick := time.NewTicker(max(f.opt.Probe/2, 20*time.Millisecond))
	defer tick.Stop()
	rejoin := time.NewTimer(f.opt.Rejoin)
	defer rejoin.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-tick.C:
			f.poll()
		case <-rejoin.C:
			f.rejoin()
			// Spread over ±25% so that members of a fleet started at once do not call at once.
			rejoin.Reset(f.opt.Rejoin*3/4 + rand.N(f.opt.Rejoin/2+1))
		}
	}
}

// poll lets the view's time pass. memberlist tells no delegate of a suspicion, and the State of the nodes
// it lists is never set, so the view holds alive, dead and left alone.
func (f *Fleet) poll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tell(f.view.Tick(f.now()))
}

// rejoin tries the seeds, or one lately dead member, as serf's reconnect does: after a partition outlasts
// the dead timeout, each half holds the other dead and memberlist alone never probes it again.
func (f *Fleet) rejoin() {
	f.mu.Lock()
	dead := f.view.Recent()
	f.mu.Unlock()
	var try []string
	if len(dead) > 0 {
		try = append(try, dead[rand.N(len(dead))].Address)
	}
	if f.ml.NumMembers() <= 1 || len(dead) > 0 {
		try = append(try, f.opt.Seeds...)
	}
	if len(try) == 0 {
		return
	}
	if n := f.join(try); n > 0 && len(dead) > 0 {
		f.mu.Lock()
		f.counts.Rejoins++
		f.mu.Unlock()
	}
}

// observe hands one observation to the view; f.mu is held.
func (f *Fleet) observe(now time.Duration, n *memberlist.Node, status membership.Status) {
	var meta membership.Meta
	if err := decodeMeta(n.Meta, &meta); err != nil {
		f.counts.MetaRefused++
		f.log.Warn("fleet: metadata of a member does not decode", "member", n.Name, "err", err)
		return
	}
	f.tell(f.view.Observe(now, membership.Observation{
		Name: n.Name, Address: n.Address(), Status: status, Meta: meta,
	}))
}

// tell logs and streams changes; f.mu is held.
func (f *Fleet) tell(changes []membership.Change) {
	for _, c := range changes {
		switch c.Kind {
		case membership.Joined:
			f.counts.Joins++
		case membership.Restarted:
			f.counts.Restarts++
		case membership.Changed:
			f.counts.Changes++
		case membership.WentAway:
			f.counts.Gone++
		case membership.Returned:
			f.counts.Returned++
		case membership.Forgotten:
			f.counts.Forgotten++
		case membership.Conflict:
			f.counts.Conflicts++
		case membership.Refused:
			f.counts.Refused++
		}
		m := c.Member
		level := slog.LevelInfo
		if c.Kind == membership.Conflict || c.Kind == membership.Refused {
			level = slog.LevelWarn
		}
		f.log.Log(nil, level, "fleet: member "+c.Kind.String(), "member", m.Name, "address", m.Address,
			"status", m.Status.String(), "was", c.Was.String(), "phase", m.Meta.Phase.String(),
			"incarnation", m.Meta.Incarnation, "gone", m.Gone)
		select {
		case f.changes <- c:
		default:
			f.counts.LostChanges++
		}
	}
}

// Changes is the stream of changes of the view.
func (f *Fleet) Changes() <-chan membership.Change { return f.changes }

// SetPhase tells the fleet that this member serves, drains or leaves; it returns once the news is sent
// to all or timeout passed.
func (f *Fleet) SetPhase(p membership.Phase, timeout time.Duration) error {
	m := *f.meta.Load()
	m.Phase = p
	f.meta.Store(&m)
	return f.ml.UpdateNode(timeout)
}

// Leave tells the fleet that this member goes, waits up to timeout for the news to spread, and stops.
func (f *Fleet) Leave(timeout time.Duration) error {
	var err error
	f.once.Do(func() {
		f.SetPhase(membership.Leaving, timeout/4)
		// Gossip of the new phase may reach some after the leave itself, which they would take for a death:
		// each live member is told at once, by one datagram, before the leave.
		say, _ := json.Marshal(leaving{Name: f.opt.Name, Incarnation: f.meta.Load().Incarnation})
		for _, n := range f.ml.Members() {
			if n.Name != f.opt.Name {
				f.ml.SendBestEffort(n, say)
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

// wireMeta is the metadata's form on the wire, JSON, at most memberlist.MetaMaxSize bytes.
type wireMeta struct {
	Incarnation uint64 `json:"inc"`
	Version     string `json:"ver,omitempty"`
	Hall        string `json:"hall,omitempty"`
	Phase       string `json:"phase"`
}

func encodeMeta(m membership.Meta) []byte {
	b, _ := json.Marshal(wireMeta{Incarnation: m.Incarnation, Version: m.Version, Hall: m.Hall,
		Phase: m.Phase.String()})
	return b
}

func decodeMeta(b []byte, m *membership.Meta) error {
	if len(b) == 0 {
		return errors.New("no metadata")
	}
	var w wireMeta
	if err := json.Unmarshal(b, &w); err != nil {
		return err
	}
	p, err := membership.ParsePhase(w.Phase)
	if err != nil {
		return err
	}
	*m = membership.Meta{Incarnation: w.Incarnation, Version: w.Version, Hall: w.Hall, Phase: p}
	return nil
}

// gossipLog takes memberlist's own log lines at debug, where nothing else wants them.
type gossipLog struct{ log *slog.Logger }

func (g *gossipLog) Write(p []byte) (int, error) {
	g.log.Debug("fleet: gossip", "says", string(bytes.TrimRight(p, "\r\n")))
	return len(p), nil
}
