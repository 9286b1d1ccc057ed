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
	Name    string
	Replica uint64 // identity of its disk, drawn when its data folder was made; 0: it holds nothing for others
	Hall    string
	Live    bool // it takes part now; a suspect does too
	Gone    bool // others may take its place
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
	Name     string
	Leader   uint64
	Last     uint64 // index of the leader's last log entry
	Replicas []Replica
}

// Settings bound the decisions.
type Settings struct {
	Replicas int    // voters wanted; 3 or 5
	CatchUp  uint64 // a learner so many entries behind at most is promoted
}

// Check tells what is wrong with the settings.
func (s Settings) Check() error {
	if s.Replicas != 3 && s.Replicas != 5 {
		return fmt.Errorf("replicas %d: 3 or 5 are allowed, so that a majority outlives one or two", s.Replicas)
	}
	if s.CatchUp == 0 {
		return errors.New("catch_up must be above zero")
	}
	return nil
}

// Kind is what a change does.
type Kind uint8

const (
	None Kind = iota
	AddLearner
	Promote
	Remove
)

var kindNames = [...]string{"none", "add learner", "promote", "remove"}

func (k Kind) String() string { return kindNames[k] }

// Change is one change of a group.
type Change struct {
	Kind Kind
	ID   uint64
	Name string
	Why  string
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
	left := slices.Clone(candidates)
	Rank(group, left)
	taken := map[string]int{}
	for _, h := range halls {
		taken[h]++
	}
	var out []Member
	for len(out) < n && len(left) > 0 {
		best := 0
		for i, m := range left {
			if taken[m.Hall] < taken[left[best].Hall] {
				best = i
			}
		}
		out = append(out, left[best])
		taken[left[best].Hall]++
		left = slices.Delete(left, best, best+1)
	}
	return out
}

// lost tells whether a replica's disk is not to be had any more, and why.
func lost(r Replica, view []Member) (bool, string) {
	i := slices.IndexFunc(view, func(m Member) bool { return m.Name == r.Name })
	switch {
	case i < 0:
		return false, "" // a member the view does not hold: the caller says when it counts as gone
	case view[i].Gone:
		return true, "its member is gone"
	case view[i].Live && view[i].Replica != 0 && view[i].Replica != r.ID:
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
	held := map[uint64]bool{}
	for _, r := range g.Replicas {
		held[r.ID] = true
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
	var gone []Replica
	whys := map[uint64]string{}
	for _, r := range voters {
		if is, why := lost(r, view); is {
			gone = append(gone, r)
			whys[r.ID] = why
		} else {
			halls = append(halls, hall(r.Name))
		}
	}
	for _, r := range learners {
		if is, why := lost(r, view); is {
			return Change{Remove, r.ID, r.Name, "a learner: " + why}
		}
	}
	for _, r := range learners {
		if len(voters) > s.Replicas || len(voters)-len(gone) >= s.Replicas {
			return Change{Remove, r.ID, r.Name, "a learner that is not needed any more"}
		}
		if r.Match > 0 && r.Match+s.CatchUp >= g.Last {
			return Change{Promote, r.ID, r.Name, "it has caught up"}
		}
		return Change{} // one change at a time: this learner catches up first
	}
	if len(voters) > s.Replicas {
		if len(gone) > 0 {
			return Change{Remove, gone[0].ID, gone[0].Name, whys[gone[0].ID]}
		}
		return surplus(g, voters)
	}
	if len(voters)-len(gone) >= s.Replicas {
		return Change{}
	}
	var candidates []Member
	for _, m := range view {
		if m.Live && !m.Gone && m.Replica != 0 && !held[m.Replica] &&
			!slices.ContainsFunc(g.Replicas, func(r Replica) bool { return r.Name == m.Name && whys[r.ID] == "" }) {
			candidates = append(candidates, m)
		}
	}
	if found := Choose(g.Name, candidates, halls, 1); len(found) > 0 {
		why := "the group wants replicas"
		if len(gone) > 0 {
			why = "in place of " + gone[0].Name + ": " + whys[gone[0].ID]
		}
		return Change{AddLearner, found[0].Replica, found[0].Name, why}
	}
	return Change{}
}

// surplus removes the lowest ranked of too many voters, though not the leader, who would stop in the midst.
func surplus(g Group, voters []Replica) Change {
	worst := -1
	for i, r := range voters {
		if r.ID != g.Leader && (worst < 0 || Score(g.Name, r.Name) < Score(g.Name, voters[worst].Name)) {
			worst = i
		}
	}
	if worst < 0 {
		return Change{}
	}
	return Change{Remove, voters[worst].ID, voters[worst].Name, "more voters than wanted"}
}

// GroupOf is the group, 0 to groups-1, that holds a key: by rendezvous, so that a further group takes keys
// over and moves none between the others.
func GroupOf(key string, groups int) int {
	best, at := uint64(0), 0
	for g := range groups {
		if sc := Score(fmt.Sprint(g), key); g == 0 || sc > best {
			best, at = sc, g
		}
	}
	return at
}
