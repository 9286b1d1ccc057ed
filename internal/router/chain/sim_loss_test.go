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
	do      func(world *lossWorld, machine *simMachine)
}

// firstLosses are the ways in which a member is lost.
var firstLosses = []firstLoss{
	{"disk lost", false, func(world *lossWorld, machine *simMachine) { world.wipeAt(machine) }},
	{"machine lost, another replaces it", false,
		func(world *lossWorld, machine *simMachine) { world.remove(machine) }},
	{"machine drains, its replacement is there", true,
		func(world *lossWorld, machine *simMachine) { world.drain(machine) }},
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
	world := newLossWorld(c, tolerate)
	victim := world.machines[fmt.Sprintf("10.0.0.%d", 1+number%world.members)]
	reached := 0
	label := ""
	world.point = func(machine *simMachine, name string) {
		reached++
		if reached == number {
			world.point = nil
			label = fmt.Sprintf("%s of %s, point %d: %s %s", first.name, victim.address, number, machine.address, name)
			world.lose(machine, victim, more, power)
		}
	}
	first.do(world, victim)
	world.writeAt("10.0.0.9", 1, 2, "two")
	world.run(lossRepair)
	if world.point != nil {
		return false
	}
	world.run(lossRecovery)
	world.mustServeAcknowledged(c, label)
	return true
}

// newLossWorld bootstraps a world in which version 1 is committed, and lets it stabilize.
func newLossWorld(c *qt.C, tolerate int) *lossWorld {
	world := &lossWorld{newWorld(int64(tolerate)), tolerate}
	world.members, world.requiredReplicas = 2*tolerate+1, tolerate+1
	bootstrapMembers(world.simWorld)
	outcome := world.writeAt("10.0.0.1", 0, 1, "one")
	world.run(time.Second)
	c.Assert(*outcome, qt.Equals, Applied)
	return world
}

// lose takes disks at a point: first that of the machine that has reached it, then of others with a disk that
// still have theirs; a member that is lost anyway isn't counted twice. All others may lose power as well.
func (w *lossWorld) lose(at, victim *simMachine, more int, power bool) {
	lost := map[string]bool{}
	for _, machine := range append([]*simMachine{at}, w.disks()...) {
		if len(lost) < more && machine.hasDisk && machine != victim && !machine.removed && !lost[machine.address] {
			lost[machine.address] = true
			w.wipeAt(machine)
		}
	}
	if !power {
		return
	}
	for _, address := range w.addresses {
		if machine := w.machines[address]; !lost[address] && !machine.removed && machine.up() {
			w.downAt(machine, faultfs.LoseAll)
		}
	}
}

// disks returns the machines with a disk.
func (w *lossWorld) disks() []*simMachine {
	var disks []*simMachine
	for _, address := range w.addresses {
		if machine := w.machines[address]; machine.hasDisk {
			disks = append(disks, machine)
		}
	}
	return disks
}

// remove removes a machine for good.
func (w *lossWorld) remove(machine *simMachine) {
	machine.crash(faultfs.KeepAll)
	machine.removed = true
}

// drain drains a machine, and removes it when it is drained or its time is up.
func (w *lossWorld) drain(machine *simMachine) {
	began := w.now
	machine.step(func(n *Node) Effects { return n.Drain(w.now) })
	var check func()
	check = func() {
		if machine.up() && !machine.node.Drained() && w.now-began < lossGrace {
			w.after(simTick, check)
			return
		}
		w.remove(machine)
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
		if machine := w.machines[address]; !machine.removed {
			machine.request(nil, func(reply Reply) {
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
			world := newLossWorld(c, 1)
			victim, second := world.disks()[choice/2%3], world.disks()[choice/6]
			began := world.now
			first.do(world, victim)
			repaired := func() bool {
				view := world.machines["10.0.0.9"].node.View()
				return view.Epoch > 1 && len(view.Chain) == 3 && (&nemesis{world: world.simWorld}).mayLoseDisk()
			}
			for world.run(simTick); !repaired(); world.run(simTick) {
				c.Assert(world.now-began < lossRepair, qt.IsTrue, qt.Commentf("%s of %s", first.name, victim.address))
			}
			longest = max(longest, world.now-began)
			if second.removed {
				continue
			}
			world.lose(second, nil, 1, choice%2 == 1)
			world.writeAt("10.0.0.9", 1, 2, "two")
			world.run(lossRecovery)
			world.mustServeAcknowledged(c, fmt.Sprintf("%s of %s, then %s", first.name, victim.address,
				second.address))
		}
		c.Logf("%s: repaired after %v at most", first.name, longest)
	}
}
