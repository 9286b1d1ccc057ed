package agent

import (
	"sync/atomic"
	"time"

	"cresshub/internal/router/chain"
	"cresshub/internal/router/peerproto"
)

const (
	// chainTick is how often the state machine of the chain is given the time.
	chainTick = 50 * time.Millisecond
	// chainHeartbeat is the interval of heartbeats between the members of the chain.
	chainHeartbeat = 150 * time.Millisecond
	// chainQueue is the capacity of the queue of events in front of the chain goroutine. Events that find it
	// full are dropped and counted.
	chainQueue = 256
	// closeTimeout bounds how long the shutdown waits for a disk that hangs.
	closeTimeout = 200 * time.Millisecond
)

// chainEvent is a step of the state machine. It runs on the chain goroutine, which gives it the machine: no
// other goroutine has access to that.
type chainEvent func(machine *chain.Node, now time.Duration) chain.Effects

// chainMember is the configStore of a machine with an open disk. One goroutine, the chain goroutine, steps
// the state machine of package chain, persists the records that a step returns, and only then sends its
// messages, completes its requests and publishes its state. Other goroutines hand it events with post.
//
// Each of these jobs is a type of its own: chainLog persists, chainLinks sends, chainRequests has the callers
// who wait for a reply, chainPublisher shows the state to other goroutines, and bootstrapper proposes the
// first view of a new fleet.
type chainMember struct {
	*process
	identity string // of this machine's disk; role orders name their issuer by it
	hubs     *hubSet

	// Safe for concurrent use.
	events    chan chainEvent
	ended     chan struct{} // closed when the chain goroutine has ended
	draining  atomic.Bool   // this process is shutting down
	links     *chainLinks
	requests  *chainRequests
	published *chainPublisher

	// State of the chain goroutine alone. Before that starts, it belongs to the one that opens the member.
	machine   *chain.Node
	disk      *chainLog
	bootstrap *bootstrapper // nil if this process does not bootstrap the fleet, or once it has a view
	drainSent bool          // the state machine knows that this process is shutting down
}

var _ configStore = (*chainMember)(nil)

func (m *chainMember) propose(proposal *peerproto.Proposal, timeout time.Duration) *peerproto.Result {
	return m.requests.propose(proposal, timeout)
}

func (m *chainMember) patch(change *peerproto.Proposal, timeout time.Duration) *peerproto.Result {
	return m.requests.patch(change, timeout)
}

func (m *chainMember) read(timeout time.Duration) *peerproto.Result { return m.requests.read(timeout) }

func (m *chainMember) receive(body []byte) {
	message, err := decodeChainMessage(body)
	if err != nil {
		return
	}
	m.post(func(machine *chain.Node, now time.Duration) chain.Effects { return machine.Receive(now, message) })
}

func (m *chainMember) start(done <-chan struct{}) {
	go m.run(done)
	go m.published.applyCommitted(done)
}

func (m *chainMember) opened() <-chan struct{} { return closedChannel }

func (m *chainMember) isMember() bool { return m.published.isMember() }

// drain bypasses the queue of events, which may be full: a dropped message is sent again, but drain is called
// only once.
func (m *chainMember) drain() { m.draining.Store(true) }

func (m *chainMember) drained() <-chan struct{} { return m.published.drained() }

// close waits for the chain goroutine, unless the disk hangs, and closes the links and the log.
func (m *chainMember) close() {
	select {
	case <-m.ended:
	case <-time.After(closeTimeout):
		return
	}
	m.links.close()
	m.disk.close()
}

// post queues an event for the chain goroutine and reports whether there was capacity. An event may be
// dropped, so it has to be one that is repeated, or whose loss the caller reports.
func (m *chainMember) post(event chainEvent) bool {
	select {
	case m.events <- event:
		return true
	default:
		m.metrics.droppedEvents.Add(1)
		return false
	}
}

// run is the chain goroutine. All methods below run on it.
func (m *chainMember) run(done <-chan struct{}) {
	defer close(m.ended)
	ticker := time.NewTicker(chainTick)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case event := <-m.events:
			m.step(event)
		case <-ticker.C:
			m.startDrain()
			m.machine.SetContacts(m.contacts())
			m.step((*chain.Node).Tick)
			m.tryBootstrap()
		}
	}
}

// step runs one event, persists its records, and only then executes the other effects. If the disk fails,
// the state machine decides what may still be sent.
func (m *chainMember) step(event chainEvent) {
	effects := event(m.machine, m.now())
	for len(effects.Persist) > 0 {
		err := m.disk.persist(effects.Persist, m.machine.SnapshotRecords)
		if err == nil {
			break
		}
		m.metrics.diskErrors.Add(1)
		m.log.Warn().Err(err).Msg("chain: persisting failed")
		effects = m.machine.PersistFailed(m.now())
	}
	m.execute(&effects)
}

// execute sends the messages and completes the requests of a step whose records are durable, and publishes
// the state after it.
func (m *chainMember) execute(effects *chain.Effects) {
	m.links.send(effects.Messages)
	m.requests.complete(effects.Replies)
	m.published.publish(m.machine)
}

// startDrain announces to the other members, once, that this process is shutting down.
func (m *chainMember) startDrain() {
	if m.draining.Load() && !m.drainSent {
		m.drainSent = true
		m.step((*chain.Node).Drain)
	}
}

// contacts returns the machines that may know the view: the hubs.
func (m *chainMember) contacts() []chain.Member {
	var contacts []chain.Member
	for _, ip := range m.hubs.addresses() {
		contacts = append(contacts, chain.Member{Address: ip})
	}
	return contacts
}

// tryBootstrap proposes the first view once it is due. It does nothing where this process is not the
// bootstrapper.
func (m *chainMember) tryBootstrap() {
	if m.bootstrap == nil {
		return
	}
	if m.machine.View().Epoch > 0 {
		m.bootstrap = nil
		return
	}
	members := m.bootstrap.dueMembers()
	if len(members) == 0 {
		return
	}
	m.log.Info().Int("members", len(members)).Msg("chain: bootstrapping")
	m.step(func(machine *chain.Node, now time.Duration) chain.Effects { return machine.Bootstrap(now, members) })
}
