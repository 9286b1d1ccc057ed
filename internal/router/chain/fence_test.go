package chain

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// appendOf makes the message by which a predecessor passes an entry on.
func appendOf(from MemberID, epoch uint64, entry Entry) Message {
	digest := digestOfBody(entry.Body)
	return Message{
		Kind: Append, From: from, Epoch: epoch, Sequence: entry.Sequence, Version: entry.Version,
		Digest: digest[:], HasBody: true, Body: entry.Body,
	}
}

// kinds returns the kinds of the messages in effects.
func kinds(effects Effects) []Kind {
	var all []Kind
	for _, envelope := range effects.Messages {
		all = append(all, envelope.Message.Kind)
	}
	return all
}

func TestEntriesComeOnlyFromThePredecessorInTheSameEpoch(t *testing.T) {
	l := newCluster(t, 3, 3)
	l.mustWrite("a", 0, 1, "one")
	next := Entry{Sequence: 2, Version: 2, Body: []byte("two")}
	for _, one := range []struct {
		to   MemberID
		m    Message
		want []Kind
	}{
		{"c", appendOf("a", 1, next), nil},
		{"b", appendOf("c", 1, next), nil},
		{"b", appendOf("a", 0, next), []Kind{ViewNotice}},
		{"b", appendOf("a", 2, next), []Kind{Heartbeat}},
		{"b", appendOf("a", 1, Entry{Sequence: 0}), nil},                                             // older
		{"b", appendOf("a", 1, Entry{Sequence: 1, Version: 1, Body: []byte("other")}), nil},          // another
		{"b", appendOf("a", 1, Entry{Sequence: 1, Version: 1, Body: []byte("one")}), []Kind{Append}}, // again
		{"a", Message{Kind: Ack, From: "b", Epoch: 1, Sequence: 2}, nil},
		{"a", Message{Kind: Ack, From: "c", Epoch: 0, Sequence: 1}, []Kind{ViewNotice}},
		{"c", Message{Kind: Marker, From: "a", Epoch: 1, Marker: 7}, nil},
		{"c", Message{Kind: Marker, From: "b", Epoch: 0, Marker: 7}, []Kind{ViewNotice}},
		{"c", Message{Kind: Marker, From: "b", Epoch: 1, Marker: 7}, []Kind{MarkerReply}},
		{"a", Message{Kind: AskBody, From: "c", Epoch: 1, Sequence: 1}, nil},
		{"a", Message{Kind: AskBody, From: "b", Epoch: 1, Sequence: 1}, []Kind{Append}},
	} {
		effects := l.machines[one.to].node.Receive(l.now, one.m)
		c := qt.Commentf("%+v", one.m)
		l.c.Assert(kinds(effects), qt.DeepEquals, one.want, c)
		l.c.Assert(effects.Persist, qt.HasLen, 0, c)
	}
}

func TestSealedReplicaOpensNothingAlsoAfterARestart(t *testing.T) {
	l := newCluster(t, 3, 3)
	l.mustWrite("a", 0, 1, "one")
	view := View{Epoch: 2, Members: l.view("a").Members, Chain: []MemberID{"a", "b"}}
	l.flights = nil
	l.do("b", func(n *Node) Effects { return n.Receive(l.now, Message{Kind: ViewNotice, View: view}) })
	l.do("b", func(n *Node) Effects { return n.Receive(l.now, Message{Kind: Seal, From: "c", Epoch: 2}) })
	l.restart("b")
	l.flights = nil
	opening := appendOf("a", 2, Entry{Sequence: 1, Version: 1, Body: []byte("one")})
	effects := l.machines["b"].node.Receive(l.now, opening)
	l.c.Assert(kinds(effects), qt.HasLen, 0)
	l.c.Assert(effects.Persist, qt.HasLen, 0)
	l.c.Assert(l.machines["b"].node.heartbeat().Sealed, qt.IsTrue)
}

func TestOpenReplicaSealsNothing(t *testing.T) {
	l := newCluster(t, 3, 3)
	effects := l.machines["b"].node.Receive(l.now, Message{Kind: Seal, From: "c", Epoch: 1})
	l.c.Assert(effects.Persist, qt.HasLen, 0)
}

func TestToldEpochOfAnEntrySurvivesARestart(t *testing.T) {
	l := newCluster(t, 3, 3)
	l.mustWrite("a", 0, 1, "one")
	l.machines["c"].down = true
	l.run(2 * time.Second)
	for _, id := range []MemberID{"a", "b"} {
		node := l.machines[id].node
		told := node.heartbeat().EntryEpoch
		l.c.Assert(told, qt.Equals, node.View().Epoch)
		restored, _, err := Open(l.machines[id].config, l.now, l.machines[id].records)
		l.c.Assert(err, qt.IsNil)
		l.c.Assert(restored.state.held.Epoch, qt.Equals, told)
	}
}

func TestMarkerOfAnEarlierLifeAnswersNothing(t *testing.T) {
	l := newCluster(t, 3, 3)
	l.mustWrite("a", 0, 1, "one")
	l.read("a")
	earlier := l.machines["a"].node.head.marker
	l.machines["a"].config.Random.Int63()
	l.restart("a")
	l.run(50 * time.Millisecond)
	l.drop = loseKind(Marker, "b")
	read := l.read("a")
	l.do("a", func(n *Node) Effects {
		return n.Receive(l.now, Message{Kind: MarkerReply, From: "c", Epoch: 1, Marker: earlier, Sequence: 1})
	})
	l.c.Assert(l.outcome("a", read), qt.Equals, Outcome(0))
}

func TestAnswersAreNeverBeforeTheirRecords(t *testing.T) {
	l := newCluster(t, 3, 3)
	l.mustWrite("a", 0, 1, "one")
	l.machines["c"].failing = true
	write := l.propose("a", 1, 2, "two")
	l.run(20 * time.Millisecond)
	l.c.Assert(l.outcome("a", write), qt.Equals, Outcome(0))
	entry, known := l.machines["c"].node.Committed()
	l.c.Assert(known, qt.IsTrue)
	l.c.Assert(string(entry.Body), qt.Equals, "one")
	l.c.Assert(l.machines["c"].node.heartbeat().Stalled, qt.IsTrue)
}

func TestSnapshotStandsForAllRecords(t *testing.T) {
	l := newCluster(t, 4, 3)
	l.mustWrite("a", 0, 1, "one")
	l.machines["c"].down = true
	l.run(3 * time.Second)
	l.mustWrite("a", 1, 2, "two")
	for _, id := range []MemberID{"a", "b", "d"} {
		snapshot := l.machines[id].node.SnapshotRecords()
		replayed, _, err := Open(l.machines[id].config, l.now, l.machines[id].records)
		l.c.Assert(err, qt.IsNil)
		restored, _, err := Open(l.machines[id].config, l.now, snapshot)
		l.c.Assert(err, qt.IsNil)
		l.c.Assert(replayed.View(), qt.DeepEquals, restored.View())
		l.c.Assert(replayed.state.held.Entry, qt.DeepEquals, restored.state.held.Entry)
		l.c.Assert(replayed.state.acceptor.promised, qt.Equals, restored.state.acceptor.promised)
		l.c.Assert(replayed.state.genesis, qt.DeepEquals, restored.state.genesis)
	}
}

func TestRecordsThatCannotBeReadAreRefused(t *testing.T) {
	c := qt.New(t)
	for _, record := range [][]byte{{}, {99}, {recordIdentity, 5, 'a'}, {recordView, 1}, {recordPosition}} {
		_, _, err := Open(Config{}, 0, [][]byte{record})
		c.Assert(err, qt.ErrorMatches, "chain: record of kind .*; start the release that wrote it, or empty .*")
	}
}

// TestRecordsEndInNoZeros: the log could take them for a sector that was not written.
func TestRecordsEndInNoZeros(t *testing.T) {
	l := newCluster(t, 4, 3)
	l.mustWrite("a", 0, 1, "one")
	l.machines["c"].down = true
	l.run(3 * time.Second)
	kinds := map[byte]bool{}
	for _, id := range l.order {
		for _, record := range l.machines[id].records {
			kinds[record[0]] = true
			l.c.Assert(record[len(record)-1], qt.Not(qt.Equals), byte(0), qt.Commentf("kind %d", record[0]))
		}
	}
	for _, kind := range []byte{recordGenesis, recordView, recordAcceptor, recordSuccessor, recordPosition} {
		l.c.Assert(kinds[kind], qt.IsTrue)
	}
}
