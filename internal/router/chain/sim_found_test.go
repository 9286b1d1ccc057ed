package chain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cresshub/internal/segmentlog/faultfs"
)

const (
	// foundSeeds is how many foundings run without foundSeedsVariable in the environment.
	foundSeeds         = 120
	foundSeedsVariable = "CHAIN_FOUND_SEEDS"
	// foundFaults is how long faults come while the system is founded, foundRecovery how long it may take
	// then.
	foundFaults   = 4 * time.Second
	foundRecovery = 22 * time.Second
	foundAgain    = 800 * time.Millisecond
)

// TestSimulatedFounding founds a system while processes are killed, power goes, links fail, one disk is lost
// and the founder may be gone for good. It has to end in one view that serves.
func TestSimulatedFounding(t *testing.T) {
	seeds := fromEnvironment(foundSeedsVariable, foundSeeds)
	first := fromEnvironment(simFirstVariable, 1)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(int64(seed))
			w.members = 3 + 2*(seed%2)
			w.copies = w.members/2 + 1
			(&foundingWorld{simWorld: w}).play()
			if w.failure != "" {
				w.describe()
				trace := w.trace[max(0, len(w.trace)-simTraceLines):]
				t.Fatalf("seed %d: %s\n%s", seed, w.failure, strings.Join(trace, "\n"))
			}
		})
	}
}

// foundingWorld is a world whose founder has not founded it yet.
type foundingWorld struct {
	*simWorld
	founder  *simMachine
	diskLost bool
}

// play founds the world under faults and checks that it serves when they have ended.
func (w *foundingWorld) play() {
	for i := range w.members {
		w.addMachine(fmt.Sprintf("10.0.0.%d", i+1), true, true)
	}
	w.founder = w.machines["10.0.0.1"]
	if w.random.Intn(2) == 0 {
		w.founder = w.addMachine("10.0.0.9", false, true)
	}
	for _, address := range w.addresses {
		w.machines[address].node.SetContacts(w.contacts())
	}
	w.found()
	w.fault()
	w.run(foundFaults)
	w.note("all faults end")
	healer := &nemesis{world: w.simWorld}
	healer.healAll()
	if w.founder.gone && !w.anyConsent() {
		return // nobody is left who was told to found
	}
	w.run(foundRecovery)
	if !w.anyView() {
		w.fail("not founded")
		return
	}
	mustServe(w.simWorld)
}

// found lets the founder ask the machines that it knows, again and again.
func (w *foundingWorld) found() {
	if w.founder.gone {
		return
	}
	if w.founder.up() {
		var members []Member
		for _, address := range w.addresses {
			if m := w.machines[address]; m.up() && m.hasDisk && w.random.Intn(10) > 0 {
				members = append(members, m.node.Self())
			}
		}
		w.founder.step(func(n *Node) Effects { return n.Found(w.now, members) })
	}
	w.after(foundAgain, w.found)
}

// fault makes a fault after a while, again and again.
func (w *foundingWorld) fault() {
	s := &nemesis{world: w.simWorld}
	w.after(time.Duration(w.random.Int63n(int64(500*time.Millisecond))), func() {
		if w.now >= foundFaults {
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
			w.loseFounder()
		case 5:
			s.lossy(m)
		case 6:
			s.partition(m)
		default:
			s.oneWay(m)
		}
		w.fault()
	})
}

// restart stops a machine and starts it again later, which is no first start.
func (w *foundingWorld) restart(m *simMachine, loss faultfs.Loss) {
	if m.gone {
		return
	}
	w.note("%s is started again", m.address)
	m.first = m == w.founder // a founder that is told so goes on
	w.downAt(m, loss)
}

// loseDisk empties one disk of the world.
func (w *foundingWorld) loseDisk(m *simMachine) {
	if w.diskLost || !m.hasDisk || w.anyView() && !(&nemesis{world: w.simWorld}).mayLoseDisk() {
		return
	}
	w.note("%s loses its disk", m.address)
	w.diskLost = true
	w.wipeAt(m)
}

// loseFounder takes a founder without a disk away for good once somebody has consented.
func (w *foundingWorld) loseFounder() {
	if w.founder.hasDisk || w.founder.gone || !w.anyConsent() {
		return
	}
	w.note("the founder is gone")
	w.founder.crash(faultfs.KeepAll)
	w.founder.gone = true
}

// anyConsent tells whether a machine that is up has consented to a first view.
func (w *foundingWorld) anyConsent() bool {
	return w.anyMachine(func(n *Node) bool { return n.saved.genesis.Epoch > 0 })
}

// anyView tells whether a machine knows a view.
func (w *foundingWorld) anyView() bool {
	return w.anyMachine(func(n *Node) bool { return n.View().Epoch > 0 })
}

func (w *foundingWorld) anyMachine(is func(*Node) bool) bool {
	for _, address := range w.addresses {
		if m := w.machines[address]; m.up() && is(m.node) {
			return true
		}
	}
	return false
}
