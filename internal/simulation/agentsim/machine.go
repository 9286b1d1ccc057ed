package agentsim

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync/atomic"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"cresshub/internal/router/agent"
	"cresshub/internal/router/agentsettings"
	"cresshub/internal/simulation/simnet"
)

// Machine is a machine of the fleet.
type Machine struct {
	Name    string
	IP      string
	Zone    string
	HasDisk bool
	Seeds   []string // control addresses in its settings file

	fleet   *Fleet
	host    *simnet.Host
	disk    string                  // folder; each process starts with a copy of its predecessor's
	runs    int                     // processes started
	process atomic.Pointer[process] // nil before the first start and after a kill
}

// process is one run of the program on a machine.
type process struct {
	node     *agent.Agent
	network  *simnet.Process
	settings *agentsettings.Settings
	stop     chan struct{} // closed to end the process
	stopped  atomic.Bool   // stop is closed
	ended    chan struct{} // closed when the process has ended
	dead     atomic.Bool   // it was killed; what it still does has no effect
}

// addMachine adds a machine, which has no process yet.
func (f *Fleet) addMachine(number int, disk bool) *Machine {
	ip := fmt.Sprintf("10.0.0.%d", number+1)
	m := &Machine{Name: fmt.Sprintf("m%02d", number), IP: ip, Zone: fmt.Sprintf("zone-%d", number%zoneCount),
		HasDisk: disk, fleet: f, host: f.Network.Host(ip)}
	f.mu.Lock()
	f.Machines = append(f.Machines, m)
	f.mu.Unlock()
	f.SetSeeds(f.Machines[:min(len(f.Machines), seedCount)]...)
	return m
}

// Replace puts a new machine with an empty disk into the fleet, at the end of those with a disk.
func (f *Fleet) Replace() *Machine {
	seeds := slices.Clone(f.Machines[0].Seeds)
	m := f.addMachine(len(f.Machines), true)
	for _, each := range f.Machines {
		each.Seeds = seeds
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Machines = slices.Insert(f.Machines[:len(f.Machines)-1], f.Options.Disks, m)
	f.Options.Disks++
	return m
}

// SetSeeds writes the seeds into all settings files; processes read them at their start or on Reload.
func (f *Fleet) SetSeeds(machines ...*Machine) {
	var seeds []string
	for _, m := range machines {
		seeds = append(seeds, m.Control())
	}
	for _, m := range f.Machines {
		m.Seeds = seeds
	}
}

// Control returns the address for servers and operators.
func (m *Machine) Control() string { return m.IP + ":" + strconv.Itoa(controlPort) }

// Node returns the process that runs.
func (m *Machine) Node() *agent.Agent { return m.process.Load().node }

// Runs reports whether a process runs that is not stopping.
func (m *Machine) Runs() bool {
	p := m.process.Load()
	return p != nil && !p.stopped.Load()
}

// settings returns the content of the machine's settings file.
func (m *Machine) settings(first bool) *agentsettings.Settings {
	s := &agentsettings.Settings{
		Name: m.Name, Role: "router", IP: m.IP, Zone: m.Zone, Region: "home", Control: m.Control(),
		Ready: m.IP + ":" + strconv.Itoa(readyPort), InnerPorts: [2]int{innerPort, innerPort},
		Seeds: m.Seeds, FirstStart: first, Counted: m.HasDisk, HeartbeatInterval: HeartbeatInterval,
		DiskBytes:        64 << 20,
		TolerateMachines: 1, Bounds: Bounds(),
	}
	s.Bounds.Fenced = m.fleet.Options.Fenced
	if m.HasDisk {
		s.DataDir = m.disk
	}
	return s
}

// Bounds are the time limits and the like that settings files give by default.
func Bounds() agentsettings.Bounds {
	return agentsettings.Bounds{
		SeedLag: 3 * time.Second, ReuseAfter: 2 * time.Second, Touch: 3 * time.Second, Ack: 4 * time.Second,
		CatchUp: 4 * time.Second, Drain: 2 * time.Second, Grace: 8 * time.Second, Lost: 200 * time.Millisecond,
		Config: 2 * time.Second, Outer: 5 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second,
		RetrySlack: 10, Transit: 120 * time.Millisecond, Lease: 3 * time.Second, Thaw: 300 * time.Millisecond,
	}
}

// Start gives the machine power and starts its process; first permits it to bootstrap the fleet.
func (m *Machine) Start(first bool) {
	m.fleet.TB.Helper()
	m.nextDisk()
	m.host.SetDown(false)
	p := &process{network: m.host.NewProcess(), settings: m.settings(first), stop: make(chan struct{}),
		ended: make(chan struct{})}
	log := zerolog.New(&machineLog{m, p})
	options := []agent.Option{agent.WithNetwork(p.network)}
	if m.fleet.Options.Stages {
		options = append(options, agent.WithRoleAssignment())
	}
	var err error
	if p.node, err = agent.New(p.settings, log, options...); err != nil {
		m.fleet.TB.Fatalf("%s: %v", m.Name, err)
	}
	m.process.Store(p)
	m.fleet.Logf("%s starts, seeds %v", m.Name, m.Seeds)
	m.fleet.processes.Go(func() {
		defer close(p.ended)
		if err := p.node.Run(p.stop); err != nil && !p.dead.Load() {
			m.fleet.TB.Errorf("%s: %v", m.Name, err)
		}
		p.network.Kill()
	})
}

// nextDisk copies the disk for the next process, so that no late write of its predecessor reaches it.
func (m *Machine) nextDisk() {
	if !m.HasDisk {
		return
	}
	before := m.disk
	m.runs++
	m.disk = filepath.Join(m.fleet.folder, fmt.Sprintf("%s-%d", m.Name, m.runs))
	if err := os.MkdirAll(m.disk, 0o700); err != nil {
		m.fleet.TB.Fatal(err)
	}
	if before == "" {
		return
	}
	if err := os.CopyFS(m.disk, os.DirFS(before)); err != nil {
		m.fleet.TB.Fatal(err)
	}
}

// Kill ends the process at once, and its connections are reset. Its disk stays as it is now.
func (m *Machine) Kill() { m.fleet.kill(m) }

// PowerOff ends the process and takes the machine off the network, so that its connections are not reset.
func (m *Machine) PowerOff() {
	m.host.SetDown(true)
	m.Kill()
}

// PowerOffAll is PowerOff at the same moment for some machines.
func (f *Fleet) PowerOffAll(machines []*Machine) {
	for _, m := range machines {
		m.host.SetDown(true)
	}
	f.kill(machines...)
}

// KillAll is Kill at the same moment for some machines.
func (f *Fleet) KillAll(machines []*Machine) { f.kill(machines...) }

// kill waits until all goroutines block, so that no write to a file is under way, and ends processes.
func (f *Fleet) kill(machines ...*Machine) {
	synctest.Wait()
	for _, m := range machines {
		p := m.process.Load()
		if p == nil {
			continue
		}
		f.Logf("%s is killed", m.Name)
		p.dead.Store(true)
		p.network.Kill()
		m.freezeDisk()
		if !p.stopped.Swap(true) {
			close(p.stop)
		}
		m.process.Store(nil)
	}
}

// Stall has the process not run for a while: nothing that it does takes effect, and what comes waits. Its
// timers go on, as the clock of the bubble does; its clock of stalls says that they prove nothing.
func (m *Machine) Stall(d time.Duration) {
	p := m.process.Load()
	if p == nil {
		return
	}
	m.fleet.Logf("%s stalls for %v", m.Name, d)
	thaw := p.network.Freeze()
	p.node.Clock().InjectStall(time.Now().Add(d), d)
	time.Sleep(d)
	thaw()
}

// freezeDisk retains the present content of the disk for the next process.
func (m *Machine) freezeDisk() {
	if m.HasDisk {
		m.nextDisk()
	}
}

// Wipe empties the disk of a machine that does not run.
func (m *Machine) Wipe() { m.disk = "" }

// Terminate sends SIGTERM and returns a channel that closes when the process has ended.
func (m *Machine) Terminate() <-chan struct{} {
	m.fleet.Logf("%s gets SIGTERM", m.Name)
	p := m.process.Load()
	if !p.stopped.Swap(true) {
		close(p.stop)
	}
	return p.ended
}

// Reload sends SIGHUP: the process reads its settings file again.
func (m *Machine) Reload() {
	m.Node().Reload(m.settings(false))
}

// KnownServers returns the ids of the servers that may get new requests, sorted.
func (m *Machine) KnownServers() []string {
	var known []string
	for _, server := range m.Node().Servers().Service(serviceName) {
		known = append(known, server.ID)
	}
	slices.Sort(known)
	return known
}
