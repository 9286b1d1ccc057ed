package proxysim

import (
	"slices"
)

// beginProbe probes the next other member in the order of probes that is not dead.
func (s *SWIM) beginProbe(i int32) {
	m := &s.nodes[i]
	for range len(m.order) + 1 {
		if m.next >= len(m.order) {
			m.next = 0
			s.rng.Shuffle(len(m.order), func(a, b int) { m.order[a], m.order[b] = m.order[b], m.order[a] })
		}
		j := m.order[m.next]
		m.next++
		if st := m.views[j].status; j == i || st != SWIMAlive && st != SWIMSuspect {
			continue
		}
		m.seq++
		m.probing, m.probeSeq, m.acked, m.streamOK, m.expectedNacks, m.nacks = j, m.seq, false, false, 0, 0
		s.Count.Probes++
		p := packet{kind: msgPing, from: i, to: j, seq: m.seq}
		if c := m.views[j]; c.status == SWIMSuspect {
			p.gossip = []update{{subject: j, from: i, incarnation: c.incarnation, status: SWIMSuspect}}
			s.transmit(p)
		} else {
			s.send(p)
		}
		s.add(s.now+int64(s.opts.ProbeTimeout), swimProbeTimeout, i, 0, m.seq)
		s.add(s.now+int64(s.opts.Probe)*int64(m.health+1), swimProbeEnd, i, 0, m.seq)
		return
	}
}

// probeIndirectly has other members probe the one that did not answer, and attempts a stream.
func (s *SWIM) probeIndirectly(i int32) {
	m := &s.nodes[i]
	j := m.probing
	for _, k := range slices.Clone(s.randomMembers(i, swimIndirect, func(c memberView) bool {
		return c.status == SWIMAlive
	})) {
		if k == j {
			continue
		}
		m.expectedNacks++
		s.Count.Indirect++
		s.send(packet{kind: msgIndirect, from: i, to: k, seq: m.probeSeq, target: j})
	}
	s.Count.Streams++
	m.streamOK = s.reaches(i, j) && s.reaches(j, i) && !s.nodes[j].paused
}

// endProbe ends a probe that was answered or whose time is over.
func (s *SWIM) endProbe(i int32) {
	m := &s.nodes[i]
	j := m.probing
	m.probing = -1
	if m.acked || m.streamOK {
		m.health = max(0, m.health-1)
	} else {
		if m.expectedNacks > 0 {
			m.health += m.expectedNacks - m.nacks
		} else {
			m.health++
		}
		m.health = min(m.health, swimMaxHealth-1)
		if m.views[j].status == SWIMAlive {
			s.Count.Suspicions++
		}
		s.suspect(i, update{subject: j, from: i, incarnation: m.views[j].incarnation, status: SWIMSuspect})
	}
	if m.missedTick {
		m.missedTick = false
		s.beginProbe(i)
	}
}

// arrive handles a datagram.
func (s *SWIM) arrive(i int32, p *packet) {
	m := &s.nodes[i]
	switch p.kind {
	case msgPing:
		s.send(packet{kind: msgAck, from: i, to: p.from, seq: p.seq})
	case msgIndirect:
		m.seq++
		m.relayed[m.seq] = relayedProbe{p.from, p.seq}
		s.send(packet{kind: msgPing, from: i, to: p.target, seq: m.seq})
		s.add(s.now+int64(s.opts.ProbeTimeout), swimNack, i, 0, m.seq)
	case msgAck:
		if r, ok := m.relayed[p.seq]; ok {
			delete(m.relayed, p.seq)
			s.send(packet{kind: msgAck, from: i, to: r.asker, seq: r.seq})
		} else if m.awaits(p.seq) {
			m.acked = true
			s.endProbe(i)
		}
	case msgNack:
		if m.awaits(p.seq) {
			m.nacks++
		}
	}
	for _, n := range p.gossip {
		s.applyUpdate(i, n)
	}
}

// applyUpdate applies a gossiped update to a member's view.
func (s *SWIM) applyUpdate(i int32, n update) {
	switch n.status {
	case SWIMAlive:
		s.alive(i, n)
	case SWIMSuspect:
		s.suspect(i, n)
	case SWIMDead:
		s.dead(i, n)
	}
}
