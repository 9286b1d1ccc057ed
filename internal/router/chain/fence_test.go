package chain

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// appendOf returns the message by which a predecessor replicates an entry.
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
	tc := newCluster(t, 3, 3)
	tc.mustWrite("a", 0, 1, "one")
	next := Entry{Sequence: 2, Version: 2, Body: []byte("two")}
	for _, tt := range []struct {
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
		{"a", Message{Kind: FetchBody, From: "c", Epoch: 1, Sequence: 1}, nil},
		{"a", Message{Kind: FetchBody, From: "b", Epoch: 1, Sequence: 1}, []Kind{Append}},
	} {
		effects := tc.machines[tt.to].node.Receive(tc.now, tt.m)
		c := qt.Commentf("%+v", tt.m)
		tc.c.Assert(kinds(effects), qt.DeepEquals, tt.want, c)
		tc.c.Assert(effects.Persist, qt.HasLen, 0, c)
	}
}

func TestSealedReplicaOpensNothingAlsoAfterARestart(t *testing.T) {
	tc := newCluster(t, 3, 3)
	tc.mustWrite("a", 0, 1, "one")
	view := View{Epoch: 2, Members: tc.view("a").Members, Chain: []MemberID{"a", "b"}}
	tc.inTransit = nil
	tc.do("b", func(n *Node) Effects { return n.Receive(tc.now, Message{Kind: ViewNotice, View: view}) })
	tc.do("b", func(n *Node) Effects { return n.Receive(tc.now, Message{Kind: Seal, From: "c", Epoch: 2}) })
	tc.restart("b")
	tc.inTransit = nil
	opening := appendOf("a", 2, Entry{Sequence: 1, Version: 1, Body: []byte("one")})
	effects := tc.machines["b"].node.Receive(tc.now, opening)
	tc.c.Assert(kinds(effects), qt.HasLen, 0)
	tc.c.Assert(effects.Persist, qt.HasLen, 0)
	tc.c.Assert(tc.machines["b"].node.heartbeat().Sealed, qt.IsTrue)
}

func TestOpenReplicaSealsNothing(t *testing.T) {
	tc := newCluster(t, 3, 3)
	effects := tc.machines["b"].node.Receive(tc.now, Message{Kind: Seal, From: "c", Epoch: 1})
	tc.c.Assert(effects.Persist, qt.HasLen, 0)
}

func TestReportedEpochOfAnEntrySurvivesARestart(t *testing.T) {
	tc := newCluster(t, 3, 3)
	tc.mustWrite("a", 0, 1, "one")
	tc.machines["c"].down = true
	tc.run(2 * time.Second)
	for _, id := range []MemberID{"a", "b"} {
		node := tc.machines[id].node
		reported := node.heartbeat().EntryEpoch
		tc.c.Assert(reported, qt.Equals, node.View().Epoch)
		restored, _, err := Open(tc.machines[id].config, tc.now, tc.machines[id].records)
		tc.c.Assert(err, qt.IsNil)
		tc.c.Assert(restored.state.accepted.Epoch, qt.Equals, reported)
	}
}

func TestMarkerOfAnEarlierIncarnationAnswersNothing(t *testing.T) {
	tc := newCluster(t, 3, 3)
	tc.mustWrite("a", 0, 1, "one")
	tc.read("a")
	earlier := tc.machines["a"].node.head.marker
	tc.machines["a"].config.Random.Int63()
	tc.restart("a")
	tc.run(50 * time.Millisecond)
	tc.drop = dropKind(Marker, "b")
	read := tc.read("a")
	tc.do("a", func(n *Node) Effects {
		return n.Receive(tc.now, Message{Kind: MarkerReply, From: "c", Epoch: 1, Marker: earlier, Sequence: 1})
	})
	tc.c.Assert(tc.outcome("a", read), qt.Equals, Outcome(0))
}

func TestAnswersAreNeverBeforeTheirRecords(t *testing.T) {
	tc := newCluster(t, 3, 3)
	tc.mustWrite("a", 0, 1, "one")
	tc.machines["c"].failing = true
	write := tc.propose("a", 1, 2, "two")
	tc.run(20 * time.Millisecond)
	tc.c.Assert(tc.outcome("a", write), qt.Equals, Outcome(0))
	entry, ok := tc.machines["c"].node.Committed()
	tc.c.Assert(ok, qt.IsTrue)
	tc.c.Assert(string(entry.Body), qt.Equals, "one")
	tc.c.Assert(tc.machines["c"].node.heartbeat().Stalled, qt.IsTrue)
}

func TestSnapshotStandsForAllRecords(t *testing.T) {
	tc := newCluster(t, 4, 3)
	tc.mustWrite("a", 0, 1, "one")
	tc.machines["c"].down = true
	tc.run(3 * time.Second)
	tc.mustWrite("a", 1, 2, "two")
	for _, id := range []MemberID{"a", "b", "d"} {
		snapshot := tc.machines[id].node.SnapshotRecords()
		replayed, _, err := Open(tc.machines[id].config, tc.now, tc.machines[id].records)
		tc.c.Assert(err, qt.IsNil)
		restored, _, err := Open(tc.machines[id].config, tc.now, snapshot)
		tc.c.Assert(err, qt.IsNil)
		tc.c.Assert(replayed.View(), qt.DeepEquals, restored.View())
		tc.c.Assert(replayed.state.accepted.Entry, qt.DeepEquals, restored.state.accepted.Entry)
		tc.c.Assert(replayed.state.acceptor.promised, qt.Equals, restored.state.acceptor.promised)
		tc.c.Assert(replayed.state.genesis, qt.DeepEquals, restored.state.genesis)
	}
}

func TestRecordsThatCannotBeReadAreRejected(t *testing.T) {
	c := qt.New(t)
	for _, record := range [][]byte{{}, {99}, {recordIdentity, 5, 'a'}, {recordView, 1}, {recordPosition}} {
		_, _, err := Open(Config{}, 0, [][]byte{record})
		c.Assert(err, qt.ErrorMatches, "chain: record of kind .*; start the release that wrote it, or empty .*")
	}
}

// TestRecordsEndInNoZeros: the log could take zeros for a sector that was never written.
func TestRecordsEndInNoZeros(t *testing.T) {
	tc := newCluster(t, 4, 3)
	tc.mustWrite("a", 0, 1, "one")
	tc.machines["c"].down = true
	tc.run(3 * time.Second)
	kinds := map[byte]bool{}
	for _, id := range tc.order {
		for _, record := range tc.machines[id].records {
			kinds[record[0]] = true
			tc.c.Assert(record[len(record)-1], qt.Not(qt.Equals), byte(0), qt.Commentf("kind %d", record[0]))
		}
	}
	for _, kind := range []byte{recordGenesis, recordView, recordAcceptor, recordSuccessor, recordPosition} {
		tc.c.Assert(kinds[kind], qt.IsTrue)
	}
}
