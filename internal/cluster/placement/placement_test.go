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

func TestNextIsTheOneChangeTowardsTheWantedVoters(t *testing.T) {
	abc := []Replica{voter("a", 1), voter("b", 2), voter("c", 3)}
	view := []Member{live("a", 1, ""), live("b", 2, ""), live("c", 3, ""), live("d", 4, "")}
	for name, c := range map[string]struct {
		replicas []Replica
		view     []Member
		kind     ChangeKind
		id       uint64
	}{
		"complete":                             {abc, view, None, 0},
		"a group of one adds":                  {abc[:1], view[:2], AddLearner, 2},
		"a learner behind is waited for":       {append(abc[:1:1], learner("b", 2, 50)), view, None, 0},
		"a learner not heard of is waited for": {append(abc[:1:1], learner("b", 2, 0)), view, None, 0},
		"a learner that caught up is promoted": {append(abc[:1:1], learner("b", 2, 95)), view, Promote, 2},
		"a dead member keeps its replica while it may return": {abc,
			[]Member{view[0], view[1], {Name: "c", ReplicaID: 3}, view[3]}, None, 0},
		"a gone member is replaced by a learner first": {abc, []Member{view[0], view[1], gone("c", 3), view[3]},
			AddLearner, 4},
		"then promoted": {append(abc[:3:3], learner("d", 4, 100)),
			[]Member{view[0], view[1], gone("c", 3), view[3]}, Promote, 4},
		"then the gone member's replica is removed": {append(abc[:3:3], voter("d", 4)),
			[]Member{view[0], view[1], gone("c", 3), view[3]}, Remove, 3},
		"no candidate, no change": {abc, []Member{view[0], view[1], gone("c", 3)}, None, 0},
		"a member without its disk gets a new replica": {abc,
			[]Member{view[0], view[1], live("c", 9, "")}, AddLearner, 9},
		"and its old replica is removed": {append(abc[:3:3], voter("c", 9)),
			[]Member{view[0], view[1], live("c", 9, "")}, Remove, 3},
		"a lost learner is removed": {append(abc[:2:2], learner("c", 3, 0)),
			[]Member{view[0], view[1], gone("c", 3), view[3]}, Remove, 3},
		"a learner not needed is removed": {append(abc[:3:3], learner("d", 4, 100)), view, Remove, 4},
		"a member without a store is no candidate": {abc[:2],
			[]Member{view[0], view[1], live("e", 0, "")}, None, 0},
		"a member not in the view is not gone": {abc, view[:2], None, 0},
	} {
		got := Next(Group{Name: "g", Leader: 1, LastIndex: 100, Replicas: c.replicas}, c.view, testSettings)
		if got.Kind != c.kind || got.ID != c.id {
			t.Errorf("%s: %v %d (%s), want %v %d", name, got.Kind, got.ID, got.Reason, c.kind, c.id)
		}
	}
	four := append(abc[:3:3], voter("d", 4))
	got := Next(Group{Name: "g", Leader: 4, LastIndex: 100, Replicas: four}, view, testSettings)
	if got.Kind != Remove || got.ID == 4 {
		t.Errorf("with a voter too many: %+v", got)
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
		t.Errorf("three replicas stand in %v", halls)
	}
	if m := Choose("g", all, []string{"kita", "chuo"}, 1); m[0].Hall != "east" {
		t.Errorf("the third stands in %s", m[0].Hall)
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

// Whatever happens to members, a group's changes go one at a time, never take the voters below what they
// were while one is replaced, never make two voters of one member's name beyond a replacement, and end
// with all wanted voters live where enough live members are there.
func TestChangesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 9).Draw(t, "members")
		view := make([]Member, n)
		for i := range view {
			view[i] = live(fmt.Sprint("m-", i), uint64(i+1), fmt.Sprint("h", i%3))
		}
		g := Group{Name: "g", Leader: 1, LastIndex: 1000, Replicas: []Replica{voter("m-0", 1)}}
		next := uint64(100)
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
					t.Fatalf("%v left %d voters", c, after)
				}
			}
			t.Fatalf("no end of changes: %+v with %+v", g, view)
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
				view[i].Live, view[i].Gone, view[i].ReplicaID = true, false, next
				next++
			}
			converge()
		}
		alive := 0
		for _, m := range view {
			if m.Live {
				alive++
			}
		}
		good := 0
		for _, r := range g.Replicas {
			if lostReason(r, view) == "" && !r.Learner {
				good++
			}
		}
		if good < min(alive, testSettings.Replicas) {
			t.Fatalf("%d good voters, %d live members: %+v with %+v", good, alive, g, view)
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

func TestUnsoundSettingsAreRejected(t *testing.T) {
	for _, n := range []int{0, 1, 2, 4, 7, -3} {
		if (Settings{Replicas: n, MaxLearnerLag: 1}).Check() == nil {
			t.Errorf("%d replicas pass", n)
		}
	}
	if err := testSettings.Check(); err != nil {
		t.Error(err)
	}
	if (Settings{Replicas: 3}).Check() == nil {
		t.Error("no learner lag passes")
	}
}

func TestKeysAreSpreadOverAllGroups(t *testing.T) {
	seen := map[int]bool{}
	for i := range 100 {
		seen[GroupForKey(fmt.Sprint("tenant-", i), 4)] = true
	}
	if len(seen) != 4 || GroupForKey("x", 1) != 0 {
		t.Errorf("keys fall into %v", seen)
	}
}

// The estimate in docs/design/ledger.md: the loss of a hall takes at most one replica of each group, and
// each is replaced by one move.
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
				t.Errorf("group %d loses %d of 3 replicas with a hall", g, lost)
			}
			moves += lost
		}
		if moves != groups {
			t.Errorf("%d groups of %d members: a lost hall moves %d replicas", groups, members, moves)
		}
	}
}
