package proxysim

import "time"

// Kill ends members' processes at once.
func (s *SWIM) Kill(members ...int) {
	for _, i := range members {
		s.nodes[i].up = false
		s.down[i] = true
	}
	s.recount()
}

// Restart starts a killed member again; it joins by a member that runs.
func (s *SWIM) Restart(i int) {
	s.down[i] = false
	s.boot(int32(i), true)
	for j := range s.nodes {
		if j != i && s.nodes[j].up {
			s.exchangeStates(int32(i), int32(j))
			break
		}
	}
	s.recount()
}

// Pause stops a member's process; its events are queued. Resume has it handle them.
func (s *SWIM) Pause(i int) {
	s.nodes[i].paused = true
	s.recount()
}

// Resume ends a pause.
func (s *SWIM) Resume(i int) {
	m := &s.nodes[i]
	m.paused = false
	for _, e := range m.waiting {
		s.add(s.now, e.kind, e.a, e.b, e.c)
	}
	m.waiting = nil
	s.recount()
}

// Partition separates the first members from the others, both ways; Heal undoes it.
func (s *SWIM) Partition(first int) {
	for i := range s.side {
		s.side[i] = 0
		if i < first {
			s.side[i] = 1
		}
	}
}

// Heal ends all faults of the network. A stream that stalled over a blocked link fails then, and its member
// goes on to its next attempt.
func (s *SWIM) Heal() {
	clear(s.side)
	for i := range s.nodes {
		m := &s.nodes[i]
		if m.up && m.nextSeed >= 0 && m.seedFrom > s.now {
			s.exchangeStates(int32(i), m.nextSeed)
		}
		m.nextSeed = -1
		if m.up && m.stalledUntil > s.now { // its interval begins now, not when the stream would have ended
			m.stalledUntil = s.now
			m.rejoinSeq++
			s.add(s.now+s.jittered(s.opts.RejoinInterval), swimRejoin, int32(i), m.rejoinSeq, m.process)
		}
	}
	clear(s.blocked)
	clear(s.delay)
}

// BlockLink loses all that one member sends to another, in that direction alone.
func (s *SWIM) BlockLink(from, to int) { s.blocked[[2]int32{int32(from), int32(to)}] = true }

// Slow delays all that a member sends and receives.
func (s *SWIM) Slow(i int, by time.Duration) { s.delay[int32(i)] = int64(by) }

// Partitioned reports whether each side of a partition sees itself alive and the other side dead.
func (s *SWIM) Partitioned() bool {
	for i := range s.nodes {
		for j := range s.nodes {
			st := s.nodes[i].views[j].status
			if same := s.side[i] == s.side[j]; same && st != SWIMAlive || !same && st != SWIMDead {
				return false
			}
		}
	}
	return true
}
