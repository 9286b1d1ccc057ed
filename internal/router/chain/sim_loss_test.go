package chain

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/segmentlog/faultfs"
)

const (
	// lossStep is how many of the numbered points are passed over between two that get a loss, without
	// lossStepVariable in the environment.
	lossStep         = 11
	lossStepVariable = "CHAIN_LOSS_STEP"
	// lossGrace bounds how long a draining machine keeps running.
	lossGrace = 5 * time.Second
	// lossRepair is how long after a first loss points are numbered, lossRecovery how long recovery may take.
	lossRepair   = 4 * time.Second
	lossRecovery = 6 * time.Second
)

// firstLoss is what begins a repair or a replacement.
type firstLoss struct {
	name string
	// planned says that the machine isn't counted as lost: its replacement is there already.
	planned bool
	do      func(w *lossWorld, m *simMachine)
}

// firstLosses are the ways in which a member is lost.
var firstLosses = []firstLoss{
	{"disk lost", false, func(w *lossWorld, m *simMachine) { w.wipeAt(m) }},
	{"machine lost, another replaces it", false, func(w *lossWorld, m *simMachine) { w.remove(m) }},
	{"machine drains, its replacement is there", true, func(w *lossWorld, m *simMachine) { w.drain(m) }},
}

// lossWorld is a world of 2 tolerate + 1 members and one candidate.
type lossWorld struct {
	*simWorld
	tolerate int
}

// TestLossesAtEachPointOfAReplacement takes as many disks as are tolerated, the first member included unless
// it drains as planned, at numbered points of its replacement: also while all others lose power. What was
// acknowledged survives, and all machines serve.
func TestLossesAtEachPointOfAReplacement(t *testing.T) {
	step := fromEnvironment(lossStepVariable, lossStep)
	for tolerate := 1; tolerate <= 3; tolerate++ {
		for _, first := range firstLosses {
			more := tolerate
			if !first.planned {
				more--
			}
			for _, power := range []bool{false, true} {
				t.Run(fmt.Sprint("tolerate ", tolerate, ", ", first.name, ", power lost ", power), func(t *testing.T) {
					t.Parallel()
					c := qt.New(t)
					number := 1
					for more > 0 && loseAtPoint(c, tolerate, first, more, power, number) {
						number += step
					}
					c.Logf("%d points", number)
					c.Assert(more == 0 || number > 20, qt.IsTrue)
				})
			}
		}
	}
}

// loseAtPoint plays one replacement with a loss at a numbered point; false means that it has fewer points.
func loseAtPoint(c *qt.C, tolerate int, first firstLoss, more int, power bool, number int) bool {
	w := newLossWorld(c, tolerate)
	victim := w.machines[fmt.Sprintf("10.0.0.%d", 1+number%w.members)]
	reached := 0
	label := ""
	w.point = func(m *simMachine, name string) {
		reached++
		if reached == number {
			w.point = nil
			label = fmt.Sprintf("%s of %s, point %d: %s %s", first.name, victim.address, number, m.address, name)
			w.lose(m, victim, more, power)
		}
	}
	first.do(w, victim)
	w.writeAt("10.0.0.9", 1, 2, "two")
	w.run(lossRepair)
	if w.point != nil {
		return false
	}
	w.run(lossRecovery)
	w.mustServeAcknowledged(c, label)
	return true
}

// newLossWorld bootstraps a world in which version 1 is committed, and lets it stabilize.
func newLossWorld(c *qt.C, tolerate int) *lossWorld {
	w := &lossWorld{newWorld(int64(tolerate)), tolerate}
	w.members, w.requiredReplicas = 2*tolerate+1, tolerate+1
	bootstrapMembers(w.simWorld)
	outcome := w.writeAt("10.0.0.1", 0, 1, "one")
	w.run(time.Second)
	c.Assert(*outcome, qt.Equals, Applied)
	return w
}

// lose takes disks at a point: first that of the machine that has reached it, then of others with a disk that
// still have theirs; a member that is lost anyway isn't counted twice. All others may lose power as well.
func (w *lossWorld) lose(at, victim *simMachine, more int, power bool) {
	lost := map[string]bool{}
	for _, m := range append([]*simMachine{at}, w.disks()...) {
		if len(lost) < more && m.hasDisk && m != victim && !m.removed && !lost[m.address] {
			lost[m.address] = true
			w.wipeAt(m)
		}
	}
	if !power {
		return
	}
	for _, address := range w.addresses {
		if m := w.machines[address]; !lost[address] && !m.removed && m.up() {
			w.downAt(m, faultfs.LoseAll)
		}
	}
}

// disks returns the machines with a disk.
func (w *lossWorld) disks() []*simMachine {
	var disks []*simMachine
	for _, address := range w.addresses {
		if m := w.machines[address]; m.hasDisk {
			disks = append(disks, m)
		}
	}
	return disks
}

// remove removes a machine for good.
func (w *lossWorld) remove(m *simMachine) {
	m.crash(faultfs.KeepAll)
	m.removed = true
}

// drain drains a machine, and removes it when it is drained or its time is up.
func (w *lossWorld) drain(m *simMachine) {
	began := w.now
	m.step(func(n *Node) Effects { return n.Drain(w.now) })
	var check func()
	check = func() {
		if m.up() && !m.node.Drained() && w.now-began < lossGrace {
			w.after(simTick, check)
			return
		}
		w.remove(m)
	}
	w.after(simTick, check)
}

// mustServeAcknowledged checks that all machines that are left read the acknowledged value, and that a write
// is applied.
func (w *lossWorld) mustServeAcknowledged(c *qt.C, label string) {
	comment := qt.Commentf("%s", label)
	two := w.writeAt("10.0.0.9", 1, 2, "two") // a retry
	w.run(time.Second)
	c.Assert(*two, qt.Equals, Applied, comment)
	for _, address := range w.addresses {
		if m := w.machines[address]; !m.removed {
			m.request(nil, func(reply Reply) {
				c.Assert(reply.Outcome, qt.Equals, Applied, comment)
				c.Assert(string(reply.Entry.Body), qt.Equals, "two", comment)
			})
		}
	}
	w.run(time.Second)
	first := w.writeAt("10.0.0.9", 0, 1, "one")
	three := w.writeAt("10.0.0.9", 2, 3, "three")
	w.run(time.Second)
	c.Assert(*first, qt.Equals, Applied, comment)
	c.Assert(*three, qt.Equals, Applied, comment)
	c.Assert(w.failure, qt.Equals, "", comment)
}

// TestLossRightAfterARepair takes a second disk as soon as the first loss is repaired: the replacement is in
// the view and the chain is open at all of its replicas.
func TestLossRightAfterARepair(t *testing.T) {
	c := qt.New(t)
	for _, first := range firstLosses {
		longest := time.Duration(0)
		for choice := range 3 * 3 * 2 {
			w := newLossWorld(c, 1)
			victim, second := w.disks()[choice/2%3], w.disks()[choice/6]
			began := w.now
			first.do(w, victim)
			repaired := func() bool {
				view := w.machines["10.0.0.9"].node.View()
				return view.Epoch > 1 && len(view.Chain) == 3 && (&nemesis{world: w.simWorld}).mayLoseDisk()
			}
			for w.run(simTick); !repaired(); w.run(simTick) {
				c.Assert(w.now-began < lossRepair, qt.IsTrue, qt.Commentf("%s of %s", first.name, victim.address))
			}
			longest = max(longest, w.now-began)
			if second.removed {
				continue
			}
			w.lose(second, nil, 1, choice%2 == 1)
			w.writeAt("10.0.0.9", 1, 2, "two")
			w.run(lossRecovery)
			w.mustServeAcknowledged(c, fmt.Sprintf("%s of %s, then %s", first.name, victim.address, second.address))
		}
		c.Logf("%s: repaired after %v at most", first.name, longest)
	}
}
