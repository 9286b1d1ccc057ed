package placement

import "slices"

// Next returns the membership change that a group's leader should propose now, of kind None if there is
// nothing to do. While a voter is replaced, no change reduces the number of voters. In this order, Next
// removes a lost learner, promotes a learner or waits for it to catch up, removes a surplus voter (a lost one
// first), and adds a learner if the group has too few voters. The change has to be applied before the next
// call, or the same change may be returned again.
func Next(group Group, view []Member, settings Settings) Change {
	current := classify(group, view)
	hasSurplusVoters := len(current.voters) > settings.Replicas
	switch {
	case len(current.lostLearners) > 0:
		lost := current.lostLearners[0]
		return remove(lost, "lost learner: "+current.lostReasons[lost.ID])
	case len(current.learners) > 0:
		return nextForLearner(group, current, settings) // no other change until the learner is promoted or removed
	case hasSurplusVoters && len(current.lostVoters) > 0:
		lost := current.lostVoters[0]
		return remove(lost, current.lostReasons[lost.ID])
	case hasSurplusVoters:
		return removeSurplus(group, current.voters)
	case current.hasEnoughVoters(settings):
		return Change{}
	}
	return addLearner(group, current, view)
}

// replicas are a group's replicas, classified by their role and by whether their disk is lost.
type replicas struct {
	voters, learners         []Replica         // including the lost ones
	lostVoters, lostLearners []Replica         // those whose disk is lost, see lostReason
	lostReasons              map[uint64]string // why a replica is lost, by replica ID
	halls                    []string          // halls of the voters that are not lost
}

// classify classifies the replicas of a group.
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

// hasEnoughVoters reports whether the group has as many voters as configured, not counting the lost ones.
func (r *replicas) hasEnoughVoters(settings Settings) bool {
	return len(r.voters)-len(r.lostVoters) >= settings.Replicas
}

// lostReason returns why the disk of a replica counts as lost, "" if it may return. The disk of a member that
// is not in the view does not count as lost: the caller adds such a member to the view as gone after a while.
func lostReason(replica Replica, view []Member) string {
	member, known := findMember(replica.Name, view)
	switch {
	case !known:
		return ""
	case member.Gone:
		return "its member is gone"
	case member.Live && member.ReplicaID != 0 && member.ReplicaID != replica.ID:
		return "its member returned with another disk"
	}
	return ""
}

// hallOf returns the hall of a member, "" if the member is not in the view.
func hallOf(name string, view []Member) string {
	member, _ := findMember(name, view)
	return member.Hall
}

// findMember returns the member with a name; false if it is not in the view.
func findMember(name string, view []Member) (Member, bool) {
	i := slices.IndexFunc(view, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return view[i], true
}

// nextForLearner returns the change for the first learner: remove it if it is no longer needed, promote it
// once it has caught up, else nothing.
func nextForLearner(group Group, current replicas, settings Settings) Change {
	learner := current.learners[0]
	switch {
	case len(current.voters) > settings.Replicas || current.hasEnoughVoters(settings):
		return remove(learner, "the learner is no longer needed")
	case learner.Match > 0 && learner.Match+settings.MaxLearnerLag >= group.LastIndex:
		return Change{Promote, learner.ID, learner.Name, "the learner has caught up"}
	}
	return Change{}
}

// addLearner returns the change that adds a learner at the candidate that Choose prefers, or nothing if there
// is no candidate.
func addLearner(group Group, current replicas, view []Member) Change {
	chosen := Choose(group.Name, candidates(group, current, view), current.halls, 1)
	if len(chosen) == 0 {
		return Change{}
	}
	reason := "the group has too few voters"
	if len(current.lostVoters) > 0 {
		lost := current.lostVoters[0]
		reason = "replaces the replica of " + lost.Name + ": " + current.lostReasons[lost.ID]
	}
	return Change{AddLearner, chosen[0].ReplicaID, chosen[0].Name, reason}
}

// candidates returns the live members that may get a new replica of the group: those whose disk has none and
// that have no other replica of the group except a lost one.
func candidates(group Group, current replicas, view []Member) []Member {
	var available []Member
	for _, member := range view {
		hasReplica := slices.ContainsFunc(group.Replicas, func(r Replica) bool {
			return r.ID == member.ReplicaID || r.Name == member.Name && current.lostReasons[r.ID] == ""
		})
		if member.Live && !member.Gone && member.ReplicaID != 0 && !hasReplica {
			available = append(available, member)
		}
	}
	return available
}

// removeSurplus returns the change that removes the lowest-ranked voter except the leader, which could not
// complete its own removal.
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
	return remove(voters[lowest], "the group has more voters than configured")
}

// remove returns the change that removes a replica.
func remove(replica Replica, reason string) Change {
	return Change{Remove, replica.ID, replica.Name, reason}
}
