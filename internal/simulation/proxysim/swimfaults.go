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
			s.join(int32(i), int32(j))
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
		if m.up && m.seedNext >= 0 && m.stalled > s.now {
			s.join(int32(i), m.seedNext)
		}
		m.seedNext = -1
		if m.up && m.stalledTo > s.now { // it rests from here on, not from when the stream would have ended
			m.stalledTo = s.now
			m.rejoins++
			s.add(s.now+s.spread(s.o.Rejoin), swimRejoin, int32(i), m.rejoins, m.life)
		}
	}
	clear(s.cut)
	clear(s.delay)
}

// Cut cuts the link from one member to another, in that direction alone.
func (s *SWIM) Cut(from, to int) { s.cut[[2]int32{int32(from), int32(to)}] = true }

// Slow delays all that a member sends and gets.
func (s *SWIM) Slow(i int, by time.Duration) { s.delay[int32(i)] = int64(by) }

// Apart tells whether each side of a partition holds itself alive and the other dead.
func (s *SWIM) Apart() bool {
	for i := range s.nodes {
		for j := range s.nodes {
			st := s.nodes[i].cells[j].status
			if same := s.side[i] == s.side[j]; same && st != SWIMAlive || !same && st != SWIMDead {
				return false
			}
		}
	}
	return true
}
