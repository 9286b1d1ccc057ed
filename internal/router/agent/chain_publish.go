package agent

import (
	"sync/atomic"

	"github.com/rs/zerolog"

	"cresshub/internal/invariant"
	"cresshub/internal/router/chain"
)

// chainPublisher publishes the state of the state machine to other goroutines after each step: whether this
// process is in the chain, its fencing token as the head, the view, and the newest committed configuration.
// Epochs, versions and committed sequence numbers never decrease. publish runs on the chain goroutine, and
// applyCommitted on a goroutine of its own; the other methods are safe for concurrent use.
type chainPublisher struct {
	state      *state
	configSync *configSync
	log        zerolog.Logger

	inChain   atomic.Bool
	headFence atomic.Uint64 // the epoch while this member is the head of an open chain, else 0
	handedOff chan struct{} // closed once this member has left and the others have all that it has accepted
	committed chan []byte   // the newest committed configuration that is not applied yet, in stored form

	// The last published values; they belong to the chain goroutine.
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

// fence returns the fencing token of this process, or 0 while it is not the head of an open chain.
func (p *chainPublisher) fence() uint64 { return p.headFence.Load() }

func (p *chainPublisher) drained() <-chan struct{} { return p.handedOff }

// publish publishes the state of the state machine after a step.
func (p *chainPublisher) publish(node *chain.Node) {
	p.inChain.Store(node.InChain())
	fence := uint64(0)
	if node.IsOpenHead() {
		fence = node.View().Epoch
	}
	p.headFence.Store(fence)
	if !p.isHandedOff && node.Drained() {
		p.isHandedOff = true
		close(p.handedOff)
	}
	p.publishView(node.View())
	if entry, ok := node.Committed(); ok {
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

// publishCommitted passes the committed configuration to applyCommitted, in place of one that is still
// waiting in the channel. It never blocks, because only the chain goroutine sends to the channel.
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

// applyCommitted applies committed configurations until done closes. It runs on a goroutine of its own,
// because parsing a large configuration takes longer than the other members wait for the chain goroutine.
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
