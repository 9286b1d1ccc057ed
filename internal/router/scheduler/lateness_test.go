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

func TestLateDecodeServersGetFewerRequests(t *testing.T) {
	scheduler := warmScheduler(1, 3, 6)
	now := 10 * second
	prefillServer := scheduler.servers["r0"].Server
	slowID := ""
	counts := map[string]int{}
	for range 300 {
		now += 20 * time.Millisecond
		call := scheduler.Choose(now, promptRequest("a", 1), Decode, prefillServer)
		if slowID == "" {
			slowID = call.Server.ID
		}
		counts[call.Server.ID]++
		firstEventAt := now + 30*time.Millisecond
		if call.Server.ID == slowID {
			firstEventAt = now + 900*time.Millisecond
		}
		scheduler.FirstEvent(firstEventAt, call)
		scheduler.Done(firstEventAt, call, Served)
	}
	qt.Check(t, counts[slowID] < 60, qt.IsTrue, qt.Commentf("%s: %v", slowID, counts))
}
