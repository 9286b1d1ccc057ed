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
	node := &s.nodes[e.a]
	switch {
	case !node.up:
		if e.kind == swimArrive {
			s.release(e.b)
		}
	case isTicker(e.kind) && e.c != node.process:
	case node.paused:
		node.waiting = append(node.waiting, e)
	default:
		s.dispatch(node, e)
	}
}

// dispatch handles an event of a running member.
func (s *SWIM) dispatch(node *swimNode, e event) {
	switch e.kind {
	case swimProbe:
		s.probeTick(node, e)
	case swimGossip:
		s.add(s.now+int64(s.opts.Gossip), swimGossip, e.a, 0, e.c)
		s.gossip(e.a)
	case swimArrive:
		p := s.pool[e.b]
		s.arrive(e.a, &p)
		s.release(e.b)
	case swimProbeTimeout:
		if node.awaits(e.c) && !node.acked {
			s.probeIndirectly(e.a)
		}
	case swimProbeEnd:
		if node.awaits(e.c) {
			s.endProbe(e.a)
		}
	case swimNack:
		s.relayTimeout(node, e)
	case swimSuspicion:
		if pending := node.suspects[e.b]; pending != nil && pending.generation == e.c {
			s.dead(e.a, update{subject: e.b, from: e.a, incarnation: node.views[e.b].incarnation, status: SWIMDead})
		}
	case swimRejoin:
		s.rejoinTick(node, e)
	case swimSync:
		s.syncTick(node, e)
	case swimAskSuspect:
		s.askSuspect(e.a, e.b, e.c)
	case swimSuspicionLasts:
		if pending := node.suspects[e.b]; pending != nil && uint64(pending.start) == e.c {
			s.askSuspect(e.a, e.b, 0)
			s.add(s.now+2*pending.min, swimSuspicionLasts, e.a, e.b, e.c)
		}
	case swimPush:
		s.push(e.a, e.b)
	case swimPull:
		s.merge(e.a, e.b)
	}
}

// awaits reports whether a probe of that sequence number is under way.
func (n *swimNode) awaits(seq uint64) bool { return n.probing >= 0 && n.probeSeq == seq }

// probeTick begins a probe, or remembers that one is due.
func (s *SWIM) probeTick(node *swimNode, e event) {
	s.add(s.now+int64(s.opts.Probe), swimProbe, e.a, 0, e.c)
	if node.probing >= 0 {
		node.missedTick = true
	} else {
		s.beginProbe(e.a)
	}
}

// relayTimeout tells the member that asked for an indirect probe that it is unanswered.
func (s *SWIM) relayTimeout(node *swimNode, e event) {
	if relayed, ok := node.relayed[e.c]; ok {
		delete(node.relayed, e.c)
		s.send(packet{kind: msgNack, from: e.a, to: relayed.asker, seq: relayed.seq})
	}
}

// rejoinTick rejoins the dead, unless a heal has replaced the ticker.
func (s *SWIM) rejoinTick(node *swimNode, e event) {
	if e.b == node.rejoinSeq {
		node.stalledUntil = s.now + s.rejoin(e.a)
		s.add(node.stalledUntil+s.jittered(s.opts.RejoinInterval), swimRejoin, e.a, e.b, e.c)
	}
}

// syncTick exchanges states with a member that is alive.
func (s *SWIM) syncTick(node *swimNode, e event) {
	s.add(s.now+s.jittered(s.syncInterval(node)), swimSync, e.a, 0, e.c)
	isAlive := func(view memberView) bool { return view.status == SWIMAlive }
	if partner := s.randomMember(e.a, isAlive); partner >= 0 {
		s.Count.Syncs++
		s.exchangeStates(e.a, partner)
	}
}
