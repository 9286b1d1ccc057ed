package chain

import (
	"fmt"
	"testing"
	"time"

	"cresshub/internal/segmentlog/faultfs"
)

const (
	// bootstrapSeeds is how many seeds run without bootstrapSeedsVariable in the environment.
	bootstrapSeeds         = 120
	bootstrapSeedsVariable = "CHAIN_FOUND_SEEDS"
	// bootstrapFaults is how long faults are injected, bootstrapRecovery how long the bootstrap may take after
	// that.
	bootstrapFaults   = 4 * time.Second
	bootstrapRecovery = 22 * time.Second
	bootstrapInterval = 800 * time.Millisecond
)

// TestSimulatedBootstrap bootstraps a chain while processes are killed, power and links fail, one disk is
// lost and the bootstrapper may be lost for good. It has to end in one view that serves.
func TestSimulatedBootstrap(t *testing.T) {
	forEachSeed(t, fromEnvironment(bootstrapSeedsVariable, bootstrapSeeds), func(t *testing.T, seed int) {
		t.Helper()
		world := newWorld(int64(seed))
		world.members = 3 + 2*(seed%2)
		world.requiredReplicas = world.members/2 + 1
		(&bootstrapWorld{simWorld: world}).play()
		if world.failure != "" {
			world.describe()
			t.Fatalf("%s\n%s", world.failure, world.endOfTrace())
		}
	})
}

// bootstrapWorld is a world without a first view.
type bootstrapWorld struct {
	*simWorld
	bootstrapper *simMachine
	diskLost     bool
}

// play bootstraps the world under faults and checks that it serves after them.
func (w *bootstrapWorld) play() {
	for i := range w.members {
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
	w.fault()
	w.run(bootstrapFaults)
	w.tracef("all faults end")
	healer := &nemesis{world: w.simWorld}
	healer.healAll()
	if w.bootstrapper.removed && !w.anyConsent() {
		return // no machine is left that could bootstrap
	}
	w.run(bootstrapRecovery)
	if !w.anyView() {
		w.failf("not bootstrapped")
		return
	}
	mustServe(w.simWorld)
}

// keepBootstrapping has the bootstrapper call Bootstrap at intervals with the machines that it knows.
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

// fault injects faults at random times.
func (w *bootstrapWorld) fault() {
	faults := &nemesis{world: w.simWorld}
	w.after(time.Duration(w.random.Int63n(int64(500*time.Millisecond))), func() {
		if w.now >= bootstrapFaults {
			return
		}
		machine := faults.machine()
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
		w.fault()
	})
}

// restart stops a machine and starts it again later, without AllowBootstrap.
func (w *bootstrapWorld) restart(machine *simMachine, loss faultfs.Loss) {
	if machine.removed {
		return
	}
	w.tracef("%s is started again", machine.address)
	machine.firstStart = machine == w.bootstrapper // a bootstrapper that is configured so continues
	w.downAt(machine, loss)
}

// loseDisk wipes one disk of the world.
func (w *bootstrapWorld) loseDisk(machine *simMachine) {
	if w.diskLost || !machine.hasDisk || w.anyView() && !(&nemesis{world: w.simWorld}).mayLoseDisk() {
		return
	}
	w.tracef("%s loses its disk", machine.address)
	w.diskLost = true
	w.wipeAt(machine)
}

// loseBootstrapper removes a bootstrapper without a disk once some machine has accepted a first view.
func (w *bootstrapWorld) loseBootstrapper() {
	if w.bootstrapper.hasDisk || w.bootstrapper.removed || !w.anyConsent() {
		return
	}
	w.tracef("the bootstrapper is lost for good")
	w.bootstrapper.crash(faultfs.KeepAll)
	w.bootstrapper.removed = true
}

// anyConsent reports whether a machine that is up has accepted a first view.
func (w *bootstrapWorld) anyConsent() bool {
	return w.anyMachine(func(n *Node) bool { return n.stable.acceptedFirstView.Epoch > 0 })
}

// anyView reports whether a machine knows a view.
func (w *bootstrapWorld) anyView() bool {
	return w.anyMachine(func(n *Node) bool { return n.View().Epoch > 0 })
}

func (w *bootstrapWorld) anyMachine(is func(*Node) bool) bool {
	for _, address := range w.addresses {
		if machine := w.machines[address]; machine.up() && is(machine.node) {
			return true
		}
	}
	return false
}
