package balance

import (
	"testing"
	"time"
)

// A request that can be answered only after its latency target is not retried.
func TestNoRetryBeyondLatencyTarget(t *testing.T) {
	b := newBalancer(t, plainSettings(), 0, serverList(3, nil))
	to := sendRequest(b, 0, "a", 0)
	actions := b.Outcome(199*time.Millisecond, Outcome{ID: "a", Server: to, Result: TimedOut}, nil)
	if len(actions) != 1 || actions[0].Kind != Reject {
		t.Errorf("got %+v, want a rejection", actions)
	}
}

// An idempotent request whose response takes unusually long gets a second attempt on another server, and
// the first response cancels the other attempt. A request that must not run twice gets none.
func TestSlowAttemptIsHedged(t *testing.T) {
	for class, want := range []int{1, 0} {
		for _, servers := range []int{1, 3} {
			b := newBalancer(t, plainSettings(), 0, serverList(servers, nil))
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
				want = 0 // there is no other server
			}
			if hedged != want || hedged > 0 && second == first {
				t.Errorf("class %d, %d servers: %d hedged, to server %d after %d", class, servers, hedged, second, first)
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
