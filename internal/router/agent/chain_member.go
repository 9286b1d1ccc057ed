package agent

import (
	"sync/atomic"
	"time"

	"cresshub/internal/router/chain"
	"cresshub/internal/router/peerproto"
)

const (
	// chainTickInterval is how often the state machine of the chain gets a tick.
	chainTickInterval = 50 * time.Millisecond
	// chainHeartbeatInterval is the interval of heartbeats between the members of the chain.
	chainHeartbeatInterval = 150 * time.Millisecond
	// chainQueueCapacity is the capacity of the event queue of the chain goroutine. Events are dropped and
	// counted while the queue is full.
	chainQueueCapacity = 256
	// chainCloseTimeout bounds how long the shutdown waits for the chain goroutine, which a disk that hangs may
	// block.
	chainCloseTimeout = 200 * time.Millisecond
)

// chainEvent is a step of the state machine. It runs on the chain goroutine, which passes it the node: no
// other goroutine has access to the node.
type chainEvent func(node *chain.Node, now time.Duration) chain.Effects

// chainMember is the configStore of a machine with an open disk. One goroutine, the chain goroutine, steps
// the state machine of package chain, persists the records that a step returns, and only then sends the
// messages, completes the requests and publishes the state of that step. Other goroutines queue events for it
// with post.
//
// Each of these tasks has a type of its own: chainLog persists, chainLinks sends, chainRequests tracks the
// callers that wait for a reply, chainPublisher publishes the state to other goroutines, and bootstrapper
// decides when to propose the first view of a new fleet.
type chainMember struct {
	*process
	identity string // of this machine's disk; role orders carry it as the identity of their issuer
	hubs     *hubSet

	// Safe for concurrent use.
	events    chan chainEvent
	ended     chan struct{} // closed when the chain goroutine has ended
	draining  atomic.Bool   // this process is shutting down
	links     *chainLinks
	requests  *chainRequests
	published *chainPublisher

	// Owned by the chain goroutine; before that starts, by the goroutine that opens the member.
	node      *chain.Node
	disk      *chainLog
	bootstrap *bootstrapper // nil if this process does not bootstrap the fleet, or once a view is known
	drainSent bool          // the state machine was told that this process is shutting down
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
	m.post(func(node *chain.Node, now time.Duration) chain.Effects { return node.Receive(now, message) })
}

func (m *chainMember) start(done <-chan struct{}) {
	go m.run(done)
	go m.published.applyCommitted(done)
}

func (m *chainMember) opened() <-chan struct{} { return closedChannel }

func (m *chainMember) isMember() bool { return m.published.isMember() }

// drain bypasses the event queue, which may be full. Unlike messages, which are resent after they were
// dropped, drain is called only once.
func (m *chainMember) drain() { m.draining.Store(true) }

func (m *chainMember) drained() <-chan struct{} { return m.published.drained() }

// close waits until the chain goroutine has ended and closes the links and the log. If the goroutine has not
// ended within chainCloseTimeout, as when the disk hangs, nothing is closed.
func (m *chainMember) close() {
	select {
	case <-m.ended:
	case <-time.After(chainCloseTimeout):
		return
	}
	m.links.close()
	m.disk.close()
}

// post queues an event for the chain goroutine and reports whether the queue had capacity. As an event may be
// dropped, it has to be one that is repeated, or whose loss the caller reports.
func (m *chainMember) post(event chainEvent) bool {
	select {
	case m.events <- event:
		return true
	default:
		m.metrics.droppedChainEvents.Add(1)
		return false
	}
}

// run is the main function of the chain goroutine. All methods below run on it.
func (m *chainMember) run(done <-chan struct{}) {
	defer close(m.ended)
	ticker := time.NewTicker(chainTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case event := <-m.events:
			m.step(event)
		case <-ticker.C:
			m.startDrain()
			m.node.SetContacts(m.contacts())
			m.step((*chain.Node).Tick)
			m.tryBootstrap()
		}
	}
}

// step runs one event, persists its records, and only then executes the other effects. If the disk fails,
// the state machine decides what may still be sent.
func (m *chainMember) step(event chainEvent) {
	effects := event(m.node, m.now())
	for len(effects.Persist) > 0 {
		err := m.disk.persist(effects.Persist, m.node.SnapshotRecords)
		if err == nil {
			break
		}
		m.metrics.chainPersistErrors.Add(1)
		m.log.Warn().Err(err).Msg("chain: persisting failed")
		effects = m.node.PersistFailed(m.now())
	}
	m.execute(&effects)
}

// execute sends the messages and completes the requests of a step whose records are durable, and publishes
// the state after it.
func (m *chainMember) execute(effects *chain.Effects) {
	m.links.send(effects.Messages)
	m.requests.complete(effects.Replies)
	m.published.publish(m.node)
}

// startDrain announces to the other members, once, that this process is shutting down.
func (m *chainMember) startDrain() {
	if m.draining.Load() && !m.drainSent {
		m.drainSent = true
		m.step((*chain.Node).Drain)
	}
}

// contacts returns the machines that the state machine may ask for the view: the hubs.
func (m *chainMember) contacts() []chain.Member {
	var contacts []chain.Member
	for _, ip := range m.hubs.addresses() {
		contacts = append(contacts, chain.Member{Address: ip})
	}
	return contacts
}

// tryBootstrap proposes the first view once it is due. It does nothing unless this process is the
// bootstrapper and knows no view yet.
func (m *chainMember) tryBootstrap() {
	if m.bootstrap == nil {
		return
	}
	if m.node.View().Epoch > 0 {
		m.bootstrap = nil
		return
	}
	members := m.bootstrap.dueMembers()
	if len(members) == 0 {
		return
	}
	m.log.Info().Int("members", len(members)).Msg("chain: bootstrapping")
	m.step(func(node *chain.Node, now time.Duration) chain.Effects { return node.Bootstrap(now, members) })
}
