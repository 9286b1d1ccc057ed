package chain

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/segmentlog/faultfs"
)

// pointFault is what happens at a numbered point, to the machine that has reached it.
type pointFault struct {
	name string
	do   func(world *simWorld, machine *simMachine)
}

// pointFaults are the faults that each numbered point gets in turn.
var pointFaults = []pointFault{
	{"process killed", func(world *simWorld, machine *simMachine) { world.downAt(machine, faultfs.KeepAll) }},
	{"power lost", func(world *simWorld, machine *simMachine) { world.downAt(machine, faultfs.LoseAll) }},
	{"power lost, some writes persisted", func(world *simWorld, machine *simMachine) {
		world.downAt(machine, faultfs.LoseSome)
	}},
	{"power lost by all", func(world *simWorld, _ *simMachine) { world.othersDown(nil) }},
	{"disk lost", func(world *simWorld, machine *simMachine) { world.wipeAt(machine) }},
	{"disk lost while the others lose power", func(world *simWorld, machine *simMachine) {
		world.wipeAt(machine)
		world.othersDown(machine)
	}},
}

// downAt stops a machine and starts it again a while later.
func (w *simWorld) downAt(machine *simMachine, loss faultfs.Loss) {
	machine.crash(loss)
	incarnation := machine.incarnation
	w.after(200*time.Millisecond, func() {
		if machine.incarnation == incarnation {
			machine.boot()
		}
	})
}

// wipeAt stops a machine and starts it again a while later with an empty disk.
func (w *simWorld) wipeAt(machine *simMachine) {
	w.downAt(machine, faultfs.KeepAll)
	machine.disk.Wipe()
	machine.firstStart = false
}

// othersDown lets all machines but one lose power.
func (w *simWorld) othersDown(spared *simMachine) {
	for _, address := range w.addresses {
		if machine := w.machines[address]; machine != spared {
			w.downAt(machine, faultfs.LoseAll)
		}
	}
}

// threeMachines bootstraps a chain of three in which version 1 is committed, and lets it stabilize.
func threeMachines(c *qt.C, growth int64) *simWorld {
	world := newWorld(1)
	world.segmentGrowth = growth
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

// writeAt starts a write at a machine; the outcome is filled in later.
func (w *simWorld) writeAt(address string, expected, version int64, body string) *Outcome {
	outcome := new(Outcome)
	proposal := Proposal{expected, version, []byte(body)}
	w.machines[address].request(&proposal, func(reply Reply) { *outcome = reply.Outcome })
	return outcome
}

// mustHold checks the register after a write that a fault interrupted: it has the write if that was
// acknowledged, else the write or the value before it, the same at each machine; it takes another write; and
// earlier writes that were committed are acknowledged when they are retried.
func (w *simWorld) mustHold(c *qt.C, outcome Outcome, label string) {
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
	wantTwo := Conflict
	if bodies[0] == "two" {
		wantTwo = Applied
	}
	first := w.writeAt("10.0.0.3", 0, 1, "one")
	two := w.writeAt("10.0.0.1", 1, 2, "two")
	other := w.writeAt("10.0.0.2", 1, 2, "other")
	w.run(300 * time.Millisecond)
	c.Assert([]Outcome{*first, *two, *other}, qt.DeepEquals, []Outcome{Applied, wantTwo, Conflict}, comment)
	c.Assert(w.failure, qt.Equals, "", comment)
}

// TestFaultAtEachPointOfAWrite injects a fault at each numbered point between proposal and acknowledgement.
func TestFaultAtEachPointOfAWrite(t *testing.T) {
	c := qt.New(t)
	for _, origin := range []string{"10.0.0.1", "10.0.0.3"} {
		for _, fault := range pointFaults {
			seen := map[string]bool{}
			number := 1
			for writeWithPoint(c, origin, fault, number, seen) {
				number++
			}
			c.Logf("a write at %s, %s: %d points", origin, fault.name, number-1)
			for _, replica := range []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"} {
				c.Assert(seen[replica+" before the records"], qt.IsTrue)
				c.Assert(seen[replica+" behind the records"], qt.IsTrue)
				c.Assert(seen[replica+" before a message"], qt.IsTrue)
			}
		}
	}
}

// writeWithPoint writes with a fault at a numbered point; false means that the write has fewer points.
func writeWithPoint(c *qt.C, origin string, fault pointFault, number int, seen map[string]bool) bool {
	world := threeMachines(c, simSegmentGrowth)
	reached := 0
	label := ""
	world.point = func(machine *simMachine, name string) {
		reached++
		if reached == number {
			world.point = nil
			label = fmt.Sprintf("%s at point %d: %s %s", fault.name, number, machine.address, name)
			seen[machine.address+" "+name] = true
			fault.do(world, machine)
		}
	}
	outcome := world.writeAt(origin, 1, 2, "two")
	world.run(100 * time.Millisecond)
	if world.point != nil {
		return false
	}
	world.run(5 * time.Second)
	world.mustHold(c, *outcome, label)
	return true
}

// TestFaultAtEachDiskOperationOfAWrite injects a fault at each numbered operation of each replica's disk,
// with a log that appends the write to its segment and with one that begins a new segment for it.
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

// writeWithDiskFault writes with a fault at an operation of a disk; false means that it has fewer.
func writeWithDiskFault(
	c *qt.C, growth int64, replica string, fault faultfs.Fault, loss faultfs.Loss, number int,
) bool {
	world := threeMachines(c, growth)
	machine := world.machines[replica]
	before := machine.disk.Operations
	machine.disk.FaultAt(number, fault)
	outcome := world.writeAt("10.0.0.1", 1, 2, "two")
	world.run(100 * time.Millisecond)
	if machine.disk.Operations < before+number {
		return false
	}
	if machine.disk.Down() {
		world.downAt(machine, loss)
	}
	world.run(5 * time.Second)
	world.mustHold(c, *outcome, fmt.Sprintf("%s, fault %d, loss %d, operation %d", replica, fault, loss, number))
	return true
}
