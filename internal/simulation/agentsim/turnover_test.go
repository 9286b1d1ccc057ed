package agentsim

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/simulation/simnet"
)

const (
	// downTime is how long machines are down that are killed.
	downTime = 1100 * time.Millisecond
	// recoverTime is the time from its start within which a fleet converges that was killed as a whole.
	recoverTime = 3 * time.Second
)

// turnover is a way to lose all processes when the settings files name only machines without a disk as seeds.
type turnover struct {
	name     string
	powerOff bool
	reload   bool           // running processes reload the new seeds before
	start    func(f *Fleet) // starts the machines again
}

// otherSeeds draws seeds without a disk.
func otherSeeds(f *Fleet) []*Machine {
	machines := f.WithDisk(false)
	var seeds []*Machine
	for _, i := range f.Random.Perm(len(machines))[:seedCount] {
		seeds = append(seeds, machines[i])
	}
	return seeds
}

func startAll(f *Fleet) { f.StartTogether(f.Machines, false) }

var turnovers = []turnover{
	{name: "power", powerOff: true, start: startAll},
	{name: "power, reload before", powerOff: true, reload: true, start: startAll},
	{name: "kill", start: startAll},
	{name: "kill, reload before", reload: true, start: startAll},
	{name: "disks late", powerOff: true, start: startDisksLate},
	{name: "seeds down", powerOff: true, start: startWithoutSeeds},
	{name: "seeds cut off", powerOff: true, start: startWithSeedsCutOff},
}

// startDisksLate starts the machines with a disk two seconds after the others.
func startDisksLate(f *Fleet) {
	f.StartTogether(f.WithDisk(false), false)
	time.Sleep(2*time.Second - startSpread)
	f.StartTogether(f.WithDisk(true), false)
}

// startWithoutSeeds starts all machines but those that the settings files name.
func startWithoutSeeds(f *Fleet) { f.StartTogether(f.Except(f.seedMachines()...), false) }

// startWithSeedsCutOff starts all machines while those that the settings files name are unreachable.
func startWithSeedsCutOff(f *Fleet) {
	seeds := f.seedMachines()
	f.Partition(IPs(seeds...), append(IPs(f.Except(seeds...)...), f.serverIPs()...), simnet.Blackhole)
	startAll(f)
}

func (f *Fleet) seedMachines() []*Machine {
	var seeds []*Machine
	for _, m := range f.Machines {
		for _, seed := range m.Seeds {
			if seed == m.Control() {
				seeds = append(seeds, m)
			}
		}
	}
	return seeds
}

func (f *Fleet) serverIPs() []string {
	var ips []string
	for _, s := range f.Servers {
		ips = append(ips, s.IP)
	}
	return ips
}

// turnoverSeeds returns how many seeds of randomness each case is played with.
func turnoverSeeds() int64 {
	if testing.Short() {
		return 2
	}
	return 10
}

// TestSeedTurnover loses all processes when the settings files name no member of the chain.
func TestSeedTurnover(t *testing.T) {
	for _, test := range turnovers {
		t.Run(test.name, func(t *testing.T) {
			for seed := range turnoverSeeds() {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { test.run(t, seed) })
				})
			}
		})
	}
}

func (test *turnover) run(t *testing.T, seed int64) {
	t.Helper()
	f := New(t, Options{Disks: 3, Others: 7, Servers: 12, Seed: seed})
	history := &History{}
	operator := f.AddOperator(history)
	qt.Assert(t, operator.PutUntil(f.Machines, Change{0, 1, 0}, 4*time.Second, 0), qt.Equals, 200)
	f.Await("all know the configuration", 2*time.Second, f.Converged)
	time.Sleep(time.Duration(f.Random.Int63n(int64(5 * time.Second))))
	f.SetSeeds(otherSeeds(f)...)
	if test.reload {
		for _, m := range f.Machines {
			m.Reload()
		}
		time.Sleep(time.Duration(f.Random.Int63n(int64(5 * time.Second))))
	}
	qt.Assert(t, f.Converged(), qt.Equals, "")
	if test.powerOff {
		f.PowerOffAll(f.Machines)
	} else {
		f.KillAll(f.Machines)
	}
	time.Sleep(downTime)
	since := f.Now()
	test.start(f)
	reached := f.reachable()
	took := f.Await("the fleet converges again", recoverTime, func() string { return f.Agree(reached) })
	t.Logf("converged %v after the last start", took)
	time.Sleep(20 * time.Second)
	f.CheckNoneLost(since)
	qt.Check(t, f.Agree(reached), qt.Equals, "")
	f.Heal()
	f.Await("all agree once no fault is left", recoverTime, f.Converged)
	qt.Check(t, operator.PutUntil(f.Running(), Change{1, 2, 0}, 4*time.Second, 0), qt.Equals, 200)
	qt.Check(t, history.Check(), qt.HasLen, 0)
}

// reachable returns the machines that run and that the servers reach.
func (f *Fleet) reachable() []*Machine {
	var reached []*Machine
	for _, m := range f.Running() {
		if f.Network.Reaches(f.Servers[0].IP, m.IP) {
			reached = append(reached, m)
		}
	}
	return reached
}
