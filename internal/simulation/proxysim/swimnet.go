package proxysim

import (
	"math"
	"time"
)

// enqueue puts news into a member's queue of gossip, in place of older news of the same subject.
func (s *SWIM) enqueue(i int32, n news) {
	m := &s.nodes[i]
	n.sent = 0
	for at := range m.queue {
		if m.queue[at].subject == n.subject {
			m.queue = append(m.queue[:at], m.queue[at+1:]...)
			break
		}
	}
	m.queue = append(m.queue, n)
}

// newsBytes is the size of one gossiped message in memberlist's codec.
func (s *SWIM) newsBytes(n *news) int {
	if n.status == SWIMAlive {
		return 62 + s.o.Name + s.o.Meta
	}
	return 27 + 2*s.o.Name
}

// stateBytes is the size of one member in a full exchange.
func (s *SWIM) stateBytes() int { return 68 + s.o.Name + s.o.Meta }

func (s *SWIM) messageBytes(kind uint8) int {
	switch kind {
	case msgPing:
		return 59 + 2*s.o.Name
	case msgIndirect:
		return 88 + 2*s.o.Name
	case msgAck:
		return 20
	case msgNack:
		return 11
	}
	return 0
}

// draining takes from a member's queue what fits into room bytes: the least sent first.
func (s *SWIM) draining(i int32, room int) []news {
	m := &s.nodes[i]
	if len(m.queue) == 0 {
		return nil
	}
	limit := int16(swimRetransmit * math.Ceil(log10(len(m.order)+1)))
	var out []news
	for sent := int16(0); sent < limit && room > 2+27; sent++ {
		for at := len(m.queue) - 1; at >= 0; at-- {
			n := &m.queue[at]
			if n.sent != sent || contains(out, n.subject) {
				continue
			}
			size := s.newsBytes(n) + 2
			if size > room {
				continue
			}
			room -= size
			if n.sent++; n.sent == 1 { // package fleet sees what memberlist holds as it goes out
				s.show(i, n.subject, n.status == SWIMSuspect)
				if n.status == SWIMSuspect && n.from == i {
					s.add(s.now, swimAsk, i, n.subject, 0)
				}
			}
			out = append(out, *n)
		}
	}
	kept := m.queue[:0]
	for _, n := range m.queue {
		if n.sent < limit {
			kept = append(kept, n)
		}
	}
	m.queue = kept
	return out
}

func contains(all []news, subject int32) bool {
	for i := range all {
		if all[i].subject == subject {
			return true
		}
	}
	return false
}

// gossip sends what waits to three members that live, or died lately.
func (s *SWIM) gossip(i int32) {
	m := &s.nodes[i]
	if len(m.queue) == 0 {
		return
	}
	nowMS := int32(s.now / 1e6)
	lately := int32(s.o.GossipToDead.Milliseconds())
	to := append([]int32(nil), s.drawSome(i, swimGossipNodes, func(c cell) bool {
		return c.status == SWIMAlive || c.status == SWIMSuspect || c.status == SWIMDead && nowMS-c.at <= lately
	})...)
	for _, j := range to {
		g := s.draining(i, swimPacket-2-2-s.o.Label)
		if len(g) == 0 {
			return
		}
		s.transmit(packet{kind: msgGossip, from: i, to: j, gossip: g})
	}
}

// send sends a message with gossip behind it.
func (s *SWIM) send(p packet) {
	p.gossip = s.draining(p.from, swimPacket-2-2-s.o.Label-s.messageBytes(p.kind))
	s.transmit(p)
}

// transmit puts a datagram on its way, or loses it.
func (s *SWIM) transmit(p packet) {
	size := 2 + s.o.Label + 5 + s.messageBytes(p.kind)
	parts := len(p.gossip)
	if p.kind != msgGossip {
		parts++
	}
	if parts > 1 {
		size += 2 + 2*parts
	}
	for at := range p.gossip {
		size += s.newsBytes(&p.gossip[at])
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
	s.add(s.now+s.way(p.from, p.to), swimArrive, p.to, at, 0)
}

func (s *SWIM) release(at int32) {
	s.pool[at].gossip = nil
	s.free = append(s.free, at)
}

// way draws how long a datagram takes.
func (s *SWIM) way(from, to int32) int64 {
	d := int64(s.o.Latency) + s.delay[from] + s.delay[to]
	if s.o.Jitter > 0 {
		d += s.rnd.Int64N(int64(s.o.Jitter) + 1)
	}
	return d
}

// reaches tells whether what one member sends gets to another's process or its socket.
func (s *SWIM) reaches(from, to int32) bool {
	return s.side[from] == s.side[to] && !s.down[to] && !s.cut[[2]int32{from, to}]
}

// join exchanges whole states with another member, over a stream.
func (s *SWIM) join(i, j int32) {
	s.Count.Streams++
	if !s.reaches(i, j) || !s.reaches(j, i) {
		return
	}
	s.Count.Bytes += int64(2 + s.o.Label + 40 + s.stateBytes()*len(s.nodes[i].order))
	s.add(s.now+3*s.way(i, j), swimPush, j, i, 0) // connect, then the state
}

// ask exchanges states with a suspect, twice, as package fleet does: by the first it hears of the suspicion,
// by the second its refutation is heard.
func (s *SWIM) ask(i, j int32, tries uint64) {
	if s.nodes[i].cells[j].status != SWIMSuspect {
		return
	}
	s.join(i, j)
	if tries == 0 && s.reaches(i, j) && s.reaches(j, i) {
		s.add(s.now+4*s.way(i, j)+int64(s.o.ProbeTimeout/2), swimAsk, i, j, 1)
	}
}

// push is the other member's part of an exchange: it answers with its state and takes the caller's.
func (s *SWIM) push(j, i int32) {
	if !s.nodes[i].up {
		return
	}
	s.Count.Bytes += int64(40 + s.stateBytes()*len(s.nodes[j].order))
	s.merge(j, i)
	s.add(s.now+s.way(j, i), swimPull, i, j, 0)
}

// merge has member i take the whole state of j. The dead of another are only suspected.
func (s *SWIM) merge(i, j int32) {
	m, o := &s.nodes[i], &s.nodes[j]
	for _, k := range append([]int32(nil), o.order...) {
		c := o.cells[k]
		switch {
		case c.status == SWIMAlive:
			s.alive(i, news{subject: k, from: j, inc: c.inc, status: SWIMAlive})
		case m.cells[k].status == SWIMUnknown:
		default:
			s.suspect(i, news{subject: k, from: i, inc: c.inc, status: SWIMSuspect})
		}
	}
}

// rejoin tries one dead member, and then a seed that is dead, as package fleet does. It
// returns how long streams over cut links keep it from going on.
func (s *SWIM) rejoin(i int32) int64 {
	m := &s.nodes[i]
	if m.held[SWIMDead] == 0 {
		return 0
	}
	most := int64(max(10*s.o.ProbeTimeout, time.Second))
	stalled := int64(0)
	try := func(j int32) {
		s.Count.Rejoins++
		if s.side[i] != s.side[j] {
			stalled += most
		}
		s.join(i, j)
	}
	seed := int32(-1)
	if all := s.deadSeeds(i); len(all) > 0 {
		seed = all[s.rnd.IntN(len(all))]
	}
	if j := s.draw(i, func(c cell) bool { return c.status == SWIMDead }); j >= 0 {
		try(j)
	}
	m.stalled, m.seedNext = s.now+stalled, seed
	if seed >= 0 {
		try(seed)
	}
	return stalled
}

// deadSeeds are the seeds of a member that it holds dead.
func (s *SWIM) deadSeeds(i int32) (all []int32) {
	for j := range int32(max(1, s.o.Seeds)) {
		if j != i && s.nodes[i].cells[j].status == SWIMDead {
			all = append(all, j)
		}
	}
	return all
}
