package chain

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSilentReplicaLeavesTheChainAndComesBackAtItsEnd(t *testing.T) {
	for _, silent := range []MemberID{"a", "b", "c"} {
		l := newCluster(t, 3, 3)
		l.mustWrite("a", 0, 1, "one")
		l.machines[silent].down = true
		l.run(1500 * time.Millisecond)
		var rest []MemberID
		for _, id := range l.order {
			if id != silent {
				rest = append(rest, id)
			}
		}
		l.mustChain(rest[0], rest...)
		l.mustWrite(rest[1], 1, 2, "two")
		l.restart(silent)
		l.run(1500 * time.Millisecond)
		l.mustChain(silent, append(rest, silent)...)
		l.mustRead(silent, 2, "two")
		l.c.Assert(l.machines[silent].node.state.held.Epoch, qt.Equals, l.view(silent).Epoch)
	}
}

func TestRegisterIsBackWithinASecondAfterAReplicaDies(t *testing.T) {
	for _, dead := range []MemberID{"a", "b", "c"} {
		l := newCluster(t, 3, 3)
		l.mustWrite("a", 0, 1, "one")
		other := MemberID("a")
		if dead == other {
			other = "b"
		}
		l.machines[dead].down = true
		began := l.now
		for applied := false; !applied; {
			request := l.propose(other, 1, 2, "two")
			for l.outcome(other, request) == 0 {
				l.run(testTick)
			}
			applied = l.outcome(other, request) == Applied
		}
		l.c.Logf("%s dead: written after %v", dead, l.now-began)
		l.c.Assert(l.now-began < time.Second, qt.IsTrue)
	}
}

func TestLeavingHeadHandsOverEarly(t *testing.T) {
	l := newCluster(t, 3, 3)
	l.mustWrite("a", 0, 1, "one")
	l.do("a", func(n *Node) Effects { return n.Leave(l.now) })
	l.run(400 * time.Millisecond)
	l.mustChain("a", "b", "c")
	l.c.Assert(l.machines["a"].node.InChain(), qt.IsFalse)
	l.mustWrite("a", 1, 2, "two")
}

// TestLeavingMemberMayStopOnceAnotherHoldsItsState: the one in its place has to copy the state first.
func TestLeavingMemberMayStopOnceAnotherHoldsItsState(t *testing.T) {
	l := newCluster(t, 4, 3)
	l.mustWrite("a", 0, 1, "one")
	l.run(time.Second)
	b := l.machines["b"].node
	l.c.Assert(b.MayStop(), qt.IsFalse)
	l.drop = loseKind(Append, "d")
	l.do("b", func(n *Node) Effects { return n.Leave(l.now) })
	l.run(time.Second)
	l.mustChain("b", "a", "c", "d")
	l.c.Assert(b.MayStop(), qt.IsFalse)
	l.drop = nil
	l.run(500 * time.Millisecond)
	l.c.Assert(b.MayStop(), qt.IsTrue)
	l.c.Assert(string(l.machines["d"].node.state.held.Body), qt.Equals, "one")
}

// TestLeavingMemberWithoutASuccessorMayStopOutsideTheChain: its vote is missed, its copy isn't.
func TestLeavingMemberWithoutASuccessorMayStopOutsideTheChain(t *testing.T) {
	l := newCluster(t, 3, 3)
	l.mustWrite("a", 0, 1, "one")
	for _, id := range []MemberID{"b", "c"} {
		l.do(id, func(n *Node) Effects { return n.Leave(l.now) })
		l.run(time.Second)
	}
	l.c.Assert(l.machines["b"].node.MayStop(), qt.IsTrue)
	l.c.Assert(l.machines["c"].node.MayStop(), qt.IsFalse) // a would be alone
}

func TestLeavingReplicaStaysIfItIsNeeded(t *testing.T) {
	l := newCluster(t, 3, 3)
	l.machines["c"].down = true
	l.run(1500 * time.Millisecond)
	l.do("b", func(n *Node) Effects { return n.Leave(l.now) })
	l.run(time.Second)
	l.mustChain("a", "a", "b")
	l.mustWrite("a", 0, 1, "one")
}

func TestWipedMachineReplacesItselfUnderItsNewIdentity(t *testing.T) {
	l := newCluster(t, 3, 3)
	l.mustWrite("a", 0, 1, "one")
	l.machines["b"].down = true
	l.run(50 * time.Millisecond)
	l.start("x", "10.0.0.2", false, 3)
	l.machines["x"].node.SetContacts([]Member{{"a", "10.0.0.1"}, {"c", "10.0.0.3"}})
	l.run(1200 * time.Millisecond)
	l.c.Assert(identities(l.view("x").Members), qt.DeepEquals, []MemberID{"a", "x", "c"})
	l.mustChain("x", "a", "c", "x")
	l.mustRead("x", 1, "one")
	l.mustWrite("x", 1, 2, "two")
}

func TestCandidateReplacesAMemberThatIsGoneForLong(t *testing.T) {
	l := newCluster(t, 4, 3)
	l.mustWrite("a", 0, 1, "one")
	l.run(2 * time.Second)
	l.c.Assert(l.view("d").isMember("d"), qt.IsFalse) // all members are there
	l.machines["a"].down = true
	l.run(1100 * time.Millisecond)
	l.c.Assert(l.view("d").isMember("d"), qt.IsFalse)
	l.run(900 * time.Millisecond)
	l.c.Assert(identities(l.view("d").Members), qt.DeepEquals, []MemberID{"d", "b", "c"})
	l.mustChain("d", "b", "c", "d")
	l.restart("a")
	l.run(2 * time.Second)
	l.c.Assert(l.view("a").isMember("a"), qt.IsFalse) // a former member waits as a candidate
	l.mustRead("a", 1, "one")
}

func TestMembersGrowUpToTheTarget(t *testing.T) {
	l := newCluster(t, 3, 3)
	for _, id := range l.order {
		l.machines[id].config.TargetMembers = 4
		l.restart(id)
	}
	l.start("d", "10.0.0.4", false, 4)
	l.machines["d"].node.SetContacts([]Member{{"a", "10.0.0.1"}})
	l.start("e", "10.0.0.5", false, 4)
	l.machines["e"].node.SetContacts([]Member{{"a", "10.0.0.1"}})
	l.run(3 * time.Second)
	l.c.Assert(identities(l.view("a").Members), qt.DeepEquals, []MemberID{"a", "b", "c", "d"})
	l.mustChain("a", "a", "b", "c", "d")
}

func TestNoViewWithoutAMajority(t *testing.T) {
	l := newCluster(t, 3, 3)
	l.mustWrite("a", 0, 1, "one")
	l.drop = cut([]MemberID{"a"}, []MemberID{"b", "c"})
	l.machines["c"].down = true
	l.run(5 * time.Second)
	for _, id := range l.order {
		l.c.Assert(l.view(id).Epoch, qt.Equals, uint64(1))
	}
	write := l.propose("b", 1, 2, "two")
	l.run(3 * time.Second)
	l.c.Assert(l.outcome("b", write), qt.Equals, Unavailable)
	l.drop = nil
	l.run(2 * time.Second)
	l.mustRead("b", 1, "one")
}

func TestOneWayCutDoesNotLetViewsFlap(t *testing.T) {
	for _, pair := range [][2]MemberID{{"a", "b"}, {"b", "a"}, {"b", "c"}, {"c", "a"}, {"a", "c"}} {
		l := newCluster(t, 3, 3)
		l.mustWrite("a", 0, 1, "one")
		l.drop = func(from, to MemberID, _ *Message) bool { return from == pair[0] && to == pair[1] }
		l.run(3 * time.Second)
		epoch := l.view("c").Epoch
		l.c.Assert(epoch <= 3, qt.IsTrue, qt.Commentf("%v: epoch %d", pair, epoch))
		l.run(5 * time.Second)
		l.c.Assert(l.view("c").Epoch, qt.Equals, epoch)
		head := l.view("c").head()
		l.mustWrite(head, 1, 2, "two")
		l.drop = nil
		l.run(2 * time.Second)
		l.c.Assert(l.view("c").Chain, qt.HasLen, 3)
	}
}

func TestUnopenedEpochIsSealedAndItsSourcesGoOn(t *testing.T) {
	l := newCluster(t, 3, 3)
	l.mustWrite("a", 0, 1, "one")
	l.machines["c"].down = true
	l.run(1500 * time.Millisecond)
	l.mustWrite("a", 1, 2, "two") // a and b hold it
	// b is cut off, c comes back, and the view of a and c never opens as a's disk is lost.
	l.drop = func(from, to MemberID, m *Message) bool {
		return from == "b" || to == "b" || m.Kind == Append && to == "c"
	}
	l.restart("c")
	l.run(1500 * time.Millisecond)
	l.mustChain("c", "a", "c")
	l.machines["a"].down = true
	l.drop = nil
	l.run(4 * time.Second)
	l.mustChain("c", "b", "c")
	l.mustRead("c", 2, "two")
	l.mustWrite("c", 2, 3, "three")
}

func TestFullDiskClaimsNothingAndLeavesTheChain(t *testing.T) {
	for _, full := range []MemberID{"a", "b", "c"} {
		l := newCluster(t, 3, 3)
		l.mustWrite("a", 0, 1, "one")
		l.machines[full].failing = true
		write := l.propose("a", 1, 2, "two")
		l.run(3 * time.Second)
		other := MemberID("b")
		if full == other {
			other = "c"
		}
		l.c.Assert(l.view(other).inChain(full), qt.IsFalse)
		if full == "a" {
			l.c.Assert(l.outcome("a", write), qt.Equals, Unavailable)
			l.mustWrite("b", 1, 2, "two")
		}
		l.mustRead(other, 2, "two")
		l.machines[full].failing = false
		l.run(2 * time.Second)
		l.c.Assert(l.view("a").inChain(full), qt.IsTrue)
		l.mustWrite("a", 2, 3, "three")
	}
}

func TestDuelOfProposersEnds(t *testing.T) {
	l := newCluster(t, 3, 3)
	l.machines["c"].down = true
	for l.view("a").Epoch == 1 && l.now < time.Minute {
		l.run(testTick)
		for _, id := range []MemberID{"a", "b"} {
			n := l.machines[id].node
			if n.proposing.wanted.Epoch == 2 && n.proposing.phase == idle && l.now >= n.proposing.notBefore {
				l.do(id, func(n *Node) Effects { n.begin(l.now); n.prepare(); return n.finish() })
			}
		}
		l.c.Assert(l.now < 10*time.Second, qt.IsTrue)
	}
	l.run(time.Second)
	l.mustChain("b", "a", "b")
}

func TestAcceptorKeepsItsPromisesOverARestart(t *testing.T) {
	l := newCluster(t, 3, 3)
	chosen := View{Epoch: 2, Members: l.view("b").Members, Chain: []MemberID{"b", "a", "c"}}
	l.do("b", func(n *Node) Effects {
		return n.Receive(l.now, Message{Kind: Accept, From: "a", Epoch: 1, Ballot: Ballot{3, "a"}, View: chosen})
	})
	l.restart("b")
	b := l.machines["b"].node
	early := b.Receive(l.now, Message{Kind: Prepare, From: "c", Epoch: 1, Ballot: Ballot{2, "c"}})
	l.c.Assert(kinds(early), qt.DeepEquals, []Kind{Nack})
	late := b.Receive(l.now, Message{Kind: Prepare, From: "c", Epoch: 1, Ballot: Ballot{4, "c"}})
	l.c.Assert(kinds(late), qt.DeepEquals, []Kind{Promise})
	l.c.Assert(late.Messages[0].Message.AcceptedBallot, qt.Equals, Ballot{3, "a"})
	l.c.Assert(late.Messages[0].Message.View, qt.DeepEquals, chosen)
	l.c.Assert(late.Persist, qt.HasLen, 1)
}

func TestAcceptedViewIsProposedAgain(t *testing.T) {
	l := newCluster(t, 3, 3)
	b := l.machines["b"].node
	chosen := View{Epoch: 2, Members: l.view("b").Members, Chain: []MemberID{"b", "a", "c"}}
	b.Receive(l.now, Message{Kind: Accept, From: "a", Epoch: 1, Ballot: Ballot{1, "a"}, View: chosen})
	l.machines["c"].down = true
	l.run(2 * time.Second)
	l.c.Assert(l.view("a").Epoch > 2, qt.IsTrue)
	l.mustChain("a", "b", "a")
}

// TestAcceptedViewIsFinishedThoughNobodyWantsIt: a view that one acceptor has accepted names a candidate
// whose disk is lost then. It is decided, the candidate is replaced, and the loss of another disk can be
// borne.
func TestAcceptedViewIsFinishedThoughNobodyWantsIt(t *testing.T) {
	for _, lost := range []MemberID{"a", "b"} {
		l := newCluster(t, 4, 3)
		l.mustWrite("a", 0, 1, "one")
		l.run(time.Second)
		members := []Member{{"a", "10.0.0.1"}, {"b", "10.0.0.2"}, {"d", "10.0.0.4"}}
		chosen := View{Epoch: 2, Members: members, Chain: []MemberID{"a", "b", "d"}, Fresh: []MemberID{"d"},
			Sources: []MemberID{"a", "b"}}
		l.do("b", func(n *Node) Effects {
			return n.Receive(l.now, Message{Kind: Accept, From: "a", Epoch: 1, Ballot: Ballot{1, "a"}, View: chosen})
		})
		l.machines["d"].down = true
		l.start("x", "10.0.0.4", false, 3)
		l.machines["x"].node.SetContacts([]Member{{"a", "10.0.0.1"}, {"c", "10.0.0.3"}})
		l.run(3 * time.Second)
		l.c.Assert(l.view("c").Epoch > 2, qt.IsTrue)
		l.c.Assert(l.view("c").isMember("d"), qt.IsFalse)
		l.machines[lost].down = true
		l.run(2 * time.Second)
		l.mustRead("c", 1, "one")
		l.mustWrite("c", 1, 2, "two")
	}
}

// TestMemberThatWasNeverHeardIsGoneIfAnotherHasItsAddress: who joins late replaces it at once.
func TestMemberThatWasNeverHeardIsGoneIfAnotherHasItsAddress(t *testing.T) {
	l := newCluster(t, 3, 3)
	a := l.machines["a"].node
	l.start("x", "10.0.0.4", false, 3)
	l.machines["x"].node.SetContacts([]Member{{"a", "10.0.0.1"}})
	l.run(2 * time.Second)
	view := l.view("a")
	view.Epoch, view.Members = 2, []Member{{"a", "10.0.0.1"}, {"b", "10.0.0.2"}, {"d", "10.0.0.4"}}
	a.Receive(l.now, Message{Kind: ViewNotice, View: view})
	told := l.machines["x"].node.heartbeat()
	told.From, told.Epoch, told.Hears = "x", 2, []MemberID{"a", "b", "c"}
	a.Receive(l.now, told)
	next, found := Plan(view, a.observe(), a.rules())
	l.c.Assert(found, qt.IsTrue)
	l.c.Assert(identities(next.Members), qt.DeepEquals, []MemberID{"a", "b", "x"})
}

// TestOwnPauseForgivesOnlyMembers: who was silent before, or is no member, isn't taken to be there.
func TestOwnPauseForgivesOnlyMembers(t *testing.T) {
	l := newCluster(t, 4, 3)
	l.run(2 * time.Second)
	l.machines["c"].down = true
	l.run(time.Second)
	l.machines["a"].down, l.machines["b"].down, l.machines["d"].down = true, true, true
	l.run(3 * time.Second)
	a := l.machines["a"].node
	a.Tick(l.now)
	rules := a.rules()
	p := planner{view: &a.state.view, seen: a.observe(), rules: rules}
	l.c.Assert(p.directly("b"), qt.IsTrue)
	l.c.Assert(p.directly("c"), qt.IsFalse)
	l.c.Assert(p.directly("d"), qt.IsFalse)
}

// TestLeavingMemberWaitsForTheCandidateInItsPlace: it votes until another does.
func TestLeavingMemberWaitsForTheCandidateInItsPlace(t *testing.T) {
	l := newCluster(t, 3, 3)
	l.mustWrite("a", 0, 1, "one")
	l.start("d", "10.0.0.4", false, 3)
	l.machines["d"].node.SetContacts([]Member{{"a", "10.0.0.1"}, {"b", "10.0.0.2"}, {"c", "10.0.0.3"}})
	l.do("b", func(n *Node) Effects { return n.Leave(l.now) })
	b := l.machines["b"].node
	for l.view("b").inChain("b") || l.view("b").Epoch == 1 {
		l.run(testTick)
	}
	l.run(150 * time.Millisecond)
	l.c.Assert(b.peers[l.view("b").head()].heartbeat.Open, qt.IsTrue)
	l.c.Assert(l.view("b").isMember("b"), qt.IsTrue)
	l.c.Assert(b.MayStop(), qt.IsFalse)
	l.run(time.Second)
	l.c.Assert(l.view("b").isMember("d"), qt.IsTrue)
	l.c.Assert(b.MayStop(), qt.IsTrue)
}

// TestReplicaThatNothingReachesIsLeftOut: it goes deaf before it learns of a view in whose chain it is, so
// that its last report is from the epoch before and says that it hears all.
func TestReplicaThatNothingReachesIsLeftOut(t *testing.T) {
	l := newCluster(t, 5, 5)
	l.mustWrite("a", 0, 1, "one")
	deaf := false
	l.drop = func(_, to MemberID, m *Message) bool {
		deaf = deaf || m.Kind == Accept
		return deaf && to == "c"
	}
	l.machines["e"].down = true
	l.run(time.Second)
	l.run(2 * time.Second)
	l.c.Assert(l.view("c").Epoch, qt.Equals, uint64(1))
	l.mustChain("a", "a", "b", "d")
	l.mustWrite("b", 1, 2, "two")
	l.drop = nil
	l.run(2 * time.Second)
	l.mustRead("c", 2, "two")
	l.mustChain("c", "a", "b", "d", "c")
}
