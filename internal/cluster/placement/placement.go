// Package placement decides which members of the fleet hold a group's replicas, and by which single change a
// group gets nearer to that: add a learner, promote it, remove a replica. It is pure, in the shape of package
// balance: no I/O, clock or goroutines; the caller passes what it knows and carries out the change.
//
// Members are ranked for each group by rendezvous hashing (Thaler and Ravishankar, 1998), so that every
// member ranks them alike and the loss of one moves only what it held. Replicas stay where they are while
// their members live: a better ranked newcomer takes nobody's place. A place is given up only for a member
// that counts as gone (package membership's hysteresis, never one suspicion), or whose replica came back
// under another identity, which means that its disk is lost.
package placement

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a member of the fleet as a view has it.
type Member struct {
	Name      string
	ReplicaID uint64 // identity of its disk, drawn when its data folder was made; 0: it holds nothing for others
	Hall      string
	Live      bool // it takes part now; a suspect does too
	Gone      bool // others may take its place
}

// Replica is one replica of a group as its leader has it.
type Replica struct {
	ID      uint64
	Name    string // of the member whose disk it is
	Learner bool
	Match   uint64 // index of the last log entry known to be on its disk
}

// Group is a group as its leader has it.
type Group struct {
	Name      string
	Leader    uint64
	LastIndex uint64 // index of the leader's last log entry
	Replicas  []Replica
}

// Settings bound the decisions.
type Settings struct {
	Replicas      int    // voters wanted; 3 or 5
	MaxLearnerLag uint64 // a learner so many entries behind at most is promoted
}

// Check tells what is wrong with the settings.
func (s Settings) Check() error {
	if s.Replicas != 3 && s.Replicas != 5 {
		return fmt.Errorf("replicas %d: 3 or 5 are allowed, so that a majority outlives one or two", s.Replicas)
	}
	if s.MaxLearnerLag == 0 {
		return errors.New("catch_up must be above zero")
	}
	return nil
}

// ChangeKind is what a change does.
type ChangeKind uint8

const (
	None ChangeKind = iota
	AddLearner
	Promote
	Remove
)

var kindNames = [...]string{"none", "add learner", "promote", "remove"}

func (k ChangeKind) String() string { return kindNames[k] }

// Change is one change of a group.
type Change struct {
	Kind   ChangeKind
	ID     uint64
	Name   string
	Reason string
}

// Score ranks a member for a group; the highest is the first.
func Score(group, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(group)
	d.WriteString("\x00")
	d.WriteString(member)
	return d.Sum64()
}

// Rank orders members for a group by rendezvous hashing, in place.
func Rank(group string, members []Member) {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(Score(group, b.Name), Score(group, a.Name)), cmp.Compare(a.Name, b.Name))
	})
}

// Choose returns up to n of the candidates for a group whose replicas stand in the halls given: those from
// halls with fewest replicas first, so that a lost hall takes as few as can be, then by rank.
func Choose(group string, candidates []Member, halls []string, n int) []Member {
	remaining := slices.Clone(candidates)
	Rank(group, remaining)
	perHall := map[string]int{}
	for _, h := range halls {
		perHall[h]++
	}
	var out []Member
	for len(out) < n && len(remaining) > 0 {
		best := 0
		for i, m := range remaining {
			if perHall[m.Hall] < perHall[remaining[best].Hall] {
				best = i
			}
		}
		out = append(out, remaining[best])
		perHall[remaining[best].Hall]++
		remaining = slices.Delete(remaining, best, best+1)
	}
	return out
}

// isLost tells whether a replica's disk is not to be had any more, and why.
func isLost(r Replica, view []Member) (bool, string) {
	i := slices.IndexFunc(view, func(m Member) bool { return m.Name == r.Name })
	switch {
	case i < 0:
		return false, "" // a member the view does not hold: the caller says when it counts as gone
	case view[i].Gone:
		return true, "its member is gone"
	case view[i].Live && view[i].ReplicaID != 0 && view[i].ReplicaID != r.ID:
		return true, "its member came back with another disk"
	}
	return false, ""
}

// Next is the one change that a group's leader should make now, None where there is nothing to do. It never
// leaves fewer voters than there are while one is replaced: a replacement is added as a learner, promoted
// once it has caught up, and only then the lost one removed.
func Next(g Group, view []Member, s Settings) Change {
	var voters, learners []Replica
	var halls []string
	hasReplica := map[uint64]bool{}
	for _, r := range g.Replicas {
		hasReplica[r.ID] = true
		if r.Learner {
			learners = append(learners, r)
		} else {
			voters = append(voters, r)
		}
	}
	hall := func(name string) string {
		if i := slices.IndexFunc(view, func(m Member) bool { return m.Name == name }); i >= 0 {
			return view[i].Hall
		}
		return ""
	}
	var lostVoters []Replica
	lostReasons := map[uint64]string{}
	for _, r := range voters {
		if is, why := isLost(r, view); is {
			lostVoters = append(lostVoters, r)
			lostReasons[r.ID] = why
		} else {
			halls = append(halls, hall(r.Name))
		}
	}
	for _, r := range learners {
		if is, why := isLost(r, view); is {
			return Change{Remove, r.ID, r.Name, "a learner: " + why}
		}
	}
	for _, r := range learners {
		if len(voters) > s.Replicas || len(voters)-len(lostVoters) >= s.Replicas {
			return Change{Remove, r.ID, r.Name, "a learner that is not needed any more"}
		}
		if r.Match > 0 && r.Match+s.MaxLearnerLag >= g.LastIndex {
			return Change{Promote, r.ID, r.Name, "it has caught up"}
		}
		return Change{} // one change at a time: this learner catches up first
	}
	if len(voters) > s.Replicas {
		if len(lostVoters) > 0 {
			return Change{Remove, lostVoters[0].ID, lostVoters[0].Name, lostReasons[lostVoters[0].ID]}
		}
		return removeSurplus(g, voters)
	}
	if len(voters)-len(lostVoters) >= s.Replicas {
		return Change{}
	}
	var candidates []Member
	for _, m := range view {
		if m.Live && !m.Gone && m.ReplicaID != 0 && !hasReplica[m.ReplicaID] &&
			!slices.ContainsFunc(g.Replicas, func(r Replica) bool {
				return r.Name == m.Name && lostReasons[r.ID] == ""
			}) {
			candidates = append(candidates, m)
		}
	}
	if chosen := Choose(g.Name, candidates, halls, 1); len(chosen) > 0 {
		why := "the group wants replicas"
		if len(lostVoters) > 0 {
			why = "in place of " + lostVoters[0].Name + ": " + lostReasons[lostVoters[0].ID]
		}
		return Change{AddLearner, chosen[0].ReplicaID, chosen[0].Name, why}
	}
	return Change{}
}

// removeSurplus removes the lowest ranked of too many voters, though not the leader, who would stop in the
// midst.
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
	return Change{Remove, voters[lowest].ID, voters[lowest].Name, "more voters than wanted"}
}

// GroupForKey is the group, 0 to groups-1, that holds a key: by rendezvous, so that a further group takes
// keys over and moves none between the others.
func GroupForKey(key string, groups int) int {
	bestScore, best := uint64(0), 0
	for g := range groups {
		if score := Score(fmt.Sprint(g), key); g == 0 || score > bestScore {
			bestScore, best = score, g
		}
	}
	return best
}
