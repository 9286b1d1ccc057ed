package chain

import (
	"crypto/sha256"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestBootstrappedChainTakesWritesAndReadsAtEachNode(t *testing.T) {
	tc := newCluster(t, 4, 3)
	tc.mustChain("d", "a", "b", "c")
	tc.mustWrite("a", 0, 1, "one")
	tc.mustWrite("c", 1, 2, "two")
	tc.mustWrite("d", 2, 5, "three")
	for _, id := range tc.order {
		tc.mustRead(id, 5, "three")
	}
}

func TestWriteTakesThreeSyncsAndThreeDelaysAtTheHead(t *testing.T) {
	tc := newCluster(t, 3, 3)
	tc.run(2 * time.Second)
	before, began := 0, tc.now
	for _, id := range tc.order {
		before += tc.machines[id].syncs
	}
	request := tc.propose("a", 0, 1, "one")
	for tc.outcome("a", request) == 0 {
		tc.run(testDelay)
	}
	after := 0
	for _, id := range tc.order {
		after += tc.machines[id].syncs
	}
	tc.c.Assert(tc.outcome("a", request), qt.Equals, Applied)
	tc.c.Assert(tc.now-began, qt.Equals, 3*testDelay)
	tc.c.Assert(after-before, qt.Equals, 3)
}

func TestWriteTakesFourDelaysAtEachNode(t *testing.T) {
	tc := newCluster(t, 4, 3)
	tc.run(2 * time.Second)
	for i, at := range tc.order {
		began := tc.now
		request := tc.propose(at, int64(i), int64(i+1), "body")
		for tc.outcome(at, request) == 0 {
			tc.run(testDelay)
		}
		tc.c.Assert(tc.outcome(at, request), qt.Equals, Applied)
		tc.c.Assert(tc.now-began <= 4*testDelay, qt.IsTrue, qt.Commentf("%s: %v", at, tc.now-began))
		tc.run(50 * time.Millisecond)
	}
}

func TestEveryReplicaLearnsWhatIsCommitted(t *testing.T) {
	for _, lost := range []Kind{0, Commit} {
		tc := newCluster(t, 3, 3)
		tc.drop = dropKind(lost, "b")
		tc.mustWrite("a", 0, 1, "one")
		tc.run(200 * time.Millisecond)
		for _, id := range tc.order {
			entry, ok := tc.machines[id].node.Committed()
			tc.c.Assert(ok, qt.IsTrue)
			tc.c.Assert(string(entry.Body), qt.Equals, "one")
		}
	}
}

func TestMessageKeepsItsDigestWhenTheEntryIsReplaced(t *testing.T) {
	tc := newCluster(t, 3, 3)
	var sent []Message
	tc.drop = func(_, to MemberID, m *Message) bool {
		if m.Kind == Append && to == "b" {
			sent = append(sent, *m)
		}
		return false
	}
	tc.mustWrite("a", 0, 1, "one")
	tc.mustWrite("a", 1, 2, "two")
	for i, body := range []string{"one", "two"} {
		digest := sha256.Sum256([]byte(body))
		tc.c.Assert(sent[i].Digest, qt.DeepEquals, digest[:])
	}
}

func TestOutcomesOfProposals(t *testing.T) {
	tc := newCluster(t, 3, 3)
	tc.mustWrite("a", 0, 3, "three")
	for _, tt := range []struct {
		expected, version int64
		body              string
		want              Outcome
	}{
		{0, 3, "three", Applied}, // the same change again
		{0, 3, "other", Conflict},
		{1, 2, "two", Conflict},
		{4, 5, "five", Conflict},
		{3, 3, "same version", Invalid},
		{3, 2, "lower version", Invalid},
		{3, 4, "four", Applied},
	} {
		request := tc.propose("b", tt.expected, tt.version, tt.body)
		tc.run(50 * time.Millisecond)
		tc.c.Assert(tc.outcome("b", request), qt.Equals, tt.want, qt.Commentf("%v", tt))
	}
}

func TestSameChangeAttachesToThePendingOne(t *testing.T) {
	tc := newCluster(t, 3, 3)
	tc.drop = dropKind(Append, "c")
	first := tc.propose("a", 0, 1, "one")
	tc.run(5 * testDelay)
	second := tc.propose("a", 0, 1, "one")
	other := tc.propose("a", 0, 1, "other")
	tc.run(50 * time.Millisecond)
	for _, request := range []uint64{first, second, other} {
		tc.c.Assert(tc.outcome("a", request), qt.Equals, Outcome(0))
	}
	tc.c.Assert(tc.machines["a"].node.head.waiters, qt.HasLen, 2)
	tc.drop = nil
	tc.run(300 * time.Millisecond)
	tc.c.Assert(tc.outcome("a", first), qt.Equals, Applied)
	tc.c.Assert(tc.outcome("a", second), qt.Equals, Applied)
	tc.c.Assert(tc.outcome("a", other), qt.Equals, Conflict)
}

func TestLostMessagesOfAWriteAreSentAgain(t *testing.T) {
	for _, lost := range []struct {
		kind Kind
		to   MemberID
	}{{Append, "b"}, {Append, "c"}, {Ack, "a"}, {FetchBody, "a"}, {Marker, "b"}, {MarkerReply, "a"}} {
		tc := newCluster(t, 3, 3)
		count := 0
		tc.drop = func(_, to MemberID, m *Message) bool {
			if m.Kind != lost.kind || to != lost.to {
				return false
			}
			count++
			return count == 1
		}
		write := tc.propose("c", 0, 1, "one")
		tc.run(time.Second)
		tc.c.Assert(tc.outcome("c", write), qt.Equals, Applied)
		read := tc.read("b")
		tc.run(time.Second)
		tc.c.Assert(tc.outcome("b", read), qt.Equals, Applied)
		tc.c.Assert(tc.view("a").Epoch, qt.Equals, uint64(1))
	}
}

func TestReadsOfOneMomentShareAMarker(t *testing.T) {
	tc := newCluster(t, 3, 3)
	before := tc.sent[Marker]
	var requests []uint64
	for range 20 {
		requests = append(requests, tc.read("b"))
	}
	tc.run(50 * time.Millisecond)
	for _, request := range requests {
		tc.c.Assert(tc.outcome("b", request), qt.Equals, Applied)
	}
	tc.c.Assert(tc.sent[Marker]-before, qt.Equals, 4) // two batches over two links
}

func TestChainOfTooFewReplicasRejectsWrites(t *testing.T) {
	tc := newCluster(t, 2, 2)
	tc.mustWrite("a", 0, 1, "one")
	tc.machines["b"].down = true
	tc.run(3 * time.Second)
	write := tc.propose("a", 1, 2, "two")
	tc.run(3 * time.Second)
	tc.c.Assert(tc.outcome("a", write), qt.Equals, Unavailable)
	tc.boot("b")
	tc.run(time.Second)
	tc.mustWrite("a", 1, 2, "two")
}

func TestOldHeadIsFencedAndRejectsNothing(t *testing.T) {
	tc := newCluster(t, 3, 3)
	tc.mustWrite("a", 0, 1, "one")
	tc.drop = partition([]MemberID{"a"}, []MemberID{"b", "c"})
	tc.run(2 * time.Second)
	tc.mustWrite("b", 1, 2, "two")
	tc.c.Assert(tc.view("a").Epoch < tc.view("b").Epoch, qt.IsTrue)
	rejected := tc.propose("a", 2, 3, "three") // a still has version 1 as the committed one
	stale := tc.read("a")
	lost := tc.propose("a", 1, 2, "lost")
	tc.run(1500 * time.Millisecond)
	tc.c.Assert(tc.outcome("a", rejected), qt.Equals, Outcome(0))
	tc.c.Assert(tc.outcome("a", stale), qt.Equals, Outcome(0))
	tc.drop = nil
	tc.run(2 * time.Second)
	tc.c.Assert(tc.outcome("a", rejected), qt.Equals, Unavailable)
	tc.c.Assert(tc.outcome("a", lost), qt.Equals, Unavailable)
	for _, id := range tc.order {
		tc.mustRead(id, 2, "two")
	}
	tc.mustChain("a", "b", "c", "a")
}

func TestUncommittedEntryOfAnOldHeadIsDropped(t *testing.T) {
	tc := newCluster(t, 3, 3)
	tc.mustWrite("a", 0, 1, "one")
	tc.drop = partition([]MemberID{"a"}, []MemberID{"b", "c"})
	lost := tc.propose("a", 1, 2, "lost")
	tc.run(2 * time.Second)
	tc.mustWrite("b", 1, 2, "won") // the same sequence and version as the lost one
	tc.drop = nil
	tc.run(2 * time.Second)
	tc.c.Assert(tc.outcome("a", lost), qt.Equals, Unavailable)
	tc.mustRead("a", 2, "won")
	tc.c.Assert(string(tc.machines["a"].node.state.accepted.Body), qt.Equals, "won")
}

func TestPendingEntryThatReachedTheNextHeadIsCommitted(t *testing.T) {
	tc := newCluster(t, 3, 3)
	tc.mustWrite("a", 0, 1, "one")
	tc.drop = dropKind(Append, "c")
	tc.propose("a", 1, 2, "two")
	tc.run(5 * testDelay)
	tc.machines["a"].down = true
	tc.drop = nil
	tc.run(2 * time.Second)
	tc.mustChain("b", "b", "c")
	tc.mustRead("c", 2, "two")
	tc.mustWrite("c", 1, 2, "two") // a retry
}

func TestRestartOfTheHeadOpensTheEpochAgain(t *testing.T) {
	tc := newCluster(t, 3, 3)
	tc.mustWrite("a", 0, 1, "one")
	tc.drop = dropKind(Append, "b")
	tc.propose("a", 1, 2, "two")
	tc.run(3 * testDelay)
	tc.drop = nil
	tc.restart("a")
	tc.c.Assert(tc.machines["a"].node.IsOpenHead(), qt.IsFalse)
	tc.mustRead("c", 2, "two")
	tc.c.Assert(tc.view("a").Epoch, qt.Equals, uint64(1))
}

func TestRestartOfAllKeepsTheRegister(t *testing.T) {
	tc := newCluster(t, 3, 3)
	tc.mustWrite("a", 0, 1, "one")
	tc.run(2 * time.Second) // the committed sequence is persisted by then
	tc.inTransit = nil
	for _, id := range tc.order {
		tc.restart(id)
		entry, ok := tc.machines[id].node.Committed()
		tc.c.Assert(ok, qt.IsTrue)
		tc.c.Assert(string(entry.Body), qt.Equals, "one")
	}
	tc.run(200 * time.Millisecond)
	tc.mustRead("b", 1, "one")
	tc.mustWrite("b", 1, 2, "two")
}

// TestRestartKnowsTheEntryBefore stops all machines right after a write. Only the tail has persisted that it
// is committed; until the chain is open again the others know that only of the entry before it.
func TestRestartKnowsTheEntryBefore(t *testing.T) {
	tc := newCluster(t, 3, 3)
	tc.mustWrite("a", 0, 1, "one")
	tc.run(2 * time.Second)
	tc.mustWrite("a", 1, 2, "two")
	tc.inTransit = nil
	for _, id := range tc.order {
		tc.restart(id)
		tc.inTransit = nil // no message has arrived yet
		entry, ok := tc.machines[id].node.Committed()
		tc.c.Assert(ok, qt.IsTrue)
		want := "one"
		if id == "c" {
			want = "two"
		}
		tc.c.Assert(string(entry.Body), qt.Equals, want)
	}
	tc.run(200 * time.Millisecond)
	tc.mustRead("b", 2, "two")
	for _, id := range tc.order {
		entry, _ := tc.machines[id].node.Committed()
		tc.c.Assert(string(entry.Body), qt.Equals, "two")
	}
}

func TestOpeningSendsNoBodyThatTheReplicaHas(t *testing.T) {
	tc := newCluster(t, 3, 3)
	tc.mustWrite("a", 0, 1, "one")
	bodies := 0
	tc.drop = func(_, _ MemberID, m *Message) bool {
		if m.Kind == Append && m.HasBody {
			bodies++
		}
		return false
	}
	tc.machines["c"].down = true
	tc.run(2 * time.Second)
	tc.boot("c")
	tc.run(2 * time.Second)
	tc.mustChain("a", "a", "b", "c")
	tc.c.Assert(bodies, qt.Equals, 0)
}
