package chain

import (
	"fmt"
	"testing"
	"time"

	"cresshub/internal/segmentlog/faultfs"
)

const (
	// bootstrapSeeds is how many seeds run if the environment variable bootstrapSeedsVariable is not set.
	bootstrapSeeds         = 120
	bootstrapSeedsVariable = "CHAIN_FOUND_SEEDS"
	// bootstrapFaultDuration is how long faults are injected. bootstrapRecoveryDuration is how long the
	// bootstrap may take after that.
	bootstrapFaultDuration    = 4 * time.Second
	bootstrapRecoveryDuration = 22 * time.Second
	// bootstrapInterval is the time between two calls of Node.Bootstrap.
	bootstrapInterval = 800 * time.Millisecond
)

// TestSimulatedBootstrap bootstraps a chain while processes are killed, machines lose power, links fail,
// one disk is lost, and the bootstrapping machine may be removed for good. In the end all machines have to
// serve in one view.
func TestSimulatedBootstrap(t *testing.T) {
	forEachSeed(t, intFromEnvironment(bootstrapSeedsVariable, bootstrapSeeds), func(t *testing.T, seed int) {
		t.Helper()
		world := newWorld(int64(seed))
		world.targetMembers = 3 + 2*(seed%2)
		world.requiredReplicas = world.targetMembers/2 + 1
		(&bootstrapWorld{simWorld: world}).runScenario()
		if world.failure != "" {
			world.traceMachineStates()
			t.Fatalf("%s\n%s", world.failure, world.endOfTrace())
		}
	})
}

// bootstrapWorld is a world that has no view at the start.
type bootstrapWorld struct {
	*simWorld
	// bootstrapper is the machine that calls Bootstrap; with or without a disk.
	bootstrapper *simMachine
	// diskLost means that a disk was lost already.
	diskLost bool
}

// runScenario bootstraps the chain while faults are injected, and checks that the machines serve after that.
func (w *bootstrapWorld) runScenario() {
	for i := range w.targetMembers {
		w.addMachine(fmt.Sprintf("10.0.0.%d", i+1), true, true)
	}
	w.bootstrapper = w.machines["10.0.0.1"]
	if w.random.Intn(2) == 0 {
		w.bootstrapper = w.addMachine("10.0.0.9", false, true)
	}
	for _, address := range w.addresses {
		w.machines[address].node.SetContacts(w.contacts())
	}
	w.keepBootstrapping()
	w.scheduleFaults()
	w.run(bootstrapFaultDuration)
	w.tracef("all faults have ended")
	healer := &nemesis{world: w.simWorld}
	healer.healAll()
	if w.bootstrapper.removed && !w.anyFirstViewAccepted() {
		return // no machine is left that could complete the bootstrap
	}
	w.run(bootstrapRecoveryDuration)
	if !w.anyViewKnown() {
		w.failf("no machine knows a view after all faults have ended")
		return
	}
	mustServe(w.simWorld)
}

// keepBootstrapping has the bootstrapper call Bootstrap every bootstrapInterval with a random selection of
// the machines that are up and have a disk, each of which is included with a probability of 90%.
func (w *bootstrapWorld) keepBootstrapping() {
	if w.bootstrapper.removed {
		return
	}
	if w.bootstrapper.up() {
		var members []Member
		for _, address := range w.addresses {
			if machine := w.machines[address]; machine.up() && machine.hasDisk && w.random.Intn(10) > 0 {
				members = append(members, machine.node.Self())
			}
		}
		w.bootstrapper.step(func(n *Node) Effects { return n.Bootstrap(w.now, members) })
	}
	w.after(bootstrapInterval, w.keepBootstrapping)
}

// scheduleFaults injects random faults at random times during the first bootstrapFaultDuration.
func (w *bootstrapWorld) scheduleFaults() {
	faults := &nemesis{world: w.simWorld}
	w.after(time.Duration(w.random.Int63n(int64(500*time.Millisecond))), func() {
		if w.now >= bootstrapFaultDuration {
			return
		}
		machine := faults.drawMachine()
		switch w.random.Intn(8) {
		case 0:
			w.restart(machine, faultfs.KeepAll)
		case 1:
			w.restart(machine, faultfs.LoseAll)
		case 2:
			for _, address := range w.addresses {
				w.restart(w.machines[address], faultfs.LoseSome)
			}
		case 3:
			w.loseDisk(machine)
		case 4:
			w.loseBootstrapper()
		case 5:
			faults.degradeLinks(machine)
		case 6:
			faults.partition(machine)
		default:
			faults.partitionOneWay(machine)
		}
		w.scheduleFaults()
	})
}

// restart crashes a machine and boots it again later, without Config.AllowBootstrap unless it is the
// bootstrapper, whose configuration has it set at every start.
func (w *bootstrapWorld) restart(machine *simMachine, loss faultfs.Loss) {
	if machine.removed {
		return
	}
	w.tracef("%s restarts", machine.address)
	machine.allowBootstrap = machine == w.bootstrapper
	w.crashAndRestart(machine, loss)
}

// loseDisk wipes a machine's disk, unless a disk was lost already or its loss isn't tolerated now. Before a
// view is known, one loss is tolerated.
func (w *bootstrapWorld) loseDisk(machine *simMachine) {
	if w.diskLost || !machine.hasDisk || w.anyViewKnown() && !(&nemesis{world: w.simWorld}).mayLoseDisk() {
		return
	}
	w.tracef("%s loses its disk", machine.address)
	w.diskLost = true
	w.crashAndWipe(machine)
}

// loseBootstrapper removes the bootstrapper for good if it has no disk and a machine has accepted a first
// view.
func (w *bootstrapWorld) loseBootstrapper() {
	if w.bootstrapper.hasDisk || w.bootstrapper.removed || !w.anyFirstViewAccepted() {
		return
	}
	w.tracef("the bootstrapper is removed for good")
	w.bootstrapper.crash(faultfs.KeepAll)
	w.bootstrapper.removed = true
}

// anyFirstViewAccepted reports whether any machine that is up has accepted a first view.
func (w *bootstrapWorld) anyFirstViewAccepted() bool {
	return w.anyMachine(func(n *Node) bool { return n.stable.acceptedFirstView.Epoch > 0 })
}

// anyViewKnown reports whether any machine that is up knows a decided view.
func (w *bootstrapWorld) anyViewKnown() bool {
	return w.anyMachine(func(n *Node) bool { return n.View().Epoch > 0 })
}

// anyMachine reports whether the node of any machine that is up satisfies a condition.
func (w *bootstrapWorld) anyMachine(satisfies func(*Node) bool) bool {
	for _, address := range w.addresses {
		if machine := w.machines[address]; machine.up() && satisfies(machine.node) {
			return true
		}
	}
	return false
}
