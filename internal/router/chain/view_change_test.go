package chain

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestTimedOutReplicaLeavesTheChainAndRejoinsAtItsTail(t *testing.T) {
	for _, stopped := range []MemberID{"a", "b", "c"} {
		cluster := newCluster(t, 3, 3)
		cluster.mustWrite("a", 0, 1, "one")
		cluster.machines[stopped].down = true
		cluster.run(1500 * time.Millisecond)
		var rest []MemberID
		for _, id := range cluster.order {
			if id != stopped {
				rest = append(rest, id)
			}
		}
		cluster.mustChain(rest[0], rest...)
		cluster.mustWrite(rest[1], 1, 2, "two")
		cluster.restart(stopped)
		cluster.run(1500 * time.Millisecond)
		cluster.mustChain(stopped, append(rest, stopped)...)
		cluster.mustRead(stopped, 2, "two")
		cluster.c.Assert(cluster.machines[stopped].node.state.accepted.Epoch, qt.Equals,
			cluster.view(stopped).Epoch)
	}
}

func TestWritesResumeWithinASecondOfAReplicaFailure(t *testing.T) {
	for _, failed := range []MemberID{"a", "b", "c"} {
		cluster := newCluster(t, 3, 3)
		cluster.mustWrite("a", 0, 1, "one")
		other := MemberID("a")
		if failed == other {
			other = "b"
		}
		cluster.machines[failed].down = true
		began := cluster.now
		for applied := false; !applied; {
			request := cluster.propose(other, 1, 2, "two")
			for cluster.outcome(other, request) == 0 {
				cluster.run(testTick)
			}
			applied = cluster.outcome(other, request) == Applied
		}
		cluster.c.Logf("%s failed: a write was applied after %v", failed, cluster.now-began)
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

// TestDrainingMemberIsDrainedOnceAnotherHasItsState: a draining member isn't drained before its replacement
// has fetched the state.
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

// TestDrainingMemberWithoutAReplacementIsDrainedOutsideTheChain: without a candidate, a draining member is
// drained as soon as it is out of the chain, though its vote will be missing.
func TestDrainingMemberWithoutAReplacementIsDrainedOutsideTheChain(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.mustWrite("a", 0, 1, "one")
	for _, id := range []MemberID{"b", "c"} {
		cluster.do(id, func(n *Node) Effects { return n.Drain(cluster.now) })
		cluster.run(time.Second)
	}
	cluster.c.Assert(cluster.machines["b"].node.Drained(), qt.IsTrue)
	cluster.c.Assert(cluster.machines["c"].node.Drained(), qt.IsFalse) // a would be the only replica
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
	cluster.c.Assert(cluster.view("d").isMember("d"), qt.IsFalse) // all members are available
	cluster.machines["a"].down = true
	cluster.run(1100 * time.Millisecond)
	cluster.c.Assert(cluster.view("d").isMember("d"), qt.IsFalse)
	cluster.run(900 * time.Millisecond)
	cluster.c.Assert(memberIDs(cluster.view("d").Members), qt.DeepEquals, []MemberID{"d", "b", "c"})
	cluster.mustChain("d", "b", "c", "d")
	cluster.restart("a")
	cluster.run(2 * time.Second)
	cluster.c.Assert(cluster.view("a").isMember("a"), qt.IsFalse) // a former member is only a candidate
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

func TestViewsDoNotFlapDuringAOneWayPartition(t *testing.T) {
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

func TestUnopenedEpochIsSealedAndASourceBecomesHead(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.mustWrite("a", 0, 1, "one")
	cluster.machines["c"].down = true
	cluster.run(1500 * time.Millisecond)
	cluster.mustWrite("a", 1, 2, "two") // a and b have accepted it
	// b is isolated and c rejoins. The view of a and c never opens, as c receives no entry and then a fails.
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

func TestReplicaWithAFailingDiskAcknowledgesNothingAndLeavesTheChain(t *testing.T) {
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

func TestDuelingProposersAgreeOnAView(t *testing.T) {
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

// TestAcceptedViewIsDecidedThoughNoPlannerWantsIt: one acceptor has accepted a view that makes a candidate a
// member, and then the candidate's disk is lost. The view is decided nevertheless, the candidate is replaced,
// and the loss of another disk is tolerated.
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

// TestMemberNeverSeenIsReplacedByAnotherAtItsAddress: a member that was never seen is replaced by another
// identity at its address without waiting for ReplaceAfter.
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

// TestProcessStallIsCompensatedOnlyForMembers: after a stall of this process, a node that had timed out
// before or that is not a member doesn't count as live.
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

// TestDrainingMemberWaitsForItsReplacement: while there is a candidate, a draining member outside the chain
// isn't drained until the candidate has replaced it as a member.
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

// TestReplicaThatReceivesNothingIsRemovedFromTheChain: messages to a replica are lost from before it learns
// of a view whose chain includes it. Its heartbeats therefore stay in the previous epoch, in which it last
// reported that it receives from all members.
func TestReplicaThatReceivesNothingIsRemovedFromTheChain(t *testing.T) {
	cluster := newCluster(t, 5, 5)
	cluster.mustWrite("a", 0, 1, "one")
	proposed := false
	cluster.drop = func(_, to MemberID, m *Message) bool {
		proposed = proposed || m.Kind == Accept
		return proposed && to == "c"
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
