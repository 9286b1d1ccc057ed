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

// writeVersions writes a range of versions.
func (tc *testCluster) writeVersions(first, last int64) {
	tc.c.Helper()
	for version := first; version <= last; version++ {
		tc.mustWrite("a", version-1, version, fmt.Sprint("body ", version))
	}
}

func TestReplacedWriteIsAcknowledgedAgain(t *testing.T) {
	tc := newCluster(t, 4, 3)
	tc.writeVersions(1, 3)
	for _, at := range tc.order {
		tc.mustPropose(at, 0, 1, "body 1", Applied)
		tc.mustPropose(at, 1, 2, "body 2", Applied)
		tc.mustPropose(at, 1, 2, "other body", Conflict)
		tc.mustPropose(at, 0, 2, "body 1", Conflict)
		tc.mustRead(at, 3, "body 3")
	}
}

// TestConfirm asks for changes by their identity: those that were committed are acknowledged, those that
// never were are rejected, and one that could still be proposed is neither. Nothing is written.
func TestConfirm(t *testing.T) {
	tc := newCluster(t, 4, 3)
	tc.writeVersions(1, 3)
	for _, at := range tc.order {
		for _, tt := range []struct {
			expected, version int64
			body              string
			want              Outcome
		}{
			{2, 3, "body 3", Applied},
			{0, 1, "body 1", Applied},
			{1, 2, "other body", Conflict},
			{0, 2, "body 1", Conflict},
			{7, 8, "body 8", Conflict},
			{3, 4, "body 4", Unavailable},
		} {
			request := tc.confirm(at, tt.expected, tt.version, tt.body)
			tc.run(100 * time.Millisecond)
			tc.c.Assert(tc.outcome(at, request), qt.Equals, tt.want, qt.Commentf("%s: %v", at, tt))
		}
		tc.mustRead(at, 3, "body 3")
	}
	tc.mustPropose("b", 3, 4, "body 4", Applied)
}

// TestConfirmWaitsForThePendingWrite asks for the pending change and for another one that builds on it.
func TestConfirmWaitsForThePendingWrite(t *testing.T) {
	tc := newCluster(t, 3, 3)
	tc.writeVersions(1, 1)
	tc.propose("a", 1, 2, "body 2")
	pending, next := tc.confirm("a", 1, 2, "body 2"), tc.confirm("a", 2, 3, "body 3")
	tc.run(200 * time.Millisecond)
	tc.c.Assert(tc.outcome("a", pending), qt.Equals, Applied)
	tc.c.Assert(tc.outcome("a", next), qt.Equals, Unavailable)
	tc.mustRead("c", 2, "body 2")
}

// TestDigestsNameChanges identifies changes by the part of the body before a stroke, also after a restart.
func TestDigestsNameChanges(t *testing.T) {
	tc := newCluster(t, 3, 3)
	for _, id := range tc.order {
		tc.machines[id].config.DigestOf = func(body []byte) Digest {
			change, _, _ := strings.Cut(string(body), "|")
			return digestOfBody([]byte(change))
		}
		tc.restart(id)
	}
	tc.run(100 * time.Millisecond)
	tc.mustWrite("a", 0, 1, "first|document 1")
	tc.mustWrite("a", 1, 2, "second|document 2")
	tc.restart("c")
	tc.run(2 * time.Second)
	tc.mustRead("c", 2, "second|document 2")
	for _, change := range []string{"first", "second"} {
		request := tc.confirm("c", 0, int64(len(change)-4), change) // 1 and 2
		tc.run(100 * time.Millisecond)
		tc.c.Assert(tc.outcome("c", request), qt.Equals, Applied, qt.Commentf(change))
	}
}

// TestForgottenWriteIsNotRejected: what may have been committed before the oldest entry of the history is
// left open; what the history rules out is rejected.
func TestForgottenWriteIsNotRejected(t *testing.T) {
	tc := newCluster(t, 3, 3)
	for _, id := range tc.order {
		tc.machines[id].config.HistoryLength = 4
		tc.restart(id)
	}
	tc.run(100 * time.Millisecond)
	tc.mustWrite("a", 0, 2, "body 2")
	for version := int64(4); version <= 14; version += 2 {
		tc.mustWrite("a", version-2, version, fmt.Sprint("body ", version))
	}
	tc.c.Assert(tc.machines["c"].node.state.accepted.history, qt.HasLen, 4) // 6, 8, 10 and 12
	tc.mustPropose("b", 4, 6, "body 6", Applied)
	tc.mustPropose("b", 2, 4, "body 4", Unavailable)
	tc.mustPropose("b", 4, 5, "never in force, or forgotten", Unavailable)
	tc.mustPropose("b", 4, 6, "another body", Conflict)
	tc.mustPropose("b", 6, 7, "between two that are named", Conflict)
	tc.mustPropose("b", 15, 16, "above the current one", Conflict)
}

// TestWriteCostsTheSameAfterHundredsOfChanges counts what a write adds to messages and records, and retries
// earlier ones.
func TestWriteCostsTheSameAfterHundredsOfChanges(t *testing.T) {
	const changes = 600
	tc := newCluster(t, 3, 3)
	sent, repeated := 0, 0
	tc.drop = func(_, _ MemberID, m *Message) bool {
		if m.Kind == Append {
			sent += len(m.Body) + len(m.Digest) + len(m.History)*len(Digest{})
			repeated += len(m.History) / 2
		}
		return false
	}
	for version := int64(1); version <= changes; version++ {
		records, before := len(tc.machines["c"].records), sent
		tc.mustWrite("a", version-1, version, fmt.Sprint("body ", version))
		size := 0
		for _, record := range tc.machines["c"].records[records:] {
			size += len(record)
		}
		body := len(fmt.Sprint("body ", version))
		tc.c.Assert(size <= body+30, qt.IsTrue, qt.Commentf("%d bytes of records", size))
		tc.c.Assert(sent-before <= 2*(body+2*len(Digest{})), qt.IsTrue, qt.Commentf("%d bytes", sent-before))
	}
	tc.c.Assert(repeated, qt.Equals, 0)
	for version := int64(1); version <= changes; version += 37 {
		tc.mustPropose("b", version-1, version, fmt.Sprint("body ", version), Applied)
	}
	restored, _, err := Open(tc.machines["c"].config, tc.now, tc.machines["c"].records)
	tc.c.Assert(err, qt.IsNil)
	tc.c.Assert(restored.state.accepted.history, qt.DeepEquals, tc.machines["a"].node.state.accepted.history)
	tc.c.Assert(restored.state.accepted.history, qt.HasLen, changes-1)
}

// TestWriteAfterAMissedOneFetchesTheFullHistory: a replica that lacks the entry before a new one sends
// FetchBody.
func TestWriteAfterAMissedOneFetchesTheFullHistory(t *testing.T) {
	tc := newCluster(t, 3, 3)
	tc.writeVersions(1, 5)
	c := tc.machines["c"].node
	for _, behind := range []int{0, 2} {
		m := appendOf("b", 1, Entry{Sequence: 9, Version: 9, Body: []byte("nine")})
		m.Sequence += uint64(behind)
		m.History = []PastEntry{{Version: 8}}
		effects := c.Receive(tc.now, m)
		tc.c.Assert(kinds(effects), qt.DeepEquals, []Kind{FetchBody})
		tc.c.Assert(effects.Persist, qt.HasLen, 0)
	}
}

// TestTwoWritesOfOneStepArePersistedTogether: a chain of one commits all queued writes in one step.
func TestTwoWritesOfOneStepArePersistedTogether(t *testing.T) {
	tc := newCluster(t, 1, 1)
	tc.mustWrite("a", 0, 1, "one")
	tc.do("a", func(n *Node) Effects {
		n.begin(tc.now)
		for version := int64(2); version <= 4; version++ {
			n.acceptSuccessor(Entry{1, uint64(version), version, []byte("body")}, Digest{byte(version)})
		}
		return n.finish()
	})
	restored, _, err := Open(tc.machines["a"].config, tc.now, tc.machines["a"].records)
	tc.c.Assert(err, qt.IsNil)
	tc.c.Assert(restored.state.accepted.history, qt.DeepEquals, tc.machines["a"].node.state.accepted.history)
	tc.c.Assert(restored.state.accepted.history, qt.HasLen, 3)
}

func TestHistorySurvivesARestartOfAll(t *testing.T) {
	tc := newCluster(t, 3, 3)
	tc.writeVersions(1, 4)
	tc.inTransit = nil
	for _, id := range tc.order {
		tc.restart(id)
	}
	tc.run(200 * time.Millisecond)
	tc.mustPropose("c", 1, 2, "body 2", Applied)
	tc.mustPropose("c", 1, 2, "other body", Conflict)
}

func TestHistoryReachesAMemberThatMissedTheWrites(t *testing.T) {
	tc := newCluster(t, 3, 3)
	tc.writeVersions(1, 1)
	tc.machines["c"].down = true
	tc.run(2 * time.Second)
	tc.writeVersions(2, 4)
	tc.boot("c")
	tc.run(2 * time.Second)
	tc.mustChain("a", "a", "b", "c")
	tc.machines["a"].down, tc.machines["b"].down = true, false
	tc.run(2 * time.Second)
	tc.machines["b"].down = true
	tc.boot("a")
	tc.run(2 * time.Second)
	tc.mustChain("c", "c", "a")
	tc.mustPropose("c", 1, 2, "body 2", Applied)
}

func TestWriteThatWasNeverCommittedIsRejected(t *testing.T) {
	tc := newCluster(t, 3, 3)
	tc.mustWrite("a", 0, 1, "one")
	tc.drop = partition([]MemberID{"a"}, []MemberID{"b", "c"})
	tc.propose("a", 1, 2, "lost")
	tc.run(2 * time.Second)
	tc.mustWrite("b", 1, 2, "won")
	tc.mustWrite("b", 2, 3, "next")
	tc.drop = nil
	tc.run(2 * time.Second)
	tc.mustPropose("a", 1, 2, "lost", Conflict)
	tc.mustPropose("a", 1, 2, "won", Applied)
}

// TestLogWithoutAHistoryIsRead reads the log of a release that persisted no history.
func TestLogWithoutAHistoryIsRead(t *testing.T) {
	tc := newCluster(t, 3, 3)
	tc.writeVersions(1, 2)
	for _, id := range tc.order {
		m := tc.machines[id]
		var retained [][]byte
		for _, record := range m.records {
			if record[0] == recordHistory {
				continue
			}
			if record[0] == recordSuccessor { // that release wrote each entry in full
				record = append([]byte{recordEntry}, record[1:]...)
			}
			retained = append(retained, record)
		}
		m.records = retained
		tc.restart(id)
	}
	tc.run(500 * time.Millisecond)
	tc.mustPropose("b", 0, 1, "body 1", Unavailable) // it may have been committed
	tc.mustWrite("b", 2, 3, "body 3")
	tc.mustPropose("b", 1, 2, "body 2", Applied)
}
