package balance

import (
	"testing"
	"time"
)

var uploadSettings = Settings{Peers: 1, Tick: time.Millisecond, MaxAttempts: 3, Classes: []Class{{
	LatencyTarget: time.Second, Deadline: time.Hour, Effect: AtMostOnce, Value: 1}}}

// A request whose body is no longer retained gets no other attempt, even if no attempt ran.
func TestConsumedBodyIsNotRetried(t *testing.T) {
	for _, consumed := range []bool{false, true} {
		b := newBalancer(t, uploadSettings, 0, serverList(2, nil))
		now := time.Second
		actions := b.Request(now, Request{ID: "q", Class: 0, Deadline: now + time.Hour}, nil)
		if len(actions) != 1 || actions[0].Kind != Send {
			t.Fatal(actions)
		}
		if consumed {
			b.BodyConsumed("q")
		}
		actions = b.Outcome(now, Outcome{ID: "q", Server: actions[0].Server, Result: ConnRefused}, nil)
		want := Send
		if consumed {
			want = Reject // no attempt ran, so a retry by the client is harmless
		}
		if len(actions) != 1 || actions[0].Kind != want {
			t.Errorf("consumed %v: %+v", consumed, actions)
		}
	}
}

// While a large request is uploaded to a server, the server does not count as unresponsive for the class.
// From the last byte on it may, and the latency target counts from then.
func TestUploadIsNotUnresponsive(t *testing.T) {
	b := newBalancer(t, uploadSettings, 0, serverList(2, nil))
	now := time.Second
	actions := b.Request(now, Request{ID: "q", Class: 0, Deadline: now + time.Hour}, nil)
	r := b.requests["q"]
	s := b.byID[actions[0].Server]
	b.BodyConsumed("q")
	b.BodyConsumed("q") // a second report changes nothing
	now += time.Minute
	if b.unresponsive(now, r, s) {
		t.Error("a minute of uploading counts as unresponsive")
	}
	b.BodySent(now, "q", now+time.Hour)
	if b.unresponsive(now, r, s) || !b.unresponsive(now+time.Minute, r, s) || r.receivedAt != now {
		t.Errorf("after the last byte: unresponsive %v, %v a minute later, received at %v",
			b.unresponsive(now, r, s), b.unresponsive(now+time.Minute, r, s), r.receivedAt)
	}
	b.Outcome(now, Outcome{ID: "q", Server: s.ID, Result: Done, Final: true}, nil)
	if h := s.classes[0]; h.outstanding != 0 || s.outstanding != 0 {
		t.Errorf("%d of the class and %d of the server still outstanding", h.outstanding, s.outstanding)
	}
	b.BodyConsumed("gone")
	b.BodySent(now, "gone", now)
}
