package proxysim

import (
	"slices"
)

// beginProbe probes the next other member in the order of probes that is not dead.
func (s *SWIM) beginProbe(member int32) {
	node := &s.nodes[member]
	for range len(node.order) + 1 {
		if node.next >= len(node.order) {
			node.next = 0
			s.shuffleOrder(node)
		}
		target := node.order[node.next]
		node.next++
		if st := node.views[target].status; target == member || st != SWIMAlive && st != SWIMSuspect {
			continue
		}
		node.seq++
		node.probing, node.probeSeq = target, node.seq
		node.acked, node.streamOK = false, false
		node.expectedNacks, node.nacks = 0, 0
		s.Count.Probes++
		ping := packet{kind: msgPing, from: member, to: target, seq: node.seq}
		if view := node.views[target]; view.status == SWIMSuspect {
			ping.gossip = []update{{subject: target, from: member, incarnation: view.incarnation, status: SWIMSuspect}}
			s.transmit(ping)
		} else {
			s.send(ping)
		}
		s.add(s.now+int64(s.opts.ProbeTimeout), event{kind: swimProbeTimeout, target: member, stamp: node.seq})
		s.add(s.now+int64(s.opts.Probe)*int64(node.health+1),
			event{kind: swimProbeEnd, target: member, stamp: node.seq})
		return
	}
}

// probeIndirectly has other members probe the one that did not answer, and attempts a stream.
func (s *SWIM) probeIndirectly(member int32) {
	node := &s.nodes[member]
	target := node.probing
	for _, relay := range slices.Clone(s.randomMembers(member, swimIndirect, func(view memberView) bool {
		return view.status == SWIMAlive
	})) {
		if relay == target {
			continue
		}
		node.expectedNacks++
		s.Count.Indirect++
		s.send(packet{kind: msgIndirect, from: member, to: relay, seq: node.probeSeq, target: target})
	}
	s.Count.Streams++
	node.streamOK = s.reaches(member, target) && s.reaches(target, member) && !s.nodes[target].paused
}

// endProbe ends a probe that was answered or whose time is over.
func (s *SWIM) endProbe(member int32) {
	node := &s.nodes[member]
	target := node.probing
	node.probing = -1
	if node.acked || node.streamOK {
		node.health = max(0, node.health-1)
	} else {
		if node.expectedNacks > 0 {
			node.health += node.expectedNacks - node.nacks
		} else {
			node.health++
		}
		node.health = min(node.health, swimMaxHealth-1)
		if node.views[target].status == SWIMAlive {
			s.Count.Suspicions++
		}
		incarnation := node.views[target].incarnation
		s.suspect(member, update{subject: target, from: member, incarnation: incarnation, status: SWIMSuspect})
	}
	if node.missedTick {
		node.missedTick = false
		s.beginProbe(member)
	}
}

// arrive handles a datagram.
func (s *SWIM) arrive(member int32, p *packet) {
	node := &s.nodes[member]
	switch p.kind {
	case msgPing:
		s.send(packet{kind: msgAck, from: member, to: p.from, seq: p.seq})
	case msgIndirect:
		node.seq++
		node.relayed[node.seq] = relayedProbe{p.from, p.seq}
		s.send(packet{kind: msgPing, from: member, to: p.target, seq: node.seq})
		s.add(s.now+int64(s.opts.ProbeTimeout), event{kind: swimNack, target: member, stamp: node.seq})
	case msgAck:
		if relayed, ok := node.relayed[p.seq]; ok {
			delete(node.relayed, p.seq)
			s.send(packet{kind: msgAck, from: member, to: relayed.asker, seq: relayed.seq})
		} else if node.awaits(p.seq) {
			node.acked = true
			s.endProbe(member)
		}
	case msgNack:
		if node.awaits(p.seq) {
			node.nacks++
		}
	}
	for _, u := range p.gossip {
		s.applyUpdate(member, u)
	}
}

// applyUpdate applies a gossiped update to a member's view.
func (s *SWIM) applyUpdate(member int32, u update) {
	switch u.status {
	case SWIMAlive:
		s.alive(member, u)
	case SWIMSuspect:
		s.suspect(member, u)
	case SWIMDead:
		s.dead(member, u)
	}
}
