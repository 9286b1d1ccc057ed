package chain

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestFounderWithoutADiskIsNoMember(t *testing.T) {
	l := newCluster(t, 0, 0)
	var members []Member
	for i, id := range []MemberID{"a", "b", "c"} {
		address := []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}[i]
		l.start(id, address, true, 3)
		members = append(members, Member{id, address})
	}
	l.machines["f"] = &machine{config: l.machines["a"].config, replies: map[uint64]Reply{}}
	l.machines["f"].config.Self, l.machines["f"].config.HasDisk = Member{"f", "10.0.0.9"}, false
	l.order = append(l.order, "f")
	l.boot("f")
	l.machines["f"].node.SetContacts(members)
	l.do("f", func(n *Node) Effects { return n.Found(l.now, members) })
	l.run(200 * time.Millisecond)
	l.mustChain("f", "a", "b", "c")
	l.c.Assert(l.machines["f"].records, qt.HasLen, 0)
	l.mustWrite("f", 0, 1, "one")
}

func TestFirstViewNeedsAllMembers(t *testing.T) {
	l := newCluster(t, 0, 0)
	members := []Member{{"a", "1"}, {"b", "2"}, {"c", "3"}}
	for _, member := range members {
		l.start(member.ID, member.Address, true, 3)
	}
	l.machines["c"].down = true
	l.do("a", func(n *Node) Effects { return n.Found(l.now, members) })
	l.run(time.Second)
	l.c.Assert(l.view("a").Epoch, qt.Equals, uint64(0))
	l.boot("c")
	l.run(time.Second)
	l.c.Assert(l.view("b").Epoch, qt.Equals, uint64(1))
}

func TestFounderAdoptsTheFirstViewThatAMemberHasAccepted(t *testing.T) {
	l := newCluster(t, 0, 0)
	members := []Member{{"a", "1"}, {"b", "2"}, {"c", "3"}}
	for _, member := range members {
		l.start(member.ID, member.Address, true, 3)
	}
	l.run(3 * time.Second) // the founder waits for a third
	l.drop = loseKind(GenesisReply, "a")
	l.do("a", func(n *Node) Effects { return n.Found(l.now, members[:2]) })
	l.run(100 * time.Millisecond)
	l.drop = nil
	l.restart("a")
	l.do("a", func(n *Node) Effects { return n.Found(l.now, members) })
	l.run(500 * time.Millisecond)
	l.c.Assert(l.view("b").Epoch > 0, qt.IsTrue)
	l.c.Assert(l.machines["b"].node.state.genesis.Members, qt.DeepEquals, members[:2])
}

func TestEmptyDiskAfterTheFirstStartAcceptsNoFirstView(t *testing.T) {
	l := newCluster(t, 0, 0)
	members := []Member{{"a", "1"}, {"b", "2"}}
	l.start("a", "1", true, 2)
	l.start("b", "2", false, 2)
	l.do("a", func(n *Node) Effects { return n.Found(l.now, members) })
	l.run(time.Second)
	l.c.Assert(l.view("a").Epoch, qt.Equals, uint64(0))
	l.c.Assert(l.machines["b"].node.state.genesis.Epoch, qt.Equals, uint64(0))
}

// TestConsentGoesToTheFoundersAddress: a machine that has heard nothing of the founder but its question
// answers to the address that the question names, since identities alone lead nowhere yet.
func TestConsentGoesToTheFoundersAddress(t *testing.T) {
	c := qt.New(t)
	config := Config{Self: Member{"b", "10.0.0.2"}, HasDisk: true, FirstStart: true,
		Random: rand.New(rand.NewSource(1))}
	node, _, err := Open(config, 0, nil)
	c.Assert(err, qt.IsNil)
	view := firstView(1, []Member{{"a", "10.0.0.1"}, {"b", "10.0.0.2"}}, nil)
	effects := node.Receive(time.Second, Message{Kind: Genesis, From: "f", Address: "10.0.0.9", View: view})
	c.Assert(effects.Messages, qt.HasLen, 1)
	c.Check(effects.Messages[0].To, qt.Equals, Member{"f", "10.0.0.9"})
	c.Check(effects.Messages[0].Message.Kind, qt.Equals, GenesisReply)
}

// foundingCluster makes machines that nobody has founded yet, the first of which wants to.
func foundingCluster(t testing.TB, ids ...MemberID) (*cluster, []Member) {
	l := newCluster(t, 0, 0)
	var members []Member
	for i, id := range ids {
		address := fmt.Sprint("10.0.0.", i+1)
		l.start(id, address, true, len(ids))
		members = append(members, Member{id, address})
	}
	for _, id := range ids {
		l.machines[id].node.SetContacts(members)
	}
	return l, members
}

// found asks members to accept the first view, as a founder does again and again.
func (l *cluster) found(at MemberID, members []Member, during time.Duration) {
	for end := l.now + during; l.now < end; {
		l.do(at, func(n *Node) Effects { return n.Found(l.now, members) })
		l.run(500 * time.Millisecond)
	}
}

func TestFoundingEndsWhenADiskIsLostAfterItsConsent(t *testing.T) {
	for _, lost := range []MemberID{"b", "c"} {
		l, members := foundingCluster(t, "a", "b", "c")
		l.drop = loseKind(GenesisReply, "a")
		l.found("a", members, time.Second)
		for _, id := range l.order {
			l.c.Assert(l.machines[id].node.state.genesis.Epoch, qt.Equals, uint64(1))
		}
		l.machines[lost].down = true
		l.start("x", l.machines[lost].config.Self.Address, false, 3)
		l.machines["x"].node.SetContacts(members)
		l.drop = nil
		with := append(slices.Clone(members), Member{"x", l.machines[lost].config.Self.Address})
		l.found("a", with, 8*time.Second)
		l.c.Assert(l.view("a").isMember(lost), qt.IsFalse)
		l.c.Assert(l.view("a").Members, qt.HasLen, 3)
		l.mustWrite("a", 0, 1, "one")
		l.mustRead("x", 1, "one")
	}
}

func TestConsentingMembersGoOnWithoutTheirFounder(t *testing.T) {
	l, members := foundingCluster(t, "a", "b", "c", "f")
	l.drop = func(_, to MemberID, m *Message) bool {
		return to == "f" || m.Kind == Genesis && to == "c"
	}
	l.found("f", members[:3], time.Second)
	l.machines["f"].down = true
	l.drop = nil
	for _, id := range l.order[:3] { // a restart is no first start
		l.machines[id].config.FirstStart = false
		l.restart(id)
	}
	l.run(8 * time.Second)
	l.mustChain("c", "a", "b", "c")
	l.mustWrite("c", 0, 1, "one")
}

// TestRevokedFirstViewIsNeverAdopted: a decided first view that only one member has heard of is overtaken by
// a later attempt of the others.
func TestRevokedFirstViewIsNeverAdopted(t *testing.T) {
	l, members := foundingCluster(t, "a", "b", "c", "f")
	first := firstView(1, members[:3], nil)
	l.drop = func(_, to MemberID, m *Message) bool { return m.Kind == ViewNotice && to != "c" }
	l.found("f", members[:3], 500*time.Millisecond)
	l.c.Assert(l.view("c").equal(first), qt.IsTrue)
	l.machines["f"].down, l.machines["c"].down = true, true
	l.drop = nil
	l.run(25 * time.Second)
	l.c.Assert(l.view("a").Epoch > 1, qt.IsTrue)
	epoch := l.view("a").Epoch
	l.c.Assert(sorted(identities(l.view("a").Members)), qt.DeepEquals, []MemberID{"a", "b"})
	l.do("a", func(n *Node) Effects { return n.Receive(l.now, Message{Kind: ViewNotice, View: first}) })
	l.c.Assert(l.view("a").Epoch, qt.Equals, epoch)
	l.mustWrite("a", 0, 1, "one")
	l.machines["c"].down = false
	l.run(3 * time.Second)
	l.mustRead("c", 1, "one")
	l.c.Assert(l.view("c").isMember("c"), qt.IsTrue)
}

// TestMinorityThatHasRevokedTheFirstViewComesBack: a view that others adopted goes on without the member that
// must not, and takes it in by the next one.
func TestMinorityThatHasRevokedTheFirstViewComesBack(t *testing.T) {
	l, members := foundingCluster(t, "a", "b", "c")
	first := firstView(1, members, nil)
	second := firstView(2, members[:2], []PastChain{{1, first.Chain}})
	tell := func(id MemberID, m Message) {
		m.From, m.Address = "f", "10.0.0.9"
		l.do(id, func(n *Node) Effects { return n.Receive(l.now, m) })
	}
	for _, id := range l.order {
		tell(id, Message{Kind: Genesis, View: first})
	}
	tell("a", Message{Kind: Genesis, View: second})
	l.c.Assert(l.machines["a"].node.state.genesis.Epoch, qt.Equals, uint64(2))
	for _, id := range l.order {
		tell(id, Message{Kind: ViewNotice, View: first})
	}
	l.c.Assert(l.view("a").Epoch, qt.Equals, uint64(0))
	tell("b", Message{Kind: Genesis, View: second})
	l.c.Assert(l.machines["b"].node.state.genesis.Epoch, qt.Equals, uint64(1)) // it is in the first one
	l.run(5 * time.Second)
	l.mustWrite("a", 0, 1, "one")
	l.c.Assert(l.view("a").Chain, qt.HasLen, 3)
}

func TestConsentToAnAttempt(t *testing.T) {
	c := qt.New(t)
	a, b, d := Member{"a", "1"}, Member{"b", "2"}, Member{"d", "4"}
	first := firstView(1, []Member{a, b, {"c", "3"}}, nil)
	past := PastChain{1, first.Chain}
	second := firstView(2, []Member{a, b}, []PastChain{past})
	for _, one := range []struct {
		name       string
		firstStart bool
		held, view View
		want       bool
	}{
		{"the first one", true, View{}, first, true},
		{"the first one after the first start", false, View{}, first, false},
		{"another one of the epoch", true, first, firstView(1, []Member{a, d}, nil), false},
		{"without this machine", true, View{}, firstView(1, []Member{b, d}, nil), false},
		{"a later one by a majority", false, first, second, true},
		{"a later one for a new disk", false, View{}, second, true},
		{"a later one by a minority", true, first, firstView(2, []Member{a, d}, []PastChain{past}), false},
		{"a later one that names none", true, View{}, firstView(2, []Member{a, b}, nil), false},
		{"a later one that doesn't name the accepted one", true, firstView(1, []Member{a, d}, nil), second, false},
		{"a third that forgets the first", true, second,
			firstView(3, []Member{a, b}, []PastChain{{2, second.Chain}}), false},
		{"a third", true, second, firstView(3, []Member{a, b}, []PastChain{past, {2, second.Chain}}), true},
		{"an earlier one", true, second, first, false},
	} {
		config := Config{Self: a, HasDisk: true, FirstStart: one.firstStart, Random: rand.New(rand.NewSource(1))}
		node, _, err := Open(config, 0, nil)
		c.Assert(err, qt.IsNil)
		node.state.genesis = one.held
		c.Check(node.mayConsent(&one.view), qt.Equals, one.want, qt.Commentf(one.name))
	}
}

func TestFounderWaitsForEnoughMembers(t *testing.T) {
	l, members := foundingCluster(t, "a", "b", "c")
	l.found("a", members[:2], 2*time.Second)
	l.c.Assert(l.view("a").Epoch, qt.Equals, uint64(0))
	l.found("a", members, time.Second)
	l.mustChain("a", "a", "b", "c")
}

// TestSilentMemberIsNotDroppedEarly: an attempt of two would have to be given up when one of them is lost.
func TestSilentMemberIsNotDroppedEarly(t *testing.T) {
	l, members := foundingCluster(t, "a", "b", "c")
	l.drop = func(from, _ MemberID, m *Message) bool { return m.Kind == GenesisReply && from == "c" }
	l.found("a", members, 5*time.Second)
	l.c.Assert(l.machines["a"].node.state.genesis.Epoch, qt.Equals, uint64(1))
	l.machines["b"].down = true
	l.start("x", "10.0.0.2", false, 3)
	l.machines["x"].node.SetContacts(members)
	l.drop = nil
	l.found("a", append(slices.Clone(members), Member{"x", "10.0.0.2"}), 8*time.Second)
	l.c.Assert(sorted(identities(l.view("a").Members)), qt.DeepEquals, []MemberID{"a", "c", "x"})
	l.mustWrite("a", 0, 1, "one")
}

// TestConsentThatIsNotDurableDoesNotCount: the founder's disk refuses its own consent.
func TestConsentThatIsNotDurableDoesNotCount(t *testing.T) {
	l, members := foundingCluster(t, "a", "b", "c")
	l.machines["a"].failing = true
	l.do("a", func(n *Node) Effects { return n.Found(l.now, members) })
	l.machines["a"].failing = false
	l.run(2 * time.Second)
	l.mustWrite("a", 0, 1, "one")
	restored, _, err := Open(l.machines["a"].config, l.now, l.machines["a"].records)
	l.c.Assert(err, qt.IsNil)
	l.c.Assert(restored.state.genesis.Epoch, qt.Equals, uint64(1))
}
