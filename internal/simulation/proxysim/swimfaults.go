package proxysim

import "time"

// Kill ends members' processes at once.
func (s *SWIM) Kill(members ...int) {
	for _, member := range members {
		s.nodes[member].up = false
		s.down[member] = true
	}
	s.recount()
}

// Restart starts a killed member again; it joins by a member that runs.
func (s *SWIM) Restart(member int) {
	s.down[member] = false
	s.boot(int32(member), true)
	for other := range s.nodes {
		if other != member && s.nodes[other].up {
			s.exchangeStates(int32(member), int32(other))
			break
		}
	}
	s.recount()
}

// Pause stops a member's process; its events are queued. Resume has it handle them.
func (s *SWIM) Pause(member int) {
	s.nodes[member].paused = true
	s.recount()
}

// Resume ends a pause.
func (s *SWIM) Resume(member int) {
	node := &s.nodes[member]
	node.paused = false
	for _, e := range node.waiting {
		s.add(s.now, e)
	}
	node.waiting = nil
	s.recount()
}

// Partition separates the first members from the others, both ways; Heal undoes it.
func (s *SWIM) Partition(first int) {
	for member := range s.side {
		s.side[member] = 0
		if member < first {
			s.side[member] = 1
		}
	}
}

// Heal ends all faults of the network. A stream that stalled over a blocked link fails then, and its member
// goes on to its next attempt.
func (s *SWIM) Heal() {
	clear(s.side)
	for member := range s.nodes {
		node := &s.nodes[member]
		if node.up && node.nextSeed >= 0 && node.seedFrom > s.now {
			s.exchangeStates(int32(member), node.nextSeed)
		}
		node.nextSeed = -1
		if node.up && node.stalledUntil > s.now { // its interval begins now, not when the stream would have ended
			node.stalledUntil = s.now
			node.rejoinSeq++
			s.add(s.now+s.jittered(s.opts.RejoinInterval),
				event{kind: swimRejoin, target: int32(member), detail: node.rejoinSeq, stamp: node.process})
		}
	}
	clear(s.blocked)
	clear(s.delay)
}

// BlockLink loses all that one member sends to another, in that direction alone.
func (s *SWIM) BlockLink(from, to int) { s.blocked[[2]int32{int32(from), int32(to)}] = true }

// Slow delays all that a member sends and receives.
func (s *SWIM) Slow(member int, by time.Duration) { s.delay[int32(member)] = int64(by) }

// Partitioned reports whether each side of a partition sees itself alive and the other side dead.
func (s *SWIM) Partitioned() bool {
	for observer := range s.nodes {
		for subject := range s.nodes {
			st := s.nodes[observer].views[subject].status
			if same := s.side[observer] == s.side[subject]; same && st != SWIMAlive || !same && st != SWIMDead {
				return false
			}
		}
	}
	return true
}
