package chain

import (
	"crypto/sha256"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestFoundedChainTakesWritesAndReadsAtEachNode(t *testing.T) {
	l := newCluster(t, 4, 3)
	l.mustChain("d", "a", "b", "c")
	l.mustWrite("a", 0, 1, "one")
	l.mustWrite("c", 1, 2, "two")
	l.mustWrite("d", 2, 5, "three")
	for _, id := range l.order {
		l.mustRead(id, 5, "three")
	}
}

func TestWriteTakesThreeSyncsAndThreeDelaysAtTheHead(t *testing.T) {
	l := newCluster(t, 3, 3)
	l.run(2 * time.Second)
	before, began := 0, l.now
	for _, id := range l.order {
		before += l.machines[id].syncs
	}
	request := l.propose("a", 0, 1, "one")
	for l.outcome("a", request) == 0 {
		l.run(testDelay)
	}
	after := 0
	for _, id := range l.order {
		after += l.machines[id].syncs
	}
	l.c.Assert(l.outcome("a", request), qt.Equals, Applied)
	l.c.Assert(l.now-began, qt.Equals, 3*testDelay)
	l.c.Assert(after-before, qt.Equals, 3)
}

func TestWriteTakesFourDelaysAtEachNode(t *testing.T) {
	l := newCluster(t, 4, 3)
	l.run(2 * time.Second)
	for i, at := range l.order {
		began := l.now
		request := l.propose(at, int64(i), int64(i+1), "body")
		for l.outcome(at, request) == 0 {
			l.run(testDelay)
		}
		l.c.Assert(l.outcome(at, request), qt.Equals, Applied)
		l.c.Assert(l.now-began <= 4*testDelay, qt.IsTrue, qt.Commentf("%s: %v", at, l.now-began))
		l.run(50 * time.Millisecond)
	}
}

func TestEveryReplicaLearnsWhatIsCommitted(t *testing.T) {
	for _, lost := range []Kind{0, Commit} {
		l := newCluster(t, 3, 3)
		l.drop = loseKind(lost, "b")
		l.mustWrite("a", 0, 1, "one")
		l.run(200 * time.Millisecond)
		for _, id := range l.order {
			entry, known := l.machines[id].node.Committed()
			l.c.Assert(known, qt.IsTrue)
			l.c.Assert(string(entry.Body), qt.Equals, "one")
		}
	}
}

func TestMessageKeepsItsDigestWhenTheEntryIsReplaced(t *testing.T) {
	l := newCluster(t, 3, 3)
	var sent []Message
	l.drop = func(_, to MemberID, m *Message) bool {
		if m.Kind == Append && to == "b" {
			sent = append(sent, *m)
		}
		return false
	}
	l.mustWrite("a", 0, 1, "one")
	l.mustWrite("a", 1, 2, "two")
	for i, body := range []string{"one", "two"} {
		digest := sha256.Sum256([]byte(body))
		l.c.Assert(sent[i].Digest, qt.DeepEquals, digest[:])
	}
}

func TestOutcomesOfProposals(t *testing.T) {
	l := newCluster(t, 3, 3)
	l.mustWrite("a", 0, 3, "three")
	for _, one := range []struct {
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
		request := l.propose("b", one.expected, one.version, one.body)
		l.run(50 * time.Millisecond)
		l.c.Assert(l.outcome("b", request), qt.Equals, one.want, qt.Commentf("%v", one))
	}
}

func TestSameChangeAttachesToThePendingOne(t *testing.T) {
	l := newCluster(t, 3, 3)
	l.drop = loseKind(Append, "c")
	first := l.propose("a", 0, 1, "one")
	l.run(5 * testDelay)
	second := l.propose("a", 0, 1, "one")
	other := l.propose("a", 0, 1, "other")
	l.run(50 * time.Millisecond)
	for _, request := range []uint64{first, second, other} {
		l.c.Assert(l.outcome("a", request), qt.Equals, Outcome(0))
	}
	l.c.Assert(l.machines["a"].node.head.waiters, qt.HasLen, 2)
	l.drop = nil
	l.run(300 * time.Millisecond)
	l.c.Assert(l.outcome("a", first), qt.Equals, Applied)
	l.c.Assert(l.outcome("a", second), qt.Equals, Applied)
	l.c.Assert(l.outcome("a", other), qt.Equals, Conflict)
}

func TestLostMessagesOfAWriteAreSentAgain(t *testing.T) {
	for _, lost := range []struct {
		kind Kind
		to   MemberID
	}{{Append, "b"}, {Append, "c"}, {Ack, "a"}, {AskBody, "a"}, {Marker, "b"}, {MarkerReply, "a"}} {
		l := newCluster(t, 3, 3)
		count := 0
		l.drop = func(_, to MemberID, m *Message) bool {
			if m.Kind != lost.kind || to != lost.to {
				return false
			}
			count++
			return count == 1
		}
		write := l.propose("c", 0, 1, "one")
		l.run(time.Second)
		l.c.Assert(l.outcome("c", write), qt.Equals, Applied)
		read := l.read("b")
		l.run(time.Second)
		l.c.Assert(l.outcome("b", read), qt.Equals, Applied)
		l.c.Assert(l.view("a").Epoch, qt.Equals, uint64(1))
	}
}

func TestReadsOfOneMomentShareAMarker(t *testing.T) {
	l := newCluster(t, 3, 3)
	before := l.sent[Marker]
	var requests []uint64
	for range 20 {
		requests = append(requests, l.read("b"))
	}
	l.run(50 * time.Millisecond)
	for _, request := range requests {
		l.c.Assert(l.outcome("b", request), qt.Equals, Applied)
	}
	l.c.Assert(l.sent[Marker]-before, qt.Equals, 4) // two batches over two links
}

func TestChainOfTooFewCopiesRefusesWrites(t *testing.T) {
	l := newCluster(t, 2, 2)
	l.mustWrite("a", 0, 1, "one")
	l.machines["b"].down = true
	l.run(3 * time.Second)
	write := l.propose("a", 1, 2, "two")
	l.run(3 * time.Second)
	l.c.Assert(l.outcome("a", write), qt.Equals, Unavailable)
	l.boot("b")
	l.run(time.Second)
	l.mustWrite("a", 1, 2, "two")
}

func TestOldHeadIsFencedAndRefusesNothing(t *testing.T) {
	l := newCluster(t, 3, 3)
	l.mustWrite("a", 0, 1, "one")
	l.drop = cut([]MemberID{"a"}, []MemberID{"b", "c"})
	l.run(2 * time.Second)
	l.mustWrite("b", 1, 2, "two")
	l.c.Assert(l.view("a").Epoch < l.view("b").Epoch, qt.IsTrue)
	refused := l.propose("a", 2, 3, "three") // a still takes version 1 for the committed one
	stale := l.read("a")
	lost := l.propose("a", 1, 2, "lost")
	l.run(1500 * time.Millisecond)
	l.c.Assert(l.outcome("a", refused), qt.Equals, Outcome(0))
	l.c.Assert(l.outcome("a", stale), qt.Equals, Outcome(0))
	l.drop = nil
	l.run(2 * time.Second)
	l.c.Assert(l.outcome("a", refused), qt.Equals, Unavailable)
	l.c.Assert(l.outcome("a", lost), qt.Equals, Unavailable)
	for _, id := range l.order {
		l.mustRead(id, 2, "two")
	}
	l.mustChain("a", "b", "c", "a")
}

func TestUncommittedEntryOfAnOldHeadIsDropped(t *testing.T) {
	l := newCluster(t, 3, 3)
	l.mustWrite("a", 0, 1, "one")
	l.drop = cut([]MemberID{"a"}, []MemberID{"b", "c"})
	lost := l.propose("a", 1, 2, "lost")
	l.run(2 * time.Second)
	l.mustWrite("b", 1, 2, "won") // the same sequence and version as the lost one
	l.drop = nil
	l.run(2 * time.Second)
	l.c.Assert(l.outcome("a", lost), qt.Equals, Unavailable)
	l.mustRead("a", 2, "won")
	l.c.Assert(string(l.machines["a"].node.state.held.Body), qt.Equals, "won")
}

func TestPendingEntryThatReachedTheNextHeadComesIntoForce(t *testing.T) {
	l := newCluster(t, 3, 3)
	l.mustWrite("a", 0, 1, "one")
	l.drop = loseKind(Append, "c")
	l.propose("a", 1, 2, "two")
	l.run(5 * testDelay)
	l.machines["a"].down = true
	l.drop = nil
	l.run(2 * time.Second)
	l.mustChain("b", "b", "c")
	l.mustRead("c", 2, "two")
	l.mustWrite("c", 1, 2, "two") // sent again
}

func TestRestartOfTheHeadOpensTheEpochAgain(t *testing.T) {
	l := newCluster(t, 3, 3)
	l.mustWrite("a", 0, 1, "one")
	l.drop = loseKind(Append, "b")
	l.propose("a", 1, 2, "two")
	l.run(3 * testDelay)
	l.drop = nil
	l.restart("a")
	l.c.Assert(l.machines["a"].node.IsOpenHead(), qt.IsFalse)
	l.mustRead("c", 2, "two")
	l.c.Assert(l.view("a").Epoch, qt.Equals, uint64(1))
}

func TestRestartOfAllKeepsTheRegister(t *testing.T) {
	l := newCluster(t, 3, 3)
	l.mustWrite("a", 0, 1, "one")
	l.run(2 * time.Second) // the committed sequence is persisted by then
	l.flights = nil
	for _, id := range l.order {
		l.restart(id)
		entry, known := l.machines[id].node.Committed()
		l.c.Assert(known, qt.IsTrue)
		l.c.Assert(string(entry.Body), qt.Equals, "one")
	}
	l.run(200 * time.Millisecond)
	l.mustRead("b", 1, "one")
	l.mustWrite("b", 1, 2, "two")
}

// TestRestartKnowsTheEntryBefore stops all right after a write. Only the tail has persisted that it is
// committed; until the chain is open again the others know that of the entry before it, and no more.
func TestRestartKnowsTheEntryBefore(t *testing.T) {
	l := newCluster(t, 3, 3)
	l.mustWrite("a", 0, 1, "one")
	l.run(2 * time.Second)
	l.mustWrite("a", 1, 2, "two")
	l.flights = nil
	for _, id := range l.order {
		l.restart(id)
		l.flights = nil // none hears of another yet
		entry, known := l.machines[id].node.Committed()
		l.c.Assert(known, qt.IsTrue)
		want := "one"
		if id == "c" {
			want = "two"
		}
		l.c.Assert(string(entry.Body), qt.Equals, want)
	}
	l.run(200 * time.Millisecond)
	l.mustRead("b", 2, "two")
	for _, id := range l.order {
		entry, _ := l.machines[id].node.Committed()
		l.c.Assert(string(entry.Body), qt.Equals, "two")
	}
}

func TestOpeningSendsNoBodyThatIsThere(t *testing.T) {
	l := newCluster(t, 3, 3)
	l.mustWrite("a", 0, 1, "one")
	bodies := 0
	l.drop = func(_, _ MemberID, m *Message) bool {
		if m.Kind == Append && m.HasBody {
			bodies++
		}
		return false
	}
	l.machines["c"].down = true
	l.run(2 * time.Second)
	l.boot("c")
	l.run(2 * time.Second)
	l.mustChain("a", "a", "b", "c")
	l.c.Assert(bodies, qt.Equals, 0)
}
