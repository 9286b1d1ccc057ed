package placement

import "slices"

// Next is the one change that a group's leader should propose now, None where there is nothing to do. It
// never leaves fewer voters than there are while one is replaced.
func Next(g Group, view []Member, s Settings) Change {
	rs := classify(g, view)
	switch {
	case len(rs.lostLearners) > 0:
		l := rs.lostLearners[0]
		return remove(l, "a learner: "+rs.lostReasons[l.ID])
	case len(rs.learners) > 0:
		return nextForLearner(g, rs, s) // no other change until the learner is a voter or removed
	case len(rs.voters) > s.Replicas && len(rs.lostVoters) > 0:
		return remove(rs.lostVoters[0], rs.lostReasons[rs.lostVoters[0].ID])
	case len(rs.voters) > s.Replicas:
		return removeSurplus(g, rs.voters)
	case rs.enough(s):
		return Change{}
	}
	return addLearner(g, rs, view)
}

// replicas are a group's replicas, by what becomes of them.
type replicas struct {
	voters, learners         []Replica         // all
	lostVoters, lostLearners []Replica         // those whose disk is not coming back
	lostReasons              map[uint64]string // of lost ones, by ID
	halls                    []string          // of the voters that are not lost
}

func classify(g Group, view []Member) replicas {
	rs := replicas{lostReasons: map[uint64]string{}}
	for _, r := range g.Replicas {
		reason := lostReason(r, view)
		if reason != "" {
			rs.lostReasons[r.ID] = reason
		}
		switch {
		case r.Learner && reason != "":
			rs.lostLearners = append(rs.lostLearners, r)
			rs.learners = append(rs.learners, r)
		case r.Learner:
			rs.learners = append(rs.learners, r)
		case reason != "":
			rs.lostVoters = append(rs.lostVoters, r)
			rs.voters = append(rs.voters, r)
		default:
			rs.voters = append(rs.voters, r)
			rs.halls = append(rs.halls, hallOf(r.Name, view))
		}
	}
	return rs
}

// enough reports whether the group has all voters wanted, the lost ones not counted.
func (rs *replicas) enough(s Settings) bool {
	return len(rs.voters)-len(rs.lostVoters) >= s.Replicas
}

// lostReason says why a replica's disk is not coming back; "" if it may. A member that is not in the view
// is not lost: the caller adds it to the view as gone when that has lasted.
func lostReason(r Replica, view []Member) string {
	i := slices.IndexFunc(view, func(m Member) bool { return m.Name == r.Name })
	switch {
	case i < 0:
		return ""
	case view[i].Gone:
		return "its member is gone"
	case view[i].Live && view[i].ReplicaID != 0 && view[i].ReplicaID != r.ID:
		return "its member came back with another disk"
	}
	return ""
}

func hallOf(name string, view []Member) string {
	if i := slices.IndexFunc(view, func(m Member) bool { return m.Name == name }); i >= 0 {
		return view[i].Hall
	}
	return ""
}

// nextForLearner promotes the first learner once it has caught up, or removes it where it is not needed.
func nextForLearner(g Group, rs replicas, s Settings) Change {
	l := rs.learners[0]
	switch {
	case len(rs.voters) > s.Replicas || rs.enough(s):
		return remove(l, "a learner that is not needed any more")
	case l.Match > 0 && l.Match+s.MaxLearnerLag >= g.LastIndex:
		return Change{Promote, l.ID, l.Name, "it has caught up"}
	}
	return Change{}
}

// addLearner adds a replica on the best member that has none, nor had one of the group's that isn't lost.
func addLearner(g Group, rs replicas, view []Member) Change {
	var candidates []Member
	for _, m := range view {
		taken := slices.ContainsFunc(g.Replicas, func(r Replica) bool {
			return r.ID == m.ReplicaID || r.Name == m.Name && rs.lostReasons[r.ID] == ""
		})
		if m.Live && !m.Gone && m.ReplicaID != 0 && !taken {
			candidates = append(candidates, m)
		}
	}
	chosen := Choose(g.Name, candidates, rs.halls, 1)
	if len(chosen) == 0 {
		return Change{}
	}
	reason := "the group wants replicas"
	if len(rs.lostVoters) > 0 {
		lost := rs.lostVoters[0]
		reason = "in place of " + lost.Name + ": " + rs.lostReasons[lost.ID]
	}
	return Change{AddLearner, chosen[0].ReplicaID, chosen[0].Name, reason}
}

// removeSurplus removes the lowest ranked voter, but never the leader, who could not see the change through.
func removeSurplus(g Group, voters []Replica) Change {
	lowest := -1
	for i, r := range voters {
		if r.ID != g.Leader && (lowest < 0 || Score(g.Name, r.Name) < Score(g.Name, voters[lowest].Name)) {
			lowest = i
		}
	}
	if lowest < 0 {
		return Change{}
	}
	return remove(voters[lowest], "more voters than wanted")
}

func remove(r Replica, reason string) Change { return Change{Remove, r.ID, r.Name, reason} }
