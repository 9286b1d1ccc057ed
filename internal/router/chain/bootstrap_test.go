package chain

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestBootstrapperWithoutADiskIsNotAMember(t *testing.T) {
	cluster := newCluster(t, 0, 0)
	var members []Member
	for i, id := range []MemberID{"a", "b", "c"} {
		address := []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}[i]
		cluster.start(id, address, true, 3)
		members = append(members, Member{id, address})
	}
	cluster.machines["f"] = &machine{config: cluster.machines["a"].config, replies: map[uint64]Reply{}}
	cluster.machines["f"].config.Self, cluster.machines["f"].config.HasDisk = Member{"f", "10.0.0.9"}, false
	cluster.order = append(cluster.order, "f")
	cluster.boot("f")
	cluster.machines["f"].node.SetContacts(members)
	cluster.do("f", func(n *Node) Effects { return n.Bootstrap(cluster.now, members) })
	cluster.run(200 * time.Millisecond)
	cluster.mustChain("f", "a", "b", "c")
	cluster.c.Assert(cluster.machines["f"].records, qt.HasLen, 0)
	cluster.mustWrite("f", 0, 1, "one")
}

func TestFirstViewNeedsAllMembers(t *testing.T) {
	cluster := newCluster(t, 0, 0)
	members := []Member{{"a", "1"}, {"b", "2"}, {"c", "3"}}
	for _, member := range members {
		cluster.start(member.ID, member.Address, true, 3)
	}
	cluster.machines["c"].down = true
	cluster.do("a", func(n *Node) Effects { return n.Bootstrap(cluster.now, members) })
	cluster.run(time.Second)
	cluster.c.Assert(cluster.view("a").Epoch, qt.Equals, uint64(0))
	cluster.boot("c")
	cluster.run(time.Second)
	cluster.c.Assert(cluster.view("b").Epoch, qt.Equals, uint64(1))
}

func TestBootstrapperAdoptsTheFirstViewThatAMemberHasAccepted(t *testing.T) {
	cluster := newCluster(t, 0, 0)
	members := []Member{{"a", "1"}, {"b", "2"}, {"c", "3"}}
	for _, member := range members {
		cluster.start(member.ID, member.Address, true, 3)
	}
	cluster.run(3 * time.Second) // a bootstrapper that knows only two members waits for this long
	cluster.drop = dropKind(BootstrapAcceptReply, "a")
	cluster.do("a", func(n *Node) Effects { return n.Bootstrap(cluster.now, members[:2]) })
	cluster.run(100 * time.Millisecond)
	cluster.drop = nil
	cluster.restart("a")
	cluster.do("a", func(n *Node) Effects { return n.Bootstrap(cluster.now, members) })
	cluster.run(500 * time.Millisecond)
	cluster.c.Assert(cluster.view("b").Epoch > 0, qt.IsTrue)
	cluster.c.Assert(cluster.machines["b"].node.state.acceptedFirstView.Members, qt.DeepEquals, members[:2])
}

func TestEmptyDiskAfterTheFirstStartAcceptsNoFirstView(t *testing.T) {
	cluster := newCluster(t, 0, 0)
	members := []Member{{"a", "1"}, {"b", "2"}}
	cluster.start("a", "1", true, 2)
	cluster.start("b", "2", false, 2)
	cluster.do("a", func(n *Node) Effects { return n.Bootstrap(cluster.now, members) })
	cluster.run(time.Second)
	cluster.c.Assert(cluster.view("a").Epoch, qt.Equals, uint64(0))
	cluster.c.Assert(cluster.machines["b"].node.state.acceptedFirstView.Epoch, qt.Equals, uint64(0))
}

// TestBootstrapAcceptReplyGoesToTheBootstrappersAddress: a machine that has never heard of the bootstrapper
// replies to the address in the BootstrapAccept message.
func TestBootstrapAcceptReplyGoesToTheBootstrappersAddress(t *testing.T) {
	c := qt.New(t)
	config := Config{Self: Member{"b", "10.0.0.2"}, HasDisk: true, AllowBootstrap: true,
		Random: rand.New(rand.NewSource(1))}
	node, _, err := Open(config, 0, nil)
	c.Assert(err, qt.IsNil)
	view := firstView(1, []Member{{"a", "10.0.0.1"}, {"b", "10.0.0.2"}}, nil)
	effects := node.Receive(time.Second,
		Message{Kind: BootstrapAccept, From: "f", Address: "10.0.0.9", View: view})
	c.Assert(effects.Messages, qt.HasLen, 1)
	c.Check(effects.Messages[0].To, qt.Equals, Member{"f", "10.0.0.9"})
	c.Check(effects.Messages[0].Message.Kind, qt.Equals, BootstrapAcceptReply)
}

// newBootstrapCluster starts machines that have no view yet.
func newBootstrapCluster(t *testing.T, ids ...MemberID) (*testCluster, []Member) {
	t.Helper()
	cluster := newCluster(t, 0, 0)
	var members []Member
	for i, id := range ids {
		address := fmt.Sprint("10.0.0.", i+1)
		cluster.start(id, address, true, len(ids))
		members = append(members, Member{id, address})
	}
	for _, id := range ids {
		cluster.machines[id].node.SetContacts(members)
	}
	return cluster, members
}

// keepBootstrapping calls Bootstrap twice a second, as a bootstrapping node does.
func (tc *testCluster) keepBootstrapping(at MemberID, members []Member, during time.Duration) {
	for end := tc.now + during; tc.now < end; {
		tc.do(at, func(n *Node) Effects { return n.Bootstrap(tc.now, members) })
		tc.run(500 * time.Millisecond)
	}
}

func TestBootstrapCompletesWhenADiskIsLostAfterAccepting(t *testing.T) {
	for _, lost := range []MemberID{"b", "c"} {
		cluster, members := newBootstrapCluster(t, "a", "b", "c")
		cluster.drop = dropKind(BootstrapAcceptReply, "a")
		cluster.keepBootstrapping("a", members, time.Second)
		for _, id := range cluster.order {
			cluster.c.Assert(cluster.machines[id].node.state.acceptedFirstView.Epoch, qt.Equals, uint64(1))
		}
		cluster.machines[lost].down = true
		cluster.start("x", cluster.machines[lost].config.Self.Address, false, 3)
		cluster.machines["x"].node.SetContacts(members)
		cluster.drop = nil
		with := append(slices.Clone(members), Member{"x", cluster.machines[lost].config.Self.Address})
		cluster.keepBootstrapping("a", with, 8*time.Second)
		cluster.c.Assert(cluster.view("a").isMember(lost), qt.IsFalse)
		cluster.c.Assert(cluster.view("a").Members, qt.HasLen, 3)
		cluster.mustWrite("a", 0, 1, "one")
		cluster.mustRead("x", 1, "one")
	}
}

func TestMembersThatAcceptedContinueWithoutTheBootstrapper(t *testing.T) {
	cluster, members := newBootstrapCluster(t, "a", "b", "c", "f")
	cluster.drop = func(_, to MemberID, m *Message) bool {
		return to == "f" || m.Kind == BootstrapAccept && to == "c"
	}
	cluster.keepBootstrapping("f", members[:3], time.Second)
	cluster.machines["f"].down = true
	cluster.drop = nil
	for _, id := range cluster.order[:3] { // AllowBootstrap is set at the first start only
		cluster.machines[id].config.AllowBootstrap = false
		cluster.restart(id)
	}
	cluster.run(8 * time.Second)
	cluster.mustChain("c", "a", "b", "c")
	cluster.mustWrite("c", 0, 1, "one")
}

// TestRevokedFirstViewIsNeverAdopted: only one member learns that a first view was decided, and stops. The
// others decide a later attempt, and must not adopt the first view afterwards.
func TestRevokedFirstViewIsNeverAdopted(t *testing.T) {
	cluster, members := newBootstrapCluster(t, "a", "b", "c", "f")
	first := firstView(1, members[:3], nil)
	cluster.drop = func(_, to MemberID, m *Message) bool { return m.Kind == ViewNotice && to != "c" }
	cluster.keepBootstrapping("f", members[:3], 500*time.Millisecond)
	cluster.c.Assert(cluster.view("c").equal(first), qt.IsTrue)
	cluster.machines["f"].down, cluster.machines["c"].down = true, true
	cluster.drop = nil
	cluster.run(25 * time.Second)
	cluster.c.Assert(cluster.view("a").Epoch > 1, qt.IsTrue)
	epoch := cluster.view("a").Epoch
	cluster.c.Assert(sortedIDs(memberIDs(cluster.view("a").Members)), qt.DeepEquals, []MemberID{"a", "b"})
	cluster.do("a", func(n *Node) Effects {
		return n.Receive(cluster.now, Message{Kind: ViewNotice, View: first})
	})
	cluster.c.Assert(cluster.view("a").Epoch, qt.Equals, epoch)
	cluster.mustWrite("a", 0, 1, "one")
	cluster.machines["c"].down = false
	cluster.run(3 * time.Second)
	cluster.mustRead("c", 1, "one")
	cluster.c.Assert(cluster.view("c").isMember("c"), qt.IsTrue)
}

// TestMinorityThatHasRevokedTheFirstViewRejoins: a member has accepted a later attempt, so it must not adopt
// the first view that the others adopt. It rejoins the chain in a later view that the others decide.
func TestMinorityThatHasRevokedTheFirstViewRejoins(t *testing.T) {
	cluster, members := newBootstrapCluster(t, "a", "b", "c")
	first := firstView(1, members, nil)
	second := firstView(2, members[:2], []PastChain{{1, first.Chain}})
	deliver := func(id MemberID, m Message) {
		m.From, m.Address = "f", "10.0.0.9"
		cluster.do(id, func(n *Node) Effects { return n.Receive(cluster.now, m) })
	}
	for _, id := range cluster.order {
		deliver(id, Message{Kind: BootstrapAccept, View: first})
	}
	deliver("a", Message{Kind: BootstrapAccept, View: second})
	cluster.c.Assert(cluster.machines["a"].node.state.acceptedFirstView.Epoch, qt.Equals, uint64(2))
	for _, id := range cluster.order {
		deliver(id, Message{Kind: ViewNotice, View: first})
	}
	cluster.c.Assert(cluster.view("a").Epoch, qt.Equals, uint64(0))
	deliver("b", Message{Kind: BootstrapAccept, View: second})
	cluster.c.Assert(cluster.machines["b"].node.state.acceptedFirstView.Epoch, qt.Equals,
		uint64(1)) // b has adopted the first view and accepts no further attempt
	cluster.run(5 * time.Second)
	cluster.mustWrite("a", 0, 1, "one")
	cluster.c.Assert(cluster.view("a").Chain, qt.HasLen, 3)
}

func TestMayAcceptAttempt(t *testing.T) {
	c := qt.New(t)
	a, b, d := Member{"a", "1"}, Member{"b", "2"}, Member{"d", "4"}
	first := firstView(1, []Member{a, b, {"c", "3"}}, nil)
	past := PastChain{1, first.Chain}
	second := firstView(2, []Member{a, b}, []PastChain{past})
	for _, test := range []struct {
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
		{"later attempt that lists no earlier one", true, View{}, firstView(2, []Member{a, b}, nil), false},
		{"later attempt that doesn't list the accepted one", true,
			firstView(1, []Member{a, d}, nil), second, false},
		{"third attempt that doesn't list the first", true, second,
			firstView(3, []Member{a, b}, []PastChain{{2, second.Chain}}), false},
		{"third attempt", true, second, firstView(3, []Member{a, b}, []PastChain{past, {2, second.Chain}}), true},
		{"earlier attempt", true, second, first, false},
	} {
		c.Run(test.name, func(c *qt.C) {
			config := Config{Self: a, HasDisk: true, AllowBootstrap: test.allowBootstrap,
				Random: rand.New(rand.NewSource(1))}
			node, _, err := Open(config, 0, nil)
			c.Assert(err, qt.IsNil)
			node.state.acceptedFirstView = test.accepted
			c.Check(node.mayAcceptAttempt(&test.view), qt.Equals, test.want)
		})
	}
}

func TestBootstrapperWaitsForEnoughMembers(t *testing.T) {
	cluster, members := newBootstrapCluster(t, "a", "b", "c")
	cluster.keepBootstrapping("a", members[:2], 2*time.Second)
	cluster.c.Assert(cluster.view("a").Epoch, qt.Equals, uint64(0))
	cluster.keepBootstrapping("a", members, time.Second)
	cluster.mustChain("a", "a", "b", "c")
}

// TestUnresponsiveMemberIsNotDroppedEarly: while only c's replies are lost, the bootstrapper must not go on
// to an attempt of two members, which could not tolerate the loss of one of them.
func TestUnresponsiveMemberIsNotDroppedEarly(t *testing.T) {
	cluster, members := newBootstrapCluster(t, "a", "b", "c")
	cluster.drop = func(from, _ MemberID, m *Message) bool {
		return m.Kind == BootstrapAcceptReply && from == "c"
	}
	cluster.keepBootstrapping("a", members, 5*time.Second)
	cluster.c.Assert(cluster.machines["a"].node.state.acceptedFirstView.Epoch, qt.Equals, uint64(1))
	cluster.machines["b"].down = true
	cluster.start("x", "10.0.0.2", false, 3)
	cluster.machines["x"].node.SetContacts(members)
	cluster.drop = nil
	cluster.keepBootstrapping("a", append(slices.Clone(members), Member{"x", "10.0.0.2"}), 8*time.Second)
	cluster.c.Assert(sortedIDs(memberIDs(cluster.view("a").Members)), qt.DeepEquals, []MemberID{"a", "c", "x"})
	cluster.mustWrite("a", 0, 1, "one")
}

// TestAcceptanceThatIsNotDurableDoesNotCount: the bootstrapper's disk fails to persist that it has accepted
// its own attempt.
func TestAcceptanceThatIsNotDurableDoesNotCount(t *testing.T) {
	cluster, members := newBootstrapCluster(t, "a", "b", "c")
	cluster.machines["a"].failing = true
	cluster.do("a", func(n *Node) Effects { return n.Bootstrap(cluster.now, members) })
	cluster.machines["a"].failing = false
	cluster.run(2 * time.Second)
	cluster.mustWrite("a", 0, 1, "one")
	restored, _, err := Open(cluster.machines["a"].config, cluster.now, cluster.machines["a"].records)
	cluster.c.Assert(err, qt.IsNil)
	cluster.c.Assert(restored.state.acceptedFirstView.Epoch, qt.Equals, uint64(1))
}
