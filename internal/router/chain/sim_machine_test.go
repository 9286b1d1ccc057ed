package chain

import (
	"math/rand"
	"time"

	"cresshub/internal/segmentlog"
	"cresshub/internal/segmentlog/faultfs"
)

// simFolder is where a simulated log is.
const simFolder = "state"

// simSync is how long a simulated machine's disk takes for one step's records.
const simSync = time.Millisecond

// simMachine is one machine at one address: its disk, and its node if it is up.
type simMachine struct {
	world   *simWorld
	address string
	hasDisk bool
	// firstStart is Config.AllowBootstrap of the next start.
	firstStart bool
	disk       *faultfs.FS
	log        *segmentlog.Log
	node       *Node
	// incarnation counts starts, so that events of an earlier incarnation are dropped.
	incarnation int
	// maxCommitted is the highest sequence that this incarnation has known to be committed.
	maxCommitted uint64
	// syncDelay is how long the disk takes for one step's records.
	syncDelay time.Duration
	// busyUntil is when a sync or a stall of the process ends and the next event is handled.
	busyUntil time.Duration
	// removed says that the machine never starts again.
	removed bool
	// waiting are the callbacks of local requests, by number.
	waiting map[uint64]func(Reply)
}

// addMachine makes a machine with an empty disk and starts it.
func (w *simWorld) addMachine(address string, hasDisk, first bool) *simMachine {
	machine := &simMachine{
		world: w, address: address, hasDisk: hasDisk, firstStart: first, disk: faultfs.New(), syncDelay: simSync,
	}
	w.machines[address] = machine
	w.addresses = append(w.addresses, address)
	machine.boot()
	return machine
}

// config returns the node's configuration.
func (m *simMachine) config() Config {
	return Config{
		Self: Member{m.world.newIdentity(), m.address}, HasDisk: m.hasDisk, AllowBootstrap: m.firstStart,
		TargetMembers: m.world.members, RequiredReplicas: m.world.requiredReplicas,
		HistoryLength: m.world.historyLength,
		Random:        rand.New(rand.NewSource(m.world.random.Int63())),
	}
}

// up reports whether the machine's process runs.
func (m *simMachine) up() bool { return m.node != nil }

// boot starts the machine's process from its disk.
func (m *simMachine) boot() {
	world := m.world
	m.incarnation++
	m.busyUntil = world.now
	m.waiting = map[uint64]func(Reply){}
	var records [][]byte
	if m.hasDisk {
		var err error
		options := segmentlog.Options{
			Snapshot:  func() [][]byte { return m.node.SnapshotRecords() },
			MaxGrowth: world.segmentGrowth,
		}
		var damage *segmentlog.CorruptionError
		m.log, records, damage, err = segmentlog.OpenOrReset(m.disk, simFolder, options)
		if damage != nil {
			world.tracef("%s discards its log: %v", m.address, damage)
			world.history.damagedLogs++
		}
		if err != nil {
			m.bootFailed(err)
			return
		}
	}
	node, effects, err := Open(m.config(), world.now, records)
	if err != nil {
		world.failf("%s: %v", m.address, err)
		return
	}
	m.node, m.maxCommitted = node, 0
	node.SetContacts(world.contacts())
	if len(effects.Persist) > 0 && m.hasDisk {
		if err := m.log.Append(effects.Persist...); err != nil {
			m.node = nil
			m.bootFailed(err)
			return
		}
	}
	world.tracef("%s starts as %s", m.address, node.Self().ID)
	m.release(effects)
	m.ticks(m.incarnation)
}

// bootFailed retries later if the disk may work by then.
func (m *simMachine) bootFailed(err error) {
	m.world.tracef("%s can't start: %v", m.address, err)
	incarnation := m.incarnation
	m.world.after(300*time.Millisecond, func() {
		if m.incarnation == incarnation && !m.up() && !m.removed {
			m.disk.Restart(faultfs.KeepAll, m.world.random)
			m.boot()
		}
	})
}

// ticks calls Tick at intervals until the incarnation ends.
func (m *simMachine) ticks(incarnation int) {
	if m.incarnation != incarnation || !m.up() {
		return
	}
	m.step(func(n *Node) Effects { return n.Tick(m.world.now) })
	m.world.after(simTick, func() { m.ticks(incarnation) })
}

// step runs one step of the node, later if the machine is busy.
func (m *simMachine) step(do func(*Node) Effects) {
	world := m.world
	if !m.up() {
		return
	}
	if world.now < m.busyUntil {
		incarnation := m.incarnation
		world.after(m.busyUntil-world.now, func() {
			if m.incarnation == incarnation {
				m.step(do)
			}
		})
		return
	}
	m.perform(do(m.node))
}

// reachPoint reaches a numbered point and reports whether the machine still runs after it.
func (m *simMachine) reachPoint(name string) bool {
	incarnation := m.incarnation
	if m.world.point != nil {
		m.world.point(m, name)
	}
	return m.up() && m.incarnation == incarnation
}

// perform persists records and releases what depends on them when the disk is done.
func (m *simMachine) perform(effects Effects) {
	if len(effects.Persist) == 0 || !m.hasDisk {
		m.observe()
		m.release(effects)
		return
	}
	if !m.reachPoint("before the records") {
		return
	}
	if err := m.log.Append(effects.Persist...); err != nil {
		if m.disk.Down() {
			m.world.tracef("%s crashes at its disk", m.address)
			m.stop()
			return
		}
		m.world.tracef("%s: %v", m.address, err)
		effects = m.node.PersistFailed(m.world.now)
		m.observe()
		m.release(effects)
		return
	}
	m.observe()
	if !m.reachPoint("behind the records") {
		return
	}
	incarnation := m.incarnation
	m.busyUntil = m.world.now + m.syncDelay
	m.world.after(m.syncDelay, func() {
		if m.incarnation == incarnation && m.up() {
			m.release(effects)
		}
	})
}

// release sends messages and delivers replies.
func (m *simMachine) release(effects Effects) {
	for _, envelope := range effects.Messages {
		if isPathMessage(envelope.Message.Kind) && !m.reachPoint("before a message") {
			return
		}
		m.world.transmit(m.address, envelope)
		if isPathMessage(envelope.Message.Kind) && !m.reachPoint("behind a message") {
			return
		}
	}
	for _, reply := range effects.Replies {
		if !m.reachPoint("before a reply") {
			return
		}
		if waiting := m.waiting[reply.Request]; waiting != nil {
			delete(m.waiting, reply.Request)
			waiting(reply)
		}
		if !m.reachPoint("behind a reply") {
			return
		}
	}
}

// isPathMessage reports whether a message is on the path of a write.
func isPathMessage(kind Kind) bool {
	switch kind {
	case Append, FetchBody, Ack, Commit, Forward, ForwardReply:
		return true
	}
	return false
}

// stop ends the process; its clients get no answer.
func (m *simMachine) stop() {
	if !m.up() {
		return
	}
	m.node = nil
	m.incarnation++
	waiting := m.waiting
	m.waiting = map[uint64]func(Reply){}
	for _, id := range sortedKeys(waiting) {
		waiting[id](Reply{Request: id, Outcome: Unavailable})
	}
}

// crash ends the process and restarts the machine later with what the loss leaves on the disk.
func (m *simMachine) crash(loss faultfs.Loss) {
	m.stop()
	m.disk.Crash()
	m.disk.Restart(loss, m.world.random)
}

// request asks the node for a read, or for a write if there is a proposal.
func (m *simMachine) request(proposal *Proposal, done func(Reply)) {
	m.submit(done, func(n *Node, request uint64) Effects {
		if proposal == nil {
			return n.Read(m.world.now, request)
		}
		return n.Propose(m.world.now, request, *proposal)
	})
}

// confirm asks whether a change was committed, as callers do that can't produce its body any more.
func (m *simMachine) confirm(change ChangeID, done func(Reply)) {
	m.submit(done, func(n *Node, request uint64) Effects { return n.Confirm(m.world.now, request, change) })
}

// submit has a machine run a call under a new request number.
func (m *simMachine) submit(done func(Reply), call func(n *Node, request uint64) Effects) {
	if !m.up() {
		done(Reply{Outcome: Unavailable})
		return
	}
	m.world.requests++
	request := m.world.requests
	m.waiting[request] = done
	m.step(func(n *Node) Effects { return call(n, request) })
}
