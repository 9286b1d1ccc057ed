package chain

import (
	"crypto/sha256"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestBootstrappedChainServesReadsAndWritesAtEachNode(t *testing.T) {
	cluster := newCluster(t, 4, 3)
	cluster.mustChain("d", "a", "b", "c")
	cluster.mustWrite("a", 0, 1, "one")
	cluster.mustWrite("c", 1, 2, "two")
	cluster.mustWrite("d", 2, 5, "three")
	for _, id := range cluster.order {
		cluster.mustRead(id, 5, "three")
	}
}

func TestWriteAtTheHeadTakesThreeSyncsAndThreeNetworkDelays(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.run(2 * time.Second)
	before, began := 0, cluster.now
	for _, id := range cluster.order {
		before += cluster.machines[id].syncs
	}
	request := cluster.propose("a", 0, 1, "one")
	for cluster.outcome("a", request) == 0 {
		cluster.run(testDelay)
	}
	after := 0
	for _, id := range cluster.order {
		after += cluster.machines[id].syncs
	}
	cluster.c.Assert(cluster.outcome("a", request), qt.Equals, Applied)
	cluster.c.Assert(cluster.now-began, qt.Equals, 3*testDelay)
	cluster.c.Assert(after-before, qt.Equals, 3)
}

func TestWriteAtAnyNodeTakesAtMostFourNetworkDelays(t *testing.T) {
	cluster := newCluster(t, 4, 3)
	cluster.run(2 * time.Second)
	for i, at := range cluster.order {
		began := cluster.now
		request := cluster.propose(at, int64(i), int64(i+1), "body")
		for cluster.outcome(at, request) == 0 {
			cluster.run(testDelay)
		}
		cluster.c.Assert(cluster.outcome(at, request), qt.Equals, Applied)
		cluster.c.Assert(cluster.now-began <= 4*testDelay, qt.IsTrue, qt.Commentf("%s: %v", at, cluster.now-began))
		cluster.run(50 * time.Millisecond)
	}
}

func TestEveryReplicaLearnsWhatIsCommitted(t *testing.T) {
	for _, lost := range []Kind{0, Commit} {
		cluster := newCluster(t, 3, 3)
		cluster.drop = dropKind(lost, "b")
		cluster.mustWrite("a", 0, 1, "one")
		cluster.run(200 * time.Millisecond)
		for _, id := range cluster.order {
			entry, ok := cluster.machines[id].node.Committed()
			cluster.c.Assert(ok, qt.IsTrue)
			cluster.c.Assert(string(entry.Body), qt.Equals, "one")
		}
	}
}

func TestMessageKeepsItsDigestWhenTheEntryIsReplaced(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	var sent []Message
	cluster.drop = func(_, to MemberID, m *Message) bool {
		if m.Kind == Append && to == "b" {
			sent = append(sent, *m)
		}
		return false
	}
	cluster.mustWrite("a", 0, 1, "one")
	cluster.mustWrite("a", 1, 2, "two")
	for i, body := range []string{"one", "two"} {
		digest := sha256.Sum256([]byte(body))
		cluster.c.Assert(sent[i].Digest, qt.DeepEquals, digest[:])
	}
}

func TestOutcomesOfProposals(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.mustWrite("a", 0, 3, "three")
	for _, test := range []struct {
		name              string
		expected, version int64
		body              string
		want              Outcome
	}{
		{"same change again", 0, 3, "three", Applied},
		{"another body with the same versions", 0, 3, "other", Conflict},
		{"expected version below the current one", 1, 2, "two", Conflict},
		{"expected version above the current one", 4, 5, "five", Conflict},
		{"version equal to the expected one", 3, 3, "same version", Invalid},
		{"version below the expected one", 3, 2, "lower version", Invalid},
		{"next change", 3, 4, "four", Applied},
	} {
		request := cluster.propose("b", test.expected, test.version, test.body)
		cluster.run(50 * time.Millisecond)
		cluster.c.Assert(cluster.outcome("b", request), qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
}

func TestRepeatedWriteWaitsForThePendingOne(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.drop = dropKind(Append, "c")
	first := cluster.propose("a", 0, 1, "one")
	cluster.run(5 * testDelay)
	second := cluster.propose("a", 0, 1, "one")
	other := cluster.propose("a", 0, 1, "other")
	cluster.run(50 * time.Millisecond)
	for _, request := range []uint64{first, second, other} {
		cluster.c.Assert(cluster.outcome("a", request), qt.Equals, Outcome(0))
	}
	cluster.c.Assert(cluster.machines["a"].node.head.waiters, qt.HasLen, 2)
	cluster.drop = nil
	cluster.run(300 * time.Millisecond)
	cluster.c.Assert(cluster.outcome("a", first), qt.Equals, Applied)
	cluster.c.Assert(cluster.outcome("a", second), qt.Equals, Applied)
	cluster.c.Assert(cluster.outcome("a", other), qt.Equals, Conflict)
}

func TestLostMessagesOfAWriteAreSentAgain(t *testing.T) {
	for _, lost := range []struct {
		kind Kind
		to   MemberID
	}{{Append, "b"}, {Append, "c"}, {Ack, "a"}, {FetchBody, "a"}, {Marker, "b"}, {MarkerReply, "a"}} {
		cluster := newCluster(t, 3, 3)
		count := 0
		cluster.drop = func(_, to MemberID, m *Message) bool {
			if m.Kind != lost.kind || to != lost.to {
				return false
			}
			count++
			return count == 1
		}
		write := cluster.propose("c", 0, 1, "one")
		cluster.run(time.Second)
		cluster.c.Assert(cluster.outcome("c", write), qt.Equals, Applied)
		read := cluster.read("b")
		cluster.run(time.Second)
		cluster.c.Assert(cluster.outcome("b", read), qt.Equals, Applied)
		cluster.c.Assert(cluster.view("a").Epoch, qt.Equals, uint64(1))
	}
}

func TestConcurrentReadsShareAMarker(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	before := cluster.sent[Marker]
	var requests []uint64
	for range 20 {
		requests = append(requests, cluster.read("b"))
	}
	cluster.run(50 * time.Millisecond)
	for _, request := range requests {
		cluster.c.Assert(cluster.outcome("b", request), qt.Equals, Applied)
	}
	cluster.c.Assert(cluster.sent[Marker]-before, qt.Equals, 4) // two batches over two links
}

func TestChainOfTooFewReplicasRejectsWrites(t *testing.T) {
	cluster := newCluster(t, 2, 2)
	cluster.mustWrite("a", 0, 1, "one")
	cluster.machines["b"].down = true
	cluster.run(3 * time.Second)
	write := cluster.propose("a", 1, 2, "two")
	cluster.run(3 * time.Second)
	cluster.c.Assert(cluster.outcome("a", write), qt.Equals, Unavailable)
	cluster.boot("b")
	cluster.run(time.Second)
	cluster.mustWrite("a", 1, 2, "two")
}

func TestReplacedHeadIsFencedAndRejectsNothing(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.mustWrite("a", 0, 1, "one")
	cluster.drop = partition([]MemberID{"a"}, []MemberID{"b", "c"})
	cluster.run(2 * time.Second)
	cluster.mustWrite("b", 1, 2, "two")
	cluster.c.Assert(cluster.view("a").Epoch < cluster.view("b").Epoch, qt.IsTrue)
	rejected := cluster.propose("a", 2, 3, "three") // to a, version 1 is still the committed one
	stale := cluster.read("a")
	lost := cluster.propose("a", 1, 2, "lost")
	cluster.run(1500 * time.Millisecond)
	cluster.c.Assert(cluster.outcome("a", rejected), qt.Equals, Outcome(0))
	cluster.c.Assert(cluster.outcome("a", stale), qt.Equals, Outcome(0))
	cluster.drop = nil
	cluster.run(2 * time.Second)
	cluster.c.Assert(cluster.outcome("a", rejected), qt.Equals, Unavailable)
	cluster.c.Assert(cluster.outcome("a", lost), qt.Equals, Unavailable)
	for _, id := range cluster.order {
		cluster.mustRead(id, 2, "two")
	}
	cluster.mustChain("a", "b", "c", "a")
}

func TestUncommittedEntryOfAReplacedHeadIsDropped(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.mustWrite("a", 0, 1, "one")
	cluster.drop = partition([]MemberID{"a"}, []MemberID{"b", "c"})
	lost := cluster.propose("a", 1, 2, "lost")
	cluster.run(2 * time.Second)
	cluster.mustWrite("b", 1, 2, "won") // the same sequence and version as the lost one
	cluster.drop = nil
	cluster.run(2 * time.Second)
	cluster.c.Assert(cluster.outcome("a", lost), qt.Equals, Unavailable)
	cluster.mustRead("a", 2, "won")
	cluster.c.Assert(string(cluster.machines["a"].node.state.accepted.Body), qt.Equals, "won")
}

func TestPendingEntryThatReachedTheNextHeadIsCommitted(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.mustWrite("a", 0, 1, "one")
	cluster.drop = dropKind(Append, "c")
	cluster.propose("a", 1, 2, "two")
	cluster.run(5 * testDelay)
	cluster.machines["a"].down = true
	cluster.drop = nil
	cluster.run(2 * time.Second)
	cluster.mustChain("b", "b", "c")
	cluster.mustRead("c", 2, "two")
	cluster.mustWrite("c", 1, 2, "two") // retry of the same write
}

func TestRestartOfTheHeadOpensTheEpochAgain(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.mustWrite("a", 0, 1, "one")
	cluster.drop = dropKind(Append, "b")
	cluster.propose("a", 1, 2, "two")
	cluster.run(3 * testDelay)
	cluster.drop = nil
	cluster.restart("a")
	cluster.c.Assert(cluster.machines["a"].node.IsOpenHead(), qt.IsFalse)
	cluster.mustRead("c", 2, "two")
	cluster.c.Assert(cluster.view("a").Epoch, qt.Equals, uint64(1))
}

func TestRestartOfAllKeepsTheRegister(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.mustWrite("a", 0, 1, "one")
	cluster.run(2 * time.Second) // the committed sequence is persisted by then
	cluster.inTransit = nil
	for _, id := range cluster.order {
		cluster.restart(id)
		entry, ok := cluster.machines[id].node.Committed()
		cluster.c.Assert(ok, qt.IsTrue)
		cluster.c.Assert(string(entry.Body), qt.Equals, "one")
	}
	cluster.run(200 * time.Millisecond)
	cluster.mustRead("b", 1, "one")
	cluster.mustWrite("b", 1, 2, "two")
}

// TestRestartedNodeKnowsThatThePredecessorIsCommitted restarts all machines right after a write. Only the
// tail has persisted that the write is committed. Until the epoch is open again, the others know only that
// the entry before it is committed.
func TestRestartedNodeKnowsThatThePredecessorIsCommitted(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.mustWrite("a", 0, 1, "one")
	cluster.run(2 * time.Second)
	cluster.mustWrite("a", 1, 2, "two")
	cluster.inTransit = nil
	for _, id := range cluster.order {
		cluster.restart(id)
		cluster.inTransit = nil // no message of the restarted nodes arrives
		entry, ok := cluster.machines[id].node.Committed()
		cluster.c.Assert(ok, qt.IsTrue)
		want := "one"
		if id == "c" {
			want = "two"
		}
		cluster.c.Assert(string(entry.Body), qt.Equals, want)
	}
	cluster.run(200 * time.Millisecond)
	cluster.mustRead("b", 2, "two")
	for _, id := range cluster.order {
		entry, _ := cluster.machines[id].node.Committed()
		cluster.c.Assert(string(entry.Body), qt.Equals, "two")
	}
}

func TestOpeningAnEpochSendsNoBodyThatReplicasHave(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.mustWrite("a", 0, 1, "one")
	bodies := 0
	cluster.drop = func(_, _ MemberID, m *Message) bool {
		if m.Kind == Append && m.HasBody {
			bodies++
		}
		return false
	}
	cluster.machines["c"].down = true
	cluster.run(2 * time.Second)
	cluster.boot("c")
	cluster.run(2 * time.Second)
	cluster.mustChain("a", "a", "b", "c")
	cluster.c.Assert(bodies, qt.Equals, 0)
}
