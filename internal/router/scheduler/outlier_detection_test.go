package scheduler

import (
	"testing"
	"time"

	"cresshub/internal/router/catalog"

	qt "github.com/frankban/quicktest"
)

func plainScheduler(servers int) *Scheduler {
	var all []*catalog.Server
	for i := range servers {
		all = append(all, &catalog.Server{
			ID: string(rune('a' + i)), Service: "plain", Zone: "z0", Slots: 4, State: catalog.Ready,
		})
	}
	c := New("z0", 1)
	c.Update(0, catalog.NewTable(1, all))
	return c
}

// callAt begins a call at a server.
func callAt(c *Scheduler, now time.Duration, id string) *Call {
	r := &Request{Service: plainService(), Idempotent: true}
	for _, s := range c.table.Service("plain") {
		if s.ID != id {
			r.Excluded = append(r.Excluded, s.ID)
		}
	}
	return c.Choose(now, r, Serve, nil)
}

// reaches counts how many of a number of requests a server gets.
func countRequestsTo(c *Scheduler, now time.Duration, id string, idempotent bool) int {
	n := 0
	for range 100 {
		call := c.Choose(now, &Request{Service: plainService(), Idempotent: idempotent}, Serve, nil)
		if call.Server.ID == id {
			n++
		}
		c.Done(now, call, Abandoned)
	}
	return n
}

func TestRestAfterFailures(t *testing.T) {
	tests := []struct {
		name     string
		outcomes []Outcome
		rest     time.Duration
	}{
		{"served", []Outcome{Served}, 0},
		{"given up by the caller", []Outcome{Abandoned, Abandoned, Abandoned}, 0},
		{"another incarnation", []Outcome{Misdirected}, unreachableBaseEjectionTime},
		{"no connection", []Outcome{Unreachable}, unreachableBaseEjectionTime},
		{"silent while another answered", []Outcome{TimedOut}, unreachableBaseEjectionTime},
		{"one failure", []Outcome{Failed}, 0},
		{"two failures", []Outcome{Failed, Failed}, baseEjectionTime},
		{"two failures, an answer between", []Outcome{Failed, Served, Failed}, 0},
		{"one broken answer", []Outcome{Broken}, 0},
		{"two broken answers", []Outcome{Broken, Broken}, baseEjectionTime},
		{"memory that could not be fetched", []Outcome{HandleFailed, HandleFailed}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := plainScheduler(3)
			for _, outcome := range test.outcomes {
				call := callAt(c, second, "a")
				c.Done(second+time.Millisecond, callAt(c, second, "b"), Served)
				c.Done(second+2*time.Millisecond, call, outcome)
			}
			qt.Check(t, c.servers["a"].ejectedUntil() > second, qt.Equals, test.rest > 0)
			if test.rest > 0 {
				qt.Check(t, c.servers["a"].ejectedUntil(), qt.Equals, second+2*time.Millisecond+test.rest)
				qt.Check(t, countRequestsTo(c, second+test.rest, "a", true), qt.Equals, 0)
			}
		})
	}
}

func TestSilenceOfAllIsNobodysFailure(t *testing.T) {
	c := plainScheduler(3)
	c.Done(2*second, callAt(c, second, "a"), TimedOut)
	qt.Check(t, c.servers["a"].ejectedUntil(), qt.Equals, time.Duration(0))
}

func TestProbation(t *testing.T) {
	c := qt.New(t)
	chooser := plainScheduler(3)
	chooser.Done(second, callAt(chooser, second, "a"), Unreachable)
	over := second + unreachableBaseEjectionTime
	c.Check(countRequestsTo(chooser, over-1, "a", true), qt.Equals, 0)
	c.Check(countRequestsTo(chooser, over, "a", false), qt.Equals, 0, qt.Commentf("it must not run twice"))
	c.Check(countRequestsTo(chooser, over+nonIdempotentProbeDelay+1, "a", false) > 0, qt.IsTrue,
		qt.Commentf("nothing else has tried"))
	c.Check(countRequestsTo(chooser, over, "a", true) > 0, qt.IsTrue)

	trial := callAt(chooser, over, "a")
	c.Check(countRequestsTo(chooser, over, "a", true), qt.Equals, 0, qt.Commentf("one request at a time"))
	chooser.Done(over+1, trial, Served)
	c.Check(countRequestsTo(chooser, over+1, "a", false) > 0, qt.IsTrue)
}

func TestRestsGrow(t *testing.T) {
	chooser := plainScheduler(2)
	now := second
	for _, want := range []time.Duration{1, 2, 4, 8, 10, 10} {
		chooser.Done(now, callAt(chooser, now, "a"), Unreachable)
		rest := chooser.servers["a"].ejectedUntil() - now
		qt.Check(t, rest, qt.Equals, want*second)
		now += rest
	}
}

func TestCallsThatFailTogetherRestOnce(t *testing.T) {
	chooser := plainScheduler(2)
	var calls []*Call
	for range 5 {
		calls = append(calls, callAt(chooser, second, "a"))
	}
	for _, call := range calls {
		chooser.Done(second, call, Unreachable)
	}
	qt.Check(t, chooser.servers["a"].ejectedUntil(), qt.Equals, second+unreachableBaseEjectionTime)
}

func TestAllInTroubleTheLeastBadIsTaken(t *testing.T) {
	c := qt.New(t)
	chooser := plainScheduler(3)
	for _, id := range []string{"a", "b", "c"} {
		chooser.Done(second, callAt(chooser, second, id), Unreachable)
	}
	for _, id := range []string{"a", "c"} {
		chooser.Done(2*second, callAt(chooser, 2*second, id), Unreachable)
	}
	c.Check(countRequestsTo(chooser, 2*second+1, "b", false), qt.Equals, 100)
}

func TestRejectedCountsAsFull(t *testing.T) {
	c := qt.New(t)
	chooser := plainScheduler(3)
	chooser.Done(second, callAt(chooser, second, "a"), Rejected)
	c.Check(countRequestsTo(chooser, second, "a", true), qt.Equals, 0)
	c.Check(countRequestsTo(chooser, second+rejectedFullTime, "a", true) > 0, qt.IsTrue)
}

func TestStuckServerIsAvoided(t *testing.T) {
	c := qt.New(t)
	chooser := plainScheduler(3)
	stuck := callAt(chooser, second, "a")
	c.Check(countRequestsTo(chooser, second+minStuckTime/2, "a", true) > 0, qt.IsTrue)
	c.Check(countRequestsTo(chooser, second+minStuckTime+1, "a", true), qt.Equals, 0)
	chooser.FirstEvent(second+minStuckTime+2, stuck)
	c.Check(countRequestsTo(chooser, 20*second, "a", true) > 0, qt.IsTrue)
}

func TestReaderWhoseMemoryCannotBeFetchedRests(t *testing.T) {
	c := qt.New(t)
	chooser := warmScheduler(1, 3, 3)
	reader := chooser.servers["r1"].Server
	fetch := func(now time.Duration, outcome Outcome) {
		chooser.Done(now, chooser.Choose(now, prompted("a", 1), Decode, reader), outcome)
	}
	fetch(10*second, HandleFailed)
	fetch(10*second, Served)
	fetch(10*second, HandleFailed)
	c.Check(chooser.servers["r1"].ejectedUntil(), qt.Equals, time.Duration(0))
	fetch(10*second, HandleFailed)
	c.Check(chooser.servers["r1"].ejectedUntil(), qt.Equals, 10*second+baseEjectionTime)
	fetch(11*second, Served)
	c.Check(chooser.servers["r1"].available(11*second, false), qt.IsTrue)
}

func TestLateness(t *testing.T) {
	c := qt.New(t)
	var l lateness
	l.add(second, 30, 100)
	c.Check(l.now(second), qt.Equals, 0.0, qt.Commentf("within what is free"))
	l.add(second, 250, 100)
	c.Check(l.now(second), isNear, lateGain*200, 1e-9)
	c.Check(l.now(second+lateDecay), isNear, lateGain*200/2.718281828, 1e-6)
}

func TestLateWritersGetLess(t *testing.T) {
	chooser := warmScheduler(1, 3, 6)
	now := 10 * second
	reader := chooser.servers["r0"].Server
	slow := ""
	seen := map[string]int{}
	for range 300 {
		now += 20 * time.Millisecond
		call := chooser.Choose(now, prompted("a", 1), Decode, reader)
		if slow == "" {
			slow = call.Server.ID
		}
		seen[call.Server.ID]++
		first := now + 30*time.Millisecond
		if call.Server.ID == slow {
			first = now + 900*time.Millisecond
		}
		chooser.FirstEvent(first, call)
		chooser.Done(first, call, Served)
	}
	qt.Check(t, seen[slow] < 60, qt.IsTrue, qt.Commentf("%s: %v", slow, seen))
}
