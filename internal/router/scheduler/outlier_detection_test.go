package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestEjectionAfterFailures(t *testing.T) {
	tests := []struct {
		name     string
		outcomes []Outcome
		ejection time.Duration
	}{
		{"served", []Outcome{Served}, 0},
		{"abandoned by the caller", []Outcome{Abandoned, Abandoned, Abandoned}, 0},
		{"another incarnation", []Outcome{Misdirected}, unreachableBaseEjectionTime},
		{"no connection", []Outcome{Unreachable}, unreachableBaseEjectionTime},
		{"timeout while another server succeeded", []Outcome{TimedOut}, unreachableBaseEjectionTime},
		{"one failure", []Outcome{Failed}, 0},
		{"two failures", []Outcome{Failed, Failed}, baseEjectionTime},
		{"two failures with a success between", []Outcome{Failed, Served, Failed}, 0},
		{"one incomplete response", []Outcome{Broken}, 0},
		{"two incomplete responses", []Outcome{Broken, Broken}, baseEjectionTime},
		{"prefix cache that could not be fetched", []Outcome{HandleFailed, HandleFailed}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			scheduler := plainScheduler(3)
			for _, outcome := range test.outcomes {
				call := callAt(scheduler, second, "a")
				scheduler.Done(second+time.Millisecond, callAt(scheduler, second, "b"), Served)
				scheduler.Done(second+2*time.Millisecond, call, outcome)
			}
			qt.Check(t, scheduler.servers["a"].ejectedUntil() > second, qt.Equals, test.ejection > 0)
			if test.ejection > 0 {
				qt.Check(t, scheduler.servers["a"].ejectedUntil(), qt.Equals, second+2*time.Millisecond+test.ejection)
				qt.Check(t, countRequestsTo(scheduler, second+test.ejection, "a", true), qt.Equals, 0)
			}
		})
	}
}

func TestTimeoutEjectsOnlyIfAnotherServerSucceeds(t *testing.T) {
	scheduler := plainScheduler(3)
	scheduler.Done(2*second, callAt(scheduler, second, "a"), TimedOut)
	qt.Check(t, scheduler.servers["a"].ejectedUntil(), qt.Equals, time.Duration(0))
}

func TestHalfOpenServerIsProbedByOneIdempotentRequestAtATime(t *testing.T) {
	c := qt.New(t)
	scheduler := plainScheduler(3)
	scheduler.Done(second, callAt(scheduler, second, "a"), Unreachable)
	ejectionEnd := second + unreachableBaseEjectionTime
	c.Check(countRequestsTo(scheduler, ejectionEnd-1, "a", true), qt.Equals, 0)
	c.Check(countRequestsTo(scheduler, ejectionEnd, "a", false), qt.Equals, 0,
		qt.Commentf("a request that must not run twice is no probe"))
	c.Check(countRequestsTo(scheduler, ejectionEnd+nonIdempotentProbeDelay+1, "a", false) > 0, qt.IsTrue,
		qt.Commentf("no idempotent request has probed the server"))
	c.Check(countRequestsTo(scheduler, ejectionEnd, "a", true) > 0, qt.IsTrue)

	probe := callAt(scheduler, ejectionEnd, "a")
	c.Check(countRequestsTo(scheduler, ejectionEnd, "a", true), qt.Equals, 0,
		qt.Commentf("one request at a time"))
	scheduler.Done(ejectionEnd+1, probe, Served)
	c.Check(countRequestsTo(scheduler, ejectionEnd+1, "a", false) > 0, qt.IsTrue)
}

func TestEjectionTimeDoublesUpToItsMaximum(t *testing.T) {
	scheduler := plainScheduler(2)
	now := second
	for _, want := range []time.Duration{1, 2, 4, 8, 10, 10} {
		scheduler.Done(now, callAt(scheduler, now, "a"), Unreachable)
		ejection := scheduler.servers["a"].ejectedUntil() - now
		qt.Check(t, ejection, qt.Equals, want*second)
		now += ejection
	}
}

func TestCallsThatFailTogetherEjectOnce(t *testing.T) {
	scheduler := plainScheduler(2)
	var calls []*Call
	for range 5 {
		calls = append(calls, callAt(scheduler, second, "a"))
	}
	for _, call := range calls {
		scheduler.Done(second, call, Unreachable)
	}
	qt.Check(t, scheduler.servers["a"].ejectedUntil(), qt.Equals, second+unreachableBaseEjectionTime)
}

func TestIfAllAreEjectedTheEjectionThatEndsFirstIsIgnored(t *testing.T) {
	c := qt.New(t)
	scheduler := plainScheduler(3)
	for _, id := range []string{"a", "b", "c"} {
		scheduler.Done(second, callAt(scheduler, second, id), Unreachable)
	}
	for _, id := range []string{"a", "c"} {
		scheduler.Done(2*second, callAt(scheduler, 2*second, id), Unreachable)
	}
	c.Check(countRequestsTo(scheduler, 2*second+1, "b", false), qt.Equals, 100)
}

func TestServerThatRejectedCountsAsFull(t *testing.T) {
	c := qt.New(t)
	scheduler := plainScheduler(3)
	scheduler.Done(second, callAt(scheduler, second, "a"), Rejected)
	c.Check(countRequestsTo(scheduler, second, "a", true), qt.Equals, 0)
	c.Check(countRequestsTo(scheduler, second+fullAfterRejectionTime, "a", true) > 0, qt.IsTrue)
}

func TestStuckServerIsAvoided(t *testing.T) {
	c := qt.New(t)
	scheduler := plainScheduler(3)
	stuck := callAt(scheduler, second, "a")
	c.Check(countRequestsTo(scheduler, second+minStuckTime/2, "a", true) > 0, qt.IsTrue)
	c.Check(countRequestsTo(scheduler, second+minStuckTime+1, "a", true), qt.Equals, 0)
	scheduler.FirstEvent(second+minStuckTime+2, stuck)
	c.Check(countRequestsTo(scheduler, 20*second, "a", true) > 0, qt.IsTrue)
}

func TestFailedTransfersEjectThePrefillServer(t *testing.T) {
	c := qt.New(t)
	scheduler := warmScheduler(1, 3, 3)
	prefillServer := scheduler.servers["r1"].Server
	fetch := func(now time.Duration, outcome Outcome) {
		scheduler.Done(now, scheduler.Choose(now, promptRequest("a", 1), Decode, prefillServer), outcome)
	}
	fetch(10*second, HandleFailed)
	fetch(10*second, Served)
	fetch(10*second, HandleFailed)
	c.Check(scheduler.servers["r1"].ejectedUntil(), qt.Equals, time.Duration(0))
	fetch(10*second, HandleFailed)
	c.Check(scheduler.servers["r1"].ejectedUntil(), qt.Equals, 10*second+baseEjectionTime)
	fetch(11*second, Served)
	c.Check(scheduler.servers["r1"].available(11*second, false), qt.IsTrue)
}

// TestStallOfThisProcessDoesNotCountAgainstServers: only the time of a call beyond the stall counts towards a
// stuck server, and the duration of a call that a stall interrupted changes no estimate.
func TestStallOfThisProcessDoesNotCountAgainstServers(t *testing.T) {
	c := qt.New(t)
	scheduler := plainScheduler(3)
	scheduler.Done(second+10*time.Millisecond, callAt(scheduler, second, "a"), Served)
	server, pool := scheduler.servers["a"], scheduler.pools["plain"]
	speed, plainServiceTime, lateness := server.speed, pool.plainServiceTime, server.lateness

	call := callAt(scheduler, 2*second, "a")
	scheduler.RecordStall(minStuckTime)
	c.Check(server.stuck(2*second+2*minStuckTime), qt.IsFalse)
	c.Check(server.stuck(2*second+2*minStuckTime+1), qt.IsTrue,
		qt.Commentf("the time without the stall exceeds minStuckTime"))
	scheduler.Done(2*second+2*minStuckTime, call, Served)
	c.Check(server.speed, qt.Equals, speed)
	c.Check(pool.plainServiceTime, qt.Equals, plainServiceTime)
	c.Check(server.lateness, qt.Equals, lateness)

	// The stall does not apply to a call that begins later.
	call = callAt(scheduler, 9*second, "a")
	c.Check(server.stuck(9*second+minStuckTime+1), qt.IsTrue)
	scheduler.Done(9*second+minStuckTime, call, Served)
	c.Check(pool.plainServiceTime, qt.Not(qt.Equals), plainServiceTime)
	c.Check(scheduler.Ejections(), qt.Equals, int64(0))
	scheduler.Done(11*second, callAt(scheduler, 10*second, "b"), Unreachable)
	c.Check(scheduler.Ejections(), qt.Equals, int64(1))
}
