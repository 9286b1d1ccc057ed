package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestLatenessHasAToleranceAndDecays(t *testing.T) {
	c := qt.New(t)
	var l lateness
	l.add(second, 30, 100)
	c.Check(l.now(second), qt.Equals, 0.0, qt.Commentf("within the tolerance"))
	l.add(second, 250, 100)
	c.Check(l.now(second), isNear, latenessGain*200, 1e-9)
	c.Check(l.now(second+latenessDecayTime), isNear, latenessGain*200/2.718281828, 1e-6)
}

func TestLateDecodeServersGetLess(t *testing.T) {
	scheduler := warmScheduler(1, 3, 6)
	now := 10 * second
	prefillServer := scheduler.servers["r0"].Server
	slow := ""
	seen := map[string]int{}
	for range 300 {
		now += 20 * time.Millisecond
		call := scheduler.Choose(now, promptRequest("a", 1), Decode, prefillServer)
		if slow == "" {
			slow = call.Server.ID
		}
		seen[call.Server.ID]++
		first := now + 30*time.Millisecond
		if call.Server.ID == slow {
			first = now + 900*time.Millisecond
		}
		scheduler.FirstEvent(first, call)
		scheduler.Done(first, call, Served)
	}
	qt.Check(t, seen[slow] < 60, qt.IsTrue, qt.Commentf("%s: %v", slow, seen))
}
