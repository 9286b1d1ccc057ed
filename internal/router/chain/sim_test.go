package chain

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

const (
	// simSeeds is how many seeds run without simSeedsVariable in the environment.
	simSeeds         = 600
	simSeedsVariable = "CHAIN_SIM_SEEDS"
	simFirstVariable = "CHAIN_SIM_FIRST"
	// simShortHistory is the length of the history in some seeds, so that writes are forgotten.
	simShortHistory = 4
	// simTraceLines is how many lines of a failing seed's trace are printed.
	simTraceLines = 60
	// simFaults is how long faults are injected, simRecovery how long the register may take to serve after that.
	simFaults   = 12 * time.Second
	simRecovery = 4 * time.Second
)

// fromEnvironment reads a number from an environment variable.
func fromEnvironment(name string, normal int) int {
	if value, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return value
	}
	return normal
}

// forEachSeed runs a simulation with each seed of a range as a parallel sub-test, and returns when all have
// ended.
func forEachSeed(t *testing.T, seeds int, run func(t *testing.T, seed int)) {
	t.Helper()
	first := fromEnvironment(simFirstVariable, 1)
	t.Run("seeds", func(t *testing.T) {
		for seed := first; seed < first+seeds; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				run(t, seed)
			})
		}
	})
}

// mustBeLinearizable fails a test whose world has a broken invariant or whose history is not linearizable.
func (w *simWorld) mustBeLinearizable(t *testing.T) {
	t.Helper()
	result := w.linearizable()
	if w.failure != "" || result != porcupine.Ok {
		t.Fatalf("%s, history %s\n%s", w.failure, result, w.endOfTrace())
	}
}

// endOfTrace returns the last lines of the trace.
func (w *simWorld) endOfTrace() string {
	return strings.Join(w.trace[max(0, len(w.trace)-simTraceLines):], "\n")
}

// TestSimulation injects random faults. The clients' histories have to be linearizable, and each machine has
// to serve after the faults.
func TestSimulation(t *testing.T) {
	seeds := fromEnvironment(simSeedsVariable, simSeeds)
	var total [Unavailable + 1]atomic.Int64
	var disks, damages, replaced atomic.Int64
	forEachSeed(t, seeds, func(t *testing.T, seed int) {
		t.Helper()
		world := simulate(t, int64(seed))
		disks.Add(int64(world.history.disksLost))
		damages.Add(int64(world.history.damagedLogs))
		replaced.Add(int64(world.history.replacedRetries))
		for outcome, count := range world.history.outcomes {
			total[outcome].Add(int64(count))
		}
	})
	t.Logf("%d seeds: %d applied, %d conflicts, %d unavailable; %d disks lost, %d by corruption; "+
		"%d replaced ones retried",
		seeds, total[Applied].Load(), total[Conflict].Load(), total[Unavailable].Load(), disks.Load(),
		damages.Load(), replaced.Load())
	if seeds >= simSeeds && damages.Load() == 0 {
		t.Error("no log was damaged; corrupt them more often")
	}
	if seeds >= simSeeds && replaced.Load() == 0 {
		t.Error("no replaced write was retried; let clients do that more often")
	}
}

// simulate runs one seed.
func simulate(t *testing.T, seed int64) *simWorld {
	t.Helper()
	world := newWorld(seed)
	if seed%3 == 0 {
		world.members, world.requiredReplicas = 5, 3
	}
	if seed%4 == 0 {
		world.historyLength = simShortHistory
	}
	bootstrapMembers(world)
	faults := &nemesis{world: world, until: world.now + simFaults}
	world.duplicates = 0.05 * float64(world.random.Intn(2))
	for client := range 4 {
		(&simClient{world: world, id: client, until: faults.until + simRecovery}).scheduleNext()
	}
	faults.scheduleNext()
	world.run(simFaults)
	world.tracef("all faults end")
	faults.healAll()
	world.run(simRecovery)
	faults.world.tracef("clients end")
	mustServe(world)
	world.describe()
	world.mustBeLinearizable(t)
	return world
}

// describe adds the state of each machine to the trace.
func (w *simWorld) describe() {
	for _, address := range w.addresses {
		machine := w.machines[address]
		if !machine.up() {
			w.tracef("%s is down, removed %v, disk down %v", address, machine.removed, machine.disk.Down())
			continue
		}
		state := &machine.node.state
		w.tracef("%s is %s in epoch %d, accepted %d of epoch %d, sealed %d, stalled %v, draining %v, busy until %v",
			address, state.id, state.view.Epoch, state.accepted.Sequence, state.accepted.Epoch, state.sealed,
			machine.node.diskFailing,
			machine.node.draining, machine.busyUntil)
	}
}

// bootstrapMembers starts the machines that become members, one more with a disk, and one without that
// bootstraps.
func bootstrapMembers(world *simWorld) { bootstrapWithCandidates(world, 1) }

// bootstrapWithCandidates does so with another number of machines that don't become members.
func bootstrapWithCandidates(world *simWorld, candidates int) {
	var members []Member
	for i := range world.members + candidates {
		machine := world.addMachine(fmt.Sprintf("10.0.0.%d", i+1), true, true)
		if i < world.members {
			members = append(members, machine.node.Self())
		}
	}
	bootstrapper := world.addMachine("10.0.0.9", false, true)
	for _, address := range world.addresses {
		world.machines[address].node.SetContacts(world.contacts())
	}
	bootstrapper.step(func(n *Node) Effects { return n.Bootstrap(world.now, members) })
	world.run(time.Second)
	if bootstrapper.node.View().Epoch == 0 {
		world.failf("not bootstrapped")
	}
}

// mustServe checks that each machine serves a read and a write.
func mustServe(world *simWorld) {
	last := &simClient{world: world, id: 4}
	for _, address := range world.addresses {
		machine := world.machines[address]
		if machine.removed || world.failure != "" {
			continue
		}
		last.last = 0
		last.readAt(machine)
		world.run(300 * time.Millisecond)
		readOutcome := last.last
		last.writes++
		input := simInput{
			write: true, expected: last.version, version: last.version + 1, body: "last write at " + address,
		}
		last.last = 0
		world.recordCall(last.id, input)
		last.attemptAt(machine, input, world.now, 1, false)
		world.run(300 * time.Millisecond)
		// A write that another client had started before may come between.
		if readOutcome != Applied || last.last != Applied && last.last != Conflict {
			world.failf("%s: read is %v and write is %v after all faults have ended", address, readOutcome, last.last)
		}
	}
}

// TestSeedsThatBrokeOnce runs seeds that failed at earlier states of the package.
func TestSeedsThatBrokeOnce(t *testing.T) {
	for _, seed := range []int64{225, 1378, 1502, 8599, 21082, 22937, 24419, 28549} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			simulate(t, seed)
		})
	}
}
