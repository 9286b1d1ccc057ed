package balance

import (
	"testing"
	"time"
)

var streamSettings = Settings{Peers: 1, Tick: time.Millisecond, MaxAttempts: 3, Classes: []Class{{
	LatencyTarget: time.Second, Deadline: time.Hour, Effect: AtMostOnce, Value: 1}}}

// A request that is not held any more gets no other attempt, though it never ran; one that still is does.
func TestSpentIsNotRepeated(t *testing.T) {
	for _, spent := range []bool{false, true} {
		b := started(t, streamSettings, 0, fleet(2, nil))
		now := time.Second
		actions := b.Request(now, Request{ID: "q", Class: 0, Deadline: now + time.Hour}, nil)
		if len(actions) != 1 || actions[0].Kind != Send {
			t.Fatal(actions)
		}
		if spent {
			b.BodyConsumed("q")
		}
		actions = b.Outcome(now, Outcome{ID: "q", Server: actions[0].Server, Result: ConnRefused}, nil)
		want := Send
		if spent {
			want = Reject // it never ran, so trying again is harmless
		}
		if len(actions) != 1 || actions[0].Kind != want {
			t.Errorf("spent %v: %+v", spent, actions)
		}
	}
}

// While a large request is on its way to a server, that one is not taken for one that leaves its class
// unanswered; from its last byte on it is, and the aim counts from there.
func TestUploadIsNoSilence(t *testing.T) {
	b := started(t, streamSettings, 0, fleet(2, nil))
	now := time.Second
	actions := b.Request(now, Request{ID: "q", Class: 0, Deadline: now + time.Hour}, nil)
	r := b.requests["q"]
	s := b.byID[actions[0].Server]
	b.BodyConsumed("q")
	b.BodyConsumed("q") // told twice is told once
	now += time.Minute
	if b.unresponsive(now, r, s) {
		t.Error("a minute of sending counts as silence")
	}
	b.BodySent(now, "q", now+time.Hour)
	if b.unresponsive(now, r, s) || !b.unresponsive(now+time.Minute, r, s) || r.receivedAt != now {
		t.Errorf("from the last byte on: %v, %v, came %v", b.unresponsive(now, r, s),
			b.unresponsive(now+time.Minute, r, s), r.receivedAt)
	}
	b.Outcome(now, Outcome{ID: "q", Server: s.ID, Result: Done, Final: true}, nil)
	if h := s.classes[0]; h.outstanding != 0 || s.outstanding != 0 {
		t.Errorf("%d and %d still count as out", h.outstanding, s.outstanding)
	}
	b.BodyConsumed("gone")
	b.BodySent(now, "gone", now)
}
