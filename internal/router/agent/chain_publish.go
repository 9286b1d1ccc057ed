package agent

import "cresshub/internal/invariant"

// What the chain goroutine shows the other goroutines after each step: whether this process is in the chain,
// its fencing token as the head, the view, and the newest committed configuration.

// publish shows the other goroutines the state of the state machine after a step.
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
	m.publishView()
	m.publishCommitted()
}

func (m *chainMember) publishView() {
	view := m.machine.View()
	if view.Epoch == m.publishedEpoch {
		return
	}
	m.publishedEpoch = view.Epoch
	m.agent.state.learnView(int64(view.Epoch), memberInfos(view.Members))
	m.agent.log.Info().Uint64("epoch", view.Epoch).Int("members", len(view.Members)).
		Int("replicas", len(view.Chain)).Msg("chain: new view")
}

// publishCommitted hands the committed configuration to applyCommitted, in place of one still waiting there.
func (m *chainMember) publishCommitted() {
	entry, ok := m.machine.Committed()
	if !ok {
		return
	}
	invariant.Assert(entry.Sequence >= m.committedSequence, invariant.CommittedSequenceRises,
		"entry %d is committed after entry %d", entry.Sequence, m.committedSequence)
	m.committedSequence = entry.Sequence
	if entry.Version <= m.publishedVersion {
		return
	}
	m.publishedVersion = entry.Version
	select {
	case <-m.committed: // superseded by the entry that is sent next
	default:
	}
	m.committed <- entry.Body
}

// applyCommitted applies committed configurations until done closes. It is a goroutine of its own, because
// parsing a large configuration takes longer than the other members wait for the chain goroutine.
func (m *chainMember) applyCommitted(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case stored := <-m.committed:
			m.agent.configSync.applyStored(stored)
		}
	}
}
