package placement

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

var testSettings = Settings{Replicas: 3, MaxLearnerLag: 10}

func live(name string, id uint64, hall string) Member {
	return Member{Name: name, ReplicaID: id, Hall: hall, Live: true}
}

func gone(name string, id uint64) Member { return Member{Name: name, ReplicaID: id, Gone: true} }

func voter(name string, id uint64) Replica { return Replica{ID: id, Name: name, Match: 100} }

func learner(name string, id, match uint64) Replica {
	return Replica{ID: id, Name: name, Learner: true, Match: match}
}

func TestNextReturnsOneMembershipChangeAtATime(t *testing.T) {
	abc := []Replica{voter("a", 1), voter("b", 2), voter("c", 3)}
	view := []Member{live("a", 1, ""), live("b", 2, ""), live("c", 3, ""), live("d", 4, "")}
	for name, c := range map[string]struct {
		replicas []Replica
		view     []Member
		kind     ChangeKind
		id       uint64
	}{
		"complete":            {abc, view, None, 0},
		"a group of one adds": {abc[:1], view[:2], AddLearner, 2},
		"a learner that lags behind is waited for":   {append(abc[:1:1], learner("b", 2, 50)), view, None, 0},
		"a learner with unknown match is waited for": {append(abc[:1:1], learner("b", 2, 0)), view, None, 0},
		"a learner that caught up is promoted":       {append(abc[:1:1], learner("b", 2, 95)), view, Promote, 2},
		"a dead member that is not gone keeps its replica": {abc,
			[]Member{view[0], view[1], {Name: "c", ReplicaID: 3}, view[3]}, None, 0},
		"a learner is added for a gone member": {abc, []Member{view[0], view[1], gone("c", 3), view[3]},
			AddLearner, 4},
		"the learner that replaces a gone member is promoted": {append(abc[:3:3], learner("d", 4, 100)),
			[]Member{view[0], view[1], gone("c", 3), view[3]}, Promote, 4},
		"the replica of a gone member is removed after the promotion": {append(abc[:3:3], voter("d", 4)),
			[]Member{view[0], view[1], gone("c", 3), view[3]}, Remove, 3},
		"nothing is done without a candidate": {abc, []Member{view[0], view[1], gone("c", 3)}, None, 0},
		"a member that lost its disk gets a new replica": {abc,
			[]Member{view[0], view[1], live("c", 9, "")}, AddLearner, 9},
		"the old replica of a member that lost its disk is removed": {append(abc[:3:3], voter("c", 9)),
			[]Member{view[0], view[1], live("c", 9, "")}, Remove, 3},
		"a lost learner is removed": {append(abc[:2:2], learner("c", 3, 0)),
			[]Member{view[0], view[1], gone("c", 3), view[3]}, Remove, 3},
		"a learner that is not needed is removed": {append(abc[:3:3], learner("d", 4, 100)), view, Remove, 4},
		"a member without a replica ID is no candidate": {abc[:2],
			[]Member{view[0], view[1], live("e", 0, "")}, None, 0},
		"the replica of a member that is not in the view is kept": {abc, view[:2], None, 0},
	} {
		got := Next(Group{Name: "g", Leader: 1, LastIndex: 100, Replicas: c.replicas}, c.view, testSettings)
		if got.Kind != c.kind || got.ID != c.id {
			t.Errorf("%s: got %v %d (%s), want %v %d", name, got.Kind, got.ID, got.Reason, c.kind, c.id)
		}
	}
	four := append(abc[:3:3], voter("d", 4))
	got := Next(Group{Name: "g", Leader: 4, LastIndex: 100, Replicas: four}, view, testSettings)
	if got.Kind != Remove || got.ID == 4 {
		t.Errorf("with a surplus voter: got %+v, want the removal of a voter other than the leader", got)
	}
}

func TestChooseSpreadsOverHalls(t *testing.T) {
	var all []Member
	for i := range 12 {
		all = append(all, live(fmt.Sprint("m-", i), uint64(i+1), []string{"kita", "kita", "chuo", "east"}[i%4]))
	}
	halls := map[string]int{}
	for _, m := range Choose("g", all, nil, 3) {
		halls[m.Hall]++
	}
	if len(halls) != 3 {
		t.Errorf("the three replicas are in the halls %v, want three different ones", halls)
	}
	if m := Choose("g", all, []string{"kita", "chuo"}, 1); m[0].Hall != "east" {
		t.Errorf("the third replica is in hall %s, want east", m[0].Hall)
	}
}

func TestLossOfMemberMovesOnlyItsReplicas(t *testing.T) {
	var all []Member
	for i := range 300 {
		all = append(all, live(fmt.Sprint("m-", i), uint64(i+1), ""))
	}
	moved := 0
	for g := range 300 {
		group := fmt.Sprint(g)
		before := Choose(group, all, nil, 3)
		after := Choose(group, all[1:], nil, 3)
		for i := range before {
			if before[i].Name != "m-0" && before[i].Name != after[i].Name && !contains(after, before[i].Name) {
				moved++
			}
		}
	}
	if moved != 0 {
		t.Errorf("the loss of one member moved %d replicas that were not its own", moved)
	}
}

func contains(members []Member, name string) bool {
	for _, m := range members {
		if m.Name == name {
			return true
		}
	}
	return false
}

// TestChangesConverge loses members, and brings them back with or without their disks, at random. The changes
// that Next returns must not reduce the number of voters below the configured one, and have to end with as
// many voters that are not lost as are configured, or as there are live members if these are fewer.
func TestChangesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 9).Draw(t, "members")
		view := make([]Member, n)
		for i := range view {
			view[i] = live(fmt.Sprint("m-", i), uint64(i+1), fmt.Sprint("h", i%3))
		}
		g := Group{Name: "g", Leader: 1, LastIndex: 1000, Replicas: []Replica{voter("m-0", 1)}}
		nextReplicaID := uint64(100)
		converge := func() {
			for range 60 {
				c := Next(g, view, testSettings)
				before := voters(g)
				switch c.Kind {
				case None:
					return
				case AddLearner:
					g.Replicas = append(g.Replicas, Replica{ID: c.ID, Name: c.Name, Learner: true, Match: g.LastIndex})
				case Promote, Remove:
					for i := range g.Replicas {
						if g.Replicas[i].ID != c.ID {
							continue
						}
						if c.Kind == Promote {
							g.Replicas[i].Learner = false
						} else {
							g.Replicas = append(g.Replicas[:i], g.Replicas[i+1:]...)
						}
						break
					}
				}
				if after := voters(g); after < before && after < testSettings.Replicas {
					t.Fatalf("%v reduced the group to %d voters", c, after)
				}
			}
			t.Fatalf("the changes did not end: group %+v, view %+v", g, view)
		}
		converge()
		for range rapid.IntRange(1, 8).Draw(t, "events") {
			i := rapid.IntRange(1, n-1).Draw(t, "who")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				view[i].Live, view[i].Gone = false, true
			case 1:
				view[i].Live, view[i].Gone = true, false
			case 2:
				view[i].Live, view[i].Gone, view[i].ReplicaID = true, false, nextReplicaID
				nextReplicaID++
			}
			converge()
		}
		liveMembers := 0
		for _, m := range view {
			if m.Live {
				liveMembers++
			}
		}
		goodVoters := 0
		for _, r := range g.Replicas {
			if lostReason(r, view) == "" && !r.Learner {
				goodVoters++
			}
		}
		if goodVoters < min(liveMembers, testSettings.Replicas) {
			t.Fatalf("%d voters that are not lost with %d live members: group %+v, view %+v",
				goodVoters, liveMembers, g, view)
		}
	})
}

func voters(g Group) (n int) {
	for _, r := range g.Replicas {
		if !r.Learner {
			n++
		}
	}
	return n
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	for _, n := range []int{0, 1, 2, 4, 7, -3} {
		if (Settings{Replicas: n, MaxLearnerLag: 1}).Check() == nil {
			t.Errorf("%d replicas are accepted", n)
		}
	}
	if err := testSettings.Check(); err != nil {
		t.Error(err)
	}
	if (Settings{Replicas: 3}).Check() == nil {
		t.Error("a learner lag of 0 is accepted")
	}
}

func TestKeysAreSpreadOverAllGroups(t *testing.T) {
	groups := map[int]bool{}
	for i := range 100 {
		groups[GroupForKey(fmt.Sprint("tenant-", i), 4)] = true
	}
	if len(groups) != 4 || GroupForKey("x", 1) != 0 {
		t.Errorf("the keys are in the groups %v, want all 4", groups)
	}
}

// TestLossOfHallTakesNoMajority checks the estimate in docs/design/ledger.md: the loss of a hall takes at
// most one replica of each group, and each of these is replaced by one move.
func TestLossOfHallTakesNoMajority(t *testing.T) {
	for members, groups := range map[int]int{300: 100, 3000: 1000} {
		var all []Member
		for i := range members {
			all = append(all, live(fmt.Sprint("m-", i), uint64(i+1), []string{"kita", "chuo", "east"}[i%3]))
		}
		moves := 0
		for g := range groups {
			lost := 0
			for _, m := range Choose(fmt.Sprint(g), all, nil, 3) {
				if m.Hall == "kita" {
					lost++
				}
			}
			if lost > 1 {
				t.Errorf("group %d loses %d of 3 replicas with one hall", g, lost)
			}
			moves += lost
		}
		if moves != groups {
			t.Errorf("%d groups on %d members: the loss of a hall moves %d replicas, want one per group",
				groups, members, moves)
		}
	}
}
