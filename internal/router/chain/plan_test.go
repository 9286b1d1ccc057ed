package chain

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// testPlannerConfig has the default timeouts, and tolerates the loss of one disk.
var testPlannerConfig = PlannerConfig{
	TargetMembers: 3, RequiredReplicas: 2,
	SuspectAfter: 700 * time.Millisecond,
	RejoinAfter:  300 * time.Millisecond,
	ReplaceAfter: 1200 * time.Millisecond,
}

// peerOption modifies the observation of one node.
type peerOption func(*PeerObservation)

func timedOut(after time.Duration) peerOption {
	return func(p *PeerObservation) { p.SinceLastSeen, p.StableFor = after, 0 }
}

func degraded(duration time.Duration) peerOption {
	return func(p *PeerObservation) { p.Degraded, p.DegradedFor = true, duration }
}

func draining(duration time.Duration) peerOption {
	return func(p *PeerObservation) { p.Degraded, p.Draining, p.DegradedFor = true, true, duration }
}

func stableFor(duration time.Duration) peerOption {
	return func(p *PeerObservation) { p.StableFor = duration }
}

func entryOf(epoch uint64) peerOption { return func(p *PeerObservation) { p.EntryEpoch = epoch } }

func sealed(p *PeerObservation) { p.Sealed = true }

func receivesFrom(ids ...MemberID) peerOption {
	return func(p *PeerObservation) { p.ReportedInEpoch, p.ReceivesFrom = true, ids }
}

func at(address string) peerOption { return func(p *PeerObservation) { p.Member.Address = address } }

// notReported makes a node one that has sent no heartbeat in this epoch.
func notReported(p *PeerObservation) { p.ReportedInEpoch = false }

// staleEpochFor makes a node one that is seen but that no message reaches, so that it still reports an
// earlier epoch.
func staleEpochFor(duration time.Duration) peerOption {
	return func(p *PeerObservation) { p.ReportedInEpoch, p.StaleEpochFor = false, duration }
}

// observation returns what node a observes. Unless its options say otherwise, each listed node is alive and
// healthy, and receives from all nodes that have not timed out.
func observation(nodes map[MemberID][]peerOption) Observation {
	observed := Observation{Self: "a", Peers: map[MemberID]PeerObservation{}}
	for id, options := range nodes {
		member := Member{id, "host-" + string(id)}
		state := PeerObservation{Member: member, HasDisk: true, StableFor: time.Hour, EntryEpoch: 5,
			ReportedInEpoch: true}
		for _, option := range options {
			option(&state)
		}
		observed.Peers[id] = state
	}
	var reachable []MemberID
	for id, state := range observed.Peers {
		if state.SinceLastSeen <= testPlannerConfig.SuspectAfter {
			reachable = append(reachable, id)
		}
	}
	for id, state := range observed.Peers {
		if state.ReportedInEpoch && state.ReceivesFrom == nil {
			state.ReceivesFrom = reachable
			observed.Peers[id] = state
		}
	}
	return observed
}

// testView is a view of epoch 5 with members a, b and c, all of them sources.
func testView(chain ...MemberID) View {
	members := []Member{{"a", "host-a"}, {"b", "host-b"}, {"c", "host-c"}}
	return View{Epoch: 5, Members: members, Chain: chain, Sources: []MemberID{"a", "b", "c"}}
}

func TestPlan(t *testing.T) {
	c := qt.New(t)
	catchingUp := func(view View, ids ...MemberID) View { view.CatchingUp = ids; return view }
	nodes := func(options ...any) map[MemberID][]peerOption {
		all := map[MemberID][]peerOption{"a": nil, "b": nil, "c": nil}
		for i := 0; i < len(options); i += 2 {
			all[options[i].(MemberID)] = append(all[options[i].(MemberID)], options[i+1].(peerOption))
		}
		return all
	}
	a, b, d := MemberID("a"), MemberID("b"), MemberID("d")
	third := MemberID("c")
	for _, test := range []struct {
		name     string
		view     View
		observed map[MemberID][]peerOption
		want     string // members, chain, catching up; empty for no new view
	}{
		{"all healthy", testView("a", "b", "c"), nodes(), ""},
		{"tail timed out", testView("a", "b", "c"), nodes(third, timedOut(time.Second)), "[a b c] [a b] []"},
		{"head timed out", testView("a", "b", "c"), nodes(b, timedOut(time.Second)), "[a b c] [a c] []"},
		{"two timed out", testView("a", "b", "c"),
			nodes(b, timedOut(time.Second), third, timedOut(time.Second)), ""},
		{"member recovered, not stable yet", testView("a", "b"), nodes(third, stableFor(200*time.Millisecond)), ""},
		{"member recovered and stable", testView("a", "b"), nodes(third, entryOf(3)), "[a b c] [a b c] [c]"},
		{"failing disk", testView("a", "b", "c"), nodes(a, degraded(0)), "[a b c] [b c] []"},
		{"failing disk but needed", testView("a", "b"),
			nodes(b, degraded(0), third, timedOut(time.Second)), ""},
		{"draining", testView("a", "b", "c"), nodes(a, draining(0)), "[a b c] [b c] []"},
		{"draining but needed", testView("a", "b"),
			nodes(b, draining(0), third, timedOut(time.Second)), ""},
		{"draining, and the recovered member has no state yet", testView("a", "b"),
			nodes(b, draining(0), third, entryOf(3)), "[a b c] [a b c] [c]"},
		{"draining, and the recovered member has the state", catchingUp(testView("a", "b", "c"), "c"),
			nodes(b, draining(0)), "[a b c] [a c] []"},
		{"draining with a candidate", testView("a", "b", "c"),
			nodes(d, entryOf(0), b, draining(0)), "[a d c] [a c d] [d]"},
		{"draining with a candidate that was not seen since then", testView("a", "b", "c"),
			nodes(d, entryOf(0), d, timedOut(300*time.Millisecond), d, stableFor(time.Hour),
				b, draining(200*time.Millisecond)), "[a b c] [a c] []"},
		{"candidate that was not seen since a member is unavailable", testView("a", "b"),
			nodes(d, entryOf(0), d, timedOut(300*time.Millisecond), d, stableFor(time.Hour),
				third, timedOut(1400*time.Millisecond)), ""},
		{"draining with a candidate, its replica is needed", testView("a", "b"),
			nodes(d, entryOf(0), b, draining(0), third, timedOut(time.Second)), ""},
		{"draining, its replica is needed, and another is unavailable", testView("a", "b"),
			nodes(d, entryOf(0), b, draining(0), third, timedOut(2*time.Second)), "[a b d] [a b d] [d]"},
		{"replica that is catching up doesn't become head", catchingUp(testView("b", "a", "c"), "a", "c"),
			nodes(a, entryOf(4), third, entryOf(4), b, timedOut(time.Second)), ""},
		{"replica that has caught up may become head", catchingUp(testView("b", "a", "c"), "a", "c"),
			nodes(third, entryOf(4), b, timedOut(time.Second)), "[a b c] [a c] [c]"},
		{"source becomes head after a sealed epoch", catchingUp(testView("b", "a"), "a"),
			nodes(a, entryOf(4), a, peerOption(sealed), third, entryOf(4), b, timedOut(time.Second)),
			"[a b c] [a c] []"},
		{"candidate waits while all are alive", testView("a", "b", "c"), nodes(d, stableFor(time.Hour)), ""},
		{"candidate waits for ReplaceAfter", testView("a", "b", "c"),
			nodes(d, stableFor(time.Hour), third, timedOut(time.Second)), "[a b c] [a b] []"},
		{"candidate replaces a timed-out member", testView("a", "b"),
			nodes(d, entryOf(0), third, timedOut(2*time.Second)), "[a b d] [a b d] [d]"},
		{"candidate replaces a draining member", testView("a", "b"),
			nodes(d, entryOf(0), third, draining(0)), "[a b d] [a b d] [d]"},
		{"candidate replaces a member whose disk fails", testView("a", "b"),
			nodes(d, entryOf(0), third, degraded(2*time.Second)), "[a b d] [a b d] [d]"},
		{"candidate replaces no replica whose disk fails before others have the state", testView("a", "b"),
			nodes(d, entryOf(0), a, degraded(2*time.Second), third, entryOf(3)), "[a b c] [b c] [c]"},
		{"candidate replaces a replica whose disk fails", testView("a", "b", "c"),
			nodes(d, entryOf(0), a, degraded(2*time.Second)), "[d b c] [b c d] [d]"},
		{"candidate replaces no timed-out replica before a chain without it", testView("a", "b"),
			nodes(d, entryOf(0), b, timedOut(2*time.Second), third, stableFor(200*time.Millisecond)), ""},
		{"candidate waits for no replica whose disk fails", catchingUp(testView("a", "c"), "c"),
			nodes(d, entryOf(0), b, timedOut(2*time.Second), third, entryOf(4), third, degraded(0)),
			"[a d c] [a d] [d]"},
		{"candidate whose disk was wiped since", testView("a", "b"),
			nodes(d, entryOf(0), d, timedOut(time.Millisecond), d, stableFor(time.Hour), d, at("host-e"),
				MemberID("e"), entryOf(0), third, timedOut(2*time.Second)), "[a b e] [a b e] [e]"},
		{"candidate waits until the epoch is open", catchingUp(testView("a", "b"), "b"),
			nodes(d, entryOf(0), b, entryOf(4), third, timedOut(2*time.Second)), ""},
		{"candidate replaces its own machine at once", testView("a", "b", "c"),
			nodes(d, entryOf(0), d, at("host-c"), d, stableFor(0), third, timedOut(100*time.Millisecond)),
			"[a b d] [a b d] [d]"},
		{"candidate at the address of a live member", testView("a", "b", "c"),
			nodes(d, at("host-c"), d, stableFor(time.Second)), ""},
		{"replicas that don't receive from each other", testView("a", "b", "c"),
			nodes(b, receivesFrom("a"), third, receivesFrom("a")), "[a b c] [a b] []"},
		{"recovered member that no message reaches", testView("a", "b"),
			nodes(third, entryOf(3), third, staleEpochFor(time.Second)), ""},
		{"replica that no message reaches", testView("a", "b", "c"),
			nodes(b, staleEpochFor(time.Second)), "[a b c] [a c] []"},
		{"replica that has not reported yet", testView("a", "b", "c"),
			nodes(b, staleEpochFor(100*time.Millisecond)), ""},
		{"candidate that no message reaches", testView("a", "b"),
			nodes(d, entryOf(0), d, staleEpochFor(time.Second), third, timedOut(2*time.Second)), ""},
		{"candidate replaces a member that no message reaches", testView("a", "b"),
			nodes(d, entryOf(0), third, staleEpochFor(2*time.Second)), "[a b d] [a b d] [d]"},
		{"timed out at this node, seen by another", testView("a", "c"),
			nodes(b, timedOut(time.Second), third, receivesFrom("a", "b")), ""},
	} {
		c.Run(test.name, func(c *qt.C) {
			next, changed := Plan(test.view, observation(test.observed), testPlannerConfig)
			got := ""
			if changed {
				got = fmt.Sprint(memberIDs(next.Members), next.Chain, next.CatchingUp)
				c.Check(next.Epoch, qt.Equals, test.view.Epoch+1)
			}
			c.Check(got, qt.Equals, test.want)
		})
	}
}

func TestMembersGrowOneByOne(t *testing.T) {
	c := qt.New(t)
	config := testPlannerConfig
	config.TargetMembers = 5
	seen := observation(map[MemberID][]peerOption{"a": nil, "b": nil, "c": nil, "d": nil, "e": nil})
	next, changed := Plan(testView("a", "b", "c"), seen, config)
	c.Assert(changed, qt.IsTrue)
	c.Assert(memberIDs(next.Members), qt.DeepEquals, []MemberID{"a", "b", "c", "d"})
}

func TestUnopenedEpochsAreListedInTheNextView(t *testing.T) {
	c := qt.New(t)
	view := testView("a", "b", "c")
	closed := observation(map[MemberID][]peerOption{
		"a": nil, "b": {entryOf(4)}, "c": {timedOut(time.Second), entryOf(4)},
	})
	next, changed := Plan(view, closed, testPlannerConfig)
	c.Assert(changed, qt.IsTrue)
	c.Assert(next.Unopened, qt.DeepEquals, []PastChain{{5, view.Chain}})
	c.Assert(next.Sources, qt.DeepEquals, []MemberID{"a", "b", "c"})
	for range maxUnopened {
		view.Unopened = append(view.Unopened, PastChain{1, nil})
	}
	next, _ = Plan(view, closed, testPlannerConfig)
	c.Assert(next.Unopened, qt.HasLen, maxUnopened)
	c.Assert(next.Unopened[maxUnopened-1], qt.DeepEquals, PastChain{5, view.Chain})
	c.Assert(next.Sources, qt.DeepEquals, []MemberID{"a", "b", "c"})
}

func TestSealIsRequestedOnlyIfItHelps(t *testing.T) {
	c := qt.New(t)
	view := testView("b", "a")
	view.CatchingUp = []MemberID{"a"}
	nodes := func(ofC ...peerOption) Observation {
		return observation(map[MemberID][]peerOption{"a": {entryOf(4)}, "b": {timedOut(time.Second)}, "c": ofC})
	}
	c.Assert(SealNeeded(view, nodes(entryOf(4)), testPlannerConfig), qt.IsTrue)
	c.Assert(SealNeeded(view, nodes(timedOut(time.Second)), testPlannerConfig), qt.IsFalse)
	view.Sources = []MemberID{"b"}
	c.Assert(SealNeeded(view, nodes(entryOf(4)), testPlannerConfig), qt.IsFalse)
}

// TestSourceSurvivesManyUnopenedEpochs lets b and c join the chain alternately, in epochs of which none
// opens. When a becomes unavailable, b still counts as a source, as in each of these epochs some replica
// accepted no entry.
func TestSourceSurvivesManyUnopenedEpochs(t *testing.T) {
	c := qt.New(t)
	view := testView("a", "b")
	view.Sources = []MemberID{"a", "b"}
	reported := func(epoch uint64) []peerOption {
		return []peerOption{entryOf(epoch), receivesFrom("a", "b", "c")}
	}
	for round := range 3 * maxUnopened {
		nodes := map[MemberID][]peerOption{"a": reported(view.Epoch), "b": reported(5), "c": reported(3)}
		unavailable := []MemberID{"b", "c"}[round%2]
		nodes[unavailable] = append(nodes[unavailable], timedOut(time.Second))
		next, ok := Plan(view, observation(nodes), testPlannerConfig)
		c.Assert(ok, qt.IsTrue)
		c.Assert(next.Chain[0], qt.Equals, MemberID("a"))
		c.Assert(len(next.Unopened) <= maxUnopened, qt.IsTrue)
		c.Assert(next.Sources, qt.Contains, MemberID("b"))
		view = next
	}
	withoutA := observation(map[MemberID][]peerOption{
		"a": {timedOut(time.Second)},
		"b": {entryOf(5), sealed, receivesFrom("b", "c")},
		"c": {entryOf(3), sealed, receivesFrom("b", "c")},
	})
	withoutA.Self = "b"
	next, ok := Plan(view, withoutA, testPlannerConfig)
	c.Assert(ok, qt.IsTrue)
	c.Assert(next.Chain[0], qt.Equals, MemberID("b"))
}

// TestOldestUnopenedEpochIsDroppedWithSourcesThatMayLackIt: none of the unopened epochs has a live replica
// that could prove that nothing was committed in it.
func TestOldestUnopenedEpochIsDroppedWithSourcesThatMayLackIt(t *testing.T) {
	c := qt.New(t)
	view := testView("a", "x")
	view.Epoch, view.Sources = 100, []MemberID{"a", "b", "c"}
	for epoch := range uint64(maxUnopened) {
		lost := MemberID(fmt.Sprint("x", epoch))
		chain := []MemberID{"a", lost}
		if epoch < 3 {
			chain = append(chain, "c")
		}
		view.Unopened = append(view.Unopened, PastChain{10 + epoch, chain})
	}
	view.CatchingUp = []MemberID{"x"}
	nodes := observation(map[MemberID][]peerOption{
		"a": {entryOf(100)}, "b": {entryOf(5), notReported}, "c": {entryOf(12)},
	})
	next, ok := Plan(view, nodes, testPlannerConfig)
	c.Assert(ok, qt.IsTrue)
	c.Assert(next.Unopened, qt.HasLen, maxUnopened)
	c.Assert(next.Unopened[0].Epoch, qt.Equals, uint64(11))
	c.Assert(next.Sources, qt.DeepEquals, []MemberID{"a", "c"}) // b may lack the entries of epoch 10
}

// TestEpochsWithoutCommitsAreDroppedFirst: all unopened epochs but the first have a replica that accepted no
// entry in them.
func TestEpochsWithoutCommitsAreDroppedFirst(t *testing.T) {
	c := qt.New(t)
	view := testView("a", "x")
	view.Epoch, view.CatchingUp, view.Sources = 100, []MemberID{"x"}, []MemberID{"a", "b"}
	view.Unopened = append(view.Unopened,
		PastChain{10, []MemberID{"a", "lost"}}, PastChain{11, []MemberID{"a", "b", "c"}})
	for epoch := range uint64(maxUnopened - 2) {
		view.Unopened = append(view.Unopened, PastChain{12 + epoch, []MemberID{"a", "b"}})
	}
	nodes := map[MemberID][]peerOption{
		"a": {entryOf(100)}, "b": {entryOf(5), receivesFrom("a")}, "c": {entryOf(11), receivesFrom("a")},
	}
	next, _ := Plan(view, observation(nodes), testPlannerConfig)
	c.Assert(next.Unopened[0].Epoch, qt.Equals, uint64(10))
	c.Assert(next.Unopened[1].Epoch, qt.Equals, uint64(11)) // c is a source only because it opened this epoch
	c.Assert(next.Unopened[2].Epoch, qt.Equals, uint64(13))
	c.Assert(next.Unopened, qt.HasLen, maxUnopened)
	c.Assert(next.Sources, qt.DeepEquals, []MemberID{"a", "b"})
}
