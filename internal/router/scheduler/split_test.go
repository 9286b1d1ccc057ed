package scheduler

import (
	"testing"
	"time"

	"cresshub/internal/router/catalog"

	qt "github.com/frankban/quicktest"
)

func TestSplit(t *testing.T) {
	long, short := promptRequest("a", 1), promptRequest("a", 1)
	short.Segments, short.PromptTokens = []Segment{{"own", 50}}, 50
	eject := func(scheduler *Scheduler) { // all prefill servers
		for _, s := range scheduler.servers {
			if s.Role == catalog.Prefill {
				s.outliers.eject(10*second, unreachableBaseEjectionTime)
			}
		}
	}
	tests := []struct {
		name           string
		r              *Request
		prefillServers int
		decodeServers  int
		prepare        func(scheduler *Scheduler)
		want           bool
	}{
		{"a long prompt, all idle", long, 7, 11, func(*Scheduler) {}, true},
		{"a short prompt", short, 7, 11, func(*Scheduler) {}, false},
		{"a long prompt, all prefill servers full", long, 7, 11, func(scheduler *Scheduler) {
			reportAll(scheduler, 10*second, catalog.Prefill, 32)
		}, false},
		{"all prefill servers ejected", long, 7, 11, eject, false},
		{"no prefill servers", long, 0, 11, func(*Scheduler) {}, false},
		{"no decode servers", long, 7, 0, func(*Scheduler) {}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			scheduler := warmScheduler(1, test.prefillServers, test.decodeServers)
			test.prepare(scheduler)
			qt.Check(t, scheduler.Split(10*second, test.r), qt.Equals, test.want)
		})
	}
}

func TestServicesWithoutEngineAreNotSplit(t *testing.T) {
	qt.Check(t, New("z0", 1).Split(0, &Request{Service: plainService()}), qt.IsFalse)
}

// TestDecodeServerThatCachesNearlyAllServes: the next request of a session goes to the decode server that ran
// the previous one and has cached nearly all of its prompt.
func TestDecodeServerThatCachesNearlyAllServes(t *testing.T) {
	c := qt.New(t)
	scheduler := warmScheduler(1, 7, 11)
	r := promptRequest("a", 1)
	first := scheduler.Choose(10*second, r, Decode, &catalog.Server{ID: "r0", Zone: "z0"})
	scheduler.FirstEvent(10*second+30*time.Millisecond, first)
	scheduler.Done(10*second+200*time.Millisecond, first, Served)

	next := promptRequest("a", 1)
	next.Segments = append(next.Segments, Segment{"turn", 40})
	next.PromptTokens = 14040
	reportAll(scheduler, 11*second, catalog.Prefill, 1)
	c.Assert(scheduler.Split(11*second, next), qt.IsFalse)
	seen := map[string]int{}
	for range 20 {
		call := scheduler.Choose(11*second, next, Serve, nil)
		seen[call.Server.ID]++
		scheduler.Done(11*second, call, Abandoned)
	}
	c.Check(seen, qt.DeepEquals, map[string]int{first.Server.ID: 20})
}
