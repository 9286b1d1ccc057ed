package chain

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// appendWithBody returns the Append message, with a body, by which a predecessor replicates an entry.
func appendWithBody(from MemberID, epoch uint64, entry Entry) Message {
	digest := digestOfBody(entry.Body)
	return Message{
		Kind: Append, From: from, Epoch: epoch, Sequence: entry.Sequence, Version: entry.Version,
		Digest: digest[:], HasBody: true, Body: entry.Body,
	}
}

// kinds returns the kinds of the messages in effects, in their order.
func kinds(effects Effects) []Kind {
	var all []Kind
	for _, envelope := range effects.Messages {
		all = append(all, envelope.Message.Kind)
	}
	return all
}

func TestReplicationMessagesAreValidOnlyFromNeighborsInTheSameEpoch(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.mustWrite("a", 0, 1, "one")
	next := Entry{Sequence: 2, Version: 2, Body: []byte("two")}
	for _, test := range []struct {
		name    string
		to      MemberID
		message Message
		want    []Kind
	}{
		{"entry from a replica that is not the predecessor", "c", appendWithBody("a", 1, next), nil},
		{"entry from the successor", "b", appendWithBody("c", 1, next), nil},
		{"entry of an earlier epoch", "b", appendWithBody("a", 0, next), []Kind{ViewNotice}},
		{"entry of a later epoch", "b", appendWithBody("a", 2, next), []Kind{Heartbeat}},
		{"entry of a lower sequence", "b", appendWithBody("a", 1, Entry{Sequence: 0}), nil},
		{"another entry of the same sequence", "b",
			appendWithBody("a", 1, Entry{Sequence: 1, Version: 1, Body: []byte("other")}), nil},
		{"same entry again", "b",
			appendWithBody("a", 1, Entry{Sequence: 1, Version: 1, Body: []byte("one")}), []Kind{Append}},
		{"acknowledgement from a replica that is not the tail", "a",
			Message{Kind: Ack, From: "b", Epoch: 1, Sequence: 2}, nil},
		{"acknowledgement of an earlier epoch", "a",
			Message{Kind: Ack, From: "c", Epoch: 0, Sequence: 1}, []Kind{ViewNotice}},
		{"marker from a replica that is not the predecessor", "c",
			Message{Kind: Marker, From: "a", Epoch: 1, Marker: 7}, nil},
		{"marker of an earlier epoch", "c",
			Message{Kind: Marker, From: "b", Epoch: 0, Marker: 7}, []Kind{ViewNotice}},
		{"marker from the predecessor", "c",
			Message{Kind: Marker, From: "b", Epoch: 1, Marker: 7}, []Kind{MarkerReply}},
		{"request for a body from a replica that is not the successor", "a",
			Message{Kind: FetchBody, From: "c", Epoch: 1, Sequence: 1}, nil},
		{"request for a body from the successor", "a",
			Message{Kind: FetchBody, From: "b", Epoch: 1, Sequence: 1}, []Kind{Append}},
	} {
		effects := cluster.machines[test.to].node.Receive(cluster.now, test.message)
		comment := qt.Commentf("%s: %+v", test.name, test.message)
		cluster.c.Assert(kinds(effects), qt.DeepEquals, test.want, comment)
		cluster.c.Assert(effects.Persist, qt.HasLen, 0, comment)
	}
}

func TestSealedReplicaAcceptsNoEntryEvenAfterARestart(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.mustWrite("a", 0, 1, "one")
	view := View{Epoch: 2, Members: cluster.view("a").Members, Chain: []MemberID{"a", "b"}}
	cluster.inTransit = nil
	cluster.do("b", func(n *Node) Effects {
		return n.Receive(cluster.now, Message{Kind: ViewNotice, View: view})
	})
	cluster.do("b", func(n *Node) Effects {
		return n.Receive(cluster.now, Message{Kind: Seal, From: "c", Epoch: 2})
	})
	cluster.restart("b")
	cluster.inTransit = nil
	opening := appendWithBody("a", 2, Entry{Sequence: 1, Version: 1, Body: []byte("one")})
	effects := cluster.machines["b"].node.Receive(cluster.now, opening)
	cluster.c.Assert(kinds(effects), qt.HasLen, 0)
	cluster.c.Assert(effects.Persist, qt.HasLen, 0)
	cluster.c.Assert(cluster.machines["b"].node.heartbeat().Sealed, qt.IsTrue)
}

func TestOpenReplicaIgnoresSeal(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	effects := cluster.machines["b"].node.Receive(cluster.now, Message{Kind: Seal, From: "c", Epoch: 1})
	cluster.c.Assert(effects.Persist, qt.HasLen, 0)
}

func TestReportedEpochOfAnEntrySurvivesARestart(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.mustWrite("a", 0, 1, "one")
	cluster.machines["c"].down = true
	cluster.run(2 * time.Second)
	for _, id := range []MemberID{"a", "b"} {
		node := cluster.machines[id].node
		reported := node.heartbeat().EntryEpoch
		cluster.c.Assert(reported, qt.Equals, node.View().Epoch)
		restored, _, err := Open(cluster.machines[id].config, cluster.now, cluster.machines[id].records)
		cluster.c.Assert(err, qt.IsNil)
		cluster.c.Assert(restored.state.accepted.Epoch, qt.Equals, reported)
	}
}

func TestMarkerReplyToAnEarlierIncarnationIsIgnored(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.mustWrite("a", 0, 1, "one")
	cluster.read("a")
	earlier := cluster.machines["a"].node.head.marker
	cluster.machines["a"].config.Random.Int63()
	cluster.restart("a")
	cluster.run(50 * time.Millisecond)
	cluster.drop = dropKind(Marker, "b")
	read := cluster.read("a")
	cluster.do("a", func(n *Node) Effects {
		return n.Receive(cluster.now, Message{Kind: MarkerReply, From: "c", Epoch: 1, Marker: earlier, Sequence: 1})
	})
	cluster.c.Assert(cluster.outcome("a", read), qt.Equals, Outcome(0))
}

func TestNoReplyBeforeItsRecordsAreDurable(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.mustWrite("a", 0, 1, "one")
	cluster.machines["c"].failing = true
	write := cluster.propose("a", 1, 2, "two")
	cluster.run(20 * time.Millisecond)
	cluster.c.Assert(cluster.outcome("a", write), qt.Equals, Outcome(0))
	entry, ok := cluster.machines["c"].node.Committed()
	cluster.c.Assert(ok, qt.IsTrue)
	cluster.c.Assert(string(entry.Body), qt.Equals, "one")
	cluster.c.Assert(cluster.machines["c"].node.heartbeat().Stalled, qt.IsTrue)
}

func TestSnapshotReplacesAllRecords(t *testing.T) {
	cluster := newCluster(t, 4, 3)
	cluster.mustWrite("a", 0, 1, "one")
	cluster.machines["c"].down = true
	cluster.run(3 * time.Second)
	cluster.mustWrite("a", 1, 2, "two")
	for _, id := range []MemberID{"a", "b", "d"} {
		snapshot := cluster.machines[id].node.SnapshotRecords()
		replayed, _, err := Open(cluster.machines[id].config, cluster.now, cluster.machines[id].records)
		cluster.c.Assert(err, qt.IsNil)
		restored, _, err := Open(cluster.machines[id].config, cluster.now, snapshot)
		cluster.c.Assert(err, qt.IsNil)
		cluster.c.Assert(replayed.View(), qt.DeepEquals, restored.View())
		cluster.c.Assert(replayed.state.accepted.Entry, qt.DeepEquals, restored.state.accepted.Entry)
		cluster.c.Assert(replayed.state.acceptor.promised, qt.Equals, restored.state.acceptor.promised)
		cluster.c.Assert(replayed.state.acceptedFirstView, qt.DeepEquals, restored.state.acceptedFirstView)
	}
}

func TestUnreadableRecordsAreRejected(t *testing.T) {
	c := qt.New(t)
	for _, record := range [][]byte{{}, {99}, {recordIdentity, 5, 'a'}, {recordView, 1}, {recordPosition}} {
		_, _, err := Open(Config{}, 0, [][]byte{record})
		c.Assert(err, qt.ErrorMatches, "chain: record of kind .*; start the release that wrote it, or empty .*")
	}
}

// TestRecordsDoNotEndInZeros: the log could mistake trailing zeros for a sector that was never written.
func TestRecordsDoNotEndInZeros(t *testing.T) {
	cluster := newCluster(t, 4, 3)
	cluster.mustWrite("a", 0, 1, "one")
	cluster.machines["c"].down = true
	cluster.run(3 * time.Second)
	kinds := map[byte]bool{}
	for _, id := range cluster.order {
		for _, record := range cluster.machines[id].records {
			kinds[record[0]] = true
			cluster.c.Assert(record[len(record)-1], qt.Not(qt.Equals), byte(0), qt.Commentf("kind %d", record[0]))
		}
	}
	for _, kind := range []byte{recordFirstView, recordView, recordAcceptor, recordSuccessor, recordPosition} {
		cluster.c.Assert(kinds[kind], qt.IsTrue)
	}
}
