package clusterrig

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"cresshub/internal/childprocess"
	"cresshub/internal/testbed/faultnet"
	"cresshub/internal/testbed/loopback"
	"cresshub/internal/testbed/proxystandin"
)

const (
	startTimeout        = 20 * time.Second // until a process is ready
	stopTimeout         = 10 * time.Second // until a process has ended after SIGTERM
	rebindAttempts      = 3                // at the address of the earlier incarnation
	rebindInterval      = 100 * time.Millisecond
	maxConcurrentStarts = 12 // processes
)

// Options describe a rig.
type Options struct {
	Program    string   // path of the proxy's binary
	Dir        string   // folder for the members' files and data
	Members    int      // named m-0, m-1, ...
	Halls      []string // members are in them in turn; none is one hall
	Standalone bool     // members don't know each other: no [fleet]
	FleetTOML  string   // keys of [fleet] beside bind, seeds and relay, as TOML
	ExtraTOML  string   // TOML appended to each member's file; {data} is its data folder, {sink} the sink
	Seeds      int      // the first members, which the others join by; 0 is 1
	Relay      bool     // gossip and the ledger go through a faulty network
	Seed       uint64   // of losses and jitter
	Zones      int      // stand-in zone servers behind the members
	Sink       bool     // with a stand-in for the billing sink
	Log        io.Writer
}

// Rig is a set of processes and the network between them.
type Rig struct {
	Net       *faultnet.Net // nil without Options.Relay
	Discovery *proxystandin.Discovery
	Members   []*Member
	Zones     *proxystandin.Fleet // nil without Options.Zones
	Sink      *proxystandin.Sink  // nil without Options.Sink

	opts Options
	// label keeps the members apart from those of other rigs, which have the same names: a member may get a
	// gossip port at which members of another rig still look for one of theirs that was killed.
	label string
	host  string // the IP at which members listen for clients and operators; no other process listens there
	log   *lockedWriter
}

// newLabel draws a label. It is as long as the default one, so that traffic is measured as in a deployment.
func newLabel() string { return fmt.Sprintf("%08x", rand.Uint32()) }

// lockedWriter lets several processes log to one writer.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (l *lockedWriter) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(b)
}

// Start starts the stand-ins and the members: the seeds one after the other, then the others concurrently.
func Start(ctx context.Context, o Options) (*Rig, error) {
	r := &Rig{opts: o, label: newLabel(), host: loopback.DrawIP()}
	if o.Log != nil {
		r.log = &lockedWriter{w: o.Log}
	}
	for number := range o.Members {
		r.addMember(number)
	}
	err := r.startStandIns()
	if err == nil {
		err = r.startMembers(ctx)
	}
	if err != nil {
		r.discard()
		return nil, err
	}
	return r, nil
}

// addMember adds the member of that number, which has no process yet.
func (r *Rig) addMember(number int) {
	m := &Member{Name: fmt.Sprintf("m-%d", number), state: Ended}
	m.Data = filepath.Join(r.opts.Dir, m.Name)
	if halls := r.opts.Halls; len(halls) > 0 {
		m.Hall = halls[number%len(halls)]
	}
	r.Members = append(r.Members, m)
}

// startStandIns starts the stand-ins and the faulty network that the options ask for.
func (r *Rig) startStandIns() (err error) {
	if r.opts.Zones > 0 {
		halls := r.opts.Halls
		if len(halls) == 0 {
			halls = []string{"hall"}
		}
		r.Zones, err = proxystandin.StartFleet(proxystandin.FleetOptions{Servers: r.opts.Zones, Halls: halls,
			Work: zoneWork, MaxQueued: 64, Seed: r.opts.Seed})
		if err != nil {
			return err
		}
		r.Discovery = r.Zones.Discovery
	} else if r.Discovery, err = proxystandin.StartDiscovery("127.0.0.1:0"); err != nil {
		return err
	}
	if r.opts.Sink {
		if r.Sink, err = proxystandin.StartSink("127.0.0.1:0"); err != nil {
			return err
		}
	}
	if r.opts.Relay {
		r.Net, err = faultnet.New(r.opts.Seed)
	}
	return err
}

func (r *Rig) startMembers(ctx context.Context) error {
	seeds := r.seeds()
	for _, m := range seeds {
		if err := r.Spawn(ctx, m, Unchanged); err != nil {
			return err
		}
	}
	return r.SpawnAll(ctx, r.Members[len(seeds):])
}

// seeds are the members that the others join by.
func (r *Rig) seeds() []*Member { return r.Members[:min(max(r.opts.Seeds, 1), len(r.Members))] }

// SpawnAll starts several members concurrently.
func (r *Rig) SpawnAll(ctx context.Context, ms []*Member) error {
	var g errgroup.Group
	g.SetLimit(maxConcurrentStarts)
	for _, m := range ms {
		g.Go(func() error { return r.Spawn(ctx, m, Unchanged) })
	}
	return g.Wait()
}

// Change is what a start changes about a member.
type Change int

// What a start can change.
const (
	Unchanged  Change = iota // the gossip address and disk of its earlier incarnation, if it had one
	NewAddress               // another gossip address
	EmptyDisk                // its data folder is deleted first
)

// Spawn starts a member's process and waits until it is ready. If another process has taken the gossip port
// of its earlier incarnation meanwhile, which happens on a busy machine, it gossips at a new address.
func (r *Rig) Spawn(ctx context.Context, m *Member, change Change) error {
	if state := m.State(); state == Up || state == Paused {
		return fmt.Errorf("%s runs", m.Name)
	}
	if change == EmptyDisk {
		if err := os.RemoveAll(m.Data); err != nil {
			return err
		}
	}
	if change == NewAddress {
		return r.start(ctx, m, true)
	}
	err := r.start(ctx, m, false)
	for range rebindAttempts {
		if !isAddressInUse(err) {
			return err
		}
		time.Sleep(rebindInterval)
		err = r.start(ctx, m, false)
	}
	if err != nil {
		return r.start(ctx, m, true)
	}
	return nil
}

// isAddressInUse reports whether a process ended at its start as its address was taken, which only its log
// tells.
func isAddressInUse(err error) bool {
	return err != nil && strings.Contains(err.Error(), syscall.EADDRINUSE.Error())
}

// start starts a member's process once; moved lets it gossip at another address.
func (r *Rig) start(ctx context.Context, m *Member, moved bool) error {
	if err := os.MkdirAll(m.Data, 0o700); err != nil {
		return err
	}
	file := r.configurationFile(m)
	text, err := r.configuration(m, moved)
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var log io.Writer
	if r.log != nil {
		log = r.log
	}
	process, err := childprocess.Start(ctx, r.opts.Program, file, nil, log)
	if err != nil {
		return fmt.Errorf("%s: %w", m.Name, err)
	}
	m.process = process
	m.Gossip, m.Admin, m.Listen = process.Field("gossip"), process.Field("operator"), process.Field("listen")
	m.setState(Up)
	if r.Net == nil {
		return nil
	}
	if m.Ledger = process.Field("ledger"); m.Ledger != "" {
		if err := r.Net.AddAddress(m.Name, m.Ledger); err != nil {
			return err
		}
	}
	return r.Net.AddAddress(m.Name, m.Gossip)
}

// Member returns the member of that name, nil where there is none.
func (r *Rig) Member(name string) *Member {
	i := slices.IndexFunc(r.Members, func(m *Member) bool { return m.Name == name })
	if i < 0 {
		return nil
	}
	return r.Members[i]
}

// Kill ends members with SIGKILL, all at once, and waits until they have ended.
func (r *Rig) Kill(ms ...*Member) {
	for _, m := range ms {
		_ = m.process.Signal(syscall.SIGKILL) // fails only for a process that has ended
		m.setState(Killed)
	}
	for _, m := range ms {
		m.process.Kill()
	}
}

// Pause stops a running member's process with SIGSTOP.
func (r *Rig) Pause(m *Member) error { return r.signal(m, syscall.SIGSTOP, Up, Paused) }

// Resume continues a paused member's process.
func (r *Rig) Resume(m *Member) error { return r.signal(m, syscall.SIGCONT, Paused, Up) }

// signal sends a signal to a member in state from and records its new state.
func (r *Rig) signal(m *Member, s syscall.Signal, from, to State) error {
	if is := m.State(); is != from {
		return fmt.Errorf("%s is %s, not %s", m.Name, is, from)
	}
	m.setState(to)
	return m.process.Signal(s)
}

// Term ends a member with SIGTERM. onSignalled, which may be nil, is called after the signal and before the
// process has ended.
func (r *Rig) Term(m *Member, onSignalled func()) error {
	if err := r.signal(m, syscall.SIGTERM, Up, Ended); err != nil {
		return err
	}
	if onSignalled != nil {
		onSignalled()
	}
	return m.process.Stop(stopTimeout)
}

// Close ends every process that still runs, the network and the stand-ins. The error names the members that
// ended by themselves.
func (r *Rig) Close() error {
	var errs []error
	for _, m := range r.Members {
		if m.process == nil {
			continue
		}
		select {
		case <-m.process.Ended():
			if m.State() == Up {
				errs = append(errs, fmt.Errorf("%s ended by itself:\n%s", m.Name, m.Log()))
			}
		default:
			m.process.Kill()
		}
	}
	if r.Net != nil {
		r.Net.Close()
	}
	if r.Discovery != nil {
		r.Discovery.Close()
	}
	if r.Sink != nil {
		r.Sink.Close()
	}
	if r.Zones != nil {
		r.Zones.Close()
	}
	return errors.Join(errs...)
}

// discard closes a rig whose members may have ended by themselves: what they failed to do shows in the
// results.
func (r *Rig) discard() { _ = r.Close() }
