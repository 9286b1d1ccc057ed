package agent

import (
	"sync/atomic"

	"github.com/rs/zerolog"

	"cresshub/internal/invariant"
	"cresshub/internal/router/chain"
)

// chainPublisher shows the other goroutines the state of the state machine after each step: whether this
// process is in the chain, its fencing token as the head, the view, and the newest committed configuration.
// Epochs, versions and committed sequence numbers never fall. publish belongs to the chain goroutine, and
// applyCommitted is a goroutine of its own; the other methods are safe for concurrent use.
type chainPublisher struct {
	state      *state
	configSync *configSync
	log        zerolog.Logger

	inChain   atomic.Bool
	headFence atomic.Uint64 // epoch in which this member is the head and the chain is open, 0 if it is not
	handedOff chan struct{} // closed once this member has left and the others have all that it has accepted
	committed chan []byte   // the newest committed configuration that is not yet applied, as it is stored

	// What the chain goroutine has published so far.
	isHandedOff bool // handedOff is closed
	sequence    uint64
	version     int64
	epoch       uint64
}

func newChainPublisher(p *process, state *state, configSync *configSync) *chainPublisher {
	return &chainPublisher{state: state, configSync: configSync, log: p.log,
		handedOff: make(chan struct{}), committed: make(chan []byte, 1)}
}

func (p *chainPublisher) isMember() bool { return p.inChain.Load() }

// fence returns the fencing token of this process, 0 while it is not the head of an open chain.
func (p *chainPublisher) fence() uint64 { return p.headFence.Load() }

func (p *chainPublisher) drained() <-chan struct{} { return p.handedOff }

// publish publishes the state of the state machine after a step.
func (p *chainPublisher) publish(machine *chain.Node) {
	p.inChain.Store(machine.InChain())
	fence := uint64(0)
	if machine.IsOpenHead() {
		fence = machine.View().Epoch
	}
	p.headFence.Store(fence)
	if !p.isHandedOff && machine.Drained() {
		p.isHandedOff = true
		close(p.handedOff)
	}
	p.publishView(machine.View())
	if entry, ok := machine.Committed(); ok {
		p.publishCommitted(&entry)
	}
}

func (p *chainPublisher) publishView(view chain.View) {
	if view.Epoch == p.epoch {
		return
	}
	p.epoch = view.Epoch
	p.state.learnView(int64(view.Epoch), memberInfos(view.Members))
	p.log.Info().Uint64("epoch", view.Epoch).Int("members", len(view.Members)).
		Int("replicas", len(view.Chain)).Msg("chain: new view")
}

// publishCommitted hands the committed configuration to applyCommitted, in place of one still waiting there.
// It never blocks: only the chain goroutine sends.
func (p *chainPublisher) publishCommitted(entry *chain.Entry) {
	invariant.Assert(entry.Sequence >= p.sequence, invariant.CommittedSequenceRises,
		"entry %d is committed after entry %d", entry.Sequence, p.sequence)
	p.sequence = entry.Sequence
	if entry.Version <= p.version {
		return
	}
	p.version = entry.Version
	select {
	case <-p.committed: // superseded by the entry that is sent next
	default:
	}
	p.committed <- entry.Body
}

// applyCommitted applies committed configurations until done closes. It is a goroutine of its own, because
// parsing a large configuration takes longer than the other members wait for the chain goroutine.
func (p *chainPublisher) applyCommitted(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case stored := <-p.committed:
			p.configSync.applyStored(stored)
		}
	}
}
