package scheduler

import (
	"testing"
	"time"

	"cresshub/internal/router/catalog"

	qt "github.com/frankban/quicktest"
)

func TestSplit(t *testing.T) {
	long, short := prompted("a", 1), prompted("a", 1)
	short.Segments, short.PromptTokens = []Segment{{"own", 50}}, 50
	rest := func(c *Scheduler) { // all readers
		for _, s := range c.servers {
			if s.Role == catalog.Prefill {
				s.outliers.eject(10*second, unreachableBaseEjectionTime)
			}
		}
	}
	tests := []struct {
		name    string
		r       *Request
		readers int
		writers int
		prepare func(c *Scheduler)
		want    bool
	}{
		{"a long prompt, all idle", long, 7, 11, func(*Scheduler) {}, true},
		{"a short prompt", short, 7, 11, func(*Scheduler) {}, false},
		{"a long prompt, all readers full", long, 7, 11, func(c *Scheduler) {
			reportAll(c, 10*second, catalog.Prefill, 32)
		}, false},
		{"all readers rest", long, 7, 11, rest, false},
		{"no readers", long, 0, 11, func(*Scheduler) {}, false},
		{"no writers", long, 7, 0, func(*Scheduler) {}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := warmScheduler(1, test.readers, test.writers)
			test.prepare(c)
			qt.Check(t, c.Split(10*second, test.r), qt.Equals, test.want)
		})
	}
}

func TestServicesWithoutEngineAreNotSplit(t *testing.T) {
	qt.Check(t, New("z0", 1).Split(0, &Request{Service: plainService()}), qt.IsFalse)
}

// TestWriterThatHoldsNearlyAllServes: a session's next request finds its memory where the last one ran.
func TestWriterThatHoldsNearlyAllServes(t *testing.T) {
	c := qt.New(t)
	chooser := warmScheduler(1, 7, 11)
	r := prompted("a", 1)
	first := chooser.Choose(10*second, r, Decode, &catalog.Server{ID: "r0", Zone: "z0"})
	chooser.FirstEvent(10*second+30*time.Millisecond, first)
	chooser.Done(10*second+200*time.Millisecond, first, Served)

	next := prompted("a", 1)
	next.Segments = append(next.Segments, Segment{"turn", 40})
	next.PromptTokens = 14040
	reportAll(chooser, 11*second, catalog.Prefill, 1)
	c.Assert(chooser.Split(11*second, next), qt.IsFalse)
	seen := map[string]int{}
	for range 20 {
		call := chooser.Choose(11*second, next, Serve, nil)
		seen[call.Server.ID]++
		chooser.Done(11*second, call, Abandoned)
	}
	c.Check(seen, qt.DeepEquals, map[string]int{first.Server.ID: 20})
}
