package chain

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestTimedOutReplicaLeavesTheChainAndRejoinsAtItsTail(t *testing.T) {
	for _, silent := range []MemberID{"a", "b", "c"} {
		cluster := newCluster(t, 3, 3)
		cluster.mustWrite("a", 0, 1, "one")
		cluster.machines[silent].down = true
		cluster.run(1500 * time.Millisecond)
		var rest []MemberID
		for _, id := range cluster.order {
			if id != silent {
				rest = append(rest, id)
			}
		}
		cluster.mustChain(rest[0], rest...)
		cluster.mustWrite(rest[1], 1, 2, "two")
		cluster.restart(silent)
		cluster.run(1500 * time.Millisecond)
		cluster.mustChain(silent, append(rest, silent)...)
		cluster.mustRead(silent, 2, "two")
		cluster.c.Assert(cluster.machines[silent].node.state.accepted.Epoch, qt.Equals, cluster.view(silent).Epoch)
	}
}

func TestRegisterIsBackWithinASecondAfterAReplicaDies(t *testing.T) {
	for _, dead := range []MemberID{"a", "b", "c"} {
		cluster := newCluster(t, 3, 3)
		cluster.mustWrite("a", 0, 1, "one")
		other := MemberID("a")
		if dead == other {
			other = "b"
		}
		cluster.machines[dead].down = true
		began := cluster.now
		for applied := false; !applied; {
			request := cluster.propose(other, 1, 2, "two")
			for cluster.outcome(other, request) == 0 {
				cluster.run(testTick)
			}
			applied = cluster.outcome(other, request) == Applied
		}
		cluster.c.Logf("%s dead: written after %v", dead, cluster.now-began)
		cluster.c.Assert(cluster.now-began < time.Second, qt.IsTrue)
	}
}

func TestDrainingHeadHandsOverEarly(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.mustWrite("a", 0, 1, "one")
	cluster.do("a", func(n *Node) Effects { return n.Drain(cluster.now) })
	cluster.run(400 * time.Millisecond)
	cluster.mustChain("a", "b", "c")
	cluster.c.Assert(cluster.machines["a"].node.InChain(), qt.IsFalse)
	cluster.mustWrite("a", 1, 2, "two")
}

// TestDrainingMemberIsDrainedOnceAnotherHasItsState: its replacement has to fetch the state first.
func TestDrainingMemberIsDrainedOnceAnotherHasItsState(t *testing.T) {
	cluster := newCluster(t, 4, 3)
	cluster.mustWrite("a", 0, 1, "one")
	cluster.run(time.Second)
	b := cluster.machines["b"].node
	cluster.c.Assert(b.Drained(), qt.IsFalse)
	cluster.drop = dropKind(Append, "d")
	cluster.do("b", func(n *Node) Effects { return n.Drain(cluster.now) })
	cluster.run(time.Second)
	cluster.mustChain("b", "a", "c", "d")
	cluster.c.Assert(b.Drained(), qt.IsFalse)
	cluster.drop = nil
	cluster.run(500 * time.Millisecond)
	cluster.c.Assert(b.Drained(), qt.IsTrue)
	cluster.c.Assert(string(cluster.machines["d"].node.state.accepted.Body), qt.Equals, "one")
}

// TestDrainingMemberWithoutAReplacementIsDrainedOutsideTheChain: its vote is missed, its replica isn't.
func TestDrainingMemberWithoutAReplacementIsDrainedOutsideTheChain(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.mustWrite("a", 0, 1, "one")
	for _, id := range []MemberID{"b", "c"} {
		cluster.do(id, func(n *Node) Effects { return n.Drain(cluster.now) })
		cluster.run(time.Second)
	}
	cluster.c.Assert(cluster.machines["b"].node.Drained(), qt.IsTrue)
	cluster.c.Assert(cluster.machines["c"].node.Drained(), qt.IsFalse) // a would be alone
}

func TestDrainingReplicaStaysIfItIsNeeded(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.machines["c"].down = true
	cluster.run(1500 * time.Millisecond)
	cluster.do("b", func(n *Node) Effects { return n.Drain(cluster.now) })
	cluster.run(time.Second)
	cluster.mustChain("a", "a", "b")
	cluster.mustWrite("a", 0, 1, "one")
}

func TestWipedMachineReplacesItselfUnderItsNewIdentity(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.mustWrite("a", 0, 1, "one")
	cluster.machines["b"].down = true
	cluster.run(50 * time.Millisecond)
	cluster.start("x", "10.0.0.2", false, 3)
	cluster.machines["x"].node.SetContacts([]Member{{"a", "10.0.0.1"}, {"c", "10.0.0.3"}})
	cluster.run(1200 * time.Millisecond)
	cluster.c.Assert(memberIDs(cluster.view("x").Members), qt.DeepEquals, []MemberID{"a", "x", "c"})
	cluster.mustChain("x", "a", "c", "x")
	cluster.mustRead("x", 1, "one")
	cluster.mustWrite("x", 1, 2, "two")
}

func TestCandidateReplacesAMemberThatIsUnavailableForLong(t *testing.T) {
	cluster := newCluster(t, 4, 3)
	cluster.mustWrite("a", 0, 1, "one")
	cluster.run(2 * time.Second)
	cluster.c.Assert(cluster.view("d").isMember("d"), qt.IsFalse) // all members are there
	cluster.machines["a"].down = true
	cluster.run(1100 * time.Millisecond)
	cluster.c.Assert(cluster.view("d").isMember("d"), qt.IsFalse)
	cluster.run(900 * time.Millisecond)
	cluster.c.Assert(memberIDs(cluster.view("d").Members), qt.DeepEquals, []MemberID{"d", "b", "c"})
	cluster.mustChain("d", "b", "c", "d")
	cluster.restart("a")
	cluster.run(2 * time.Second)
	cluster.c.Assert(cluster.view("a").isMember("a"), qt.IsFalse) // a former member waits as a candidate
	cluster.mustRead("a", 1, "one")
}

func TestMembersGrowUpToTheTarget(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	for _, id := range cluster.order {
		cluster.machines[id].config.TargetMembers = 4
		cluster.restart(id)
	}
	cluster.start("d", "10.0.0.4", false, 4)
	cluster.machines["d"].node.SetContacts([]Member{{"a", "10.0.0.1"}})
	cluster.start("e", "10.0.0.5", false, 4)
	cluster.machines["e"].node.SetContacts([]Member{{"a", "10.0.0.1"}})
	cluster.run(3 * time.Second)
	cluster.c.Assert(memberIDs(cluster.view("a").Members), qt.DeepEquals, []MemberID{"a", "b", "c", "d"})
	cluster.mustChain("a", "a", "b", "c", "d")
}

func TestNoViewWithoutAMajority(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.mustWrite("a", 0, 1, "one")
	cluster.drop = partition([]MemberID{"a"}, []MemberID{"b", "c"})
	cluster.machines["c"].down = true
	cluster.run(5 * time.Second)
	for _, id := range cluster.order {
		cluster.c.Assert(cluster.view(id).Epoch, qt.Equals, uint64(1))
	}
	write := cluster.propose("b", 1, 2, "two")
	cluster.run(3 * time.Second)
	cluster.c.Assert(cluster.outcome("b", write), qt.Equals, Unavailable)
	cluster.drop = nil
	cluster.run(2 * time.Second)
	cluster.mustRead("b", 1, "one")
}

func TestOneWayPartitionDoesNotLetViewsFlap(t *testing.T) {
	for _, pair := range [][2]MemberID{{"a", "b"}, {"b", "a"}, {"b", "c"}, {"c", "a"}, {"a", "c"}} {
		cluster := newCluster(t, 3, 3)
		cluster.mustWrite("a", 0, 1, "one")
		cluster.drop = func(from, to MemberID, _ *Message) bool { return from == pair[0] && to == pair[1] }
		cluster.run(3 * time.Second)
		epoch := cluster.view("c").Epoch
		cluster.c.Assert(epoch <= 3, qt.IsTrue, qt.Commentf("%v: epoch %d", pair, epoch))
		cluster.run(5 * time.Second)
		cluster.c.Assert(cluster.view("c").Epoch, qt.Equals, epoch)
		head := cluster.view("c").head()
		cluster.mustWrite(head, 1, 2, "two")
		cluster.drop = nil
		cluster.run(2 * time.Second)
		cluster.c.Assert(cluster.view("c").Chain, qt.HasLen, 3)
	}
}

func TestUnopenedEpochIsSealedAndItsSourcesGoOn(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.mustWrite("a", 0, 1, "one")
	cluster.machines["c"].down = true
	cluster.run(1500 * time.Millisecond)
	cluster.mustWrite("a", 1, 2, "two") // a and b have accepted it
	// b is isolated, c rejoins, and the view of a and c never opens as a's disk is lost.
	cluster.drop = func(from, to MemberID, m *Message) bool {
		return from == "b" || to == "b" || m.Kind == Append && to == "c"
	}
	cluster.restart("c")
	cluster.run(1500 * time.Millisecond)
	cluster.mustChain("c", "a", "c")
	cluster.machines["a"].down = true
	cluster.drop = nil
	cluster.run(4 * time.Second)
	cluster.mustChain("c", "b", "c")
	cluster.mustRead("c", 2, "two")
	cluster.mustWrite("c", 2, 3, "three")
}

func TestFullDiskAcknowledgesNothingAndLeavesTheChain(t *testing.T) {
	for _, full := range []MemberID{"a", "b", "c"} {
		cluster := newCluster(t, 3, 3)
		cluster.mustWrite("a", 0, 1, "one")
		cluster.machines[full].failing = true
		write := cluster.propose("a", 1, 2, "two")
		cluster.run(3 * time.Second)
		other := MemberID("b")
		if full == other {
			other = "c"
		}
		cluster.c.Assert(cluster.view(other).inChain(full), qt.IsFalse)
		if full == "a" {
			cluster.c.Assert(cluster.outcome("a", write), qt.Equals, Unavailable)
			cluster.mustWrite("b", 1, 2, "two")
		}
		cluster.mustRead(other, 2, "two")
		cluster.machines[full].failing = false
		cluster.run(2 * time.Second)
		cluster.c.Assert(cluster.view("a").inChain(full), qt.IsTrue)
		cluster.mustWrite("a", 2, 3, "three")
	}
}

func TestDuelOfProposersEnds(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.machines["c"].down = true
	for cluster.view("a").Epoch == 1 && cluster.now < time.Minute {
		cluster.run(testTick)
		for _, id := range []MemberID{"a", "b"} {
			n := cluster.machines[id].node
			if n.proposer.planned.Epoch == 2 && n.proposer.phase == phaseIdle &&
				cluster.now >= n.proposer.backoffUntil {
				cluster.do(id, func(n *Node) Effects { n.begin(cluster.now); n.prepare(); return n.finish() })
			}
		}
		cluster.c.Assert(cluster.now < 10*time.Second, qt.IsTrue)
	}
	cluster.run(time.Second)
	cluster.mustChain("b", "a", "b")
}

func TestAcceptorKeepsItsPromisesAcrossARestart(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	chosen := View{Epoch: 2, Members: cluster.view("b").Members, Chain: []MemberID{"b", "a", "c"}}
	cluster.do("b", func(n *Node) Effects {
		return n.Receive(cluster.now, Message{Kind: Accept, From: "a", Epoch: 1, ProposalNumber: ProposalNumber{3,
			"a"}, View: chosen})
	})
	cluster.restart("b")
	b := cluster.machines["b"].node
	early := b.Receive(cluster.now, Message{Kind: Prepare, From: "c", Epoch: 1, ProposalNumber: ProposalNumber{2,
		"c"}})
	cluster.c.Assert(kinds(early), qt.DeepEquals, []Kind{Nack})
	late := b.Receive(cluster.now, Message{Kind: Prepare, From: "c", Epoch: 1, ProposalNumber: ProposalNumber{4,
		"c"}})
	cluster.c.Assert(kinds(late), qt.DeepEquals, []Kind{PrepareReply})
	cluster.c.Assert(late.Messages[0].Message.AcceptedNumber, qt.Equals, ProposalNumber{3, "a"})
	cluster.c.Assert(late.Messages[0].Message.View, qt.DeepEquals, chosen)
	cluster.c.Assert(late.Persist, qt.HasLen, 1)
}

func TestAcceptedViewIsProposedAgain(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	b := cluster.machines["b"].node
	chosen := View{Epoch: 2, Members: cluster.view("b").Members, Chain: []MemberID{"b", "a", "c"}}
	b.Receive(cluster.now, Message{Kind: Accept, From: "a", Epoch: 1, ProposalNumber: ProposalNumber{1, "a"},
		View: chosen})
	cluster.machines["c"].down = true
	cluster.run(2 * time.Second)
	cluster.c.Assert(cluster.view("a").Epoch > 2, qt.IsTrue)
	cluster.mustChain("a", "b", "a")
}

// TestAcceptedViewIsDecidedThoughNoPlannerWantsIt: a view that one acceptor has accepted names a candidate
// whose disk is lost then. It is decided, the candidate is replaced, and the loss of another disk is
// tolerated.
func TestAcceptedViewIsDecidedThoughNoPlannerWantsIt(t *testing.T) {
	for _, lost := range []MemberID{"a", "b"} {
		cluster := newCluster(t, 4, 3)
		cluster.mustWrite("a", 0, 1, "one")
		cluster.run(time.Second)
		members := []Member{{"a", "10.0.0.1"}, {"b", "10.0.0.2"}, {"d", "10.0.0.4"}}
		chosen := View{Epoch: 2, Members: members, Chain: []MemberID{"a", "b", "d"}, CatchingUp: []MemberID{"d"},
			Sources: []MemberID{"a", "b"}}
		cluster.do("b", func(n *Node) Effects {
			return n.Receive(cluster.now, Message{Kind: Accept, From: "a", Epoch: 1, ProposalNumber: ProposalNumber{1,
				"a"}, View: chosen})
		})
		cluster.machines["d"].down = true
		cluster.start("x", "10.0.0.4", false, 3)
		cluster.machines["x"].node.SetContacts([]Member{{"a", "10.0.0.1"}, {"c", "10.0.0.3"}})
		cluster.run(3 * time.Second)
		cluster.c.Assert(cluster.view("c").Epoch > 2, qt.IsTrue)
		cluster.c.Assert(cluster.view("c").isMember("d"), qt.IsFalse)
		cluster.machines[lost].down = true
		cluster.run(2 * time.Second)
		cluster.mustRead("c", 1, "one")
		cluster.mustWrite("c", 1, 2, "two")
	}
}

// TestMemberNeverSeenIsReplacedByAnotherAtItsAddress: the replacement need not wait for ReplaceAfter.
func TestMemberNeverSeenIsReplacedByAnotherAtItsAddress(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	a := cluster.machines["a"].node
	cluster.start("x", "10.0.0.4", false, 3)
	cluster.machines["x"].node.SetContacts([]Member{{"a", "10.0.0.1"}})
	cluster.run(2 * time.Second)
	view := cluster.view("a")
	view.Epoch, view.Members = 2, []Member{{"a", "10.0.0.1"}, {"b", "10.0.0.2"}, {"d", "10.0.0.4"}}
	a.Receive(cluster.now, Message{Kind: ViewNotice, View: view})
	heartbeat := cluster.machines["x"].node.heartbeat()
	heartbeat.From, heartbeat.Epoch, heartbeat.ReceivesFrom = "x", 2, []MemberID{"a", "b", "c"}
	a.Receive(cluster.now, heartbeat)
	next, ok := Plan(view, a.observe(), a.plannerConfig())
	cluster.c.Assert(ok, qt.IsTrue)
	cluster.c.Assert(memberIDs(next.Members), qt.DeepEquals, []MemberID{"a", "b", "x"})
}

// TestProcessStallIsCompensatedOnlyForMembers: a node that had timed out before, or is not a member, isn't
// taken for a live one.
func TestProcessStallIsCompensatedOnlyForMembers(t *testing.T) {
	cluster := newCluster(t, 4, 3)
	cluster.run(2 * time.Second)
	cluster.machines["c"].down = true
	cluster.run(time.Second)
	cluster.machines["a"].down, cluster.machines["b"].down, cluster.machines["d"].down = true, true, true
	cluster.run(3 * time.Second)
	a := cluster.machines["a"].node
	a.Tick(cluster.now)
	config := a.plannerConfig()
	p := planner{view: &a.state.view, observed: a.observe(), config: config}
	cluster.c.Assert(p.seenDirectly("b"), qt.IsTrue)
	cluster.c.Assert(p.seenDirectly("c"), qt.IsFalse)
	cluster.c.Assert(p.seenDirectly("d"), qt.IsFalse)
}

// TestDrainingMemberWaitsForItsReplacement: it votes until its replacement does.
func TestDrainingMemberWaitsForItsReplacement(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.mustWrite("a", 0, 1, "one")
	cluster.start("d", "10.0.0.4", false, 3)
	cluster.machines["d"].node.SetContacts([]Member{{"a", "10.0.0.1"}, {"b", "10.0.0.2"}, {"c", "10.0.0.3"}})
	cluster.do("b", func(n *Node) Effects { return n.Drain(cluster.now) })
	b := cluster.machines["b"].node
	for cluster.view("b").inChain("b") || cluster.view("b").Epoch == 1 {
		cluster.run(testTick)
	}
	cluster.run(150 * time.Millisecond)
	cluster.c.Assert(b.peers[cluster.view("b").head()].heartbeat.Open, qt.IsTrue)
	cluster.c.Assert(cluster.view("b").isMember("b"), qt.IsTrue)
	cluster.c.Assert(b.Drained(), qt.IsFalse)
	cluster.run(time.Second)
	cluster.c.Assert(cluster.view("b").isMember("d"), qt.IsTrue)
	cluster.c.Assert(b.Drained(), qt.IsTrue)
}

// TestReplicaThatReceivesNothingIsLeftOut: nothing reaches it any more before it learns of a view in whose
// chain it is, so that its last report is of the epoch before and says that it receives from all.
func TestReplicaThatReceivesNothingIsLeftOut(t *testing.T) {
	cluster := newCluster(t, 5, 5)
	cluster.mustWrite("a", 0, 1, "one")
	deaf := false
	cluster.drop = func(_, to MemberID, m *Message) bool {
		deaf = deaf || m.Kind == Accept
		return deaf && to == "c"
	}
	cluster.machines["e"].down = true
	cluster.run(time.Second)
	cluster.run(2 * time.Second)
	cluster.c.Assert(cluster.view("c").Epoch, qt.Equals, uint64(1))
	cluster.mustChain("a", "a", "b", "d")
	cluster.mustWrite("b", 1, 2, "two")
	cluster.drop = nil
	cluster.run(2 * time.Second)
	cluster.mustRead("c", 2, "two")
	cluster.mustChain("c", "a", "b", "d", "c")
}
