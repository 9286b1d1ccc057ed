package proxysim

import (
	"math"
	"slices"
)

// changeView changes the view that member i has of j, and maintains the number of wrong views.
func (s *SWIM) changeView(i, j int32, change func(*memberView)) {
	before := s.isWrong(i, j)
	change(&s.nodes[i].views[j])
	switch after := s.isWrong(i, j); {
	case after && !before:
		s.wrongViews++
	case before && !after:
		s.wrongViews--
	}
}

// setStatus sets the status of j in the view of member i.
func (s *SWIM) setStatus(i, j int32, status SWIMStatus, incarnation uint32) {
	if m := &s.nodes[i]; m.views[j].status == SWIMUnknown {
		m.order = append(m.order, j)
		at := s.rng.IntN(len(m.order))
		m.order[at], m.order[len(m.order)-1] = m.order[len(m.order)-1], m.order[at]
	}
	s.changeView(i, j, func(c *memberView) {
		if c.status != status {
			s.nodes[i].byStatus[c.status]--
			s.nodes[i].byStatus[status]++
			c.status, c.changedAt = status, int32(s.now/1e6)
			c.shownSuspect = c.shownSuspect && status != SWIMDead
		}
		c.incarnation = incarnation
	})
}

// isWrong reports whether member i runs and sees j otherwise than it is.
func (s *SWIM) isWrong(i, j int32) bool {
	if s.down[i] || s.nodes[i].paused {
		return false
	}
	c := &s.nodes[i].views[j]
	if s.down[j] {
		return c.status == SWIMAlive || c.status == SWIMSuspect
	}
	return c.status != SWIMAlive && c.status != SWIMSuspect || c.shownSuspect
}

// setShown sets whether member i shows j as suspect.
func (s *SWIM) setShown(i, j int32, suspect bool) {
	s.changeView(i, j, func(c *memberView) { c.shownSuspect = suspect && c.status == SWIMSuspect })
}

// recount counts the wrong views again, after members were killed, paused and the like.
func (s *SWIM) recount() {
	s.wrongViews = 0
	for i := range s.nodes {
		for j := range s.nodes {
			if s.isWrong(int32(i), int32(j)) {
				s.wrongViews++
			}
		}
	}
}

// Converged reports whether every running member sees exactly the running members as alive.
func (s *SWIM) Converged() bool { return s.wrongViews == 0 }

// Status is the status of j in the view of member i.
func (s *SWIM) Status(i, j int) SWIMStatus { return s.nodes[i].views[j].status }

// refute has a member answer its own suspicion or death of an incarnation by a higher incarnation.
func (s *SWIM) refute(i int32, accused uint32) {
	m := &s.nodes[i]
	m.incarnation = max(m.incarnation, accused) + 1
	m.views[i].incarnation = m.incarnation
	m.health = min(m.health+1, swimMaxHealth-1)
	s.Count.Refutations++
	s.enqueue(i, update{subject: i, from: i, incarnation: m.incarnation, status: SWIMAlive})
}

// alive applies an update that says that a member is alive.
func (s *SWIM) alive(i int32, n update) {
	m := &s.nodes[i]
	if n.subject == i {
		if n.incarnation > m.incarnation {
			s.refute(i, n.incarnation)
		}
		return
	}
	c := m.views[n.subject]
	if c.status != SWIMUnknown && n.incarnation <= c.incarnation {
		return
	}
	delete(m.suspects, n.subject)
	s.setStatus(i, n.subject, SWIMAlive, n.incarnation)
	s.enqueue(i, n)
}

// suspect applies an update that a member is suspect: it begins a suspicion or confirms one.
func (s *SWIM) suspect(i int32, n update) {
	m := &s.nodes[i]
	c := m.views[n.subject]
	if c.status == SWIMUnknown || n.incarnation < c.incarnation {
		return
	}
	if t := m.suspects[n.subject]; t != nil {
		s.confirm(i, n, t)
		return
	}
	if c.status != SWIMAlive {
		return
	}
	if n.subject == i {
		s.refute(i, n.incarnation)
		return
	}
	s.enqueue(i, n)
	s.setStatus(i, n.subject, SWIMSuspect, n.incarnation)
	known := len(m.order)
	k := s.opts.SuspicionMult - 2
	if known-2 < k {
		k = 0
	}
	minWait := int64(float64(s.opts.SuspicionMult) * max(1, log10(max(1, known))) * float64(s.opts.Probe))
	s.generation++
	t := &suspicion{generation: s.generation, confirmationsWanted: k, min: minWait,
		max: minWait * swimMaxSuspicionMult, start: s.now,
		confirmedBy: []int32{n.from}}
	m.suspects[n.subject] = t
	wait := t.max
	if k < 1 {
		wait = t.min
	}
	s.add(s.now+wait, swimSuspicion, i, n.subject, t.generation)
	fraction := 1 + 2*s.rng.Float64()
	if known <= swimSmallFleet {
		fraction = 0.3 + 0.4*s.rng.Float64()
	}
	s.add(s.now+int64(fraction*float64(minWait)), swimSuspicionLasts, i, n.subject, uint64(t.start))
}

// confirm adds a further member's suspicion, which shortens the suspicion (Lifeguard).
func (s *SWIM) confirm(i int32, n update, t *suspicion) {
	got := len(t.confirmedBy) - 1
	if got >= t.confirmationsWanted {
		return
	}
	if slices.Contains(t.confirmedBy, n.from) {
		return
	}
	t.confirmedBy = append(t.confirmedBy, n.from)
	got++
	s.Count.Confirmed++
	fraction := math.Log(float64(got)+1) / math.Log(float64(t.confirmationsWanted)+1)
	wait := max(t.max-int64(fraction*float64(t.max-t.min)), t.min)
	s.generation++
	t.generation = s.generation
	s.add(t.start+wait, swimSuspicion, i, n.subject, t.generation)
	s.enqueue(i, n)
}

// dead applies an update that a member is dead.
func (s *SWIM) dead(i int32, n update) {
	m := &s.nodes[i]
	c := m.views[n.subject]
	if c.status == SWIMUnknown || n.incarnation < c.incarnation {
		return
	}
	delete(m.suspects, n.subject)
	if c.status == SWIMDead {
		return
	}
	if n.subject == i {
		s.refute(i, n.incarnation)
		return
	}
	s.enqueue(i, n)
	s.Count.Deaths++
	if !s.down[n.subject] && !s.nodes[n.subject].paused {
		s.Count.FalseDeaths++
	}
	s.setStatus(i, n.subject, SWIMDead, n.incarnation)
}
