package placement

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a member of the fleet as the leader's view of the fleet describes it. A member that is neither
// live nor gone is down, but not for long enough that its replicas are replaced.
type Member struct {
	Name      string // unique in the fleet
	ReplicaID uint64 // identifies its disk, drawn when its data directory was made; 0 if it stores no replicas
	Hall      string // failure domain; members with "" share one
	Live      bool   // alive or suspected at the moment
	Gone      bool   // down for so long that its replicas are to be replaced
}

// Replica is one replica of a group as the leader knows it.
type Replica struct {
	ID      uint64
	Name    string // name of the member that stores it
	Learner bool   // it replicates the log but has no vote
	Match   uint64 // index of the last log entry known to be on its disk; 0 if none is known
}

// Group is a Raft group as its leader knows it.
type Group struct {
	Name      string
	Leader    uint64 // replica ID of the leader
	LastIndex uint64 // index of the last entry in the leader's log
	Replicas  []Replica
}

// Settings configure Next. The defaults are those of the client proxy's settings.
type Settings struct {
	// Replicas is the number of voters that a group should have: 3 (the default), which tolerate the loss of
	// one, or 5, which tolerate the loss of two.
	Replicas int
	// MaxLearnerLag is how many log entries a learner may lag behind the leader when it is promoted; 100 by
	// default, and above 0. The larger it is, the longer a group may wait until its new voter contributes to
	// majorities.
	MaxLearnerLag uint64
}

// Check returns an error that names a setting that is out of range.
func (s Settings) Check() error {
	if s.Replicas != 3 && s.Replicas != 5 {
		return fmt.Errorf("replicas %d: must be 3 or 5, so a majority survives the loss of one or two", s.Replicas)
	}
	if s.MaxLearnerLag == 0 {
		return errors.New("catch_up must be above zero")
	}
	return nil
}

// ChangeKind is the type of a membership change.
type ChangeKind uint8

// The kinds of membership changes.
const (
	None       ChangeKind = iota // no change
	AddLearner                   // a member gets a replica that has no vote yet
	Promote                      // a learner becomes a voter
	Remove                       // a replica leaves the group
)

var kindNames = [...]string{"none", "add learner", "promote", "remove"}

// String returns the name of the kind, as it is logged.
func (k ChangeKind) String() string { return kindNames[k] }

// Change is a single change of a group's membership.
type Change struct {
	Kind   ChangeKind
	ID     uint64 // replica ID
	Name   string // name of the replica's member
	Reason string // why it is made, for the log
}

// Score returns the rendezvous hash of a group and a member. The member with the highest score ranks first.
func Score(group, member string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	digest.WriteString(group)
	digest.WriteString("\x00")
	digest.WriteString(member)
	return digest.Sum64()
}

// Rank sorts members in place by descending Score for a group; members with the same score by name.
func Rank(group string, members []Member) {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(Score(group, b.Name), Score(group, a.Name)), cmp.Compare(a.Name, b.Name))
	})
}

// Choose returns up to count of the candidates for a group that has replicas in the given halls. It prefers
// candidates in the halls with the fewest replicas, so that the loss of a hall takes as few replicas as
// possible, and among those the one that ranks highest.
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

// GroupForKey returns the group, from 0 to groups-1, that a key belongs to by rendezvous hashing. An added
// group takes over keys of the other groups, and no key moves between those.
func GroupForKey(key string, groups int) int {
	bestScore, best := uint64(0), 0
	for group := range groups {
		if score := Score(fmt.Sprint(group), key); group == 0 || score > bestScore {
			bestScore, best = score, group
		}
	}
	return best
}
