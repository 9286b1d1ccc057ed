package chain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cresshub/internal/segmentlog/faultfs"
)

const (
	// bootstrapSeeds is how many foundings run without bootstrapSeedsVariable in the environment.
	bootstrapSeeds         = 120
	bootstrapSeedsVariable = "CHAIN_FOUND_SEEDS"
	// bootstrapFaults is how long faults come while the system is founded, bootstrapRecovery how long it may
	// take then.
	bootstrapFaults   = 4 * time.Second
	bootstrapRecovery = 22 * time.Second
	bootstrapInterval = 800 * time.Millisecond
)

// TestSimulatedBootstrap founds a system while processes are killed, power goes, links fail, one disk is lost
// and the founder may be gone for good. It has to end in one view that serves.
func TestSimulatedBootstrap(t *testing.T) {
	seeds := fromEnvironment(bootstrapSeedsVariable, bootstrapSeeds)
	first := fromEnvironment(simFirstVariable, 1)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(int64(seed))
			w.members = 3 + 2*(seed%2)
			w.requiredReplicas = w.members/2 + 1
			(&bootstrapWorld{simWorld: w}).play()
			if w.failure != "" {
				w.describe()
				trace := w.trace[max(0, len(w.trace)-simTraceLines):]
				t.Fatalf("seed %d: %s\n%s", seed, w.failure, strings.Join(trace, "\n"))
			}
		})
	}
}

// bootstrapWorld is a world whose founder has not founded it yet.
type bootstrapWorld struct {
	*simWorld
	bootstrapper *simMachine
	diskLost     bool
}

// play founds the world under faults and checks that it serves when they have ended.
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
		return // nobody is left who was told to found
	}
	w.run(bootstrapRecovery)
	if !w.anyView() {
		w.failf("not founded")
		return
	}
	mustServe(w.simWorld)
}

// keepBootstrapping lets the founder ask the machines that it knows, again and again.
func (w *bootstrapWorld) keepBootstrapping() {
	if w.bootstrapper.removed {
		return
	}
	if w.bootstrapper.up() {
		var members []Member
		for _, address := range w.addresses {
			if m := w.machines[address]; m.up() && m.hasDisk && w.random.Intn(10) > 0 {
				members = append(members, m.node.Self())
			}
		}
		w.bootstrapper.step(func(n *Node) Effects { return n.Bootstrap(w.now, members) })
	}
	w.after(bootstrapInterval, w.keepBootstrapping)
}

// fault makes a fault after a while, again and again.
func (w *bootstrapWorld) fault() {
	s := &nemesis{world: w.simWorld}
	w.after(time.Duration(w.random.Int63n(int64(500*time.Millisecond))), func() {
		if w.now >= bootstrapFaults {
			return
		}
		m := s.machine()
		switch w.random.Intn(8) {
		case 0:
			w.restart(m, faultfs.KeepAll)
		case 1:
			w.restart(m, faultfs.LoseAll)
		case 2:
			for _, address := range w.addresses {
				w.restart(w.machines[address], faultfs.LoseSome)
			}
		case 3:
			w.loseDisk(m)
		case 4:
			w.loseBootstrapper()
		case 5:
			s.degradeLinks(m)
		case 6:
			s.partition(m)
		default:
			s.partitionOneWay(m)
		}
		w.fault()
	})
}

// restart stops a machine and starts it again later, which is no first start.
func (w *bootstrapWorld) restart(m *simMachine, loss faultfs.Loss) {
	if m.removed {
		return
	}
	w.tracef("%s is started again", m.address)
	m.firstStart = m == w.bootstrapper // a founder that is told so goes on
	w.downAt(m, loss)
}

// loseDisk empties one disk of the world.
func (w *bootstrapWorld) loseDisk(m *simMachine) {
	if w.diskLost || !m.hasDisk || w.anyView() && !(&nemesis{world: w.simWorld}).mayLoseDisk() {
		return
	}
	w.tracef("%s loses its disk", m.address)
	w.diskLost = true
	w.wipeAt(m)
}

// loseBootstrapper takes a founder without a disk away for good once somebody has consented.
func (w *bootstrapWorld) loseBootstrapper() {
	if w.bootstrapper.hasDisk || w.bootstrapper.removed || !w.anyConsent() {
		return
	}
	w.tracef("the founder is gone")
	w.bootstrapper.crash(faultfs.KeepAll)
	w.bootstrapper.removed = true
}

// anyConsent tells whether a machine that is up has consented to a first view.
func (w *bootstrapWorld) anyConsent() bool {
	return w.anyMachine(func(n *Node) bool { return n.stable.genesis.Epoch > 0 })
}

// anyView tells whether a machine knows a view.
func (w *bootstrapWorld) anyView() bool {
	return w.anyMachine(func(n *Node) bool { return n.View().Epoch > 0 })
}

func (w *bootstrapWorld) anyMachine(is func(*Node) bool) bool {
	for _, address := range w.addresses {
		if m := w.machines[address]; m.up() && is(m.node) {
			return true
		}
	}
	return false
}
