package proxysim

import (
	"math"
	"slices"
)

// changeView changes the view that an observer has of a subject, and maintains the number of wrong views.
func (s *SWIM) changeView(observer, subject int32, change func(*memberView)) {
	before := s.isWrong(observer, subject)
	change(&s.nodes[observer].views[subject])
	switch after := s.isWrong(observer, subject); {
	case after && !before:
		s.wrongViews++
	case before && !after:
		s.wrongViews--
	}
}

// setStatus sets the status of a subject in the view of an observer.
func (s *SWIM) setStatus(observer, subject int32, status SWIMStatus, incarnation uint32) {
	if node := &s.nodes[observer]; node.views[subject].status == SWIMUnknown {
		node.order = append(node.order, subject)
		at := s.rng.IntN(len(node.order))
		node.order[at], node.order[len(node.order)-1] = node.order[len(node.order)-1], node.order[at]
	}
	s.changeView(observer, subject, func(view *memberView) {
		if view.status != status {
			s.nodes[observer].byStatus[view.status]--
			s.nodes[observer].byStatus[status]++
			view.status, view.changedAt = status, int32(s.now/nsPerMillisecond)
			view.shownSuspect = view.shownSuspect && status != SWIMDead
		}
		view.incarnation = incarnation
	})
}

// isWrong reports whether an observer runs and sees a subject otherwise than it is.
func (s *SWIM) isWrong(observer, subject int32) bool {
	if s.down[observer] || s.nodes[observer].paused {
		return false
	}
	view := &s.nodes[observer].views[subject]
	if s.down[subject] {
		return view.status == SWIMAlive || view.status == SWIMSuspect
	}
	return view.status != SWIMAlive && view.status != SWIMSuspect || view.shownSuspect
}

// setShown sets whether an observer shows a subject as suspect.
func (s *SWIM) setShown(observer, subject int32, suspect bool) {
	s.changeView(observer, subject, func(view *memberView) {
		view.shownSuspect = suspect && view.status == SWIMSuspect
	})
}

// recount counts the wrong views again, after members were killed, paused and the like.
func (s *SWIM) recount() {
	s.wrongViews = 0
	for observer := range s.nodes {
		for subject := range s.nodes {
			if s.isWrong(int32(observer), int32(subject)) {
				s.wrongViews++
			}
		}
	}
}

// Converged reports whether every running member sees exactly the running members as alive.
func (s *SWIM) Converged() bool { return s.wrongViews == 0 }

// Status is the status of a subject in the view of an observer.
func (s *SWIM) Status(observer, subject int) SWIMStatus {
	return s.nodes[observer].views[subject].status
}

// refute has a member answer its own suspicion or death of an incarnation by a higher incarnation.
func (s *SWIM) refute(member int32, accused uint32) {
	node := &s.nodes[member]
	node.incarnation = max(node.incarnation, accused) + 1
	node.views[member].incarnation = node.incarnation
	node.health = min(node.health+1, swimMaxHealth-1)
	s.Count.Refutations++
	s.enqueue(member, update{subject: member, from: member, incarnation: node.incarnation, status: SWIMAlive})
}

// alive applies an update that says that a member is alive.
func (s *SWIM) alive(member int32, u update) {
	node := &s.nodes[member]
	if u.subject == member {
		if u.incarnation > node.incarnation {
			s.refute(member, u.incarnation)
		}
		return
	}
	view := node.views[u.subject]
	if view.status != SWIMUnknown && u.incarnation <= view.incarnation {
		return
	}
	delete(node.suspects, u.subject)
	s.setStatus(member, u.subject, SWIMAlive, u.incarnation)
	s.enqueue(member, u)
}

// suspect applies an update that a member is suspect: it begins a suspicion or confirms one.
func (s *SWIM) suspect(member int32, u update) {
	node := &s.nodes[member]
	view := node.views[u.subject]
	if view.status == SWIMUnknown || u.incarnation < view.incarnation {
		return
	}
	if pending := node.suspects[u.subject]; pending != nil {
		s.confirm(member, u, pending)
		return
	}
	if view.status != SWIMAlive {
		return
	}
	if u.subject == member {
		s.refute(member, u.incarnation)
		return
	}
	s.enqueue(member, u)
	s.setStatus(member, u.subject, SWIMSuspect, u.incarnation)
	s.beginSuspicion(member, u)
}

// beginSuspicion schedules the end of a member's new suspicion, and the first time that its subject is asked
// because the suspicion lasts.
func (s *SWIM) beginSuspicion(member int32, u update) {
	node := &s.nodes[member]
	known := len(node.order)
	confirmations := s.opts.SuspicionMult - 2
	if known-2 < confirmations {
		confirmations = 0
	}
	minWait := int64(float64(s.opts.SuspicionMult) * max(1, log10(max(1, known))) * float64(s.opts.Probe))
	s.generation++
	pending := &suspicion{generation: s.generation, confirmationsWanted: confirmations, min: minWait,
		max: minWait * swimMaxSuspicionMult, start: s.now,
		confirmedBy: []int32{u.from}}
	node.suspects[u.subject] = pending
	wait := pending.max
	if confirmations < 1 {
		wait = pending.min
	}
	s.add(s.now+wait, event{kind: swimSuspicion, target: member, detail: u.subject, stamp: pending.generation})
	fraction := s.drawAskFraction(known)
	s.add(s.now+int64(fraction*float64(minWait)),
		event{kind: swimSuspicionLasts, target: member, detail: u.subject, stamp: uint64(pending.start)})
}

// drawAskFraction draws when the subject of a lasting suspicion is asked for the first time, as a fraction of
// the shortest suspicion: from 1 to 3, or in a small fleet from 0.3 to 0.7, as package gossip does. It draws
// twice for a small fleet; results by seed depend on that.
func (s *SWIM) drawAskFraction(known int) float64 {
	fraction := 1 + 2*s.rng.Float64()
	if known <= swimSmallFleet {
		fraction = 0.3 + 0.4*s.rng.Float64()
	}
	return fraction
}

// confirm adds a further member's suspicion, which shortens the suspicion (Lifeguard).
func (s *SWIM) confirm(member int32, u update, pending *suspicion) {
	got := len(pending.confirmedBy) - 1
	if got >= pending.confirmationsWanted {
		return
	}
	if slices.Contains(pending.confirmedBy, u.from) {
		return
	}
	pending.confirmedBy = append(pending.confirmedBy, u.from)
	got++
	s.Count.Confirmed++
	fraction := math.Log(float64(got)+1) / math.Log(float64(pending.confirmationsWanted)+1)
	wait := max(pending.max-int64(fraction*float64(pending.max-pending.min)), pending.min)
	s.generation++
	pending.generation = s.generation
	s.add(pending.start+wait,
		event{kind: swimSuspicion, target: member, detail: u.subject, stamp: pending.generation})
	s.enqueue(member, u)
}

// dead applies an update that a member is dead.
func (s *SWIM) dead(member int32, u update) {
	node := &s.nodes[member]
	view := node.views[u.subject]
	if view.status == SWIMUnknown || u.incarnation < view.incarnation {
		return
	}
	delete(node.suspects, u.subject)
	if view.status == SWIMDead {
		return
	}
	if u.subject == member {
		s.refute(member, u.incarnation)
		return
	}
	s.enqueue(member, u)
	s.Count.Deaths++
	if !s.down[u.subject] && !s.nodes[u.subject].paused {
		s.Count.FalseDeaths++
	}
	s.setStatus(member, u.subject, SWIMDead, u.incarnation)
}
