package agentsim

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cresshub/internal/simulation/simnet"
)

// The ports of all machines.
const (
	controlPort = 8080
	readyPort   = 8081
	innerPort   = 9000
)

const (
	// HeartbeatInterval is the time between two heartbeats of a server.
	HeartbeatInterval = time.Second
	// startSpread is the time within which machines that start together start.
	startSpread = 300 * time.Millisecond
	// seedCount is how many seeds a settings file names.
	seedCount = 3
	// pollInterval is the time between two checks of a condition by Await.
	pollInterval = 20 * time.Millisecond
	zoneCount    = 3
	// goroutineGrace is the time within which the goroutines of a process end after it.
	goroutineGrace = 5 * time.Second
)

// Options describe a fleet.
type Options struct {
	Disks   int   // machines with a disk
	Others  int   // machines without one
	Servers int   // that serve from the start
	Seed    int64 // of all random choices
	Stages  bool  // servers take stage orders; all are in the prefill stage at first
	Fenced  bool  // servers check fencing tokens
}

// Fleet is a fleet of machines with its servers and operators.
type Fleet struct {
	TB       testing.TB
	Options  Options
	Network  *simnet.Network
	Machines []*Machine // those with a disk first
	Servers  []*Server
	Random   *rand.Rand // of the goroutine of the test

	mu sync.Mutex // guards Machines and Servers where other goroutines than the test's read them

	began      time.Time
	folder     string // of all disks
	log        *eventLog
	done       chan struct{}  // closed when servers and operators are to end
	background sync.WaitGroup // goroutines that end with done: of servers, and of tests
	// processes are those of machines, until all of their goroutines have ended.
	processes sync.WaitGroup
}

// New starts a fleet for the first time, with servers, and waits until it has converged. It is called in a
// bubble of synctest.Test with the test of that bubble, whose cleanup ends the fleet.
func New(tb testing.TB, options Options) *Fleet {
	tb.Helper()
	f := &Fleet{TB: tb, Options: options, Network: simnet.New(), Random: rand.New(rand.NewSource(options.Seed)),
		began: time.Now(), done: make(chan struct{}), folder: tb.TempDir()}
	f.log = &eventLog{fleet: f}
	tb.Cleanup(f.Close)
	for i := range options.Disks + options.Others {
		f.addMachine(i, i < options.Disks)
	}
	for i := range options.Servers {
		f.AddServer(fmt.Sprintf("server-%02d", i))
	}
	f.StartTogether(f.Machines, true)
	f.Await("the fleet converges at first", 6*time.Second, f.Converged)
	return f
}

// Close ends all processes and servers, and logs the events where the test has failed.
func (f *Fleet) Close() {
	close(f.done)
	f.background.Wait()
	f.kill(f.Machines...)
	f.processes.Wait()
	time.Sleep(goroutineGrace) // goroutines of the processes end at their next timer
	if f.TB.Failed() {
		f.TB.Log(f.log.String())
	}
}

// allMachines returns a copy of Machines, for any goroutine.
func (f *Fleet) allMachines() []*Machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.Machines)
}

// allServers returns a copy of Servers, for any goroutine.
func (f *Fleet) allServers() []*Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.Servers)
}

// Now returns the time since the fleet began.
func (f *Fleet) Now() time.Duration { return time.Since(f.began) }

// Logf adds a line to the log.
func (f *Fleet) Logf(format string, values ...any) {
	f.log.add("test: " + fmt.Sprintf(format, values...))
}

// Await polls a condition, which returns what is missing, until that is "". The test fails where that takes
// longer than a duration. It returns how long it took.
func (f *Fleet) Await(what string, within time.Duration, condition func() string) time.Duration {
	f.TB.Helper()
	began := time.Now()
	for {
		missing := condition()
		if missing == "" {
			return time.Since(began)
		}
		if time.Since(began) >= within {
			f.TB.Errorf("at %v, %s: not within %v: %s", f.Now(), what, within, missing)
			return time.Since(began)
		}
		time.Sleep(pollInterval)
	}
}

// StartTogether starts machines in random order within startSpread.
func (f *Fleet) StartTogether(machines []*Machine, first bool) {
	offsets := make([]time.Duration, len(machines))
	for i := range offsets {
		offsets[i] = time.Duration(f.Random.Int63n(int64(startSpread)))
	}
	order := make([]int, len(machines))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return int(offsets[a] - offsets[b]) })
	began := time.Now()
	for _, i := range order {
		time.Sleep(offsets[i] - time.Since(began))
		machines[i].Start(first)
	}
}

// WithDisk returns the machines that have a disk, or those without.
func (f *Fleet) WithDisk(disk bool) []*Machine {
	if disk {
		return f.Machines[:f.Options.Disks]
	}
	return f.Machines[f.Options.Disks:]
}

// Running returns the machines whose processes run.
func (f *Fleet) Running() []*Machine {
	return slices.DeleteFunc(f.allMachines(), func(m *Machine) bool { return !m.Runs() })
}

// Converged returns "" where all running machines agree on the view, have the newest configuration that any
// of them has, and know exactly the servers that serve as ready; otherwise what is missing.
func (f *Fleet) Converged() string { return f.Agree(f.Running()) }

// Agree is Converged for some machines.
func (f *Fleet) Agree(machines []*Machine) string {
	epoch, version := int64(0), int64(0)
	for _, m := range machines {
		epoch, version = max(epoch, m.Node().Epoch()), max(version, m.Node().ConfigVersion())
	}
	if epoch == 0 {
		return "no machine knows a view"
	}
	wanted := f.servingIDs()
	for _, m := range machines {
		n := m.Node()
		if n.Epoch() != epoch || n.ConfigVersion() != version {
			return fmt.Sprintf("%s knows epoch %d and version %d, others %d and %d", m.Name, n.Epoch(),
				n.ConfigVersion(), epoch, version)
		}
		if known := m.KnownServers(); !slices.Equal(known, wanted) {
			return fmt.Sprintf("%s knows %v and not %v", m.Name, without(known, wanted), without(wanted, known))
		}
	}
	return ""
}

// without returns those of all that are not left out.
func without(all, left []string) []string {
	return slices.DeleteFunc(slices.Clone(all), func(one string) bool { return slices.Contains(left, one) })
}

// IPs returns the addresses of machines.
func IPs(machines ...*Machine) []string {
	ips := make([]string, len(machines))
	for i, m := range machines {
		ips[i] = m.IP
	}
	return ips
}

// Except returns the machines of the fleet without some.
func (f *Fleet) Except(left ...*Machine) []*Machine {
	return slices.DeleteFunc(slices.Clone(f.Machines), func(m *Machine) bool { return slices.Contains(left, m) })
}

// Partition sets a fault between hosts and others, both ways.
func (f *Fleet) Partition(from, to []string, fault simnet.Fault) {
	f.Logf("cut %v from %v: %d", from, to, fault)
	f.Network.SetFault(from, to, fault)
	f.Network.SetFault(to, from, fault)
}

// Heal ends all faults of the network.
func (f *Fleet) Heal() {
	f.Logf("heal")
	f.Network.Heal()
}

// MarkedLost returns which serving servers were marked as lost since a time, a line each.
func (f *Fleet) MarkedLost(since time.Duration) []string { return f.log.lostSince(since) }

// CheckNoneLost fails the test where a serving server was marked as lost since a time.
func (f *Fleet) CheckNoneLost(since time.Duration) {
	f.TB.Helper()
	if lost := f.MarkedLost(since); len(lost) > 0 {
		f.TB.Errorf("%d live servers were marked as lost:\n%s", len(lost), strings.Join(lost, "\n"))
	}
}
