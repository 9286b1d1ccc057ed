package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/catalog"
)

func TestBacklogShrinksWithTime(t *testing.T) {
	c := qt.New(t)
	var b backlog
	b.set(0, 1000)
	c.Check(b.remainingAt(0), isNear, 1000.0, 1e-6)
	c.Check(b.remainingAt(600*time.Millisecond), isNear, 400.0, 1e-6)
	c.Check(b.remainingAt(5*second), isNear, 250.0, 1e-6,
		qt.Commentf("a quarter counts until its end is reported"))
	b.set(600*time.Millisecond, 1100)
	c.Check(b.remainingAt(600*time.Millisecond), isNear, 500.0, 1e-6, qt.Commentf("new work is added"))
	b.set(600*time.Millisecond, 100)
	c.Check(b.remainingAt(600*time.Millisecond), isNear, 100.0, 1e-6,
		qt.Commentf("no more remains than is in flight"))
	b.set(second, 0)
	c.Check(b.remainingAt(second), qt.Equals, 0.0)
}

// TestPrefillServersBusyWithPeerLoadAreAvoided: prompts without a shared prefix go to the only server at
// which the other proxies have nothing in flight.
func TestPrefillServersBusyWithPeerLoadAreAvoided(t *testing.T) {
	r := promptRequest("a", 1)
	r.Segments = r.Segments[:1]
	seen := destinations(10*second, r, Prefill, func(scheduler *Scheduler) {
		var peerLoad []InFlightLoad
		for _, s := range scheduler.table.Service(r.Service.Name) {
			if s.Role == catalog.Prefill && s.ID != "r3" {
				peerLoad = append(peerLoad, InFlightLoad{Server: s.ID, Prefill: 2 * second, Calls: 2})
			}
		}
		scheduler.SetPeerLoad(10*second, peerLoad, AllServers)
	})
	qt.Check(t, seen, qt.DeepEquals, map[string]int{"r3": 200})
}

// TestPeerLoadExpires: peerLoadTTL after the last report of the other proxies, the scheduler falls back to
// the servers' own load reports.
func TestPeerLoadExpires(t *testing.T) {
	scheduler := warmScheduler(1, 7, 11)
	scheduler.SetPeerLoad(10*second, nil, AllServers)
	_, ok := scheduler.peerLoadAge(10*second + peerLoadTTL)
	qt.Check(t, ok, qt.IsTrue)
	_, ok = scheduler.peerLoadAge(10*second + peerLoadTTL + 1)
	qt.Check(t, ok, qt.IsFalse)
}

// TestInFlightChangesAreTakenOnce: a server is reported as changed if a call began or ended there since the
// last report, and only once.
func TestInFlightChangesAreTakenOnce(t *testing.T) {
	c := qt.New(t)
	scheduler := warmScheduler(1, 7, 11)
	scheduler.TakeInFlightLoads(ChangedServers)
	call := scheduler.Choose(10*second, promptRequest("a", 1), Prefill, nil)
	changes := scheduler.TakeInFlightLoads(ChangedServers)
	c.Assert(changes, qt.HasLen, 1)
	c.Check(changes[0].Server, qt.Equals, call.Server.ID)
	c.Check(changes[0].Calls, qt.Equals, 1)
	c.Check(changes[0].Prefill > 0, qt.IsTrue)
	c.Check(scheduler.TakeInFlightLoads(ChangedServers), qt.HasLen, 0)
	c.Check(scheduler.TakeInFlightLoads(AllServers), qt.HasLen, 1)
	scheduler.Done(11*second, call, Served)
	c.Check(scheduler.TakeInFlightLoads(ChangedServers), qt.DeepEquals, []InFlightLoad{{call.Server.ID, 0, 0}})
}

// TestUncachedPromptsGoToTheShorterQueue: if no server has cached the shared prefix, the server that ranks
// first has no advantage. Once another proxy has reported that it sent the prefix to a server, that server
// has one.
func TestUncachedPromptsGoToTheShorterQueue(t *testing.T) {
	c := qt.New(t)
	r := promptRequest("a", 1)
	order := rankedPrefillServers(warmScheduler(1, 7, 11), r)
	peerLoad := []InFlightLoad{{Server: order[0], Prefill: second, Calls: 1}}
	applyReports := func(scheduler *Scheduler) {
		scheduler.MarkFleetStart(10 * second)
		scheduler.SetPeerLoad(10*second, peerLoad, AllServers)
	}
	seen := destinations(10*second, r, Prefill, applyReports)
	c.Check(seen, qt.DeepEquals, map[string]int{order[1]: 200})
	chain := newPrefixChain(r)
	shared, _ := chain.shared()
	seen = destinations(10*second, r, Prefill, func(scheduler *Scheduler) {
		applyReports(scheduler)
		scheduler.AddCachedPrefixes([]CachedPrefixes{{order[0], []uint64{shared.hash}}})
	})
	c.Check(seen, qt.DeepEquals, map[string]int{order[0]: 200})
}
