package agent

import (
	"sync/atomic"
	"time"

	"cresshub/internal/router/chain"
	"cresshub/internal/segmentlog"
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

// chainEvent is a step of the state machine, which runs on the chain goroutine.
type chainEvent func(now time.Duration) chain.Effects

// chainMember is the configStore of a machine with an open disk. One goroutine, the chain goroutine, steps
// the state machine of package chain, persists the records that a step returns, and only then sends its
// messages and completes its requests. Other goroutines hand it events with post.
//
// Its methods are in several files: opening and the log in chain_open.go, what others may read in
// chain_publish.go, calls on the configuration in chain_requests.go and chain_patch.go, the first view of a
// new fleet in chain_bootstrap.go, the wire form of messages in chain_encoding.go.
type chainMember struct {
	agent    *Agent
	machine  *chain.Node     // of the chain goroutine
	log      *segmentlog.Log // nil without a disk
	identity string          // of this machine's disk; role orders name their issuer by it
	events   chan chainEvent
	ended    chan struct{} // closed when the chain goroutine has ended
	draining atomic.Bool   // this process is shutting down
	links    *chainLinks
	pending  *pendingRequests

	// What the chain goroutine publishes after each step.
	inChain   atomic.Bool
	fence     atomic.Uint64 // epoch in which this member is the head and the chain is open, 0 if it is not
	handedOff chan struct{} // closed once this member has left and the others have all that it has accepted
	committed chan []byte   // the newest committed configuration that is not yet applied, as it is stored

	// State of the chain goroutine alone.
	drainSent         bool // the state machine knows that this process is shutting down
	isHandedOff       bool // handedOff is closed
	committedSequence uint64
	publishedVersion  int64
	publishedEpoch    uint64
	bootstrap         *bootstrap // nil if this process does not bootstrap the fleet, or once it has a view
}

func (m *chainMember) isMember() bool { return m.inChain.Load() }

func (m *chainMember) start(done <-chan struct{}) {
	go m.run(done)
	go m.applyCommitted(done)
	if m.agent.assignsRoles {
		go (&roleAssigner{agent: m.agent, member: m}).run(done)
	}
}

func (m *chainMember) opened() <-chan struct{} { return closedChannel }

func (m *chainMember) drained() <-chan struct{} { return m.handedOff }

// drain bypasses the queue of events, which may be full: a dropped message is sent again, but drain is called
// only once.
func (m *chainMember) drain() { m.draining.Store(true) }

// post queues an event for the chain goroutine and reports whether there was capacity. An event may be
// dropped, so it has to be one that is repeated, or whose loss the caller reports.
func (m *chainMember) post(event chainEvent) bool {
	select {
	case m.events <- event:
		return true
	default:
		m.agent.metrics.droppedEvents.Add(1)
		return false
	}
}

// close waits for the chain goroutine, unless the disk hangs, and closes the links and the log.
func (m *chainMember) close() {
	select {
	case <-m.ended:
	case <-time.After(closeTimeout):
		return
	}
	m.links.close()
	m.closeLog()
}

// run is the chain goroutine.
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
			m.step(m.machine.Tick)
			m.tryBootstrap()
		}
	}
}

// startDrain announces to the other members, once, that this process is shutting down.
func (m *chainMember) startDrain() {
	if m.draining.Load() && !m.drainSent {
		m.drainSent = true
		m.step(m.machine.Drain)
	}
}

// step runs one event, persists its records, and only then executes the other effects. If the disk fails,
// the state machine decides what may still be sent.
func (m *chainMember) step(event chainEvent) {
	effects := event(m.agent.now())
	for len(effects.Persist) > 0 {
		err := m.persist(effects.Persist)
		if err == nil {
			break
		}
		m.agent.metrics.diskErrors.Add(1)
		m.agent.log.Warn().Err(err).Msg("chain: persisting failed")
		effects = m.machine.PersistFailed(m.agent.now())
	}
	m.execute(effects)
}

// execute sends the messages and completes the requests of a step whose records are durable.
func (m *chainMember) execute(effects chain.Effects) {
	for i := range effects.Messages {
		envelope := &effects.Messages[i]
		if envelope.To.Address != "" && envelope.To.Address != m.agent.settings.IP {
			m.links.send(envelope.To.Address, &envelope.Message)
		}
	}
	for _, reply := range effects.Replies {
		m.pending.complete(reply)
	}
	m.publish()
}

func (m *chainMember) receive(body []byte) {
	message, err := decodeChain(body)
	if err != nil {
		return
	}
	m.post(func(now time.Duration) chain.Effects { return m.machine.Receive(now, message) })
}

// contacts returns the machines that may know the view: the hubs.
func (m *chainMember) contacts() []chain.Member {
	var contacts []chain.Member
	for _, ip := range m.agent.hubs.addresses() {
		contacts = append(contacts, chain.Member{Address: ip})
	}
	return contacts
}
