package placement

import "slices"

// Next is the one change that a group's leader should propose now, None where there is nothing to do. It
// never leaves fewer voters than there are while one is replaced. In order: a lost learner is removed, a
// learner promoted or waited for, a voter too many removed (a lost one first), a learner added where voters
// are missing. The change has to be applied before the next call, or the same one may be returned again.
func Next(group Group, view []Member, settings Settings) Change {
	current := classify(group, view)
	tooManyVoters := len(current.voters) > settings.Replicas
	switch {
	case len(current.lostLearners) > 0:
		lost := current.lostLearners[0]
		return remove(lost, "a learner: "+current.lostReasons[lost.ID])
	case len(current.learners) > 0:
		return nextForLearner(group, current, settings) // no other change until it is a voter or removed
	case tooManyVoters && len(current.lostVoters) > 0:
		lost := current.lostVoters[0]
		return remove(lost, current.lostReasons[lost.ID])
	case tooManyVoters:
		return removeSurplus(group, current.voters)
	case current.enough(settings):
		return Change{}
	}
	return addLearner(group, current, view)
}

// replicas are a group's replicas, by what becomes of them.
type replicas struct {
	voters, learners         []Replica         // all
	lostVoters, lostLearners []Replica         // those whose disk is not coming back
	lostReasons              map[uint64]string // of lost ones, by ID
	halls                    []string          // of the voters that are not lost
}

func classify(group Group, view []Member) replicas {
	current := replicas{lostReasons: map[uint64]string{}}
	for _, replica := range group.Replicas {
		reason := lostReason(replica, view)
		lost := reason != ""
		if lost {
			current.lostReasons[replica.ID] = reason
		}
		switch {
		case replica.Learner && lost:
			current.lostLearners = append(current.lostLearners, replica)
			current.learners = append(current.learners, replica)
		case replica.Learner:
			current.learners = append(current.learners, replica)
		case lost:
			current.lostVoters = append(current.lostVoters, replica)
			current.voters = append(current.voters, replica)
		default:
			current.voters = append(current.voters, replica)
			current.halls = append(current.halls, hallOf(replica.Name, view))
		}
	}
	return current
}

// enough reports whether the group has all voters wanted, the lost ones not counted.
func (r *replicas) enough(settings Settings) bool {
	return len(r.voters)-len(r.lostVoters) >= settings.Replicas
}

// lostReason says why a replica's disk is not coming back; "" if it may. A member that is not in the view
// is not lost: the caller adds it to the view as gone when that has lasted.
func lostReason(replica Replica, view []Member) string {
	member, known := findMember(replica.Name, view)
	switch {
	case !known:
		return ""
	case member.Gone:
		return "its member is gone"
	case member.Live && member.ReplicaID != 0 && member.ReplicaID != replica.ID:
		return "its member came back with another disk"
	}
	return ""
}

// hallOf is the hall of a member; "" if the member is not in the view.
func hallOf(name string, view []Member) string {
	member, _ := findMember(name, view)
	return member.Hall
}

func findMember(name string, view []Member) (Member, bool) {
	i := slices.IndexFunc(view, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return view[i], true
}

// nextForLearner promotes the first learner once it has caught up, or removes it where it is not needed.
func nextForLearner(group Group, current replicas, settings Settings) Change {
	learner := current.learners[0]
	switch {
	case len(current.voters) > settings.Replicas || current.enough(settings):
		return remove(learner, "a learner that is not needed any more")
	case learner.Match > 0 && learner.Match+settings.MaxLearnerLag >= group.LastIndex:
		return Change{Promote, learner.ID, learner.Name, "it has caught up"}
	}
	return Change{}
}

// addLearner adds a replica on the best member that has none, nor had one of the group's that isn't lost.
func addLearner(group Group, current replicas, view []Member) Change {
	chosen := Choose(group.Name, candidates(group, current, view), current.halls, 1)
	if len(chosen) == 0 {
		return Change{}
	}
	reason := "the group wants replicas"
	if len(current.lostVoters) > 0 {
		lost := current.lostVoters[0]
		reason = "in place of " + lost.Name + ": " + current.lostReasons[lost.ID]
	}
	return Change{AddLearner, chosen[0].ReplicaID, chosen[0].Name, reason}
}

// candidates are the live members that may get a new replica of the group.
func candidates(group Group, current replicas, view []Member) []Member {
	var available []Member
	for _, member := range view {
		taken := slices.ContainsFunc(group.Replicas, func(r Replica) bool {
			return r.ID == member.ReplicaID || r.Name == member.Name && current.lostReasons[r.ID] == ""
		})
		if member.Live && !member.Gone && member.ReplicaID != 0 && !taken {
			available = append(available, member)
		}
	}
	return available
}

// removeSurplus removes the lowest ranked voter, but never the leader, who could not see the change through.
func removeSurplus(group Group, voters []Replica) Change {
	score := func(r Replica) uint64 { return Score(group.Name, r.Name) }
	lowest := -1
	for i, voter := range voters {
		if voter.ID != group.Leader && (lowest < 0 || score(voter) < score(voters[lowest])) {
			lowest = i
		}
	}
	if lowest < 0 {
		return Change{}
	}
	return remove(voters[lowest], "more voters than wanted")
}

func remove(replica Replica, reason string) Change {
	return Change{Remove, replica.ID, replica.Name, reason}
}
