package proxysim

import (
	"math"
	"slices"
	"time"
)

// enqueue queues an update for gossip, in place of an earlier one of the same subject.
func (s *SWIM) enqueue(member int32, u update) {
	node := &s.nodes[member]
	u.transmits = 0
	for at := range node.broadcasts {
		if node.broadcasts[at].subject == u.subject {
			node.broadcasts = append(node.broadcasts[:at], node.broadcasts[at+1:]...)
			break
		}
	}
	node.broadcasts = append(node.broadcasts, u)
}

// Sizes of messages in memberlist's codec, in bytes, without names and metadata.
const (
	aliveBytes         = 62
	suspectOrDeadBytes = 27
	memberStateBytes   = 68
	pingBytes          = 59
	indirectPingBytes  = 88
	ackBytes           = 20
	nackBytes          = 11
	streamHeaderBytes  = 40 // of a full exchange of states
	labelHeaderBytes   = 2
	checksumBytes      = 5
	compoundBytes      = 2 // of a datagram of several messages
	compoundPartBytes  = 2 // of each message of it
)

// updateBytes is the size of one gossiped message in memberlist's codec.
func (s *SWIM) updateBytes(u *update) int {
	if u.status == SWIMAlive {
		return aliveBytes + s.opts.NameBytes + s.opts.MetaBytes
	}
	return suspectOrDeadBytes + 2*s.opts.NameBytes
}

// stateBytes is the size of one member in a full exchange.
func (s *SWIM) stateBytes() int { return memberStateBytes + s.opts.NameBytes + s.opts.MetaBytes }

// messageBytes is the size of a message in memberlist's codec.
func (s *SWIM) messageBytes(kind messageKind) int {
	switch kind {
	case msgPing:
		return pingBytes + 2*s.opts.NameBytes
	case msgIndirect:
		return indirectPingBytes + 2*s.opts.NameBytes
	case msgAck:
		return ackBytes
	case msgNack:
		return nackBytes
	}
	return 0
}

// packetCapacity is how many bytes of messages a datagram takes.
func (s *SWIM) packetCapacity() int {
	return swimPacketBytes - labelHeaderBytes - s.opts.LabelBytes - compoundBytes
}

// takeBroadcasts takes the queued updates that fit into a number of bytes, the least transmitted ones first,
// and drops those that have been transmitted often enough.
func (s *SWIM) takeBroadcasts(member int32, capacity int) []update {
	node := &s.nodes[member]
	if len(node.broadcasts) == 0 {
		return nil
	}
	limit := int16(swimRetransmit * math.Ceil(log10(len(node.order)+1)))
	var taken []update
	for sent := int16(0); sent < limit && capacity > compoundPartBytes+suspectOrDeadBytes; sent++ {
		for at := len(node.broadcasts) - 1; at >= 0; at-- {
			u := &node.broadcasts[at]
			size := s.updateBytes(u) + compoundPartBytes
			if u.transmits != sent || size > capacity || containsSubject(taken, u.subject) {
				continue
			}
			capacity -= size
			if u.transmits++; u.transmits == 1 {
				s.firstTransmission(member, u)
			}
			taken = append(taken, *u)
		}
	}
	node.broadcasts = slices.DeleteFunc(node.broadcasts, func(u update) bool { return u.transmits >= limit })
	return taken
}

// firstTransmission is when package gossip observes an update that memberlist has queued, and asks the
// subject of a suspicion that this member raised.
func (s *SWIM) firstTransmission(member int32, u *update) {
	s.setShown(member, u.subject, u.status == SWIMSuspect)
	if u.status == SWIMSuspect && u.from == member {
		s.add(s.now, event{kind: swimAskSuspect, target: member, detail: u.subject})
	}
}

func containsSubject(updates []update, subject int32) bool {
	return slices.ContainsFunc(updates, func(u update) bool { return u.subject == subject })
}

// gossip sends queued updates to members that are not dead, or have not been for long.
func (s *SWIM) gossip(member int32) {
	node := &s.nodes[member]
	if len(node.broadcasts) == 0 {
		return
	}
	nowMS := int32(s.now / nsPerMillisecond)
	lately := int32(s.opts.GossipToDead.Milliseconds())
	receivers := slices.Clone(s.randomMembers(member, swimGossipNodes, func(view memberView) bool {
		return view.status == SWIMAlive || view.status == SWIMSuspect || view.status == SWIMDead &&
			nowMS-view.changedAt <= lately
	}))
	for _, receiver := range receivers {
		updates := s.takeBroadcasts(member, s.packetCapacity())
		if len(updates) == 0 {
			return
		}
		s.transmit(packet{kind: msgGossip, from: member, to: receiver, gossip: updates})
	}
}

// send sends a message with queued updates piggybacked.
func (s *SWIM) send(p packet) {
	p.gossip = s.takeBroadcasts(p.from, s.packetCapacity()-s.messageBytes(p.kind))
	s.transmit(p)
}

// transmit sends a datagram, which a fault may lose.
func (s *SWIM) transmit(p packet) {
	size := labelHeaderBytes + s.opts.LabelBytes + checksumBytes + s.messageBytes(p.kind)
	parts := len(p.gossip)
	if p.kind != msgGossip {
		parts++
	}
	if parts > 1 {
		size += compoundBytes + compoundPartBytes*parts
	}
	for at := range p.gossip {
		size += s.updateBytes(&p.gossip[at])
	}
	s.Count.Packets++
	s.Count.Bytes += int64(size)
	if !s.reaches(p.from, p.to) {
		return
	}
	var at int32
	if n := len(s.free); n > 0 {
		at = s.free[n-1]
		s.free = s.free[:n-1]
		s.pool[at] = p
	} else {
		at = int32(len(s.pool))
		s.pool = append(s.pool, p)
	}
	s.add(s.now+s.latency(p.from, p.to), event{kind: swimArrive, target: p.to, detail: at})
}

// release frees a datagram's position in the pool.
func (s *SWIM) release(at int32) {
	s.pool[at].gossip = nil
	s.free = append(s.free, at)
}

// latency draws the one-way latency of a datagram.
func (s *SWIM) latency(from, to int32) int64 {
	latency := int64(s.opts.Latency) + s.delay[from] + s.delay[to]
	if s.opts.Jitter > 0 {
		latency += s.rng.Int64N(int64(s.opts.Jitter) + 1)
	}
	return latency
}

// reaches reports whether what one member sends arrives at another that is not down.
func (s *SWIM) reaches(from, to int32) bool {
	return s.side[from] == s.side[to] && !s.down[to] && !s.blocked[[2]int32{from, to}]
}

// exchangeStates exchanges full states with another member, over a stream (push/pull).
func (s *SWIM) exchangeStates(from, to int32) {
	s.Count.Streams++
	if !s.reaches(from, to) || !s.reaches(to, from) {
		return
	}
	s.Count.Bytes += int64(labelHeaderBytes + s.opts.LabelBytes + streamHeaderBytes +
		s.stateBytes()*len(s.nodes[from].order))
	const handshakeAndState = 3 // times that something crosses the network until the state is there
	s.add(s.now+handshakeAndState*s.latency(from, to), event{kind: swimPush, target: to, detail: from})
}

// askSuspect exchanges states with a suspect, twice, as package gossip does: the first exchange informs it of
// the suspicion, the second returns its refutation.
func (s *SWIM) askSuspect(member, suspect int32, attempt uint64) {
	if s.nodes[member].views[suspect].status != SWIMSuspect {
		return
	}
	s.exchangeStates(member, suspect)
	if attempt == 0 && s.reaches(member, suspect) && s.reaches(suspect, member) {
		const wholeExchange = 4 // times that something crosses the network until the answer is there
		s.add(s.now+wholeExchange*s.latency(member, suspect)+int64(s.opts.ProbeTimeout/2),
			event{kind: swimAskSuspect, target: member, detail: suspect, stamp: 1})
	}
}

// push is the other member's part of an exchange: it merges the caller's state and answers with its own.
func (s *SWIM) push(member, caller int32) {
	if !s.nodes[caller].up {
		return
	}
	s.Count.Bytes += int64(streamHeaderBytes + s.stateBytes()*len(s.nodes[member].order))
	s.merge(member, caller)
	s.add(s.now+s.latency(member, caller), event{kind: swimPull, target: caller, detail: member})
}

// merge merges the full state of source into that of a member. What is dead there is only suspected here.
func (s *SWIM) merge(member, source int32) {
	local, remote := &s.nodes[member], &s.nodes[source]
	for _, subject := range slices.Clone(remote.order) {
		view := remote.views[subject]
		switch {
		case view.status == SWIMAlive:
			s.alive(member, update{subject: subject, from: source, incarnation: view.incarnation, status: SWIMAlive})
		case local.views[subject].status == SWIMUnknown:
		default:
			s.suspect(member,
				update{subject: subject, from: member, incarnation: view.incarnation, status: SWIMSuspect})
		}
	}
}

// A stream to a member that cannot be reached stalls for streamTimeoutProbes probe timeouts, at least for
// minStreamTimeout.
const (
	streamTimeoutProbes = 10
	minStreamTimeout    = time.Second
)

// rejoin attempts to join a dead member, and then a dead seed, as package gossip does. It returns for how
// long streams over a partition stall it, in ns.
func (s *SWIM) rejoin(member int32) int64 {
	node := &s.nodes[member]
	if node.byStatus[SWIMDead] == 0 {
		return 0
	}
	timeout := int64(max(streamTimeoutProbes*s.opts.ProbeTimeout, minStreamTimeout))
	stalled := int64(0)
	attempt := func(dead int32) {
		s.Count.Rejoins++
		if s.side[member] != s.side[dead] {
			stalled += timeout
		}
		s.exchangeStates(member, dead)
	}
	seed := int32(-1)
	if all := s.deadSeeds(member); len(all) > 0 {
		seed = all[s.rng.IntN(len(all))]
	}
	if dead := s.randomMember(member, func(view memberView) bool { return view.status == SWIMDead }); dead >= 0 {
		attempt(dead)
	}
	node.seedFrom, node.nextSeed = s.now+stalled, seed
	if seed >= 0 {
		attempt(seed)
	}
	return stalled
}

// deadSeeds are the seeds that are dead in the view of a member.
func (s *SWIM) deadSeeds(member int32) (all []int32) {
	for seed := range int32(max(1, s.opts.Seeds)) {
		if seed != member && s.nodes[member].views[seed].status == SWIMDead {
			all = append(all, seed)
		}
	}
	return all
}
