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
	node := &s.nodes[e.target]
	switch {
	case !node.up:
		if e.kind == swimArrive {
			s.release(e.detail)
		}
	case isTicker(e.kind) && e.stamp != node.process:
	case node.paused:
		node.waiting = append(node.waiting, e)
	default:
		s.dispatch(node, e)
	}
}

// dispatch handles an event of a running member.
func (s *SWIM) dispatch(node *swimNode, e event) {
	member := e.target
	switch e.kind {
	case swimProbe:
		s.probeTick(node, e)
	case swimGossip:
		s.add(s.now+int64(s.opts.Gossip), e)
		s.gossip(member)
	case swimArrive:
		datagram := s.pool[e.detail]
		s.arrive(member, &datagram)
		s.release(e.detail)
	case swimProbeTimeout:
		if node.awaits(e.stamp) && !node.acked {
			s.probeIndirectly(member)
		}
	case swimProbeEnd:
		if node.awaits(e.stamp) {
			s.endProbe(member)
		}
	case swimNack:
		s.relayTimeout(node, e)
	case swimSuspicion:
		s.endSuspicion(node, e)
	case swimRejoin:
		s.rejoinTick(node, e)
	case swimSync:
		s.syncTick(node, e)
	case swimAskSuspect:
		s.askSuspect(member, e.detail, e.stamp)
	case swimSuspicionLasts:
		if pending := node.suspects[e.detail]; pending != nil && uint64(pending.start) == e.stamp {
			s.askSuspect(member, e.detail, 0)
			s.add(s.now+2*pending.min, e)
		}
	case swimPush:
		s.push(member, e.detail)
	case swimPull:
		s.merge(member, e.detail)
	}
}

// awaits reports whether a probe of that sequence number is under way.
func (n *swimNode) awaits(seq uint64) bool { return n.probing >= 0 && n.probeSeq == seq }

// probeTick begins a probe, or remembers that one is due.
func (s *SWIM) probeTick(node *swimNode, e event) {
	s.add(s.now+int64(s.opts.Probe), e)
	if node.probing >= 0 {
		node.missedTick = true
	} else {
		s.beginProbe(e.target)
	}
}

// endSuspicion declares a suspect dead, unless its suspicion has ended or was shortened since.
func (s *SWIM) endSuspicion(node *swimNode, e event) {
	member, subject := e.target, e.detail
	if pending := node.suspects[subject]; pending != nil && pending.generation == e.stamp {
		incarnation := node.views[subject].incarnation
		s.dead(member, update{subject: subject, from: member, incarnation: incarnation, status: SWIMDead})
	}
}

// relayTimeout tells the member that asked for an indirect probe that it is unanswered.
func (s *SWIM) relayTimeout(node *swimNode, e event) {
	if relayed, ok := node.relayed[e.stamp]; ok {
		delete(node.relayed, e.stamp)
		s.send(packet{kind: msgNack, from: e.target, to: relayed.asker, seq: relayed.seq})
	}
}

// rejoinTick rejoins the dead, unless a heal has replaced the ticker.
func (s *SWIM) rejoinTick(node *swimNode, e event) {
	if e.detail == node.rejoinSeq {
		node.stalledUntil = s.now + s.rejoin(e.target)
		s.add(node.stalledUntil+s.jittered(s.opts.RejoinInterval), e)
	}
}

// syncTick exchanges states with a member that is alive.
func (s *SWIM) syncTick(node *swimNode, e event) {
	s.add(s.now+s.jittered(s.syncInterval(node)), e)
	isAlive := func(view memberView) bool { return view.status == SWIMAlive }
	if partner := s.randomMember(e.target, isAlive); partner >= 0 {
		s.Count.Syncs++
		s.exchangeStates(e.target, partner)
	}
}
