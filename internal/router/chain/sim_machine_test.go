package chain

import (
	"math/rand"
	"time"

	"cresshub/internal/segmentlog"
	"cresshub/internal/segmentlog/faultfs"
)

// simLogDir is the directory of a machine's log on its simulated disk.
const simLogDir = "state"

// simSyncDelay is how long a simulated disk takes to persist the records of one step, unless a test sets
// simMachine.syncDelay.
const simSyncDelay = time.Millisecond

// simMachine is one simulated machine: its address, its disk, and its node while its process is running.
type simMachine struct {
	world   *simWorld
	address string
	hasDisk bool
	// allowBootstrap is the Config.AllowBootstrap with which the process starts the next time.
	allowBootstrap bool
	disk           *faultfs.FS
	log            *segmentlog.Log
	node           *Node
	// incarnation counts the starts and stops of the process, so that events of an earlier incarnation are
	// ignored.
	incarnation int
	// maxCommitted is the highest sequence that this incarnation has known to be committed.
	maxCommitted uint64
	// syncDelay is how long the disk takes to persist the records of one step.
	syncDelay time.Duration
	// busyUntil is when the current sync of the disk or stall of the process ends. Until then the node handles
	// no event.
	busyUntil time.Duration
	// removed means that the machine never starts again.
	removed bool
	// pendingRequests are the callbacks of local requests that are not answered yet, by request number.
	pendingRequests map[uint64]func(Reply)
}

// addMachine adds a machine with an empty disk and starts it.
func (w *simWorld) addMachine(address string, hasDisk, allowBootstrap bool) *simMachine {
	machine := &simMachine{
		world: w, address: address, hasDisk: hasDisk, allowBootstrap: allowBootstrap, disk: faultfs.New(),
		syncDelay: simSyncDelay,
	}
	w.machines[address] = machine
	w.addresses = append(w.addresses, address)
	machine.boot()
	return machine
}

// config returns the configuration for the next start, with a newly drawn identity and random source.
func (m *simMachine) config() Config {
	return Config{
		Self: Member{m.world.newIdentity(), m.address}, HasDisk: m.hasDisk, AllowBootstrap: m.allowBootstrap,
		TargetMembers: m.world.targetMembers, RequiredReplicas: m.world.requiredReplicas,
		HistoryLength: m.world.historyLength,
		Random:        rand.New(rand.NewSource(m.world.random.Int63())),
	}
}

// up reports whether the machine's process is running.
func (m *simMachine) up() bool { return m.node != nil }

// boot starts the machine's process, which restores its state from the disk. A log that is found corrupt is
// discarded.
func (m *simMachine) boot() {
	world := m.world
	m.incarnation++
	m.busyUntil = world.now
	m.pendingRequests = map[uint64]func(Reply){}
	var records [][]byte
	if m.hasDisk {
		var err error
		options := segmentlog.Options{
			Snapshot:  func() [][]byte { return m.node.SnapshotRecords() },
			MaxGrowth: world.segmentGrowth,
		}
		var damage *segmentlog.CorruptionError
		m.log, records, damage, err = segmentlog.OpenOrReset(m.disk, simLogDir, options)
		if damage != nil {
			world.tracef("%s found its log corrupt and discarded it: %v", m.address, damage)
			world.history.damagedLogs++
		}
		if err != nil {
			m.bootFailed(err)
			return
		}
	}
	node, effects, err := Open(m.config(), world.now, records)
	if err != nil {
		world.failf("opening the node of %s: %v", m.address, err)
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
	world.tracef("%s started with identity %s", m.address, node.Self().ID)
	m.release(effects)
	m.keepTicking(m.incarnation)
}

// bootFailed handles a disk error at the start of the process: after 300 ms it restarts the disk and boots
// again.
func (m *simMachine) bootFailed(err error) {
	m.world.tracef("%s failed to start: %v", m.address, err)
	incarnation := m.incarnation
	m.world.after(300*time.Millisecond, func() {
		if m.incarnation == incarnation && !m.up() && !m.removed {
			m.disk.Restart(faultfs.KeepAll, m.world.random)
			m.boot()
		}
	})
}

// keepTicking calls Tick every simTick until the incarnation ends.
func (m *simMachine) keepTicking(incarnation int) {
	if m.incarnation != incarnation || !m.up() {
		return
	}
	m.step(func(n *Node) Effects { return n.Tick(m.world.now) })
	m.world.after(simTick, func() { m.keepTicking(incarnation) })
}

// step has the node handle one event and carries out the effects; if the machine is busy, as soon as it no
// longer is. An event for a machine that is down is dropped.
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

// reachPoint is called at each fault injection point. It calls simWorld.onPoint, which may crash the machine,
// and reports whether the same incarnation is still running after that.
func (m *simMachine) reachPoint(name string) bool {
	incarnation := m.incarnation
	if m.world.onPoint != nil {
		m.world.onPoint(m, name)
	}
	return m.up() && m.incarnation == incarnation
}

// perform carries out the effects of a step: it persists the records, and releases the messages and replies
// once the disk has synced.
func (m *simMachine) perform(effects Effects) {
	if len(effects.Persist) == 0 || !m.hasDisk {
		m.observe()
		m.release(effects)
		return
	}
	if !m.reachPoint("before persisting") {
		return
	}
	if err := m.log.Append(effects.Persist...); err != nil {
		if m.disk.Down() {
			m.world.tracef("%s crashed during a disk operation", m.address)
			m.stop()
			return
		}
		m.world.tracef("%s failed to persist records: %v", m.address, err)
		effects = m.node.PersistFailed(m.world.now)
		m.observe()
		m.release(effects)
		return
	}
	m.observe()
	if !m.reachPoint("after persisting") {
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

// release sends the messages of a step and delivers its replies to the callers, unless the machine crashes
// at a fault injection point before.
func (m *simMachine) release(effects Effects) {
	for _, envelope := range effects.Messages {
		if isWritePathMessage(envelope.Message.Kind) && !m.reachPoint("before a message") {
			return
		}
		m.world.transmit(m.address, envelope)
		if isWritePathMessage(envelope.Message.Kind) && !m.reachPoint("after a message") {
			return
		}
	}
	for _, reply := range effects.Replies {
		if !m.reachPoint("before a reply") {
			return
		}
		if done := m.pendingRequests[reply.Request]; done != nil {
			delete(m.pendingRequests, reply.Request)
			done(reply)
		}
		if !m.reachPoint("after a reply") {
			return
		}
	}
}

// isWritePathMessage reports whether messages of a kind take part in a write.
func isWritePathMessage(kind Kind) bool {
	switch kind {
	case Append, FetchBody, Ack, Commit, Forward, ForwardReply:
		return true
	}
	return false
}

// stop ends the process. Its pending requests are answered as Unavailable, because their outcome is unknown
// to the clients.
func (m *simMachine) stop() {
	if !m.up() {
		return
	}
	m.node = nil
	m.incarnation++
	unanswered := m.pendingRequests
	m.pendingRequests = map[uint64]func(Reply){}
	for _, id := range sortedKeys(unanswered) {
		unanswered[id](Reply{Request: id, Outcome: Unavailable})
	}
}

// crash ends the process and restarts the disk with what the loss leaves of the unsynced writes. It doesn't
// start the process again; see boot.
func (m *simMachine) crash(loss faultfs.Loss) {
	m.stop()
	m.disk.Crash()
	m.disk.Restart(loss, m.world.random)
}

// request sends the node a write, or a read if proposal is nil. done is called with the reply.
func (m *simMachine) request(proposal *Proposal, done func(Reply)) {
	m.submit(done, func(n *Node, request uint64) Effects {
		if proposal == nil {
			return n.Read(m.world.now, request)
		}
		return n.Propose(m.world.now, request, *proposal)
	})
}

// confirm asks the node whether a change was committed, as callers do that no longer have its body.
func (m *simMachine) confirm(change ChangeID, done func(Reply)) {
	m.submit(done, func(n *Node, request uint64) Effects { return n.Confirm(m.world.now, request, change) })
}

// submit makes a call to the node under a new request number. done is called with the reply, at once with
// Unavailable if the machine is down.
func (m *simMachine) submit(done func(Reply), call func(n *Node, request uint64) Effects) {
	if !m.up() {
		done(Reply{Outcome: Unavailable})
		return
	}
	m.world.lastRequest++
	request := m.world.lastRequest
	m.pendingRequests[request] = done
	m.step(func(n *Node) Effects { return call(n, request) })
}
