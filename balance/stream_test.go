package balance

import (
	"testing"
	"time"
)

var streamSettings = Settings{Peers: 1, Tick: time.Millisecond, MaxAttempts: 3, Classes: []Class{{
	Aim: time.Second, Deadline: time.Hour, Effect: AtMostOnce, Worth: 1}}}

// A request that is not held any more gets no other attempt, though it never ran; one that still is does.
func TestSpentIsNotRepeated(t *testing.T) {
	for _, spent := range []bool{false, true} {
		b := started(t, streamSettings, 0, fleet(2, nil))
		now := time.Second
		acts := b.Request(now, Request{ID: "q", Class: 0, Deadline: now + time.Hour}, nil)
		if len(acts) != 1 || acts[0].Kind != Send {
			t.Fatal(acts)
		}
		if spent {
			b.Spent("q")
		}
		acts = b.Outcome(now, Outcome{ID: "q", Server: acts[0].Server, Result: Refused}, nil)
		want := Send
		if spent {
			want = Refuse // it never ran, so trying again is harmless
		}
		if len(acts) != 1 || acts[0].Kind != want {
			t.Errorf("spent %v: %+v", spent, acts)
		}
	}
}

// While a large request is on its way to a server, that one is not taken for one that leaves its class
// unanswered; from its last byte on it is, and the aim counts from there.
func TestUploadIsNoSilence(t *testing.T) {
	b := started(t, streamSettings, 0, fleet(2, nil))
	now := time.Second
	acts := b.Request(now, Request{ID: "q", Class: 0, Deadline: now + time.Hour}, nil)
	r := b.requests["q"]
	s := b.byID[acts[0].Server]
	b.Spent("q")
	b.Spent("q") // told twice is told once
	now += time.Minute
	if b.stuck(now, r, s) {
		t.Error("a minute of sending counts as silence")
	}
	b.Whole(now, "q", now+time.Hour)
	if b.stuck(now, r, s) || !b.stuck(now+time.Minute, r, s) || r.came != now {
		t.Errorf("from the last byte on: %v, %v, came %v", b.stuck(now, r, s), b.stuck(now+time.Minute, r, s),
			r.came)
	}
	b.Outcome(now, Outcome{ID: "q", Server: s.ID, Result: Done, Over: true}, nil)
	if h := s.classes[0]; h.out != 0 || s.out != 0 {
		t.Errorf("%d and %d still count as out", h.out, s.out)
	}
	b.Spent("gone")
	b.Whole(now, "gone", now)
}
