package chain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// mustPropose proposes a write at a node and checks its outcome.
func (tc *testCluster) mustPropose(at MemberID, expected, version int64, body string, want Outcome) {
	tc.c.Helper()
	request := tc.propose(at, expected, version, body)
	tc.run(100 * time.Millisecond)
	tc.c.Assert(tc.outcome(at, request), qt.Equals, want, qt.Commentf("version %d, %q", version, body))
}

// writeVersions makes one write for each version of a range.
func (tc *testCluster) writeVersions(first, last int64) {
	tc.c.Helper()
	for version := first; version <= last; version++ {
		tc.mustWrite("a", version-1, version, fmt.Sprint("body ", version))
	}
}

func TestReplacedWriteIsAcknowledgedAgain(t *testing.T) {
	cluster := newCluster(t, 4, 3)
	cluster.writeVersions(1, 3)
	for _, at := range cluster.order {
		cluster.mustPropose(at, 0, 1, "body 1", Applied)
		cluster.mustPropose(at, 1, 2, "body 2", Applied)
		cluster.mustPropose(at, 1, 2, "other body", Conflict)
		cluster.mustPropose(at, 0, 2, "body 1", Conflict)
		cluster.mustRead(at, 3, "body 3")
	}
}

// TestOutcomesOfConfirm confirms changes by their IDs: those that were committed are acknowledged, those that
// never were are rejected, and one that could still be proposed is neither. Nothing is written.
func TestOutcomesOfConfirm(t *testing.T) {
	cluster := newCluster(t, 4, 3)
	cluster.writeVersions(1, 3)
	for _, at := range cluster.order {
		for _, test := range []struct {
			name              string
			expected, version int64
			body              string
			want              Outcome
		}{
			{"current version", 2, 3, "body 3", Applied},
			{"earlier version", 0, 1, "body 1", Applied},
			{"another body of an earlier version", 1, 2, "other body", Conflict},
			{"another expected version", 0, 2, "body 1", Conflict},
			{"expected version above the current one", 7, 8, "body 8", Conflict},
			{"change that may still be proposed", 3, 4, "body 4", Unavailable},
		} {
			request := cluster.confirm(at, test.expected, test.version, test.body)
			cluster.run(100 * time.Millisecond)
			cluster.c.Assert(cluster.outcome(at, request), qt.Equals, test.want, qt.Commentf("%s: %s", at, test.name))
		}
		cluster.mustRead(at, 3, "body 3")
	}
	cluster.mustPropose("b", 3, 4, "body 4", Applied)
}

// TestConfirmWaitsForThePendingWrite confirms the pending change and another one that follows it.
func TestConfirmWaitsForThePendingWrite(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.writeVersions(1, 1)
	cluster.propose("a", 1, 2, "body 2")
	pending, next := cluster.confirm("a", 1, 2, "body 2"), cluster.confirm("a", 2, 3, "body 3")
	cluster.run(200 * time.Millisecond)
	cluster.c.Assert(cluster.outcome("a", pending), qt.Equals, Applied)
	cluster.c.Assert(cluster.outcome("a", next), qt.Equals, Unavailable)
	cluster.mustRead("c", 2, "body 2")
}

// TestChangesAreIdentifiedByTheConfiguredDigest sets a DigestOf that covers only the part of the body before
// a vertical bar, and confirms changes by it after a restart of the tail.
func TestChangesAreIdentifiedByTheConfiguredDigest(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	for _, id := range cluster.order {
		cluster.machines[id].config.DigestOf = func(body []byte) Digest {
			change, _, _ := strings.Cut(string(body), "|")
			return digestOfBody([]byte(change))
		}
		cluster.restart(id)
	}
	cluster.run(100 * time.Millisecond)
	cluster.mustWrite("a", 0, 1, "first|document 1")
	cluster.mustWrite("a", 1, 2, "second|document 2")
	cluster.restart("c")
	cluster.run(2 * time.Second)
	cluster.mustRead("c", 2, "second|document 2")
	for _, change := range []string{"first", "second"} {
		request := cluster.confirm("c", 0, int64(len(change)-4), change) // 1 and 2
		cluster.run(100 * time.Millisecond)
		cluster.c.Assert(cluster.outcome("c", request), qt.Equals, Applied, qt.Commentf(change))
	}
}

// TestWriteOlderThanTheHistoryIsNotRejected: a write that may have been committed before the oldest entry of
// the history is answered Unavailable; a write that the history rules out is answered Conflict.
func TestWriteOlderThanTheHistoryIsNotRejected(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	for _, id := range cluster.order {
		cluster.machines[id].config.HistoryLength = 4
		cluster.restart(id)
	}
	cluster.run(100 * time.Millisecond)
	cluster.mustWrite("a", 0, 2, "body 2")
	for version := int64(4); version <= 14; version += 2 {
		cluster.mustWrite("a", version-2, version, fmt.Sprint("body ", version))
	}
	cluster.c.Assert(cluster.machines["c"].node.state.accepted.history, qt.HasLen, 4) // 6, 8, 10 and 12
	cluster.mustPropose("b", 4, 6, "body 6", Applied)
	cluster.mustPropose("b", 2, 4, "body 4", Unavailable)
	cluster.mustPropose("b", 4, 5, "never committed, but older than the history", Unavailable)
	cluster.mustPropose("b", 4, 6, "another body", Conflict)
	cluster.mustPropose("b", 6, 7, "between two versions of the history", Conflict)
	cluster.mustPropose("b", 15, 16, "expected version above the current one", Conflict)
}

// TestWriteCostDoesNotGrowWithTheHistory bounds the bytes that each of many writes adds to messages and to
// records. It then repeats earlier writes, which the head has to find in the history.
func TestWriteCostDoesNotGrowWithTheHistory(t *testing.T) {
	const changes = 600
	cluster := newCluster(t, 3, 3)
	sent, repeated := 0, 0
	cluster.drop = func(_, _ MemberID, m *Message) bool {
		if m.Kind == Append {
			sent += len(m.Body) + len(m.Digest) + len(m.History)*len(Digest{})
			repeated += len(m.History) / 2
		}
		return false
	}
	for version := int64(1); version <= changes; version++ {
		records, before := len(cluster.machines["c"].records), sent
		cluster.mustWrite("a", version-1, version, fmt.Sprint("body ", version))
		size := 0
		for _, record := range cluster.machines["c"].records[records:] {
			size += len(record)
		}
		body := len(fmt.Sprint("body ", version))
		cluster.c.Assert(size <= body+30, qt.IsTrue, qt.Commentf("%d bytes of records", size))
		cluster.c.Assert(sent-before <= 2*(body+2*len(Digest{})), qt.IsTrue, qt.Commentf("%d bytes", sent-before))
	}
	cluster.c.Assert(repeated, qt.Equals, 0)
	for version := int64(1); version <= changes; version += 37 {
		cluster.mustPropose("b", version-1, version, fmt.Sprint("body ", version), Applied)
	}
	restored, _, err := Open(cluster.machines["c"].config, cluster.now, cluster.machines["c"].records)
	cluster.c.Assert(err, qt.IsNil)
	cluster.c.Assert(restored.state.accepted.history, qt.DeepEquals,
		cluster.machines["a"].node.state.accepted.history)
	cluster.c.Assert(restored.state.accepted.history, qt.HasLen, changes-1)
}

// TestWriteAfterAMissedOneFetchesTheFullHistory: a replica that receives a new write but lacks the entry
// before it sends FetchBody, as it can't derive the history.
func TestWriteAfterAMissedOneFetchesTheFullHistory(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.writeVersions(1, 5)
	tail := cluster.machines["c"].node
	for _, behind := range []int{0, 2} {
		message := appendWithBody("b", 1, Entry{Sequence: 9, Version: 9, Body: []byte("nine")})
		message.Sequence += uint64(behind)
		message.History = []PastEntry{{Version: 8}}
		effects := tail.Receive(cluster.now, message)
		cluster.c.Assert(kinds(effects), qt.DeepEquals, []Kind{FetchBody})
		cluster.c.Assert(effects.Persist, qt.HasLen, 0)
	}
}

// TestWritesOfOneStepArePersistedTogether accepts several entries in one step, as the only replica of a chain
// does with queued writes. The step's records restore all of them.
func TestWritesOfOneStepArePersistedTogether(t *testing.T) {
	cluster := newCluster(t, 1, 1)
	cluster.mustWrite("a", 0, 1, "one")
	cluster.do("a", func(n *Node) Effects {
		n.begin(cluster.now)
		for version := int64(2); version <= 4; version++ {
			n.acceptSuccessor(Entry{1, uint64(version), version, []byte("body")}, Digest{byte(version)})
		}
		return n.finish()
	})
	restored, _, err := Open(cluster.machines["a"].config, cluster.now, cluster.machines["a"].records)
	cluster.c.Assert(err, qt.IsNil)
	cluster.c.Assert(restored.state.accepted.history, qt.DeepEquals,
		cluster.machines["a"].node.state.accepted.history)
	cluster.c.Assert(restored.state.accepted.history, qt.HasLen, 3)
}

func TestHistorySurvivesARestartOfAll(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.writeVersions(1, 4)
	cluster.inTransit = nil
	for _, id := range cluster.order {
		cluster.restart(id)
	}
	cluster.run(200 * time.Millisecond)
	cluster.mustPropose("c", 1, 2, "body 2", Applied)
	cluster.mustPropose("c", 1, 2, "other body", Conflict)
}

func TestHistoryReachesAMemberThatMissedTheWrites(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.writeVersions(1, 1)
	cluster.machines["c"].down = true
	cluster.run(2 * time.Second)
	cluster.writeVersions(2, 4)
	cluster.boot("c")
	cluster.run(2 * time.Second)
	cluster.mustChain("a", "a", "b", "c")
	cluster.machines["a"].down, cluster.machines["b"].down = true, false
	cluster.run(2 * time.Second)
	cluster.machines["b"].down = true
	cluster.boot("a")
	cluster.run(2 * time.Second)
	cluster.mustChain("c", "c", "a")
	cluster.mustPropose("c", 1, 2, "body 2", Applied)
}

func TestWriteThatWasNeverCommittedIsRejected(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.mustWrite("a", 0, 1, "one")
	cluster.drop = partition([]MemberID{"a"}, []MemberID{"b", "c"})
	cluster.propose("a", 1, 2, "lost")
	cluster.run(2 * time.Second)
	cluster.mustWrite("b", 1, 2, "won")
	cluster.mustWrite("b", 2, 3, "next")
	cluster.drop = nil
	cluster.run(2 * time.Second)
	cluster.mustPropose("a", 1, 2, "lost", Conflict)
	cluster.mustPropose("a", 1, 2, "won", Applied)
}

// TestLogWithoutAHistoryIsRead opens nodes with the log of a release that persisted no history.
func TestLogWithoutAHistoryIsRead(t *testing.T) {
	cluster := newCluster(t, 3, 3)
	cluster.writeVersions(1, 2)
	for _, id := range cluster.order {
		machine := cluster.machines[id]
		var retained [][]byte
		for _, record := range machine.records {
			if record[0] == recordHistory {
				continue
			}
			if record[0] == recordSuccessor { // that release persisted each entry as a recordEntry
				record = append([]byte{recordEntry}, record[1:]...)
			}
			retained = append(retained, record)
		}
		machine.records = retained
		cluster.restart(id)
	}
	cluster.run(500 * time.Millisecond)
	cluster.mustPropose("b", 0, 1, "body 1", Unavailable) // without a history it may have been committed
	cluster.mustWrite("b", 2, 3, "body 3")
	cluster.mustPropose("b", 1, 2, "body 2", Applied)
}
