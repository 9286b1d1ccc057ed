package chain

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestBootstrapperWithoutADiskIsNoMember(t *testing.T) {
	tc := newCluster(t, 0, 0)
	var members []Member
	for i, id := range []MemberID{"a", "b", "c"} {
		address := []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}[i]
		tc.start(id, address, true, 3)
		members = append(members, Member{id, address})
	}
	tc.machines["f"] = &machine{config: tc.machines["a"].config, replies: map[uint64]Reply{}}
	tc.machines["f"].config.Self, tc.machines["f"].config.HasDisk = Member{"f", "10.0.0.9"}, false
	tc.order = append(tc.order, "f")
	tc.boot("f")
	tc.machines["f"].node.SetContacts(members)
	tc.do("f", func(n *Node) Effects { return n.Bootstrap(tc.now, members) })
	tc.run(200 * time.Millisecond)
	tc.mustChain("f", "a", "b", "c")
	tc.c.Assert(tc.machines["f"].records, qt.HasLen, 0)
	tc.mustWrite("f", 0, 1, "one")
}

func TestFirstViewNeedsAllMembers(t *testing.T) {
	tc := newCluster(t, 0, 0)
	members := []Member{{"a", "1"}, {"b", "2"}, {"c", "3"}}
	for _, member := range members {
		tc.start(member.ID, member.Address, true, 3)
	}
	tc.machines["c"].down = true
	tc.do("a", func(n *Node) Effects { return n.Bootstrap(tc.now, members) })
	tc.run(time.Second)
	tc.c.Assert(tc.view("a").Epoch, qt.Equals, uint64(0))
	tc.boot("c")
	tc.run(time.Second)
	tc.c.Assert(tc.view("b").Epoch, qt.Equals, uint64(1))
}

func TestBootstrapperAdoptsTheFirstViewThatAMemberHasAccepted(t *testing.T) {
	tc := newCluster(t, 0, 0)
	members := []Member{{"a", "1"}, {"b", "2"}, {"c", "3"}}
	for _, member := range members {
		tc.start(member.ID, member.Address, true, 3)
	}
	tc.run(3 * time.Second) // the bootstrapper waits for a third
	tc.drop = dropKind(GenesisReply, "a")
	tc.do("a", func(n *Node) Effects { return n.Bootstrap(tc.now, members[:2]) })
	tc.run(100 * time.Millisecond)
	tc.drop = nil
	tc.restart("a")
	tc.do("a", func(n *Node) Effects { return n.Bootstrap(tc.now, members) })
	tc.run(500 * time.Millisecond)
	tc.c.Assert(tc.view("b").Epoch > 0, qt.IsTrue)
	tc.c.Assert(tc.machines["b"].node.state.genesis.Members, qt.DeepEquals, members[:2])
}

func TestEmptyDiskAfterTheFirstStartAcceptsNoFirstView(t *testing.T) {
	tc := newCluster(t, 0, 0)
	members := []Member{{"a", "1"}, {"b", "2"}}
	tc.start("a", "1", true, 2)
	tc.start("b", "2", false, 2)
	tc.do("a", func(n *Node) Effects { return n.Bootstrap(tc.now, members) })
	tc.run(time.Second)
	tc.c.Assert(tc.view("a").Epoch, qt.Equals, uint64(0))
	tc.c.Assert(tc.machines["b"].node.state.genesis.Epoch, qt.Equals, uint64(0))
}

// TestGenesisReplyGoesToTheBootstrappersAddress: a machine that knows the sender only by its Genesis replies
// to the address that the message names.
func TestGenesisReplyGoesToTheBootstrappersAddress(t *testing.T) {
	c := qt.New(t)
	config := Config{Self: Member{"b", "10.0.0.2"}, HasDisk: true, AllowBootstrap: true,
		Random: rand.New(rand.NewSource(1))}
	node, _, err := Open(config, 0, nil)
	c.Assert(err, qt.IsNil)
	view := firstView(1, []Member{{"a", "10.0.0.1"}, {"b", "10.0.0.2"}}, nil)
	effects := node.Receive(time.Second, Message{Kind: Genesis, From: "f", Address: "10.0.0.9", View: view})
	c.Assert(effects.Messages, qt.HasLen, 1)
	c.Check(effects.Messages[0].To, qt.Equals, Member{"f", "10.0.0.9"})
	c.Check(effects.Messages[0].Message.Kind, qt.Equals, GenesisReply)
}

// newBootstrapCluster starts machines without a first view.
func newBootstrapCluster(t *testing.T, ids ...MemberID) (*testCluster, []Member) {
	t.Helper()
	tc := newCluster(t, 0, 0)
	var members []Member
	for i, id := range ids {
		address := fmt.Sprint("10.0.0.", i+1)
		tc.start(id, address, true, len(ids))
		members = append(members, Member{id, address})
	}
	for _, id := range ids {
		tc.machines[id].node.SetContacts(members)
	}
	return tc, members
}

// keepBootstrapping calls Bootstrap twice a second, as a bootstrapper does.
func (tc *testCluster) keepBootstrapping(at MemberID, members []Member, during time.Duration) {
	for end := tc.now + during; tc.now < end; {
		tc.do(at, func(n *Node) Effects { return n.Bootstrap(tc.now, members) })
		tc.run(500 * time.Millisecond)
	}
}

func TestBootstrapCompletesWhenADiskIsLostAfterItsConsent(t *testing.T) {
	for _, lost := range []MemberID{"b", "c"} {
		tc, members := newBootstrapCluster(t, "a", "b", "c")
		tc.drop = dropKind(GenesisReply, "a")
		tc.keepBootstrapping("a", members, time.Second)
		for _, id := range tc.order {
			tc.c.Assert(tc.machines[id].node.state.genesis.Epoch, qt.Equals, uint64(1))
		}
		tc.machines[lost].down = true
		tc.start("x", tc.machines[lost].config.Self.Address, false, 3)
		tc.machines["x"].node.SetContacts(members)
		tc.drop = nil
		with := append(slices.Clone(members), Member{"x", tc.machines[lost].config.Self.Address})
		tc.keepBootstrapping("a", with, 8*time.Second)
		tc.c.Assert(tc.view("a").isMember(lost), qt.IsFalse)
		tc.c.Assert(tc.view("a").Members, qt.HasLen, 3)
		tc.mustWrite("a", 0, 1, "one")
		tc.mustRead("x", 1, "one")
	}
}

func TestConsentingMembersContinueWithoutTheirBootstrapper(t *testing.T) {
	tc, members := newBootstrapCluster(t, "a", "b", "c", "f")
	tc.drop = func(_, to MemberID, m *Message) bool {
		return to == "f" || m.Kind == Genesis && to == "c"
	}
	tc.keepBootstrapping("f", members[:3], time.Second)
	tc.machines["f"].down = true
	tc.drop = nil
	for _, id := range tc.order[:3] { // AllowBootstrap is set at the first start only
		tc.machines[id].config.AllowBootstrap = false
		tc.restart(id)
	}
	tc.run(8 * time.Second)
	tc.mustChain("c", "a", "b", "c")
	tc.mustWrite("c", 0, 1, "one")
}

// TestRevokedFirstViewIsNeverAdopted: a decided first view that only one member has learnt of is overtaken
// by a later attempt of the others.
func TestRevokedFirstViewIsNeverAdopted(t *testing.T) {
	tc, members := newBootstrapCluster(t, "a", "b", "c", "f")
	first := firstView(1, members[:3], nil)
	tc.drop = func(_, to MemberID, m *Message) bool { return m.Kind == ViewNotice && to != "c" }
	tc.keepBootstrapping("f", members[:3], 500*time.Millisecond)
	tc.c.Assert(tc.view("c").equal(first), qt.IsTrue)
	tc.machines["f"].down, tc.machines["c"].down = true, true
	tc.drop = nil
	tc.run(25 * time.Second)
	tc.c.Assert(tc.view("a").Epoch > 1, qt.IsTrue)
	epoch := tc.view("a").Epoch
	tc.c.Assert(sortedIDs(memberIDs(tc.view("a").Members)), qt.DeepEquals, []MemberID{"a", "b"})
	tc.do("a", func(n *Node) Effects { return n.Receive(tc.now, Message{Kind: ViewNotice, View: first}) })
	tc.c.Assert(tc.view("a").Epoch, qt.Equals, epoch)
	tc.mustWrite("a", 0, 1, "one")
	tc.machines["c"].down = false
	tc.run(3 * time.Second)
	tc.mustRead("c", 1, "one")
	tc.c.Assert(tc.view("c").isMember("c"), qt.IsTrue)
}

// TestMinorityThatHasRevokedTheFirstViewRejoins: the others adopt a view that the member must not adopt, and
// add it to the chain by the next one.
func TestMinorityThatHasRevokedTheFirstViewRejoins(t *testing.T) {
	tc, members := newBootstrapCluster(t, "a", "b", "c")
	first := firstView(1, members, nil)
	second := firstView(2, members[:2], []PastChain{{1, first.Chain}})
	tell := func(id MemberID, m Message) {
		m.From, m.Address = "f", "10.0.0.9"
		tc.do(id, func(n *Node) Effects { return n.Receive(tc.now, m) })
	}
	for _, id := range tc.order {
		tell(id, Message{Kind: Genesis, View: first})
	}
	tell("a", Message{Kind: Genesis, View: second})
	tc.c.Assert(tc.machines["a"].node.state.genesis.Epoch, qt.Equals, uint64(2))
	for _, id := range tc.order {
		tell(id, Message{Kind: ViewNotice, View: first})
	}
	tc.c.Assert(tc.view("a").Epoch, qt.Equals, uint64(0))
	tell("b", Message{Kind: Genesis, View: second})
	tc.c.Assert(tc.machines["b"].node.state.genesis.Epoch, qt.Equals, uint64(1)) // it is in the first one
	tc.run(5 * time.Second)
	tc.mustWrite("a", 0, 1, "one")
	tc.c.Assert(tc.view("a").Chain, qt.HasLen, 3)
}

func TestWhichFirstViewsAMachineAccepts(t *testing.T) {
	c := qt.New(t)
	a, b, d := Member{"a", "1"}, Member{"b", "2"}, Member{"d", "4"}
	first := firstView(1, []Member{a, b, {"c", "3"}}, nil)
	past := PastChain{1, first.Chain}
	second := firstView(2, []Member{a, b}, []PastChain{past})
	for _, tt := range []struct {
		name           string
		allowBootstrap bool
		accepted, view View
		want           bool
	}{
		{"first attempt", true, View{}, first, true},
		{"first attempt without AllowBootstrap", false, View{}, first, false},
		{"another attempt of the same epoch", true, first, firstView(1, []Member{a, d}, nil), false},
		{"attempt without this machine", true, View{}, firstView(1, []Member{b, d}, nil), false},
		{"later attempt of a majority", false, first, second, true},
		{"later attempt with a new disk", false, View{}, second, true},
		{"later attempt of a minority", true, first, firstView(2, []Member{a, d}, []PastChain{past}), false},
		{"later attempt that names no earlier one", true, View{}, firstView(2, []Member{a, b}, nil), false},
		{"later attempt that doesn't name the accepted one", true,
			firstView(1, []Member{a, d}, nil), second, false},
		{"third attempt that doesn't name the first", true, second,
			firstView(3, []Member{a, b}, []PastChain{{2, second.Chain}}), false},
		{"third attempt", true, second, firstView(3, []Member{a, b}, []PastChain{past, {2, second.Chain}}), true},
		{"earlier attempt", true, second, first, false},
	} {
		c.Run(tt.name, func(c *qt.C) {
			config := Config{Self: a, HasDisk: true, AllowBootstrap: tt.allowBootstrap,
				Random: rand.New(rand.NewSource(1))}
			node, _, err := Open(config, 0, nil)
			c.Assert(err, qt.IsNil)
			node.state.genesis = tt.accepted
			c.Check(node.mayAcceptGenesis(&tt.view), qt.Equals, tt.want)
		})
	}
}

func TestBootstrapperWaitsForEnoughMembers(t *testing.T) {
	tc, members := newBootstrapCluster(t, "a", "b", "c")
	tc.keepBootstrapping("a", members[:2], 2*time.Second)
	tc.c.Assert(tc.view("a").Epoch, qt.Equals, uint64(0))
	tc.keepBootstrapping("a", members, time.Second)
	tc.mustChain("a", "a", "b", "c")
}

// TestUnresponsiveMemberIsNotDroppedEarly: an attempt of two could not survive the loss of one of them.
func TestUnresponsiveMemberIsNotDroppedEarly(t *testing.T) {
	tc, members := newBootstrapCluster(t, "a", "b", "c")
	tc.drop = func(from, _ MemberID, m *Message) bool { return m.Kind == GenesisReply && from == "c" }
	tc.keepBootstrapping("a", members, 5*time.Second)
	tc.c.Assert(tc.machines["a"].node.state.genesis.Epoch, qt.Equals, uint64(1))
	tc.machines["b"].down = true
	tc.start("x", "10.0.0.2", false, 3)
	tc.machines["x"].node.SetContacts(members)
	tc.drop = nil
	tc.keepBootstrapping("a", append(slices.Clone(members), Member{"x", "10.0.0.2"}), 8*time.Second)
	tc.c.Assert(sortedIDs(memberIDs(tc.view("a").Members)), qt.DeepEquals, []MemberID{"a", "c", "x"})
	tc.mustWrite("a", 0, 1, "one")
}

// TestConsentThatIsNotDurableDoesNotCount: the bootstrapper's disk fails to persist its own consent.
func TestConsentThatIsNotDurableDoesNotCount(t *testing.T) {
	tc, members := newBootstrapCluster(t, "a", "b", "c")
	tc.machines["a"].failing = true
	tc.do("a", func(n *Node) Effects { return n.Bootstrap(tc.now, members) })
	tc.machines["a"].failing = false
	tc.run(2 * time.Second)
	tc.mustWrite("a", 0, 1, "one")
	restored, _, err := Open(tc.machines["a"].config, tc.now, tc.machines["a"].records)
	tc.c.Assert(err, qt.IsNil)
	tc.c.Assert(restored.state.genesis.Epoch, qt.Equals, uint64(1))
}
