package placement

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a member of the fleet, as the view has it. It is live, or gone, or neither: down, but not for
// long enough to replace its replicas.
type Member struct {
	Name      string // unique in the fleet
	ReplicaID uint64 // of its disk, drawn when its data folder was made; 0: it has no replicas
	Hall      string // failure domain; "" counts as one
	Live      bool   // it takes part now; a suspect does too
	Gone      bool   // its replicas are to be replaced
}

// Replica is one replica of a group, as its leader has it.
type Replica struct {
	ID      uint64
	Name    string // of the member whose disk it is on
	Learner bool   // it does not vote
	Match   uint64 // index of the last log entry known to be on its disk
}

// Group is a group, as its leader has it.
type Group struct {
	Name      string
	Leader    uint64 // replica ID
	LastIndex uint64 // of the leader's log
	Replicas  []Replica
}

// Settings bound the decisions. The defaults are those of the client proxy's settings.
type Settings struct {
	// Replicas is how many voters a group is brought to: 3 (the default), which survive the loss of one, or 5,
	// which survive the loss of two.
	Replicas int
	// MaxLearnerLag is how many log entries a learner may be behind the leader when it is promoted; 100 by
	// default, and above 0. With more, a group waits longer for its new voter to take part in majorities.
	MaxLearnerLag uint64
}

// Check returns an error that names the setting where one is wrong.
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

// The kinds of changes.
const (
	None       ChangeKind = iota // nothing
	AddLearner                   // a member gets a replica that doesn't vote yet
	Promote                      // a learner becomes a voter
	Remove                       // a replica leaves the group
)

var kindNames = [...]string{"none", "add learner", "promote", "remove"}

// String returns the name of the kind as logs have it.
func (k ChangeKind) String() string { return kindNames[k] }

// Change is one change of a group's membership.
type Change struct {
	Kind   ChangeKind
	ID     uint64 // of the replica
	Name   string // of its member
	Reason string // for the log
}

// Score is a member's rank for a group, by the hash of both names; the highest is the first.
func Score(group, member string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	digest.WriteString(group)
	digest.WriteString("\x00")
	digest.WriteString(member)
	return digest.Sum64()
}

// Rank orders members for a group by rendezvous hashing, in place; members of one score by name.
func Rank(group string, members []Member) {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(Score(group, b.Name), Score(group, a.Name)), cmp.Compare(a.Name, b.Name))
	})
}

// Choose returns up to count of the candidates for a group that has replicas in the given halls: first those
// from halls with the fewest replicas, so that the loss of a hall takes as few as possible, then by rank.
func Choose(group string, candidates []Member, halls []string, count int) []Member {
	remaining := slices.Clone(candidates)
	Rank(group, remaining)
	perHall := map[string]int{}
	for _, hall := range halls {
		perHall[hall]++
	}
	var chosen []Member
	for len(chosen) < count && len(remaining) > 0 {
		best := 0
		for i, member := range remaining {
			if perHall[member.Hall] < perHall[remaining[best].Hall] {
				best = i
			}
		}
		chosen = append(chosen, remaining[best])
		perHall[remaining[best].Hall]++
		remaining = slices.Delete(remaining, best, best+1)
	}
	return chosen
}

// GroupForKey is the group, 0 to groups-1, that a key belongs to: by rendezvous hashing, so that one group
// more takes over keys of the others and moves none between them.
func GroupForKey(key string, groups int) int {
	bestScore, best := uint64(0), 0
	for group := range groups {
		if score := Score(fmt.Sprint(group), key); group == 0 || score > bestScore {
			bestScore, best = score, group
		}
	}
	return best
}
