package chain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// mustAnswer proposes a write at a node and checks its outcome.
func (l *cluster) mustAnswer(at MemberID, expected, version int64, body string, want Outcome) {
	l.c.Helper()
	request := l.propose(at, expected, version, body)
	l.run(100 * time.Millisecond)
	l.c.Assert(l.outcome(at, request), qt.Equals, want, qt.Commentf("version %d, %q", version, body))
}

// writeVersions writes versions one behind the other.
func (l *cluster) writeVersions(first, last int64) {
	l.c.Helper()
	for version := first; version <= last; version++ {
		l.mustWrite("a", version-1, version, fmt.Sprint("body ", version))
	}
}

func TestReplacedWriteIsAcknowledgedAgain(t *testing.T) {
	l := newCluster(t, 4, 3)
	l.writeVersions(1, 3)
	for _, at := range l.order {
		l.mustAnswer(at, 0, 1, "body 1", Applied)
		l.mustAnswer(at, 1, 2, "body 2", Applied)
		l.mustAnswer(at, 1, 2, "other body", Conflict)
		l.mustAnswer(at, 0, 2, "body 1", Conflict)
		l.mustRead(at, 3, "body 3")
	}
}

// TestConfirm asks for changes by name: those that were committed are acknowledged, those that never were are
// refused, and one that could still be proposed is neither. Nothing is written.
func TestConfirm(t *testing.T) {
	l := newCluster(t, 4, 3)
	l.writeVersions(1, 3)
	for _, at := range l.order {
		for _, one := range []struct {
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
			request := l.confirm(at, one.expected, one.version, one.body)
			l.run(100 * time.Millisecond)
			l.c.Assert(l.outcome(at, request), qt.Equals, one.want, qt.Commentf("%s: %v", at, one))
		}
		l.mustRead(at, 3, "body 3")
	}
	l.mustAnswer("b", 3, 4, "body 4", Applied)
}

// TestConfirmWaitsForThePendingWrite asks for the change that is on its way down the chain, and for another
// one that builds on it.
func TestConfirmWaitsForThePendingWrite(t *testing.T) {
	l := newCluster(t, 3, 3)
	l.writeVersions(1, 1)
	l.propose("a", 1, 2, "body 2")
	pending, next := l.confirm("a", 1, 2, "body 2"), l.confirm("a", 2, 3, "body 3")
	l.run(200 * time.Millisecond)
	l.c.Assert(l.outcome("a", pending), qt.Equals, Applied)
	l.c.Assert(l.outcome("a", next), qt.Equals, Unavailable)
	l.mustRead("c", 2, "body 2")
}

// TestDigestsNameChanges has entries named by the part of their body before a stroke, also after a restart.
func TestDigestsNameChanges(t *testing.T) {
	l := newCluster(t, 3, 3)
	for _, id := range l.order {
		l.machines[id].config.DigestOf = func(body []byte) Digest {
			change, _, _ := strings.Cut(string(body), "|")
			return digestOfBody([]byte(change))
		}
		l.restart(id)
	}
	l.run(100 * time.Millisecond)
	l.mustWrite("a", 0, 1, "first|document 1")
	l.mustWrite("a", 1, 2, "second|document 2")
	l.restart("c")
	l.run(2 * time.Second)
	l.mustRead("c", 2, "second|document 2")
	for _, change := range []string{"first", "second"} {
		request := l.confirm("c", 0, int64(len(change)-4), change) // 1 and 2
		l.run(100 * time.Millisecond)
		l.c.Assert(l.outcome("c", request), qt.Equals, Applied, qt.Commentf(change))
	}
}

// TestForgottenWriteIsNotRefused: what may have been in force before all that the history names gets no clear
// answer; what the history rules out is refused.
func TestForgottenWriteIsNotRefused(t *testing.T) {
	l := newCluster(t, 3, 3)
	for _, id := range l.order {
		l.machines[id].config.HistoryLength = 4
		l.restart(id)
	}
	l.run(100 * time.Millisecond)
	l.mustWrite("a", 0, 2, "body 2")
	for version := int64(4); version <= 14; version += 2 {
		l.mustWrite("a", version-2, version, fmt.Sprint("body ", version))
	}
	l.c.Assert(l.machines["c"].node.state.held.history, qt.HasLen, 4) // 6, 8, 10 and 12
	l.mustAnswer("b", 4, 6, "body 6", Applied)
	l.mustAnswer("b", 2, 4, "body 4", Unavailable)
	l.mustAnswer("b", 4, 5, "never in force, or forgotten", Unavailable)
	l.mustAnswer("b", 4, 6, "another body", Conflict)
	l.mustAnswer("b", 6, 7, "between two that are named", Conflict)
	l.mustAnswer("b", 15, 16, "above the current one", Conflict)
}

// TestWriteCostsTheSameAfterHundredsOfChanges counts what a write adds to messages and records, and sends
// each of the earlier ones again.
func TestWriteCostsTheSameAfterHundredsOfChanges(t *testing.T) {
	const changes = 600
	l := newCluster(t, 3, 3)
	sent, whole := 0, 0
	l.drop = func(_, _ MemberID, m *Message) bool {
		if m.Kind == Append {
			sent += len(m.Body) + len(m.Digest) + len(m.History)*len(Digest{})
			whole += len(m.History) / 2
		}
		return false
	}
	for version := int64(1); version <= changes; version++ {
		records, before := len(l.machines["c"].records), sent
		l.mustWrite("a", version-1, version, fmt.Sprint("body ", version))
		size := 0
		for _, record := range l.machines["c"].records[records:] {
			size += len(record)
		}
		body := len(fmt.Sprint("body ", version))
		l.c.Assert(size <= body+30, qt.IsTrue, qt.Commentf("%d bytes of records", size))
		l.c.Assert(sent-before <= 2*(body+2*len(Digest{})), qt.IsTrue, qt.Commentf("%d bytes", sent-before))
	}
	l.c.Assert(whole, qt.Equals, 0)
	for version := int64(1); version <= changes; version += 37 {
		l.mustAnswer("b", version-1, version, fmt.Sprint("body ", version), Applied)
	}
	restored, _, err := Open(l.machines["c"].config, l.now, l.machines["c"].records)
	l.c.Assert(err, qt.IsNil)
	l.c.Assert(restored.state.held.history, qt.DeepEquals, l.machines["a"].node.state.held.history)
	l.c.Assert(restored.state.held.history, qt.HasLen, changes-1)
}

// TestWriteBehindAMissedOneBringsTheWholeHistory: a replica that lacks the entry before a new one asks.
func TestWriteBehindAMissedOneBringsTheWholeHistory(t *testing.T) {
	l := newCluster(t, 3, 3)
	l.writeVersions(1, 5)
	c := l.machines["c"].node
	for _, behind := range []int{0, 2} {
		m := appendOf("b", 1, Entry{Sequence: 9, Version: 9, Body: []byte("nine")})
		m.Sequence += uint64(behind)
		m.History = []PastEntry{{Version: 8}}
		effects := c.Receive(l.now, m)
		l.c.Assert(kinds(effects), qt.DeepEquals, []Kind{AskBody})
		l.c.Assert(effects.Persist, qt.HasLen, 0)
	}
}

// TestTwoWritesOfOneStepArePersistedAsAWhole: a chain of one commits all that waits in one step.
func TestTwoWritesOfOneStepArePersistedAsAWhole(t *testing.T) {
	l := newCluster(t, 1, 1)
	l.mustWrite("a", 0, 1, "one")
	l.do("a", func(n *Node) Effects {
		n.begin(l.now)
		for version := int64(2); version <= 4; version++ {
			n.extendHeld(Entry{1, uint64(version), version, []byte("body")}, Digest{byte(version)})
		}
		return n.finish()
	})
	restored, _, err := Open(l.machines["a"].config, l.now, l.machines["a"].records)
	l.c.Assert(err, qt.IsNil)
	l.c.Assert(restored.state.held.history, qt.DeepEquals, l.machines["a"].node.state.held.history)
	l.c.Assert(restored.state.held.history, qt.HasLen, 3)
}

func TestHistoryOutlivesARestartOfAll(t *testing.T) {
	l := newCluster(t, 3, 3)
	l.writeVersions(1, 4)
	l.flights = nil
	for _, id := range l.order {
		l.restart(id)
	}
	l.run(200 * time.Millisecond)
	l.mustAnswer("c", 1, 2, "body 2", Applied)
	l.mustAnswer("c", 1, 2, "other body", Conflict)
}

func TestHistoryReachesAMemberThatMissedTheWrites(t *testing.T) {
	l := newCluster(t, 3, 3)
	l.writeVersions(1, 1)
	l.machines["c"].down = true
	l.run(2 * time.Second)
	l.writeVersions(2, 4)
	l.boot("c")
	l.run(2 * time.Second)
	l.mustChain("a", "a", "b", "c")
	l.machines["a"].down, l.machines["b"].down = true, false
	l.run(2 * time.Second)
	l.machines["b"].down = true
	l.boot("a")
	l.run(2 * time.Second)
	l.mustChain("c", "c", "a")
	l.mustAnswer("c", 1, 2, "body 2", Applied)
}

func TestWriteThatWasNeverInForceIsRefused(t *testing.T) {
	l := newCluster(t, 3, 3)
	l.mustWrite("a", 0, 1, "one")
	l.drop = cut([]MemberID{"a"}, []MemberID{"b", "c"})
	l.propose("a", 1, 2, "lost")
	l.run(2 * time.Second)
	l.mustWrite("b", 1, 2, "won")
	l.mustWrite("b", 2, 3, "next")
	l.drop = nil
	l.run(2 * time.Second)
	l.mustAnswer("a", 1, 2, "lost", Conflict)
	l.mustAnswer("a", 1, 2, "won", Applied)
}

// TestLogWithoutAHistoryIsRead reads the log of a release that kept no history.
func TestLogWithoutAHistoryIsRead(t *testing.T) {
	l := newCluster(t, 3, 3)
	l.writeVersions(1, 2)
	for _, id := range l.order {
		m := l.machines[id]
		var kept [][]byte
		for _, record := range m.records {
			if record[0] == recordHistory {
				continue
			}
			if record[0] == recordSuccessor { // that release wrote each entry as a whole
				record = append([]byte{recordEntry}, record[1:]...)
			}
			kept = append(kept, record)
		}
		m.records = kept
		l.restart(id)
	}
	l.run(500 * time.Millisecond)
	l.mustAnswer("b", 0, 1, "body 1", Unavailable) // it may have been in force
	l.mustWrite("b", 2, 3, "body 3")
	l.mustAnswer("b", 1, 2, "body 2", Applied)
}
