package chain

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cresshub/internal/segmentlog/faultfs"
)

// nemesis injects random faults at random times.
type nemesis struct {
	world *simWorld
	// until is the virtual time at which the injection of faults ends.
	until time.Duration
	// machinesAdded counts the machines that were added to replace others.
	machinesAdded int
}

// scheduleNext schedules the next fault, after a random delay.
func (ne *nemesis) scheduleNext() {
	world := ne.world
	world.after(time.Duration(world.random.Int63n(int64(900*time.Millisecond))), func() {
		if world.now >= ne.until {
			return
		}
		ne.injectFault()
		ne.scheduleNext()
	})
}

// drawMachine returns a random machine that is not removed.
func (ne *nemesis) drawMachine() *simMachine {
	world := ne.world
	for {
		if machine := world.machines[world.addresses[world.random.Intn(len(world.addresses))]]; !machine.removed {
			return machine
		}
	}
}

// injectFault injects a random fault. Most kinds of faults concern one machine, which is random, too.
func (ne *nemesis) injectFault() {
	faults := []struct {
		name   string
		inject func(*simMachine)
	}{
		{"process killed", ne.kill}, {"power lost", ne.losePower}, {"power lost by all", ne.losePowerOfAll},
		{"crash during a disk operation", ne.crashInDisk}, {"disk fails once", ne.failDiskOnce},
		{"disk full", ne.fillDisk},
		{"process stalled", ne.stall}, {"disk lost", ne.wipeDisk}, {"disk lost while the others lose power",
			ne.wipeDiskAndLosePower},
		{"machine replaced", ne.replace}, {"partition", ne.partition}, {"one-way partition", ne.partitionOneWay},
		{"lossy links", ne.degradeLinks}, {"machine drains", ne.drain}, {"all links healed", ne.healLinks},
		{"corruption at the end of the log", ne.corruptLog},
	}
	machine := ne.drawMachine()
	fault := faults[ne.world.random.Intn(len(faults))]
	ne.world.tracef("fault: %s at %s", fault.name, machine.address)
	fault.inject(machine)
}

// restartLater boots a machine after a random delay, or at once if the injection of faults has ended.
func (ne *nemesis) restartLater(machine *simMachine) {
	world := ne.world
	if world.now >= ne.until {
		machine.boot()
		return
	}
	longest := 500 * time.Millisecond
	if world.random.Intn(3) == 0 {
		longest = 4 * time.Second
	}
	incarnation := machine.incarnation
	world.after(time.Duration(world.random.Int63n(int64(longest))), func() {
		if machine.incarnation == incarnation && !machine.up() && !machine.removed {
			machine.boot()
		}
	})
}

// drawLoss returns at random what a power loss does to writes that were not synced.
func (ne *nemesis) drawLoss() faultfs.Loss {
	return []faultfs.Loss{faultfs.KeepAll, faultfs.LoseAll, faultfs.LoseSome}[ne.world.random.Intn(3)]
}

// kill ends the process. What it wrote stays on the disk.
func (ne *nemesis) kill(machine *simMachine) {
	machine.crash(faultfs.KeepAll)
	ne.restartLater(machine)
}

func (ne *nemesis) losePower(machine *simMachine) {
	machine.crash(ne.drawLoss())
	ne.restartLater(machine)
}

func (ne *nemesis) losePowerOfAll(*simMachine) {
	for _, address := range ne.world.addresses {
		if machine := ne.world.machines[address]; !machine.removed {
			ne.losePower(machine)
		}
	}
}

// crashInDisk crashes the machine at one of its next 8 disk operations. If that has happened within 2 s, the
// machine is restarted after them.
func (ne *nemesis) crashInDisk(machine *simMachine) {
	if !machine.hasDisk || !machine.up() {
		return
	}
	world := ne.world
	fault := []faultfs.Fault{faultfs.CrashBefore, faultfs.CrashAfter}[world.random.Intn(2)]
	machine.disk.FaultAt(1+world.random.Intn(8), fault)
	world.after(2*time.Second, func() {
		if machine.disk.Down() && !machine.removed {
			machine.crash(ne.drawLoss())
			ne.restartLater(machine)
		}
	})
}

func (ne *nemesis) failDiskOnce(machine *simMachine) {
	machine.disk.FaultAt(1+ne.world.random.Intn(4), faultfs.FailIO)
}

func (ne *nemesis) fillDisk(machine *simMachine) {
	machine.disk.Capacity = 1
	ne.world.after(time.Duration(ne.world.random.Int63n(int64(3*time.Second))),
		func() { machine.disk.Capacity = 0 })
}

func (ne *nemesis) stall(machine *simMachine) {
	machine.busyUntil = ne.world.now + time.Duration(ne.world.random.Int63n(int64(3*time.Second)))
}

// mayLoseDisk reports whether the register tolerates the loss of one more disk: every member of the latest
// view, and of each view that an acceptor has accepted, is up and has its disk, and each replica of the
// latest view has accepted an entry in it.
func (ne *nemesis) mayLoseDisk() bool {
	states := map[MemberID]durableState{}
	var latest View
	var viewMembers []MemberID
	for _, address := range ne.world.addresses {
		machine := ne.world.machines[address]
		if machine.removed || !machine.hasDisk || !machine.up() {
			continue
		}
		states[machine.node.state.id] = machine.node.stable.durableState
		viewMembers = append(viewMembers, memberIDs(machine.node.stable.acceptor.acceptedView.Members)...)
		if view := machine.node.state.view; view.Epoch > latest.Epoch {
			latest = view
		}
	}
	if len(latest.Chain) < 2 {
		return false
	}
	for _, id := range append(viewMembers, memberIDs(latest.Members)...) {
		state, ok := states[id]
		if !ok || latest.inChain(id) && state.accepted.Epoch != latest.Epoch {
			return false
		}
	}
	return true
}

func (ne *nemesis) wipeDisk(machine *simMachine) {
	if !machine.hasDisk || !ne.mayLoseDisk() {
		return
	}
	machine.crash(faultfs.KeepAll)
	machine.disk.Wipe()
	machine.allowBootstrap = false
	ne.world.history.disksLost++
	ne.restartLater(machine)
}

// corruptLog crashes the machine and corrupts one of the last 200 bytes of its log. The machine then counts
// as having lost its disk.
func (ne *nemesis) corruptLog(machine *simMachine) {
	if !machine.hasDisk || !ne.mayLoseDisk() {
		return
	}
	machine.crash(ne.drawLoss())
	names, err := machine.disk.List(simLogDir)
	if err != nil || len(names) == 0 {
		ne.restartLater(machine)
		return
	}
	name := simLogDir + "/" + slices.Max(names)
	data, err := machine.disk.ReadFile(name)
	if err == nil && strings.HasSuffix(name, ".segment") && len(data) > 0 {
		err = machine.disk.Corrupt(name, len(data)-1-ne.world.random.Intn(min(len(data), 200)))
	}
	if err != nil {
		ne.world.failf("corrupting the log of %s: %v", machine.address, err)
	}
	machine.allowBootstrap = false
	ne.world.history.disksLost++
	ne.restartLater(machine)
}

func (ne *nemesis) wipeDiskAndLosePower(machine *simMachine) {
	if !machine.hasDisk || !ne.mayLoseDisk() {
		return
	}
	ne.wipeDisk(machine)
	for _, address := range ne.world.addresses {
		if other := ne.world.machines[address]; !other.removed && other != machine {
			ne.losePower(other)
		}
	}
}

// replace removes a machine for good and starts another one with a new disk and address.
func (ne *nemesis) replace(machine *simMachine) {
	if !machine.hasDisk || !ne.mayLoseDisk() {
		return
	}
	machine.crash(faultfs.KeepAll)
	machine.removed = true
	ne.world.history.disksLost++
	ne.machinesAdded++
	ne.world.addMachine(fmt.Sprintf("10.0.1.%d", ne.machinesAdded), true, false)
	for _, address := range ne.world.addresses {
		if other := ne.world.machines[address]; other.up() {
			other.node.SetContacts(ne.world.contacts())
		}
	}
}

// partition separates the machines into two random groups, for up to 4 s.
func (ne *nemesis) partition(*simMachine) {
	world := ne.world
	side := map[string]bool{}
	for _, address := range world.addresses {
		side[address] = world.random.Intn(2) == 0
	}
	for _, from := range world.addresses {
		for _, to := range world.addresses {
			world.link(from, to).blocked = side[from] != side[to]
		}
	}
	world.after(time.Duration(world.random.Int63n(int64(4*time.Second))), func() { ne.healLinks(nil) })
}

// partitionOneWay blocks the link from the machine to another one, for up to 4 s.
func (ne *nemesis) partitionOneWay(machine *simMachine) {
	other := ne.drawMachine()
	if other == machine {
		return
	}
	link := ne.world.link(machine.address, other.address)
	link.blocked = true
	ne.world.after(time.Duration(ne.world.random.Int63n(int64(4*time.Second))), func() { link.blocked = false })
}

// degradeLinks makes all links lose up to 30% of the messages and delay them by up to 60 ms more.
func (ne *nemesis) degradeLinks(*simMachine) {
	world := ne.world
	loss, delay := world.random.Float64()*0.3, time.Duration(world.random.Int63n(int64(60*time.Millisecond)))
	for _, from := range world.addresses {
		for _, to := range world.addresses {
			link := world.link(from, to)
			link.lossProbability, link.maxExtraDelay = loss, delay
		}
	}
}

// drain drains the machine and restarts it 800 ms later.
func (ne *nemesis) drain(machine *simMachine) {
	if !machine.up() {
		return
	}
	machine.step(func(n *Node) Effects { return n.Drain(ne.world.now) })
	incarnation := machine.incarnation
	ne.world.after(800*time.Millisecond, func() {
		if machine.incarnation == incarnation && machine.up() {
			machine.crash(faultfs.KeepAll)
			ne.restartLater(machine)
		}
	})
}

func (ne *nemesis) healLinks(*simMachine) {
	for _, link := range ne.world.links {
		*link = simLink{}
	}
}

// healAll ends all faults and starts the machines that are down and not removed.
func (ne *nemesis) healAll() {
	ne.healLinks(nil)
	ne.world.duplicateProbability = 0
	for _, address := range ne.world.addresses {
		machine := ne.world.machines[address]
		machine.disk.Capacity = 0
		machine.disk.FaultAt(0, faultfs.NoFault)
		machine.busyUntil = min(machine.busyUntil, ne.world.now)
		if machine.removed {
			continue
		}
		if machine.disk.Down() {
			machine.crash(faultfs.LoseSome)
		}
		if !machine.up() {
			machine.boot()
		}
	}
}
