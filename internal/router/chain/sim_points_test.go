package chain

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/segmentlog/faultfs"
)

// pointFault is a fault that is injected when a machine reaches a fault injection point.
type pointFault struct {
	name   string
	inject func(world *simWorld, machine *simMachine)
}

// pointFaults are the faults that are injected in turn, in separate runs, at each fault injection point.
var pointFaults = []pointFault{
	{"process killed", func(world *simWorld, machine *simMachine) {
		world.crashAndRestart(machine, faultfs.KeepAll)
	}},
	{"power lost", func(world *simWorld, machine *simMachine) {
		world.crashAndRestart(machine, faultfs.LoseAll)
	}},
	{"power lost, some writes persisted", func(world *simWorld, machine *simMachine) {
		world.crashAndRestart(machine, faultfs.LoseSome)
	}},
	{"power lost by all", func(world *simWorld, _ *simMachine) { world.crashAllExcept(nil) }},
	{"disk lost", func(world *simWorld, machine *simMachine) { world.crashAndWipe(machine) }},
	{"disk lost while the others lose power", func(world *simWorld, machine *simMachine) {
		world.crashAndWipe(machine)
		world.crashAllExcept(machine)
	}},
}

// crashAndRestart crashes a machine and boots it again after 200 ms, unless it is started or stopped before.
func (w *simWorld) crashAndRestart(machine *simMachine, loss faultfs.Loss) {
	machine.crash(loss)
	incarnation := machine.incarnation
	w.after(200*time.Millisecond, func() {
		if machine.incarnation == incarnation {
			machine.boot()
		}
	})
}

// crashAndWipe is crashAndRestart with the loss of the machine's disk.
func (w *simWorld) crashAndWipe(machine *simMachine) {
	w.crashAndRestart(machine, faultfs.KeepAll)
	machine.disk.Wipe()
	machine.allowBootstrap = false
}

// crashAllExcept makes all machines lose power except one, or all of them if except is nil.
func (w *simWorld) crashAllExcept(except *simMachine) {
	for _, address := range w.addresses {
		if machine := w.machines[address]; machine != except {
			w.crashAndRestart(machine, faultfs.LoseAll)
		}
	}
}

// newThreeMachineWorld bootstraps a chain of three machines, commits version 1 and runs until the chain is
// stable.
func newThreeMachineWorld(c *qt.C, segmentGrowth int64) *simWorld {
	world := newWorld(1)
	world.segmentGrowth = segmentGrowth
	var members []Member
	for i := range 3 {
		members = append(members, world.addMachine(fmt.Sprintf("10.0.0.%d", i+1), true, true).node.Self())
	}
	for _, address := range world.addresses {
		world.machines[address].node.SetContacts(world.contacts())
	}
	world.machines["10.0.0.1"].step(func(n *Node) Effects { return n.Bootstrap(world.now, members) })
	world.run(time.Second)
	outcome := world.writeAt("10.0.0.1", 0, 1, "one")
	world.run(2 * time.Second)
	c.Assert(*outcome, qt.Equals, Applied)
	return world
}

// writeAt starts a write at a machine. The outcome that it returns is 0 until the write is answered.
func (w *simWorld) writeAt(address string, expected, version int64, body string) *Outcome {
	outcome := new(Outcome)
	proposal := Proposal{expected, version, []byte(body)}
	w.machines[address].request(&proposal, func(reply Reply) { *outcome = reply.Outcome })
	return outcome
}

// mustBeConsistentAfterWrite checks the register after the write of version 2 that a fault interrupted.
// Every machine has to read the same value: version 2 if the write was acknowledged, else version 2 or 1.
// Another write has to be applied. Retries of committed writes have to be acknowledged, and other writes of
// the same versions rejected.
func (w *simWorld) mustBeConsistentAfterWrite(c *qt.C, outcome Outcome, label string) {
	comment := qt.Commentf("%s, outcome %v", label, outcome)
	var bodies []string
	version := int64(0)
	for _, address := range w.addresses {
		w.machines[address].request(nil, func(reply Reply) {
			c.Assert(reply.Outcome, qt.Equals, Applied, comment)
			bodies = append(bodies, string(reply.Entry.Body))
			version = reply.Entry.Version
		})
	}
	w.run(300 * time.Millisecond)
	c.Assert(bodies, qt.HasLen, 3, comment)
	for _, body := range bodies {
		c.Assert(body == "two" || body == "one" && outcome != Applied, qt.IsTrue, comment)
		c.Assert(body, qt.Equals, bodies[0], comment)
	}
	next := w.writeAt("10.0.0.2", version, version+1, "next")
	w.run(300 * time.Millisecond)
	c.Assert(*next, qt.Equals, Applied, comment)
	wantRetry := Conflict
	if bodies[0] == "two" {
		wantRetry = Applied
	}
	first := w.writeAt("10.0.0.3", 0, 1, "one")
	two := w.writeAt("10.0.0.1", 1, 2, "two")
	other := w.writeAt("10.0.0.2", 1, 2, "other")
	w.run(300 * time.Millisecond)
	c.Assert([]Outcome{*first, *two, *other}, qt.DeepEquals, []Outcome{Applied, wantRetry, Conflict}, comment)
	c.Assert(w.failure, qt.Equals, "", comment)
}

// TestFaultAtEachPointOfAWrite injects each kind of fault at each fault injection point that the machines
// reach within 100 ms of the proposal of a write: before and after persisting records, sending a message
// and delivering a reply.
func TestFaultAtEachPointOfAWrite(t *testing.T) {
	c := qt.New(t)
	for _, origin := range []string{"10.0.0.1", "10.0.0.3"} {
		for _, fault := range pointFaults {
			reached := map[string]bool{} // machine and point where a fault was injected
			number := 1
			for writeWithFaultAtPoint(c, origin, fault, number, reached) {
				number++
			}
			c.Logf("write at %s, %s: %d fault injection points", origin, fault.name, number-1)
			for _, replica := range []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"} {
				c.Assert(reached[replica+" before persisting"], qt.IsTrue)
				c.Assert(reached[replica+" after persisting"], qt.IsTrue)
				c.Assert(reached[replica+" before a message"], qt.IsTrue)
			}
		}
	}
}

// writeWithFaultAtPoint writes at a machine and injects a fault at the point with a number, counted from 1,
// which it adds to reached. It returns false if the write has fewer points.
func writeWithFaultAtPoint(
	c *qt.C, origin string, fault pointFault, number int, reached map[string]bool,
) bool {
	world := newThreeMachineWorld(c, simSegmentGrowth)
	points := 0
	label := ""
	world.onPoint = func(machine *simMachine, name string) {
		points++
		if points == number {
			world.onPoint = nil
			label = fmt.Sprintf("%s at point %d: %s %s", fault.name, number, machine.address, name)
			reached[machine.address+" "+name] = true
			fault.inject(world, machine)
		}
	}
	outcome := world.writeAt(origin, 1, 2, "two")
	world.run(100 * time.Millisecond)
	if world.onPoint != nil {
		return false
	}
	world.run(5 * time.Second)
	world.mustBeConsistentAfterWrite(c, *outcome, label)
	return true
}

// TestFaultAtEachDiskOperationOfAWrite injects a fault at each disk operation of each replica during a
// write. In one series the log appends the write to its segment, in the other it begins a new segment for
// it.
func TestFaultAtEachDiskOperationOfAWrite(t *testing.T) {
	c := qt.New(t)
	for _, replica := range []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"} {
		for _, fault := range []faultfs.Fault{faultfs.CrashBefore, faultfs.CrashAfter, faultfs.FailIO} {
			for _, loss := range []faultfs.Loss{faultfs.KeepAll, faultfs.LoseAll, faultfs.LoseSome} {
				appended, compacted := 1, 1
				for writeWithDiskFault(c, simSegmentGrowth, replica, fault, loss, appended) {
					appended++
				}
				for writeWithDiskFault(c, 1, replica, fault, loss, compacted) {
					compacted++
				}
				c.Assert(appended > 2, qt.IsTrue)
				c.Assert(compacted > 6, qt.IsTrue)
			}
		}
	}
}

// writeWithDiskFault writes with a fault at the disk operation of a replica that has a number, counted from
// 1. It returns false if the replica's disk has fewer operations during the write.
func writeWithDiskFault(
	c *qt.C, segmentGrowth int64, replica string, fault faultfs.Fault, loss faultfs.Loss, number int,
) bool {
	world := newThreeMachineWorld(c, segmentGrowth)
	machine := world.machines[replica]
	operationsBefore := machine.disk.Operations
	machine.disk.FaultAt(number, fault)
	outcome := world.writeAt("10.0.0.1", 1, 2, "two")
	world.run(100 * time.Millisecond)
	if machine.disk.Operations < operationsBefore+number {
		return false
	}
	if machine.disk.Down() {
		world.crashAndRestart(machine, loss)
	}
	world.run(5 * time.Second)
	world.mustBeConsistentAfterWrite(c, *outcome,
		fmt.Sprintf("%s, fault %d, loss %d, operation %d", replica, fault, loss, number))
	return true
}
