package chain

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// planRules are the defaults of a fleet that tolerates the loss of one disk.
var planRules = Rules{
	TargetMembers: 3, RequiredCopies: 2,
	SuspectAfter: 700 * time.Millisecond,
	RejoinAfter:  300 * time.Millisecond,
	ReplaceAfter: 1200 * time.Millisecond,
}

// peerOption changes what is known of one node.
type peerOption func(*PeerState)

func silent(after time.Duration) peerOption {
	return func(p *PeerState) { p.Silence, p.Steady = after, 0 }
}

func unfit(since time.Duration) peerOption {
	return func(p *PeerState) { p.Unfit, p.UnfitFor = true, since }
}

func leaving(since time.Duration) peerOption {
	return func(p *PeerState) { p.Unfit, p.Leaving, p.UnfitFor = true, true, since }
}

func steady(since time.Duration) peerOption { return func(p *PeerState) { p.Steady = since } }

func entryOf(epoch uint64) peerOption { return func(p *PeerState) { p.EntryEpoch = epoch } }

func sealed(p *PeerState) { p.Sealed = true }

func hears(ids ...MemberID) peerOption {
	return func(p *PeerState) { p.Reports, p.Hears = true, ids }
}

func at(address string) peerOption { return func(p *PeerState) { p.Member.Address = address } }

// mute is a node that has told nothing in this epoch.
func mute(p *PeerState) { p.Reports = false }

// behind is a node that is heard but that nothing reaches.
func behind(since time.Duration) peerOption {
	return func(p *PeerState) { p.Reports, p.Behind = false, since }
}

// observation builds what node a knows: each listed node is alive and well but for its options, and hears all
// that are not silent.
func observation(nodes map[MemberID][]peerOption) Observation {
	seen := Observation{Self: "a", Peers: map[MemberID]PeerState{}}
	for id, options := range nodes {
		member := Member{id, "host-" + string(id)}
		state := PeerState{Member: member, HasDisk: true, Steady: time.Hour, EntryEpoch: 5, Reports: true}
		for _, option := range options {
			option(&state)
		}
		seen.Peers[id] = state
	}
	var heard []MemberID
	for id, state := range seen.Peers {
		if state.Silence <= planRules.SuspectAfter {
			heard = append(heard, id)
		}
	}
	for id, state := range seen.Peers {
		if state.Reports && state.Hears == nil {
			state.Hears = heard
			seen.Peers[id] = state
		}
	}
	return seen
}

// planView is epoch 5 of members a, b and c.
func planView(chain ...MemberID) View {
	members := []Member{{"a", "host-a"}, {"b", "host-b"}, {"c", "host-c"}}
	return View{Epoch: 5, Members: members, Chain: chain, Sources: []MemberID{"a", "b", "c"}}
}

func TestPlan(t *testing.T) {
	c := qt.New(t)
	fresh := func(view View, ids ...MemberID) View { view.Fresh = ids; return view }
	nodes := func(options ...any) map[MemberID][]peerOption {
		all := map[MemberID][]peerOption{"a": nil, "b": nil, "c": nil}
		for i := 0; i < len(options); i += 2 {
			all[options[i].(MemberID)] = append(all[options[i].(MemberID)], options[i+1].(peerOption))
		}
		return all
	}
	a, b, d := MemberID("a"), MemberID("b"), MemberID("d")
	third := MemberID("c")
	for _, one := range []struct {
		name string
		view View
		seen map[MemberID][]peerOption
		want string // members, chain, fresh; empty for no new view
	}{
		{"all well", planView("a", "b", "c"), nodes(), ""},
		{"tail silent", planView("a", "b", "c"), nodes(third, silent(time.Second)), "[a b c] [a b] []"},
		{"head silent", planView("a", "b", "c"), nodes(b, silent(time.Second)), "[a b c] [a c] []"},
		{"two silent", planView("a", "b", "c"),
			nodes(b, silent(time.Second), third, silent(time.Second)), ""},
		{"back, not steady", planView("a", "b"), nodes(third, steady(200*time.Millisecond)), ""},
		{"back and steady", planView("a", "b"), nodes(third, entryOf(3)), "[a b c] [a b c] [c]"},
		{"failing disk", planView("a", "b", "c"), nodes(a, unfit(0)), "[a b c] [b c] []"},
		{"failing disk but needed", planView("a", "b"),
			nodes(b, unfit(0), third, silent(time.Second)), ""},
		{"leaving", planView("a", "b", "c"), nodes(a, leaving(0)), "[a b c] [b c] []"},
		{"leaving but needed", planView("a", "b"),
			nodes(b, leaving(0), third, silent(time.Second)), ""},
		{"leaving, and the one that is back holds nothing yet", planView("a", "b"),
			nodes(b, leaving(0), third, entryOf(3)), "[a b c] [a b c] [c]"},
		{"leaving, and the one that is back holds the state", fresh(planView("a", "b", "c"), "c"),
			nodes(b, leaving(0)), "[a b c] [a c] []"},
		{"leaving with a candidate", planView("a", "b", "c"),
			nodes(d, entryOf(0), b, leaving(0)), "[a d c] [a c d] [d]"},
		{"leaving with a candidate that was not heard since", planView("a", "b", "c"),
			nodes(d, entryOf(0), d, silent(300*time.Millisecond), d, steady(time.Hour),
				b, leaving(200*time.Millisecond)), "[a b c] [a c] []"},
		{"candidate that was not heard since a member is gone", planView("a", "b"),
			nodes(d, entryOf(0), d, silent(300*time.Millisecond), d, steady(time.Hour),
				third, silent(1400*time.Millisecond)), ""},
		{"leaving with a candidate, holding a copy that is needed", planView("a", "b"),
			nodes(d, entryOf(0), b, leaving(0), third, silent(time.Second)), ""},
		{"leaving, holding a copy that is needed, and another gone", planView("a", "b"),
			nodes(d, entryOf(0), b, leaving(0), third, silent(2*time.Second)), "[a b d] [a b d] [d]"},
		{"fresh one stays out of the head's place", fresh(planView("b", "a", "c"), "a", "c"),
			nodes(a, entryOf(4), third, entryOf(4), b, silent(time.Second)), ""},
		{"fresh one that is open may be head", fresh(planView("b", "a", "c"), "a", "c"),
			nodes(third, entryOf(4), b, silent(time.Second)), "[a b c] [a c] [c]"},
		{"sealed epoch goes back to a source", fresh(planView("b", "a"), "a"),
			nodes(a, entryOf(4), a, peerOption(sealed), third, entryOf(4), b, silent(time.Second)),
			"[a b c] [a c] []"},
		{"candidate waits while all are there", planView("a", "b", "c"), nodes(d, steady(time.Hour)), ""},
		{"candidate waits for the silence to last", planView("a", "b", "c"),
			nodes(d, steady(time.Hour), third, silent(time.Second)), "[a b c] [a b] []"},
		{"candidate replaces a silent member", planView("a", "b"),
			nodes(d, entryOf(0), third, silent(2*time.Second)), "[a b d] [a b d] [d]"},
		{"candidate replaces a leaving member", planView("a", "b"),
			nodes(d, entryOf(0), third, leaving(0)), "[a b d] [a b d] [d]"},
		{"candidate replaces a member whose disk fails", planView("a", "b"),
			nodes(d, entryOf(0), third, unfit(2*time.Second)), "[a b d] [a b d] [d]"},
		{"candidate replaces no replica whose disk fails before others hold the state", planView("a", "b"),
			nodes(d, entryOf(0), a, unfit(2*time.Second), third, entryOf(3)), "[a b c] [b c] [c]"},
		{"candidate replaces a replica whose disk fails", planView("a", "b", "c"),
			nodes(d, entryOf(0), a, unfit(2*time.Second)), "[d b c] [b c d] [d]"},
		{"candidate replaces no silent replica before a chain without it", planView("a", "b"),
			nodes(d, entryOf(0), b, silent(2*time.Second), third, steady(200*time.Millisecond)), ""},
		{"candidate waits for no replica whose disk fails", fresh(planView("a", "c"), "c"),
			nodes(d, entryOf(0), b, silent(2*time.Second), third, entryOf(4), third, unfit(0)),
			"[a d c] [a d] [d]"},
		{"candidate of before its machine's disk was emptied", planView("a", "b"),
			nodes(d, entryOf(0), d, silent(time.Millisecond), d, steady(time.Hour), d, at("host-e"),
				MemberID("e"), entryOf(0), third, silent(2*time.Second)), "[a b e] [a b e] [e]"},
		{"candidate waits until the epoch is open", fresh(planView("a", "b"), "b"),
			nodes(d, entryOf(0), b, entryOf(4), third, silent(2*time.Second)), ""},
		{"candidate replaces its own machine at once", planView("a", "b", "c"),
			nodes(d, entryOf(0), d, at("host-c"), d, steady(0), third, silent(100*time.Millisecond)),
			"[a b d] [a b d] [d]"},
		{"candidate at the address of a live member", planView("a", "b", "c"),
			nodes(d, at("host-c"), d, steady(time.Second)), ""},
		{"replicas that don't hear each other", planView("a", "b", "c"),
			nodes(b, hears("a"), third, hears("a")), "[a b c] [a b] []"},
		{"back, and nothing reaches it", planView("a", "b"),
			nodes(third, entryOf(3), third, behind(time.Second)), ""},
		{"replica that nothing reaches", planView("a", "b", "c"),
			nodes(b, behind(time.Second)), "[a b c] [a c] []"},
		{"replica that has not told yet", planView("a", "b", "c"), nodes(b, behind(100*time.Millisecond)), ""},
		{"candidate that nothing reaches", planView("a", "b"),
			nodes(d, entryOf(0), d, behind(time.Second), third, silent(2*time.Second)), ""},
		{"candidate replaces a member that nothing reaches", planView("a", "b"),
			nodes(d, entryOf(0), third, behind(2*time.Second)), "[a b d] [a b d] [d]"},
		{"silent here, heard by another", planView("a", "c"),
			nodes(b, silent(time.Second), third, hears("a", "b")), ""},
	} {
		next, changed := Plan(one.view, observation(one.seen), planRules)
		got := ""
		if changed {
			got = fmt.Sprint(identities(next.Members), next.Chain, next.Fresh)
			c.Check(next.Epoch, qt.Equals, one.view.Epoch+1)
		}
		c.Check(got, qt.Equals, one.want, qt.Commentf(one.name))
	}
}

func TestMembersGrowOneByOne(t *testing.T) {
	c := qt.New(t)
	rules := planRules
	rules.TargetMembers = 5
	seen := observation(map[MemberID][]peerOption{"a": nil, "b": nil, "c": nil, "d": nil, "e": nil})
	next, changed := Plan(planView("a", "b", "c"), seen, rules)
	c.Assert(changed, qt.IsTrue)
	c.Assert(identities(next.Members), qt.DeepEquals, []MemberID{"a", "b", "c", "d"})
}

func TestUnopenedEpochsAreRemembered(t *testing.T) {
	c := qt.New(t)
	view := planView("a", "b", "c")
	closed := observation(map[MemberID][]peerOption{
		"a": nil, "b": {entryOf(4)}, "c": {silent(time.Second), entryOf(4)},
	})
	next, changed := Plan(view, closed, planRules)
	c.Assert(changed, qt.IsTrue)
	c.Assert(next.Unopened, qt.DeepEquals, []PastChain{{5, view.Chain}})
	c.Assert(next.Sources, qt.DeepEquals, []MemberID{"a", "b", "c"})
	for range maxUnopened {
		view.Unopened = append(view.Unopened, PastChain{1, nil})
	}
	next, _ = Plan(view, closed, planRules)
	c.Assert(next.Unopened, qt.HasLen, maxUnopened)
	c.Assert(next.Unopened[maxUnopened-1], qt.DeepEquals, PastChain{5, view.Chain})
	c.Assert(next.Sources, qt.DeepEquals, []MemberID{"a", "b", "c"})
}

func TestSealIsAskedForOnlyIfItHelps(t *testing.T) {
	c := qt.New(t)
	view := planView("b", "a")
	view.Fresh = []MemberID{"a"}
	nodes := func(ofC ...peerOption) Observation {
		return observation(map[MemberID][]peerOption{"a": {entryOf(4)}, "b": {silent(time.Second)}, "c": ofC})
	}
	c.Assert(SealNeeded(view, nodes(entryOf(4)), planRules), qt.IsTrue)
	c.Assert(SealNeeded(view, nodes(silent(time.Second)), planRules), qt.IsFalse)
	view.Sources = []MemberID{"b"}
	c.Assert(SealNeeded(view, nodes(entryOf(4)), planRules), qt.IsFalse)
}

// TestSourceOutlivesManyUnopenedEpochs lets b and c join the chain by turns, none of which opens. When a is
// gone b still counts as a source, as each of the epochs has a replica that missed it.
func TestSourceOutlivesManyUnopenedEpochs(t *testing.T) {
	c := qt.New(t)
	view := planView("a", "b")
	view.Sources = []MemberID{"a", "b"}
	told := func(epoch uint64) []peerOption {
		return []peerOption{entryOf(epoch), hears("a", "b", "c")}
	}
	for round := range 3 * maxUnopened {
		nodes := map[MemberID][]peerOption{"a": told(view.Epoch), "b": told(5), "c": told(3)}
		away := []MemberID{"b", "c"}[round%2]
		nodes[away] = append(nodes[away], silent(time.Second))
		next, found := Plan(view, observation(nodes), planRules)
		c.Assert(found, qt.IsTrue)
		c.Assert(next.Chain[0], qt.Equals, MemberID("a"))
		c.Assert(len(next.Unopened) <= maxUnopened, qt.IsTrue)
		c.Assert(next.Sources, qt.Contains, MemberID("b"))
		view = next
	}
	left := observation(map[MemberID][]peerOption{
		"a": {silent(time.Second)},
		"b": {entryOf(5), sealed, hears("b", "c")},
		"c": {entryOf(3), sealed, hears("b", "c")},
	})
	left.Self = "b"
	next, found := Plan(view, left, planRules)
	c.Assert(found, qt.IsTrue)
	c.Assert(next.Chain[0], qt.Equals, MemberID("b"))
}

// TestOldestUnopenedEpochIsForgottenWithWhoMayLackIt: nobody is left who could tell that nothing was
// committed.
func TestOldestUnopenedEpochIsForgottenWithWhoMayLackIt(t *testing.T) {
	c := qt.New(t)
	view := planView("a", "x")
	view.Epoch, view.Sources = 100, []MemberID{"a", "b", "c"}
	for epoch := range uint64(maxUnopened) {
		lost := MemberID(fmt.Sprint("x", epoch))
		chain := []MemberID{"a", lost}
		if epoch < 3 {
			chain = append(chain, "c")
		}
		view.Unopened = append(view.Unopened, PastChain{10 + epoch, chain})
	}
	view.Fresh = []MemberID{"x"}
	nodes := observation(map[MemberID][]peerOption{
		"a": {entryOf(100)}, "b": {entryOf(5), mute}, "c": {entryOf(12)},
	})
	next, found := Plan(view, nodes, planRules)
	c.Assert(found, qt.IsTrue)
	c.Assert(next.Unopened, qt.HasLen, maxUnopened)
	c.Assert(next.Unopened[0].Epoch, qt.Equals, uint64(11))
	c.Assert(next.Sources, qt.DeepEquals, []MemberID{"a", "c"}) // c holds what epoch 12 had, b may lack epoch 10
}

// TestEpochsOfNothingAreForgottenFirst: all but one have a replica that missed them.
func TestEpochsOfNothingAreForgottenFirst(t *testing.T) {
	c := qt.New(t)
	view := planView("a", "x")
	view.Epoch, view.Fresh, view.Sources = 100, []MemberID{"x"}, []MemberID{"a", "b"}
	view.Unopened = append(view.Unopened,
		PastChain{10, []MemberID{"a", "lost"}}, PastChain{11, []MemberID{"a", "b", "c"}})
	for epoch := range uint64(maxUnopened - 2) {
		view.Unopened = append(view.Unopened, PastChain{12 + epoch, []MemberID{"a", "b"}})
	}
	nodes := map[MemberID][]peerOption{
		"a": {entryOf(100)}, "b": {entryOf(5), hears("a")}, "c": {entryOf(11), hears("a")},
	}
	next, _ := Plan(view, observation(nodes), planRules)
	c.Assert(next.Unopened[0].Epoch, qt.Equals, uint64(10))
	c.Assert(next.Unopened[1].Epoch, qt.Equals, uint64(11)) // c holds the state by it alone
	c.Assert(next.Unopened[2].Epoch, qt.Equals, uint64(13))
	c.Assert(next.Unopened, qt.HasLen, maxUnopened)
	c.Assert(next.Sources, qt.DeepEquals, []MemberID{"a", "b"})
}
