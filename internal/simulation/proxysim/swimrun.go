package proxysim

import "time"

// Run plays for a virtual time, or until stop, which may be nil, returns true after an event. It returns how
// long it played.
func (s *SWIM) Run(d time.Duration, stop func() bool) time.Duration {
	start := s.now
	end := start + int64(d)
	for len(s.heap) > 0 && s.heap[0].at <= end {
		e, _ := s.next()
		s.handle(e)
		if stop != nil && stop() {
			return time.Duration(s.now - start)
		}
	}
	s.now = end
	return d
}

// isTicker reports whether a kind of event repeats itself; a restart ends the tickers of the earlier process.
func isTicker(kind uint8) bool {
	return kind == swimProbe || kind == swimGossip || kind == swimRejoin || kind == swimSync
}

// handle handles an event unless its member is down, has restarted since, or is paused, which delays it.
func (s *SWIM) handle(e event) {
	m := &s.nodes[e.a]
	switch {
	case !m.up:
		if e.kind == swimArrive {
			s.release(e.b)
		}
	case isTicker(e.kind) && e.c != m.process:
	case m.paused:
		m.waiting = append(m.waiting, e)
	default:
		s.dispatch(m, e)
	}
}

// dispatch handles an event of a running member.
func (s *SWIM) dispatch(m *swimNode, e event) {
	switch e.kind {
	case swimProbe:
		s.probeTick(m, e)
	case swimGossip:
		s.add(s.now+int64(s.opts.Gossip), swimGossip, e.a, 0, e.c)
		s.gossip(e.a)
	case swimArrive:
		p := s.pool[e.b]
		s.arrive(e.a, &p)
		s.release(e.b)
	case swimProbeTimeout:
		if m.awaits(e.c) && !m.acked {
			s.probeIndirectly(e.a)
		}
	case swimProbeEnd:
		if m.awaits(e.c) {
			s.endProbe(e.a)
		}
	case swimNack:
		s.relayTimeout(m, e)
	case swimSuspicion:
		if t := m.suspects[e.b]; t != nil && t.generation == e.c {
			s.dead(e.a, update{subject: e.b, from: e.a, incarnation: m.views[e.b].incarnation, status: SWIMDead})
		}
	case swimRejoin:
		s.rejoinTick(m, e)
	case swimSync:
		s.syncTick(m, e)
	case swimAskSuspect:
		s.askSuspect(e.a, e.b, e.c)
	case swimSuspicionLasts:
		if t := m.suspects[e.b]; t != nil && uint64(t.start) == e.c {
			s.askSuspect(e.a, e.b, 0)
			s.add(s.now+2*t.min, swimSuspicionLasts, e.a, e.b, e.c)
		}
	case swimPush:
		s.push(e.a, e.b)
	case swimPull:
		s.merge(e.a, e.b)
	}
}

// awaits reports whether a probe of that sequence number is under way.
func (m *swimNode) awaits(seq uint64) bool { return m.probing >= 0 && m.probeSeq == seq }

// probeTick begins a probe, or remembers that one is due.
func (s *SWIM) probeTick(m *swimNode, e event) {
	s.add(s.now+int64(s.opts.Probe), swimProbe, e.a, 0, e.c)
	if m.probing >= 0 {
		m.missedTick = true
	} else {
		s.beginProbe(e.a)
	}
}

// relayTimeout tells the member that asked for an indirect probe that it is unanswered.
func (s *SWIM) relayTimeout(m *swimNode, e event) {
	if r, ok := m.relayed[e.c]; ok {
		delete(m.relayed, e.c)
		s.send(packet{kind: msgNack, from: e.a, to: r.asker, seq: r.seq})
	}
}

// rejoinTick rejoins the dead, unless a heal has replaced the ticker.
func (s *SWIM) rejoinTick(m *swimNode, e event) {
	if e.b == m.rejoinSeq {
		m.stalledUntil = s.now + s.rejoin(e.a)
		s.add(m.stalledUntil+s.jittered(s.opts.RejoinInterval), swimRejoin, e.a, e.b, e.c)
	}
}

// syncTick exchanges states with a member that is alive.
func (s *SWIM) syncTick(m *swimNode, e event) {
	s.add(s.now+s.jittered(s.syncInterval(m)), swimSync, e.a, 0, e.c)
	if j := s.randomMember(e.a, func(c memberView) bool { return c.status == SWIMAlive }); j >= 0 {
		s.Count.Syncs++
		s.exchangeStates(e.a, j)
	}
}
