package proxysim

import "time"

// Run plays until the virtual time has moved on by d, or until stop says so after an event.
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

// handle does one event. Whatever comes to a paused member waits.
func (s *SWIM) handle(e event) {
	m := &s.nodes[e.a]
	if !m.up {
		if e.kind == swimArrive {
			s.release(e.b)
		}
		return
	}
	if ticker := e.kind == swimProbe || e.kind == swimGossip || e.kind == swimRejoin ||
		e.kind == swimSync; ticker && e.c != m.process {
		return
	}
	if m.paused {
		m.waiting = append(m.waiting, e)
		return
	}
	switch e.kind {
	case swimProbe:
		s.add(s.now+int64(s.opts.Probe), swimProbe, e.a, 0, e.c)
		if m.probing >= 0 {
			m.missedTick = true
		} else {
			s.beginProbe(e.a)
		}
	case swimGossip:
		s.add(s.now+int64(s.opts.Gossip), swimGossip, e.a, 0, e.c)
		s.gossip(e.a)
	case swimArrive:
		p := s.pool[e.b]
		s.arrive(e.a, &p)
		s.release(e.b)
	case swimProbeTimeout:
		if m.probing >= 0 && m.probeSeq == e.c && !m.acked {
			s.probeIndirectly(e.a)
		}
	case swimProbeEnd:
		if m.probing >= 0 && m.probeSeq == e.c {
			s.endProbe(e.a)
		}
	case swimNack:
		if r, ok := m.relayed[e.c]; ok {
			delete(m.relayed, e.c)
			s.send(packet{kind: msgNack, from: e.a, to: r.asker, seq: r.seq})
		}
	case swimSuspicion:
		if t := m.suspects[e.b]; t != nil && t.generation == e.c {
			s.dead(e.a, update{subject: e.b, from: e.a, inc: m.views[e.b].inc, status: SWIMDead})
		}
	case swimRejoin:
		if e.b != m.rejoinSeq {
			return // a heal brought it forward
		}
		m.stalledUntil = s.now + s.rejoin(e.a)
		s.add(m.stalledUntil+s.jittered(s.opts.RejoinInterval), swimRejoin, e.a, e.b, e.c)
	case swimSync:
		s.add(s.now+s.jittered(s.syncInterval(m)), swimSync, e.a, 0, e.c)
		if j := s.randomMember(e.a, func(c memberView) bool { return c.status == SWIMAlive }); j >= 0 {
			s.Count.Syncs++
			s.exchangeStates(e.a, j)
		}
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
