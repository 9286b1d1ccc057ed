package chain

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestTimedOutReplicaLeavesTheChainAndRejoinsAtItsTail(t *testing.T) {
	for _, silent := range []MemberID{"a", "b", "c"} {
		tc := newCluster(t, 3, 3)
		tc.mustWrite("a", 0, 1, "one")
		tc.machines[silent].down = true
		tc.run(1500 * time.Millisecond)
		var rest []MemberID
		for _, id := range tc.order {
			if id != silent {
				rest = append(rest, id)
			}
		}
		tc.mustChain(rest[0], rest...)
		tc.mustWrite(rest[1], 1, 2, "two")
		tc.restart(silent)
		tc.run(1500 * time.Millisecond)
		tc.mustChain(silent, append(rest, silent)...)
		tc.mustRead(silent, 2, "two")
		tc.c.Assert(tc.machines[silent].node.state.accepted.Epoch, qt.Equals, tc.view(silent).Epoch)
	}
}

func TestRegisterIsBackWithinASecondAfterAReplicaDies(t *testing.T) {
	for _, dead := range []MemberID{"a", "b", "c"} {
		tc := newCluster(t, 3, 3)
		tc.mustWrite("a", 0, 1, "one")
		other := MemberID("a")
		if dead == other {
			other = "b"
		}
		tc.machines[dead].down = true
		began := tc.now
		for applied := false; !applied; {
			request := tc.propose(other, 1, 2, "two")
			for tc.outcome(other, request) == 0 {
				tc.run(testTick)
			}
			applied = tc.outcome(other, request) == Applied
		}
		tc.c.Logf("%s dead: written after %v", dead, tc.now-began)
		tc.c.Assert(tc.now-began < time.Second, qt.IsTrue)
	}
}

func TestDrainingHeadHandsOverEarly(t *testing.T) {
	tc := newCluster(t, 3, 3)
	tc.mustWrite("a", 0, 1, "one")
	tc.do("a", func(n *Node) Effects { return n.Drain(tc.now) })
	tc.run(400 * time.Millisecond)
	tc.mustChain("a", "b", "c")
	tc.c.Assert(tc.machines["a"].node.InChain(), qt.IsFalse)
	tc.mustWrite("a", 1, 2, "two")
}

// TestDrainingMemberIsDrainedOnceAnotherHasItsState: its replacement has to fetch the state first.
func TestDrainingMemberIsDrainedOnceAnotherHasItsState(t *testing.T) {
	tc := newCluster(t, 4, 3)
	tc.mustWrite("a", 0, 1, "one")
	tc.run(time.Second)
	b := tc.machines["b"].node
	tc.c.Assert(b.Drained(), qt.IsFalse)
	tc.drop = dropKind(Append, "d")
	tc.do("b", func(n *Node) Effects { return n.Drain(tc.now) })
	tc.run(time.Second)
	tc.mustChain("b", "a", "c", "d")
	tc.c.Assert(b.Drained(), qt.IsFalse)
	tc.drop = nil
	tc.run(500 * time.Millisecond)
	tc.c.Assert(b.Drained(), qt.IsTrue)
	tc.c.Assert(string(tc.machines["d"].node.state.accepted.Body), qt.Equals, "one")
}

// TestDrainingMemberWithoutAReplacementIsDrainedOutsideTheChain: its vote is missed, its replica isn't.
func TestDrainingMemberWithoutAReplacementIsDrainedOutsideTheChain(t *testing.T) {
	tc := newCluster(t, 3, 3)
	tc.mustWrite("a", 0, 1, "one")
	for _, id := range []MemberID{"b", "c"} {
		tc.do(id, func(n *Node) Effects { return n.Drain(tc.now) })
		tc.run(time.Second)
	}
	tc.c.Assert(tc.machines["b"].node.Drained(), qt.IsTrue)
	tc.c.Assert(tc.machines["c"].node.Drained(), qt.IsFalse) // a would be alone
}

func TestDrainingReplicaStaysIfItIsNeeded(t *testing.T) {
	tc := newCluster(t, 3, 3)
	tc.machines["c"].down = true
	tc.run(1500 * time.Millisecond)
	tc.do("b", func(n *Node) Effects { return n.Drain(tc.now) })
	tc.run(time.Second)
	tc.mustChain("a", "a", "b")
	tc.mustWrite("a", 0, 1, "one")
}

func TestWipedMachineReplacesItselfUnderItsNewIdentity(t *testing.T) {
	tc := newCluster(t, 3, 3)
	tc.mustWrite("a", 0, 1, "one")
	tc.machines["b"].down = true
	tc.run(50 * time.Millisecond)
	tc.start("x", "10.0.0.2", false, 3)
	tc.machines["x"].node.SetContacts([]Member{{"a", "10.0.0.1"}, {"c", "10.0.0.3"}})
	tc.run(1200 * time.Millisecond)
	tc.c.Assert(memberIDs(tc.view("x").Members), qt.DeepEquals, []MemberID{"a", "x", "c"})
	tc.mustChain("x", "a", "c", "x")
	tc.mustRead("x", 1, "one")
	tc.mustWrite("x", 1, 2, "two")
}

func TestCandidateReplacesAMemberThatIsUnavailableForLong(t *testing.T) {
	tc := newCluster(t, 4, 3)
	tc.mustWrite("a", 0, 1, "one")
	tc.run(2 * time.Second)
	tc.c.Assert(tc.view("d").isMember("d"), qt.IsFalse) // all members are there
	tc.machines["a"].down = true
	tc.run(1100 * time.Millisecond)
	tc.c.Assert(tc.view("d").isMember("d"), qt.IsFalse)
	tc.run(900 * time.Millisecond)
	tc.c.Assert(memberIDs(tc.view("d").Members), qt.DeepEquals, []MemberID{"d", "b", "c"})
	tc.mustChain("d", "b", "c", "d")
	tc.restart("a")
	tc.run(2 * time.Second)
	tc.c.Assert(tc.view("a").isMember("a"), qt.IsFalse) // a former member waits as a candidate
	tc.mustRead("a", 1, "one")
}

func TestMembersGrowUpToTheTarget(t *testing.T) {
	tc := newCluster(t, 3, 3)
	for _, id := range tc.order {
		tc.machines[id].config.TargetMembers = 4
		tc.restart(id)
	}
	tc.start("d", "10.0.0.4", false, 4)
	tc.machines["d"].node.SetContacts([]Member{{"a", "10.0.0.1"}})
	tc.start("e", "10.0.0.5", false, 4)
	tc.machines["e"].node.SetContacts([]Member{{"a", "10.0.0.1"}})
	tc.run(3 * time.Second)
	tc.c.Assert(memberIDs(tc.view("a").Members), qt.DeepEquals, []MemberID{"a", "b", "c", "d"})
	tc.mustChain("a", "a", "b", "c", "d")
}

func TestNoViewWithoutAMajority(t *testing.T) {
	tc := newCluster(t, 3, 3)
	tc.mustWrite("a", 0, 1, "one")
	tc.drop = partition([]MemberID{"a"}, []MemberID{"b", "c"})
	tc.machines["c"].down = true
	tc.run(5 * time.Second)
	for _, id := range tc.order {
		tc.c.Assert(tc.view(id).Epoch, qt.Equals, uint64(1))
	}
	write := tc.propose("b", 1, 2, "two")
	tc.run(3 * time.Second)
	tc.c.Assert(tc.outcome("b", write), qt.Equals, Unavailable)
	tc.drop = nil
	tc.run(2 * time.Second)
	tc.mustRead("b", 1, "one")
}

func TestOneWayPartitionDoesNotLetViewsFlap(t *testing.T) {
	for _, pair := range [][2]MemberID{{"a", "b"}, {"b", "a"}, {"b", "c"}, {"c", "a"}, {"a", "c"}} {
		tc := newCluster(t, 3, 3)
		tc.mustWrite("a", 0, 1, "one")
		tc.drop = func(from, to MemberID, _ *Message) bool { return from == pair[0] && to == pair[1] }
		tc.run(3 * time.Second)
		epoch := tc.view("c").Epoch
		tc.c.Assert(epoch <= 3, qt.IsTrue, qt.Commentf("%v: epoch %d", pair, epoch))
		tc.run(5 * time.Second)
		tc.c.Assert(tc.view("c").Epoch, qt.Equals, epoch)
		head := tc.view("c").head()
		tc.mustWrite(head, 1, 2, "two")
		tc.drop = nil
		tc.run(2 * time.Second)
		tc.c.Assert(tc.view("c").Chain, qt.HasLen, 3)
	}
}

func TestUnopenedEpochIsSealedAndItsSourcesGoOn(t *testing.T) {
	tc := newCluster(t, 3, 3)
	tc.mustWrite("a", 0, 1, "one")
	tc.machines["c"].down = true
	tc.run(1500 * time.Millisecond)
	tc.mustWrite("a", 1, 2, "two") // a and b have accepted it
	// b is isolated, c rejoins, and the view of a and c never opens as a's disk is lost.
	tc.drop = func(from, to MemberID, m *Message) bool {
		return from == "b" || to == "b" || m.Kind == Append && to == "c"
	}
	tc.restart("c")
	tc.run(1500 * time.Millisecond)
	tc.mustChain("c", "a", "c")
	tc.machines["a"].down = true
	tc.drop = nil
	tc.run(4 * time.Second)
	tc.mustChain("c", "b", "c")
	tc.mustRead("c", 2, "two")
	tc.mustWrite("c", 2, 3, "three")
}

func TestFullDiskAcknowledgesNothingAndLeavesTheChain(t *testing.T) {
	for _, full := range []MemberID{"a", "b", "c"} {
		tc := newCluster(t, 3, 3)
		tc.mustWrite("a", 0, 1, "one")
		tc.machines[full].failing = true
		write := tc.propose("a", 1, 2, "two")
		tc.run(3 * time.Second)
		other := MemberID("b")
		if full == other {
			other = "c"
		}
		tc.c.Assert(tc.view(other).inChain(full), qt.IsFalse)
		if full == "a" {
			tc.c.Assert(tc.outcome("a", write), qt.Equals, Unavailable)
			tc.mustWrite("b", 1, 2, "two")
		}
		tc.mustRead(other, 2, "two")
		tc.machines[full].failing = false
		tc.run(2 * time.Second)
		tc.c.Assert(tc.view("a").inChain(full), qt.IsTrue)
		tc.mustWrite("a", 2, 3, "three")
	}
}

func TestDuelOfProposersEnds(t *testing.T) {
	tc := newCluster(t, 3, 3)
	tc.machines["c"].down = true
	for tc.view("a").Epoch == 1 && tc.now < time.Minute {
		tc.run(testTick)
		for _, id := range []MemberID{"a", "b"} {
			n := tc.machines[id].node
			if n.proposer.planned.Epoch == 2 && n.proposer.phase == phaseIdle && tc.now >= n.proposer.backoffUntil {
				tc.do(id, func(n *Node) Effects { n.begin(tc.now); n.prepare(); return n.finish() })
			}
		}
		tc.c.Assert(tc.now < 10*time.Second, qt.IsTrue)
	}
	tc.run(time.Second)
	tc.mustChain("b", "a", "b")
}

func TestAcceptorKeepsItsPromisesAcrossARestart(t *testing.T) {
	tc := newCluster(t, 3, 3)
	chosen := View{Epoch: 2, Members: tc.view("b").Members, Chain: []MemberID{"b", "a", "c"}}
	tc.do("b", func(n *Node) Effects {
		return n.Receive(tc.now, Message{Kind: Accept, From: "a", Epoch: 1, ProposalNumber: ProposalNumber{3,
			"a"}, View: chosen})
	})
	tc.restart("b")
	b := tc.machines["b"].node
	early := b.Receive(tc.now, Message{Kind: Prepare, From: "c", Epoch: 1, ProposalNumber: ProposalNumber{2,
		"c"}})
	tc.c.Assert(kinds(early), qt.DeepEquals, []Kind{Nack})
	late := b.Receive(tc.now, Message{Kind: Prepare, From: "c", Epoch: 1, ProposalNumber: ProposalNumber{4,
		"c"}})
	tc.c.Assert(kinds(late), qt.DeepEquals, []Kind{PrepareReply})
	tc.c.Assert(late.Messages[0].Message.AcceptedNumber, qt.Equals, ProposalNumber{3, "a"})
	tc.c.Assert(late.Messages[0].Message.View, qt.DeepEquals, chosen)
	tc.c.Assert(late.Persist, qt.HasLen, 1)
}

func TestAcceptedViewIsProposedAgain(t *testing.T) {
	tc := newCluster(t, 3, 3)
	b := tc.machines["b"].node
	chosen := View{Epoch: 2, Members: tc.view("b").Members, Chain: []MemberID{"b", "a", "c"}}
	b.Receive(tc.now, Message{Kind: Accept, From: "a", Epoch: 1, ProposalNumber: ProposalNumber{1, "a"},
		View: chosen})
	tc.machines["c"].down = true
	tc.run(2 * time.Second)
	tc.c.Assert(tc.view("a").Epoch > 2, qt.IsTrue)
	tc.mustChain("a", "b", "a")
}

// TestAcceptedViewIsDecidedThoughNoPlannerWantsIt: a view that one acceptor has accepted names a candidate
// whose disk is lost then. It is decided, the candidate is replaced, and the loss of another disk is
// tolerated.
func TestAcceptedViewIsDecidedThoughNoPlannerWantsIt(t *testing.T) {
	for _, lost := range []MemberID{"a", "b"} {
		tc := newCluster(t, 4, 3)
		tc.mustWrite("a", 0, 1, "one")
		tc.run(time.Second)
		members := []Member{{"a", "10.0.0.1"}, {"b", "10.0.0.2"}, {"d", "10.0.0.4"}}
		chosen := View{Epoch: 2, Members: members, Chain: []MemberID{"a", "b", "d"}, Fresh: []MemberID{"d"},
			Sources: []MemberID{"a", "b"}}
		tc.do("b", func(n *Node) Effects {
			return n.Receive(tc.now, Message{Kind: Accept, From: "a", Epoch: 1, ProposalNumber: ProposalNumber{1,
				"a"}, View: chosen})
		})
		tc.machines["d"].down = true
		tc.start("x", "10.0.0.4", false, 3)
		tc.machines["x"].node.SetContacts([]Member{{"a", "10.0.0.1"}, {"c", "10.0.0.3"}})
		tc.run(3 * time.Second)
		tc.c.Assert(tc.view("c").Epoch > 2, qt.IsTrue)
		tc.c.Assert(tc.view("c").isMember("d"), qt.IsFalse)
		tc.machines[lost].down = true
		tc.run(2 * time.Second)
		tc.mustRead("c", 1, "one")
		tc.mustWrite("c", 1, 2, "two")
	}
}

// TestMemberNeverSeenIsReplacedByAnotherAtItsAddress: the replacement need not wait for ReplaceAfter.
func TestMemberNeverSeenIsReplacedByAnotherAtItsAddress(t *testing.T) {
	tc := newCluster(t, 3, 3)
	a := tc.machines["a"].node
	tc.start("x", "10.0.0.4", false, 3)
	tc.machines["x"].node.SetContacts([]Member{{"a", "10.0.0.1"}})
	tc.run(2 * time.Second)
	view := tc.view("a")
	view.Epoch, view.Members = 2, []Member{{"a", "10.0.0.1"}, {"b", "10.0.0.2"}, {"d", "10.0.0.4"}}
	a.Receive(tc.now, Message{Kind: ViewNotice, View: view})
	heartbeat := tc.machines["x"].node.heartbeat()
	heartbeat.From, heartbeat.Epoch, heartbeat.ReceivesFrom = "x", 2, []MemberID{"a", "b", "c"}
	a.Receive(tc.now, heartbeat)
	next, ok := Plan(view, a.observe(), a.rules())
	tc.c.Assert(ok, qt.IsTrue)
	tc.c.Assert(memberIDs(next.Members), qt.DeepEquals, []MemberID{"a", "b", "x"})
}

// TestProcessStallIsCompensatedOnlyForMembers: a node that had timed out before, or is not a member, isn't
// taken for a live one.
func TestProcessStallIsCompensatedOnlyForMembers(t *testing.T) {
	tc := newCluster(t, 4, 3)
	tc.run(2 * time.Second)
	tc.machines["c"].down = true
	tc.run(time.Second)
	tc.machines["a"].down, tc.machines["b"].down, tc.machines["d"].down = true, true, true
	tc.run(3 * time.Second)
	a := tc.machines["a"].node
	a.Tick(tc.now)
	rules := a.rules()
	p := planner{view: &a.state.view, observed: a.observe(), rules: rules}
	tc.c.Assert(p.seenDirectly("b"), qt.IsTrue)
	tc.c.Assert(p.seenDirectly("c"), qt.IsFalse)
	tc.c.Assert(p.seenDirectly("d"), qt.IsFalse)
}

// TestDrainingMemberWaitsForItsReplacement: it votes until its replacement does.
func TestDrainingMemberWaitsForItsReplacement(t *testing.T) {
	tc := newCluster(t, 3, 3)
	tc.mustWrite("a", 0, 1, "one")
	tc.start("d", "10.0.0.4", false, 3)
	tc.machines["d"].node.SetContacts([]Member{{"a", "10.0.0.1"}, {"b", "10.0.0.2"}, {"c", "10.0.0.3"}})
	tc.do("b", func(n *Node) Effects { return n.Drain(tc.now) })
	b := tc.machines["b"].node
	for tc.view("b").inChain("b") || tc.view("b").Epoch == 1 {
		tc.run(testTick)
	}
	tc.run(150 * time.Millisecond)
	tc.c.Assert(b.peers[tc.view("b").head()].heartbeat.Open, qt.IsTrue)
	tc.c.Assert(tc.view("b").isMember("b"), qt.IsTrue)
	tc.c.Assert(b.Drained(), qt.IsFalse)
	tc.run(time.Second)
	tc.c.Assert(tc.view("b").isMember("d"), qt.IsTrue)
	tc.c.Assert(b.Drained(), qt.IsTrue)
}

// TestReplicaThatReceivesNothingIsLeftOut: nothing reaches it any more before it learns of a view in whose
// chain it is, so that its last report is of the epoch before and says that it receives from all.
func TestReplicaThatReceivesNothingIsLeftOut(t *testing.T) {
	tc := newCluster(t, 5, 5)
	tc.mustWrite("a", 0, 1, "one")
	deaf := false
	tc.drop = func(_, to MemberID, m *Message) bool {
		deaf = deaf || m.Kind == Accept
		return deaf && to == "c"
	}
	tc.machines["e"].down = true
	tc.run(time.Second)
	tc.run(2 * time.Second)
	tc.c.Assert(tc.view("c").Epoch, qt.Equals, uint64(1))
	tc.mustChain("a", "a", "b", "d")
	tc.mustWrite("b", 1, 2, "two")
	tc.drop = nil
	tc.run(2 * time.Second)
	tc.mustRead("c", 2, "two")
	tc.mustChain("c", "a", "b", "d", "c")
}
