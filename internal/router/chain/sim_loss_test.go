package chain

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/segmentlog/faultfs"
)

const (
	// lossPointStep is the distance between the numbers of the fault injection points at which disks are lost,
	// if the environment variable lossPointStepVariable is not set.
	lossPointStep         = 11
	lossPointStepVariable = "CHAIN_LOSS_STEP"
	// lossDrainGracePeriod is how long a draining machine keeps running at most.
	lossDrainGracePeriod = 5 * time.Second
	// lossRepairDuration is how long the fault injection points after a first loss are counted, and how long its
	// repair may take. lossRecoveryDuration is how long recovery from the further losses may take.
	lossRepairDuration   = 4 * time.Second
	lossRecoveryDuration = 6 * time.Second
)

// firstLoss is an event that makes the members repair or replace one of them.
type firstLoss struct {
	name string
	// planned means that the machine drains before it is removed, and so isn't counted as lost.
	planned bool
	inject  func(world *lossWorld, machine *simMachine)
}

// firstLosses are the ways in which a first member is lost.
var firstLosses = []firstLoss{
	{"disk lost", false, func(world *lossWorld, machine *simMachine) { world.crashAndWipe(machine) }},
	{"machine lost and replaced by another", false,
		func(world *lossWorld, machine *simMachine) { world.remove(machine) }},
	{"machine drained and replaced by another", true,
		func(world *lossWorld, machine *simMachine) { world.drain(machine) }},
}

// lossWorld is a world whose chain tolerates the loss of toleratedLosses disks. It has 2*toleratedLosses+1
// members, one candidate and one machine without a disk.
type lossWorld struct {
	*simWorld
	toleratedLosses int
}

// TestLossesAtEachPointOfAReplacement loses as many disks as the chain tolerates, at every lossPointStep-th
// fault injection point while a first member is replaced. The first member counts as one of the losses
// unless it is drained. In half of the cases all other machines lose power at the same point. Acknowledged
// writes have to survive, and all remaining machines have to serve.
func TestLossesAtEachPointOfAReplacement(t *testing.T) {
	step := intFromEnvironment(lossPointStepVariable, lossPointStep)
	for tolerated := 1; tolerated <= 3; tolerated++ {
		for _, first := range firstLosses {
			furtherLosses := tolerated
			if !first.planned {
				furtherLosses--
			}
			for _, powerLoss := range []bool{false, true} {
				t.Run(fmt.Sprint("tolerate ", tolerated, ", ", first.name, ", power loss ", powerLoss), func(
					t *testing.T,
				) {
					t.Parallel()
					c := qt.New(t)
					number := 1
					for furtherLosses > 0 && loseAtPoint(c, tolerated, first, furtherLosses, powerLoss, number) {
						number += step
					}
					c.Logf("%d fault injection points", number)
					c.Assert(furtherLosses == 0 || number > 20, qt.IsTrue)
				})
			}
		}
	}
}

// loseAtPoint simulates one replacement, with furtherLosses lost disks at the fault injection point with a
// number, counted from 1. It returns false if the replacement has fewer points.
func loseAtPoint(
	c *qt.C, tolerated int, first firstLoss, furtherLosses int, powerLoss bool, number int,
) bool {
	world := newLossWorld(c, tolerated)
	victim := world.machines[fmt.Sprintf("10.0.0.%d", 1+number%world.targetMembers)]
	points := 0
	label := ""
	world.onPoint = func(machine *simMachine, name string) {
		points++
		if points == number {
			world.onPoint = nil
			label = fmt.Sprintf("%s of %s, point %d: %s %s",
				first.name, victim.address, number, machine.address, name)
			world.loseDisks(machine, victim, furtherLosses, powerLoss)
		}
	}
	first.inject(world, victim)
	world.writeAt("10.0.0.9", 1, 2, "two")
	world.run(lossRepairDuration)
	if world.onPoint != nil {
		return false
	}
	world.run(lossRecoveryDuration)
	world.mustServeAcknowledged(c, label)
	return true
}

// newLossWorld bootstraps a world whose chain tolerates a number of lost disks, commits version 1 and runs
// until the chain is stable.
func newLossWorld(c *qt.C, tolerated int) *lossWorld {
	world := &lossWorld{newWorld(int64(tolerated)), tolerated}
	world.targetMembers, world.requiredReplicas = 2*tolerated+1, tolerated+1
	bootstrapMembers(world.simWorld)
	outcome := world.writeAt("10.0.0.1", 0, 1, "one")
	world.run(time.Second)
	c.Assert(*outcome, qt.Equals, Applied)
	return world
}

// loseDisks crashes and wipes a number of machines: first the one that has reached the fault injection
// point, then others. It skips the victim of the first loss, and machines that are removed or have no disk.
// With powerLoss, all other machines that are up lose power.
func (w *lossWorld) loseDisks(reachedPoint, victim *simMachine, count int, powerLoss bool) {
	lost := map[string]bool{}
	for _, machine := range append([]*simMachine{reachedPoint}, w.machinesWithDisk()...) {
		if len(lost) < count && machine.hasDisk && machine != victim && !machine.removed &&
			!lost[machine.address] {
			lost[machine.address] = true
			w.crashAndWipe(machine)
		}
	}
	if !powerLoss {
		return
	}
	for _, address := range w.addresses {
		if machine := w.machines[address]; !lost[address] && !machine.removed && machine.up() {
			w.crashAndRestart(machine, faultfs.LoseAll)
		}
	}
}

// machinesWithDisk returns the machines that have a disk, the removed ones included.
func (w *lossWorld) machinesWithDisk() []*simMachine {
	var machines []*simMachine
	for _, address := range w.addresses {
		if machine := w.machines[address]; machine.hasDisk {
			machines = append(machines, machine)
		}
	}
	return machines
}

// remove removes a machine for good.
func (w *lossWorld) remove(machine *simMachine) {
	machine.crash(faultfs.KeepAll)
	machine.removed = true
}

// drain drains a machine, and removes it when it is drained or after lossDrainGracePeriod.
func (w *lossWorld) drain(machine *simMachine) {
	startedAt := w.now
	machine.step(func(n *Node) Effects { return n.Drain(w.now) })
	var check func()
	check = func() {
		if machine.up() && !machine.node.Drained() && w.now-startedAt < lossDrainGracePeriod {
			w.after(simTick, check)
			return
		}
		w.remove(machine)
	}
	w.after(simTick, check)
}

// mustServeAcknowledged checks that a retry of the write of version 2 is acknowledged, that all remaining
// machines read its value, that a retry of the write of version 1 is acknowledged, and that a new write is
// applied.
func (w *lossWorld) mustServeAcknowledged(c *qt.C, label string) {
	comment := qt.Commentf("%s", label)
	two := w.writeAt("10.0.0.9", 1, 2, "two") // retries the write that the caller has started
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

// TestLossRightAfterARepair loses a second disk as soon as the first loss is repaired, that is, when a view
// that includes the replacement is open at all of its replicas.
func TestLossRightAfterARepair(t *testing.T) {
	c := qt.New(t)
	for _, first := range firstLosses {
		longestRepair := time.Duration(0)
		for choice := range 3 * 3 * 2 {
			world := newLossWorld(c, 1)
			victim, second := world.machinesWithDisk()[choice/2%3], world.machinesWithDisk()[choice/6]
			startedAt := world.now
			first.inject(world, victim)
			repaired := func() bool {
				view := world.machines["10.0.0.9"].node.View()
				return view.Epoch > 1 && len(view.Chain) == 3 && (&nemesis{world: world.simWorld}).mayLoseDisk()
			}
			for world.run(simTick); !repaired(); world.run(simTick) {
				c.Assert(world.now-startedAt < lossRepairDuration, qt.IsTrue,
					qt.Commentf("%s of %s", first.name, victim.address))
			}
			longestRepair = max(longestRepair, world.now-startedAt)
			if second.removed {
				continue
			}
			world.loseDisks(second, nil, 1, choice%2 == 1)
			world.writeAt("10.0.0.9", 1, 2, "two")
			world.run(lossRecoveryDuration)
			world.mustServeAcknowledged(c, fmt.Sprintf("%s of %s, then %s", first.name, victim.address,
				second.address))
		}
		c.Logf("%s: repaired after %v at most", first.name, longestRepair)
	}
}
