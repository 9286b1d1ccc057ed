package balance

import (
	"testing"
	"time"
)

// A request that could only be answered after its latency target is not retried.
func TestNoRetryBeyondLatencyTarget(t *testing.T) {
	b := newBalancer(t, plainSettings(), 0, fleet(3, nil))
	to := sendTo(b, 0, "a", 0)
	actions := b.Outcome(199*time.Millisecond, Outcome{ID: "a", Server: to, Result: TimedOut}, nil)
	if len(actions) != 1 || actions[0].Kind != Reject {
		t.Errorf("got %+v, want a rejection", actions)
	}
}

// An idempotent request is sent a second time elsewhere once its response is out for unusually long; the
// first response cancels the other attempt. One that must not run twice is not.
func TestUnusuallySlowAttemptIsHedged(t *testing.T) {
	for class, want := range []int{1, 0} {
		for _, servers := range []int{1, 3} {
			b := newBalancer(t, plainSettings(), 0, fleet(servers, nil))
			now, hedged := 10*time.Millisecond, 0
			var first, second ServerID
			for _, a := range b.Request(now, Request{ID: "a", Class: class, Deadline: time.Minute}, nil) {
				switch a.Kind {
				case Send:
					first = a.Server
				case SetTimer:
					for _, c := range b.Timer(now+a.Wait, a.Token, nil) {
						if c.Kind == Send {
							hedged, second = hedged+1, c.Server
						}
					}
				}
			}
			if servers == 1 {
				want = 0 // there is nowhere else
			}
			if hedged != want || hedged > 0 && second == first {
				t.Errorf("class %d, %d servers: %d hedged, to %d after %d", class, servers, hedged, second, first)
			}
			if hedged == 0 {
				continue
			}
			actions := b.Outcome(now+time.Second, Outcome{ID: "a", Attempt: 1, Server: second, Final: true}, nil)
			if len(actions) != 1 || actions[0].Kind != Cancel || actions[0].Attempt != 0 {
				t.Errorf("after the hedged attempt was served: %+v", actions)
			}
		}
	}
}
