package agent

import (
	"sync"
	"sync/atomic"
	"time"

	"cresshub/internal/invariant"
	"cresshub/internal/router/chain"
	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/transport"
	"cresshub/internal/segmentlog"
)

const (
	chainTick      = 50 * time.Millisecond
	chainHeartbeat = 150 * time.Millisecond
	chainQueue     = 256 // events that wait for the goroutine of the chain
	// bootstrapDelay and bootstrapStablePeriod are how long the founder of the fleet waits for machines with a
	// disk: since its start, and since the last new one was heard of.
	bootstrapDelay        = 1500 * time.Millisecond
	bootstrapStablePeriod = 800 * time.Millisecond
	// closeTimeout bounds how long the end of the process waits for the disk.
	closeTimeout = 200 * time.Millisecond
)

// chainMember runs this process's part in the control state: one goroutine steps the state machine, makes
// what it says durable, and only then sends and answers.
type chainMember struct {
	node         *Node
	machine      *chain.Node
	log          *segmentlog.Log // nil without a disk
	events       chan func(now time.Duration) chain.Effects
	inChain      atomic.Bool
	fence        atomic.Uint64 // epoch in which this member is the head and the chain is open, 0 where it is not
	bootstrapper bool
	ended        chan struct{} // closed when the goroutine of the chain has ended
	leaving      atomic.Bool   // this process is about to end
	// leaveSent says that the state machine knows; of the goroutine of the chain.
	leaveSent   bool
	handedOff   chan struct{} // closed once this member leaves and the others hold all that it holds
	isHandedOff bool          // free is closed; of the goroutine of the chain
	// identity is that of this machine's disk; it names the holder of duties.
	identity string

	linksMu sync.Mutex
	links   map[string]*transport.Link // by IP of another member

	waitersMu   sync.Mutex
	waiters     map[uint64]chan chain.Reply
	lastRequest uint64

	committedSequence uint64 // of the entry that was last known to be committed
	// of the committed configuration that was last handed over to be put in force
	publishedVersion int64
	// the newest committed configuration that is not yet in force, as it is stored
	committed             chan []byte
	publishedEpoch        uint64
	bootstrapCandidates   int           // heard of by the founder
	candidatesStableSince time.Duration // when the last of them was heard of
}

func (m *chainMember) isMember() bool { return m.inChain.Load() }

func (m *chainMember) start(done <-chan struct{}) {
	go m.run(done)
	go m.applyCommitted(done)
	if m.node.sendsStageOrders {
		go (&stageCoordinator{node: m.node, member: m}).run(done)
	}
}

func (m *chainMember) opened() <-chan struct{} { return closedChannel }

func (m *chainMember) canStop() <-chan struct{} { return m.handedOff }

// leave has the others told that this process is about to end. It does not go through the queue of events,
// which may be full: messages come again, this does not.
func (m *chainMember) leave() { m.leaving.Store(true) }

// post hands an event to the goroutine of the chain and tells whether there was room. What is posted may be
// lost, so it has to be something that comes again or whose loss its caller is told.
func (m *chainMember) post(event func(now time.Duration) chain.Effects) bool {
	select {
	case m.events <- event:
		return true
	default:
		m.node.metrics.droppedEvents.Add(1)
		return false
	}
}

// close waits for the goroutine of the chain, as long as the disk answers, and closes what it used.
func (m *chainMember) close() {
	select {
	case <-m.ended:
	case <-time.After(closeTimeout):
		return
	}
	m.linksMu.Lock()
	defer m.linksMu.Unlock()
	for _, link := range m.links {
		link.Stop()
	}
	m.closeLog()
}

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
			m.sendLeave()
			m.machine.SetContacts(m.contacts())
			m.step(m.machine.Tick)
			if m.bootstrapper {
				m.tryBootstrap()
			}
		}
	}
}

// sendLeave tells the others once that this process is about to end, where it is.
func (m *chainMember) sendLeave() {
	if m.leaving.Load() && !m.leaveSent {
		m.leaveSent = true
		m.step(m.machine.Drain)
	}
}

// step runs one event, makes durable what it says, and only then does the rest.
func (m *chainMember) step(event func(now time.Duration) chain.Effects) {
	effects := event(m.node.now())
	for len(effects.Persist) > 0 {
		err := m.persist(effects.Persist)
		if err == nil {
			break
		}
		m.node.metrics.diskErrors.Add(1)
		m.node.log.Warn().Err(err).Msg("chain: the disk refuses")
		effects = m.machine.PersistFailed(m.node.now())
	}
	m.execute(effects)
}

// execute sends the messages and gives the replies of a step whose records are durable.
func (m *chainMember) execute(effects chain.Effects) {
	for i := range effects.Messages {
		envelope := &effects.Messages[i]
		if envelope.To.Address != "" && envelope.To.Address != m.node.settings.IP {
			m.linkTo(envelope.To.Address).Send(peerproto.KindChain, encodeChain(&envelope.Message))
		}
	}
	for _, reply := range effects.Replies {
		m.reply(reply)
	}
	m.publish()
}

// publish tells the rest of the process of the view and of the committed configuration.
func (m *chainMember) publish() {
	m.inChain.Store(m.machine.InChain())
	fence := uint64(0)
	if m.machine.IsOpenHead() {
		fence = m.machine.View().Epoch
	}
	m.fence.Store(fence)
	if !m.isHandedOff && m.machine.Drained() {
		m.isHandedOff = true
		close(m.handedOff)
	}
	if view := m.machine.View(); view.Epoch != m.publishedEpoch {
		m.publishedEpoch = view.Epoch
		m.node.state.learnView(int64(view.Epoch), memberInfos(view.Members))
		m.node.log.Info().Uint64("epoch", view.Epoch).Int("members", len(view.Members)).
			Int("replicas", len(view.Chain)).Msg("chain: new view")
	}
	entry, known := m.machine.Committed()
	if known {
		invariant.Assert(entry.Sequence >= m.committedSequence, invariant.CommittedSequenceRises,
			"entry %d is committed after entry %d", entry.Sequence, m.committedSequence)
		m.committedSequence = entry.Sequence
	}
	if known && entry.Version > m.publishedVersion {
		m.publishedVersion = entry.Version
		select {
		case <-m.committed: // a newer one has replaced it
		default:
		}
		m.committed <- entry.Body
	}
}

// applyCommitted puts committed configurations in force. Reading a large one takes long, and the goroutine of
// the chain has to answer the other members meanwhile.
func (m *chainMember) applyCommitted(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case stored := <-m.committed:
			m.node.applyStored(stored)
		}
	}
}

func (m *chainMember) linkTo(ip string) *transport.Link {
	m.linksMu.Lock()
	defer m.linksMu.Unlock()
	link := m.links[ip]
	if link == nil {
		hello := func() []byte { return peerproto.Encode(&peerproto.Hello{ID: m.node.id}) }
		link = m.node.endpoint.NewLink(m.node.peerAddress(ip), hello, func(peerproto.Frame) {}, func(bool) {})
		m.links[ip] = link
	}
	return link
}

func (m *chainMember) receive(_ string, body []byte) {
	message, err := decodeChain(body)
	if err != nil {
		return
	}
	m.post(func(now time.Duration) chain.Effects { return m.machine.Receive(now, message) })
}

// contacts are machines that may know the view: the hubs, and the machines with a disk that are known.
func (m *chainMember) contacts() []chain.Member {
	var contacts []chain.Member
	for _, ip := range m.node.hubAddresses() {
		contacts = append(contacts, chain.Member{Address: ip})
	}
	return contacts
}
