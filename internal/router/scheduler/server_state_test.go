package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestOwnCallsAreCountedOnce(t *testing.T) {
	c := qt.New(t)
	s := testServer(0, 0)
	early, late := &Call{startedAt: second}, &Call{startedAt: 3 * second}
	s.beginCall(early)
	s.beginCall(late)
	s.recordReport(2*second, Load{Running: 3, Waiting: 1, Slots: 10})
	c.Check(s.reportedOtherCalls, qt.Equals, 3.0, qt.Commentf("four reported, one of them this proxy's"))
	s.recordReport(4*second, Load{Running: 1, Slots: 10})
	c.Check(s.reportedOtherCalls, qt.Equals, 0.0, qt.Commentf("fewer reported than this proxy has"))
	s.recordReport(3*second, Load{Running: 9, Slots: 10})
	c.Check(s.reportedOtherCalls, qt.Equals, 0.0, qt.Commentf("an older report"))
	s.endCall(5*second, early)
	c.Check(s.calls, qt.HasLen, 1)
}

func TestOwnPrefillWorkShrinksWhileItRuns(t *testing.T) {
	s := testServer(0, 0)
	first, second, third := &Call{prefillMs: 100}, &Call{prefillMs: 200}, &Call{prefillMs: 100}
	for _, call := range []*Call{first, second, third} {
		s.beginCall(call)
	}
	tests := []struct {
		name  string
		now   time.Duration
		ended *Call
		want  float64
	}{
		{"at once", 0, nil, 400},
		{"after 60 ms", 60 * time.Millisecond, nil, 340},
		{"not less than a quarter", 900 * time.Millisecond, nil, 100},
		{"the first has ended", time.Second, first, 300},
		{"the second runs", 1100 * time.Millisecond, nil, 200},
		{"the second has ended", 1200 * time.Millisecond, second, 100},
		{"all have ended", 1300 * time.Millisecond, third, 0},
		{"long after", time.Minute, nil, 0},
	}
	for _, test := range tests {
		if test.ended != nil {
			s.endCall(test.now, test.ended)
		}
		qt.Check(t, s.remainingPrefillMs(test.now), isNear, test.want, 1e-6, qt.Commentf(test.name))
	}
}

func TestWeights(t *testing.T) {
	tests := []struct {
		name string
		s    *serverState
		now  time.Duration
		want float64
	}{
		{"listed long ago", &serverState{speed: 1.5}, time.Minute, 1.5},
		{"just listed", &serverState{speed: 1, listedAt: time.Minute}, time.Minute, slowStartMinWeight},
		{"halfway through the slow start", &serverState{speed: 1, listedAt: time.Minute},
			time.Minute + slowStartWindow/2, (1 + slowStartMinWeight) / 2},
		{"warming up", &serverState{speed: 1, warmUpEndsAt: 2 * time.Minute}, time.Minute, warmUpWeight},
	}
	for _, test := range tests {
		qt.Check(t, test.s.weight(test.now), isNear, test.want, 1e-6, qt.Commentf(test.name))
	}
}

// TestOlderReportsChangeNothing: a report that arrives after a newer one changes neither the load nor the
// utilization.
func TestOlderReportsChangeNothing(t *testing.T) {
	c := qt.New(t)
	scheduler := warmScheduler(1, 3, 3)
	scheduler.ObserveLoadAt(9*second, "w1", Load{Running: 8, Slots: 32})
	pool := scheduler.pools["model"]
	utilization := pool.serveUtilization
	scheduler.ObserveLoadAt(8*second, "w1", Load{Running: 32, Slots: 32})
	c.Check(pool.serveUtilization, qt.Equals, utilization)
	c.Check(scheduler.servers["w1"].reported.Running, qt.Equals, 8)
	scheduler.ObserveLoadAt(9*second, "w1", Load{Running: 16, Slots: 32})
	c.Check(pool.serveUtilization, qt.Not(qt.Equals), utilization)
}
