package proxysim

import (
	"time"
)

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

// Pause stops a member's process; what comes to it waits. Resume has it go on with all that came.
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

// Partition cuts the first members from the rest, both ways; Heal undoes it and all cut links and delays.
func (s *SWIM) Partition(first int) {
	for i := range s.side {
		s.side[i] = 0
		if i < first {
			s.side[i] = 1
		}
	}
}

// Heal takes all faults of the network away. A stream that stood over a cut link fails then, and its member
// goes on to what it tries next.
func (s *SWIM) Heal() {
	clear(s.side)
	for i := range s.nodes {
		m := &s.nodes[i]
		if m.up && m.nextSeed >= 0 && m.seedFrom > s.now {
			s.exchangeStates(int32(i), m.nextSeed)
		}
		m.nextSeed = -1
		if m.up && m.stalledUntil > s.now { // it rests from here on, not from when the stream would have ended
			m.stalledUntil = s.now
			m.rejoinSeq++
			s.add(s.now+s.jittered(s.opts.RejoinInterval), swimRejoin, int32(i), m.rejoinSeq, m.process)
		}
	}
	clear(s.blocked)
	clear(s.delay)
}

// BlockLink cuts the link from one member to another, in that direction alone.
func (s *SWIM) BlockLink(from, to int) { s.blocked[[2]int32{int32(from), int32(to)}] = true }

// Slow delays all that a member sends and gets.
func (s *SWIM) Slow(i int, by time.Duration) { s.delay[int32(i)] = int64(by) }

// Partitioned tells whether each side of a partition holds itself alive and the other dead.
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
