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
	// simSeeds is how many seeds run if the environment variable simSeedsVariable is not set.
	simSeeds         = 600
	simSeedsVariable = "CHAIN_SIM_SEEDS"
	// simFirstSeedVariable is the environment variable with the first seed; 1 if it is not set.
	simFirstSeedVariable = "CHAIN_SIM_FIRST"
	// simShortHistoryLength is Config.HistoryLength for some seeds. It is so short that nodes forget committed
	// changes while clients still retry them.
	simShortHistoryLength = 4
	// simTraceLines is how many lines at the end of a failing seed's trace are printed.
	simTraceLines = 60
	// simFaultDuration is how long faults are injected. simRecoveryDuration is how long the register may take
	// after that to serve on every machine.
	simFaultDuration    = 12 * time.Second
	simRecoveryDuration = 4 * time.Second
)

// intFromEnvironment returns the integer in an environment variable, or fallback if it holds none.
func intFromEnvironment(name string, fallback int) int {
	if value, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return value
	}
	return fallback
}

// forEachSeed runs a simulation as a parallel subtest for each of a number of consecutive seeds, and returns
// when all have ended.
func forEachSeed(t *testing.T, seeds int, run func(t *testing.T, seed int)) {
	t.Helper()
	first := intFromEnvironment(simFirstSeedVariable, 1)
	t.Run("seeds", func(t *testing.T) {
		for seed := first; seed < first+seeds; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				run(t, seed)
			})
		}
	})
}

// mustBeLinearizable fails the test if an invariant was violated or the history is not linearizable.
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

// TestSimulation injects random faults while clients read and write. The history of the clients' operations
// has to be linearizable, and each machine has to serve reads and writes after the faults have ended.
func TestSimulation(t *testing.T) {
	seeds := intFromEnvironment(simSeedsVariable, simSeeds)
	var outcomes [Unavailable + 1]atomic.Int64
	var disksLost, damagedLogs, replacedRetries atomic.Int64
	forEachSeed(t, seeds, func(t *testing.T, seed int) {
		t.Helper()
		world := simulate(t, int64(seed))
		disksLost.Add(int64(world.history.disksLost))
		damagedLogs.Add(int64(world.history.damagedLogs))
		replacedRetries.Add(int64(world.history.replacedRetries))
		for outcome, count := range world.history.outcomes {
			outcomes[outcome].Add(int64(count))
		}
	})
	t.Logf("%d seeds: %d applied, %d conflicts, %d unavailable; %d disks lost; %d logs found damaged; "+
		"%d retries of replaced writes acknowledged",
		seeds, outcomes[Applied].Load(), outcomes[Conflict].Load(), outcomes[Unavailable].Load(),
		disksLost.Load(), damagedLogs.Load(), replacedRetries.Load())
	if seeds >= simSeeds && damagedLogs.Load() == 0 {
		t.Error("no node found its log damaged; corrupt logs more often")
	}
	if seeds >= simSeeds && replacedRetries.Load() == 0 {
		t.Error("no retry of a replaced write was acknowledged; let clients retry writes more often")
	}
}

// simulate runs the simulation with one seed and fails the test if a check fails. It returns the world for
// its counters.
func simulate(t *testing.T, seed int64) *simWorld {
	t.Helper()
	world := newWorld(seed)
	if seed%3 == 0 {
		world.targetMembers, world.requiredReplicas = 5, 3
	}
	if seed%4 == 0 {
		world.historyLength = simShortHistoryLength
	}
	bootstrapMembers(world)
	faults := &nemesis{world: world, until: world.now + simFaultDuration}
	world.duplicateProbability = 0.05 * float64(world.random.Intn(2))
	for client := range 4 {
		(&simClient{world: world, id: client, until: faults.until + simRecoveryDuration}).scheduleNext()
	}
	faults.scheduleNext()
	world.run(simFaultDuration)
	world.tracef("all faults have ended")
	faults.healAll()
	world.run(simRecoveryDuration)
	faults.world.tracef("the clients have stopped")
	mustServe(world)
	world.traceMachineStates()
	world.mustBeLinearizable(t)
	return world
}

// traceMachineStates adds the state of each machine to the trace.
func (w *simWorld) traceMachineStates() {
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

// bootstrapMembers starts the machines that become members, one candidate that has a disk and can replace a
// member, and one machine without a disk, which bootstraps the chain.
func bootstrapMembers(world *simWorld) { bootstrapWithCandidates(world, 1) }

// bootstrapWithCandidates is bootstrapMembers with a given number of candidates.
func bootstrapWithCandidates(world *simWorld, candidates int) {
	var members []Member
	for i := range world.targetMembers + candidates {
		machine := world.addMachine(fmt.Sprintf("10.0.0.%d", i+1), true, true)
		if i < world.targetMembers {
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
		world.failf("the bootstrapping machine knows no view after 1 s")
	}
}

// mustServe checks that each machine that was not removed answers a read and a write within 300 ms each.
func mustServe(world *simWorld) {
	client := &simClient{world: world, id: 4}
	for _, address := range world.addresses {
		machine := world.machines[address]
		if machine.removed || world.failure != "" {
			continue
		}
		client.lastOutcome = 0
		client.readAt(machine)
		world.run(300 * time.Millisecond)
		readOutcome := client.lastOutcome
		client.writes++
		input := simInput{
			write: true, expected: client.version, version: client.version + 1, body: "last write at " + address,
		}
		client.lastOutcome = 0
		world.recordCall(client.id, input)
		client.attemptAt(machine, input, world.now, 1, false)
		world.run(300 * time.Millisecond)
		// Conflict is accepted: a write that another client had started may be committed between the two.
		if readOutcome != Applied || client.lastOutcome != Applied && client.lastOutcome != Conflict {
			world.failf("%s: the outcome of the read is %v and that of the write %v after all faults have ended",
				address, readOutcome, client.lastOutcome)
		}
	}
}

// TestSeedsThatFailedBefore runs the simulation with seeds that failed with earlier versions of the package.
func TestSeedsThatFailedBefore(t *testing.T) {
	for _, seed := range []int64{225, 1378, 1502, 8599, 21082, 22937, 24419, 28549} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			simulate(t, seed)
		})
	}
}
