// Package clusterrig starts several processes of the program on loopback, puts a faulty network between them
// and acts on them (kill, pause, end, restart), and follows what each says of the others. Tests use it in
// code; `cresshub rig` plays scenarios with it.
//
// All ports are chosen by the system, every wait has a bound, and Close ends every process it started.
package clusterrig

import (
	"context"
	"errors"
	"fmt"
	"io"
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
	"cresshub/internal/testbed/proxystandin"
)

const (
	startTimeout        = 20 * time.Second // of one process
	stopTimeout         = 10 * time.Second // of one process after SIGTERM
	maxConcurrentStarts = 12               // processes started at a time
)

// classes are what every member serves.
const classes = `[[class]]
name = "zone-lookup"
aim = "600ms"
deadline = "1500ms"
effect = "idempotent"
[[class]]
name = "rider-assign"
aim = "500ms"
deadline = "2s"
effect = "at_most_once"
`

// zoneWork is what requests cost the zone servers: little, as they are not what is tried here.
var zoneWork = map[string]time.Duration{"zone-lookup": time.Millisecond, "rider-assign": time.Millisecond}

// Options are what a rig is made of.
type Options struct {
	Program    string   // path of the proxy's binary
	Dir        string   // a folder of the rig's own, for files and data of members
	Members    int      // named m-0, m-1, ...
	Halls      []string // members stand in them in turn; none is one hall
	Standalone bool     // members know nothing of each other: no [fleet]
	FleetTOML  string   // keys of [fleet] beside bind, seeds and relay, as TOML
	ExtraTOML  string   // TOML appended to each member's file; {data} is its data folder, {sink} the sink
	Seeds      int      // how many members, counted from the first, are seeds of the others; 0 is 1
	Relay      bool     // gossip goes through a faulty network
	Seed       uint64   // of losses and jitter
	Zones      int      // zone servers that stand in behind the members
	Sink       bool     // a billing sink stands in
	Log        io.Writer
}

// State is what the rig did to a member's process.
type State string

const (
	Up     State = "up"
	Paused State = "paused"
	Killed State = "killed"
	Ended  State = "ended" // by SIGTERM
)

// Member is one process of the program, over all its lives.
type Member struct {
	Name   string
	Hall   string
	Data   string // its data folder, which outlives the process
	Gossip string // where it gossips
	Admin  string // its operators' door
	Listen string // its clients' address
	Ledger string // where it is reached for the ledger, if it takes part

	process *childprocess.Process

	mu     sync.Mutex // of what a look from another goroutine reads
	state  State
	admin  string
	listen string
}

// State is what the rig last did to it.
func (m *Member) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

func (m *Member) setState(s State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state, m.admin, m.listen = s, m.Admin, m.Listen
}

// Log is the end of its process's log.
func (m *Member) Log() string { return m.process.Tail() }

// Rig is the processes and the network between them.
type Rig struct {
	Net       *faultnet.Net // nil without a relay
	Discovery *proxystandin.Discovery
	Members   []*Member
	Zones     *proxystandin.Fleet // nil where there are none
	Sink      *proxystandin.Sink  // nil where there is none

	opts Options
	log  *lockedWriter
}

type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (l *lockedWriter) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(b)
}

// Start starts the members: the seeds first, one after the other, then the rest together.
func Start(ctx context.Context, o Options) (*Rig, error) {
	r := &Rig{opts: o}
	if o.Log != nil {
		r.log = &lockedWriter{w: o.Log}
	}
	var err error
	if o.Zones > 0 {
		halls := o.Halls
		if len(halls) == 0 {
			halls = []string{"hall"}
		}
		if r.Zones, err = proxystandin.StartFleet(proxystandin.FleetOptions{Servers: o.Zones, Halls: halls,
			Work:      zoneWork,
			MaxQueued: 64, Seed: o.Seed}); err != nil {
			return nil, err
		}
		r.Discovery = r.Zones.Discovery
	} else if r.Discovery, err = proxystandin.StartDiscovery("127.0.0.1:0"); err != nil {
		return nil, err
	}
	if o.Sink {
		if r.Sink, err = proxystandin.StartSink("127.0.0.1:0"); err != nil {
			r.Close()
			return nil, err
		}
	}
	if o.Relay {
		if r.Net, err = faultnet.New(o.Seed); err != nil {
			r.Close()
			return nil, err
		}
	}
	for i := range o.Members {
		m := &Member{Name: fmt.Sprintf("m-%d", i), state: Ended}
		m.Data = filepath.Join(o.Dir, m.Name)
		if len(o.Halls) > 0 {
			m.Hall = o.Halls[i%len(o.Halls)]
		}
		r.Members = append(r.Members, m)
	}
	seeds := min(max(o.Seeds, 1), o.Members)
	for _, m := range r.Members[:seeds] {
		if err = r.Spawn(ctx, m, false); err != nil {
			break
		}
	}
	if err == nil {
		err = r.SpawnAll(ctx, r.Members[seeds:])
	}
	if err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// SpawnAll starts several members together.
func (r *Rig) SpawnAll(ctx context.Context, ms []*Member) error {
	var g errgroup.Group
	g.SetLimit(maxConcurrentStarts)
	for _, m := range ms {
		g.Go(func() error { return r.Spawn(ctx, m, false) })
	}
	return g.Wait()
}

// Spawn starts a member's process and waits until it is ready. With moved it gossips at a new address,
// else where its earlier life did; where the system has given that port to somebody else meanwhile, which
// happens on a busy machine, it moves as well.
func (r *Rig) Spawn(ctx context.Context, m *Member, moved bool) error {
	err := r.spawn(ctx, m, moved)
	for range 3 {
		if err == nil || moved || !strings.Contains(err.Error(), "address already in use") {
			return err
		}
		time.Sleep(100 * time.Millisecond)
		err = r.spawn(ctx, m, false)
	}
	if err != nil {
		err = r.spawn(ctx, m, true)
	}
	return err
}

func (r *Rig) spawn(ctx context.Context, m *Member, moved bool) error {
	if s := m.State(); s == Up || s == Paused {
		return fmt.Errorf("%s runs", m.Name)
	}
	if err := os.MkdirAll(m.Data, 0o700); err != nil {
		return err
	}
	file := filepath.Join(r.opts.Dir, m.Name+".toml")
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
	p, err := childprocess.Start(ctx, r.opts.Program, file, nil, log)
	if err != nil {
		return fmt.Errorf("%s: %w", m.Name, err)
	}
	m.process = p
	m.Gossip, m.Admin, m.Listen = p.Field("gossip"), p.Field("operator"), p.Field("listen")
	m.setState(Up)
	if r.Net == nil {
		return nil
	}
	if m.Ledger = p.Field("ledger"); m.Ledger != "" {
		if err := r.Net.AddAddress(m.Name, m.Ledger); err != nil {
			return err
		}
	}
	return r.Net.AddAddress(m.Name, m.Gossip)
}

// configuration is a member's configuration.
func (r *Rig) configuration(m *Member, moved bool) (string, error) {
	bind := m.Gossip
	if bind == "" || moved {
		bind = "127.0.0.1:0"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\noperator = \"127.0.0.1:0\"\n", m.Name)
	if len(r.opts.Halls) > 0 {
		fmt.Fprintf(&b, "halls = [\"%s\"]\nkinds = [\"standard\", \"half-speed\"]\n[policy]\nhall = %q\n",
			strings.Join(r.opts.Halls, `", "`), m.Hall)
	}
	fmt.Fprintf(&b, "[listen]\naddress = \"127.0.0.1:0\"\n[discovery]\naddress = %q\n", r.Discovery.Address())
	fmt.Fprintf(&b, "[limits]\ncores = 1\n")
	if r.opts.Standalone {
		return b.String() + classes + r.opts.ExtraTOML, nil
	}
	fmt.Fprintf(&b, "[fleet]\nbind = %q\n%s\n", bind, r.opts.FleetTOML)
	var seeds []string
	for _, s := range r.Members[:min(max(r.opts.Seeds, 1), len(r.Members))] {
		if s != m && s.Gossip != "" {
			seeds = append(seeds, s.Gossip)
		}
	}
	if len(seeds) == 0 && m.Gossip != "" { // the only seed comes back: any other member will do
		for _, s := range r.Members {
			if s != m && s.State() == Up {
				seeds = append(seeds, s.Gossip)
				break
			}
		}
	}
	if len(seeds) > 0 {
		fmt.Fprintf(&b, "seeds = [\"%s\"]\n", strings.Join(seeds, `", "`))
	}
	if r.Net != nil {
		relay, err := r.Net.Relay(m.Name)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "relay = %q\n", relay)
	}
	b.WriteString(classes)
	extra := strings.ReplaceAll(r.opts.ExtraTOML, "{data}", m.Data)
	if r.Sink != nil {
		extra = strings.ReplaceAll(extra, "{sink}", r.Sink.Address())
	}
	b.WriteString(extra)
	return b.String(), nil
}

// Member returns the member of that name, nil where there is none.
func (r *Rig) Member(name string) *Member {
	i := slices.IndexFunc(r.Members, func(m *Member) bool { return m.Name == name })
	if i < 0 {
		return nil
	}
	return r.Members[i]
}

// Kill ends members with SIGKILL, at once, and waits for their ends.
func (r *Rig) Kill(ms ...*Member) {
	for _, m := range ms {
		m.process.Signal(syscall.SIGKILL)
		m.setState(Killed)
	}
	for _, m := range ms {
		m.process.Kill()
	}
}

// Pause stops a member's process with SIGSTOP, Resume has it go on.
func (r *Rig) Pause(m *Member) error  { return r.signal(m, syscall.SIGSTOP, Up, Paused) }
func (r *Rig) Resume(m *Member) error { return r.signal(m, syscall.SIGCONT, Paused, Up) }

func (r *Rig) signal(m *Member, s syscall.Signal, from, to State) error {
	if is := m.State(); is != from {
		return fmt.Errorf("%s is %s, not %s", m.Name, is, from)
	}
	m.setState(to)
	return m.process.Signal(s)
}

// Term ends a member with SIGTERM; told is called once the signal is sent, before the process has ended.
func (r *Rig) Term(m *Member, onSignalled func()) error {
	if err := r.signal(m, syscall.SIGTERM, Up, Ended); err != nil {
		return err
	}
	if onSignalled != nil {
		onSignalled()
	}
	return m.process.Stop(stopTimeout)
}

// Restart starts a member that was killed or ended again: at a new address with moved, with an empty data
// folder with wiped.
func (r *Rig) Restart(ctx context.Context, m *Member, moved, wiped bool) error {
	if s := m.State(); s == Up || s == Paused {
		return fmt.Errorf("%s runs", m.Name)
	}
	if wiped {
		if err := os.RemoveAll(m.Data); err != nil {
			return err
		}
	}
	return r.Spawn(ctx, m, moved)
}

// Close ends every process that still runs, by its id, and the network.
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
	r.Discovery.Close()
	if r.Sink != nil {
		r.Sink.Close()
	}
	if r.Zones != nil {
		r.Zones.Close()
	}
	return errors.Join(errs...)
}
