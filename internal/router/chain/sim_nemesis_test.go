package chain

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cresshub/internal/segmentlog/faultfs"
)

// nemesis injects faults at random times until its end.
type nemesis struct {
	world *simWorld
	until time.Duration
	added int
}

// scheduleNext schedules the next fault.
func (s *nemesis) scheduleNext() {
	w := s.world
	w.after(time.Duration(w.random.Int63n(int64(900*time.Millisecond))), func() {
		if w.now >= s.until {
			return
		}
		s.fault()
		s.scheduleNext()
	})
}

// machine draws a machine that is not removed.
func (s *nemesis) machine() *simMachine {
	w := s.world
	for {
		if m := w.machines[w.addresses[w.random.Intn(len(w.addresses))]]; !m.removed {
			return m
		}
	}
}

// fault injects one fault.
func (s *nemesis) fault() {
	faults := []struct {
		name string
		do   func(*simMachine)
	}{
		{"process killed", s.kill}, {"power lost", s.losePower}, {"power lost by all", s.losePowerOfAll},
		{"crash in the disk", s.crashInDisk}, {"disk fails once", s.failDiskOnce}, {"disk full", s.fillDisk},
		{"process stall", s.stall}, {"disk lost", s.wipeDisk}, {"disk lost while the others lose power",
			s.wipeDiskAndLosePower},
		{"machine replaced", s.replace}, {"partition", s.partition}, {"one-way partition", s.partitionOneWay},
		{"lossy links", s.degradeLinks}, {"drain", s.drain}, {"all links healed", s.healLinks},
		{"corruption at the end of the log", s.corruptLog},
	}
	m := s.machine()
	one := faults[s.world.random.Intn(len(faults))]
	s.world.tracef("fault: %s at %s", one.name, m.address)
	one.do(m)
}

// restartLater starts a machine again after a random time.
func (s *nemesis) restartLater(m *simMachine) {
	w := s.world
	if w.now >= s.until {
		m.boot()
		return
	}
	longest := 500 * time.Millisecond
	if w.random.Intn(3) == 0 {
		longest = 4 * time.Second
	}
	incarnation := m.incarnation
	w.after(time.Duration(w.random.Int63n(int64(longest))), func() {
		if m.incarnation == incarnation && !m.up() && !m.removed {
			m.boot()
		}
	})
}

// drawLoss draws what a power loss leaves on the disk.
func (s *nemesis) drawLoss() faultfs.Loss {
	return []faultfs.Loss{faultfs.KeepAll, faultfs.LoseAll, faultfs.LoseSome}[s.world.random.Intn(3)]
}

func (s *nemesis) kill(m *simMachine) {
	m.crash(faultfs.KeepAll)
	s.restartLater(m)
}

func (s *nemesis) losePower(m *simMachine) {
	m.crash(s.drawLoss())
	s.restartLater(m)
}

func (s *nemesis) losePowerOfAll(*simMachine) {
	for _, address := range s.world.addresses {
		if m := s.world.machines[address]; !m.removed {
			s.losePower(m)
		}
	}
}

// crashInDisk crashes the machine at one of its next operations on the disk.
func (s *nemesis) crashInDisk(m *simMachine) {
	if !m.hasDisk || !m.up() {
		return
	}
	w := s.world
	fault := []faultfs.Fault{faultfs.CrashBefore, faultfs.CrashAfter}[w.random.Intn(2)]
	m.disk.FaultAt(1+w.random.Intn(8), fault)
	w.after(2*time.Second, func() {
		if m.disk.Down() && !m.removed {
			m.crash(s.drawLoss())
			s.restartLater(m)
		}
	})
}

func (s *nemesis) failDiskOnce(m *simMachine) {
	m.disk.FaultAt(1+s.world.random.Intn(4), faultfs.FailIO)
}

func (s *nemesis) fillDisk(m *simMachine) {
	m.disk.Capacity = 1
	s.world.after(time.Duration(s.world.random.Int63n(int64(3*time.Second))), func() { m.disk.Capacity = 0 })
}

func (s *nemesis) stall(m *simMachine) {
	m.busyUntil = s.world.now + time.Duration(s.world.random.Int63n(int64(3*time.Second)))
}

// mayLoseDisk reports whether one more disk can be lost: the last one that was lost has been replaced in the
// latest view and in each one that may still be decided, and each replica of the latest view has the state.
func (s *nemesis) mayLoseDisk() bool {
	disks := map[MemberID]durableState{}
	var latest View
	var named []MemberID
	for _, address := range s.world.addresses {
		m := s.world.machines[address]
		if m.removed || !m.hasDisk || !m.up() {
			continue
		}
		disks[m.node.state.id] = m.node.stable.durableState
		named = append(named, memberIDs(m.node.stable.acceptor.acceptedView.Members)...)
		if view := m.node.state.view; view.Epoch > latest.Epoch {
			latest = view
		}
	}
	if len(latest.Chain) < 2 {
		return false
	}
	for _, id := range append(named, memberIDs(latest.Members)...) {
		disk, ok := disks[id]
		if !ok || latest.inChain(id) && disk.accepted.Epoch != latest.Epoch {
			return false
		}
	}
	return true
}

func (s *nemesis) wipeDisk(m *simMachine) {
	if !m.hasDisk || !s.mayLoseDisk() {
		return
	}
	m.crash(faultfs.KeepAll)
	m.disk.Wipe()
	m.firstStart = false
	s.world.history.disksLost++
	s.restartLater(m)
}

// corruptLog flips a bit of a log's last records while the machine is down, which then counts as having lost
// its disk.
func (s *nemesis) corruptLog(m *simMachine) {
	if !m.hasDisk || !s.mayLoseDisk() {
		return
	}
	m.crash(s.drawLoss())
	names, err := m.disk.List(simFolder)
	if err != nil || len(names) == 0 {
		s.restartLater(m)
		return
	}
	name := simFolder + "/" + slices.Max(names)
	data, err := m.disk.ReadFile(name)
	if err == nil && strings.HasSuffix(name, ".segment") && len(data) > 0 {
		err = m.disk.Corrupt(name, len(data)-1-s.world.random.Intn(min(len(data), 200)))
	}
	if err != nil {
		s.world.failf("%s: %v", m.address, err)
	}
	m.firstStart = false
	s.world.history.disksLost++
	s.restartLater(m)
}

func (s *nemesis) wipeDiskAndLosePower(m *simMachine) {
	if !m.hasDisk || !s.mayLoseDisk() {
		return
	}
	s.wipeDisk(m)
	for _, address := range s.world.addresses {
		if other := s.world.machines[address]; !other.removed && other != m {
			s.losePower(other)
		}
	}
}

// replace removes a machine and starts another at a new address.
func (s *nemesis) replace(m *simMachine) {
	if !m.hasDisk || !s.mayLoseDisk() {
		return
	}
	m.crash(faultfs.KeepAll)
	m.removed = true
	s.world.history.disksLost++
	s.added++
	s.world.addMachine(fmt.Sprintf("10.0.1.%d", s.added), true, false)
	for _, address := range s.world.addresses {
		if other := s.world.machines[address]; other.up() {
			other.node.SetContacts(s.world.contacts())
		}
	}
}

// partition separates the machines into two groups.
func (s *nemesis) partition(*simMachine) {
	w := s.world
	side := map[string]bool{}
	for _, address := range w.addresses {
		side[address] = w.random.Intn(2) == 0
	}
	for _, from := range w.addresses {
		for _, to := range w.addresses {
			w.link(from, to).blocked = side[from] != side[to]
		}
	}
	w.after(time.Duration(w.random.Int63n(int64(4*time.Second))), func() { s.healLinks(nil) })
}

func (s *nemesis) partitionOneWay(m *simMachine) {
	other := s.machine()
	if other == m {
		return
	}
	link := s.world.link(m.address, other.address)
	link.blocked = true
	s.world.after(time.Duration(s.world.random.Int63n(int64(4*time.Second))), func() { link.blocked = false })
}

func (s *nemesis) degradeLinks(*simMachine) {
	w := s.world
	loss, delay := w.random.Float64()*0.3, time.Duration(w.random.Int63n(int64(60*time.Millisecond)))
	for _, from := range w.addresses {
		for _, to := range w.addresses {
			link := w.link(from, to)
			link.loss, link.delay = loss, delay
		}
	}
}

func (s *nemesis) drain(m *simMachine) {
	if !m.up() {
		return
	}
	m.step(func(n *Node) Effects { return n.Drain(s.world.now) })
	incarnation := m.incarnation
	s.world.after(800*time.Millisecond, func() {
		if m.incarnation == incarnation && m.up() {
			m.crash(faultfs.KeepAll)
			s.restartLater(m)
		}
	})
}

func (s *nemesis) healLinks(*simMachine) {
	for _, link := range s.world.links {
		*link = simLink{}
	}
}

// healAll ends all faults and starts what is down.
func (s *nemesis) healAll() {
	s.healLinks(nil)
	s.world.duplicates = 0
	for _, address := range s.world.addresses {
		m := s.world.machines[address]
		m.disk.Capacity = 0
		m.disk.FaultAt(0, faultfs.NoFault)
		m.busyUntil = min(m.busyUntil, s.world.now)
		if m.removed {
			continue
		}
		if m.disk.Down() {
			m.crash(faultfs.LoseSome)
		}
		if !m.up() {
			m.boot()
		}
	}
}
