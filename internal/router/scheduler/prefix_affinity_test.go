package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"cresshub/internal/router/catalog"

	qt "github.com/frankban/quicktest"
)

func TestIdlePrefillServersAreChosenByRank(t *testing.T) {
	r := promptRequest("a", 1)
	first := rankedPrefillServers(warmScheduler(1, 7, 11), r)[0]
	seen := destinations(10*second, r, Prefill, func(*Scheduler) {})
	qt.Check(t, seen, qt.DeepEquals, map[string]int{first: 200})
}

func TestBusyFirstRankIsAvoidedOnceItsQueueCostsMoreThanAPrefill(t *testing.T) {
	r := promptRequest("a", 1)
	order := rankedPrefillServers(warmScheduler(1, 7, 11), r)
	tests := []struct {
		name    string
		running int // requests at the server that ranks first
		min     int // minimum of 200 calls that go there
		max     int
	}{
		{"a short queue", 4, 200, 200},
		{"a much longer queue", 30, 0, 20},
	}
	for _, test := range tests {
		seen := destinations(10*second, r, Prefill, func(scheduler *Scheduler) {
			reportAll(scheduler, 10*second, catalog.Prefill, 0)
			scheduler.ObserveLoad(10*second, order[0], Load{Running: test.running, Slots: 32})
		})
		qt.Check(t, seen[order[0]] >= test.min, qt.IsTrue, qt.Commentf("%s: %v", test.name, seen))
		qt.Check(t, seen[order[0]] <= test.max, qt.IsTrue, qt.Commentf("%s: %v", test.name, seen))
	}
}

// TestBrieflyBusyServersKeepTheirPrompt: a prompt goes to the two servers that rank first for its prefix even
// if the queues there are longer than elsewhere. A prefill at a third server would be repeated by every proxy
// that does not know of it.
func TestBrieflyBusyServersKeepTheirPrompt(t *testing.T) {
	r := promptRequest("a", 1)
	order := rankedPrefillServers(warmScheduler(1, 7, 11), r)
	seen := destinations(10*second, r, Prefill, func(scheduler *Scheduler) {
		reportAll(scheduler, 10*second, catalog.Prefill, 0)
		for _, id := range order[:2] {
			scheduler.ObserveLoad(10*second, id, Load{Running: 4, Slots: 32})
		}
	})
	qt.Check(t, seen[order[0]]+seen[order[1]], qt.Equals, 200, qt.Commentf("%v", seen))
}

// TestPrefixKnownToThisProxyAloneDoesNotChangeTheRanks: a copy that only this proxy knows of attracts no
// prompts, because all other proxies use the ranks.
func TestPrefixKnownToThisProxyAloneDoesNotChangeTheRanks(t *testing.T) {
	c := qt.New(t)
	scheduler := warmScheduler(1, 7, 11)
	r := promptRequest("a", 1)
	order := rankedPrefillServers(scheduler, r)
	r.Excluded = order[:6]
	call := scheduler.Choose(10*second, r, Prefill, nil)
	c.Assert(call.Server.ID, qt.Equals, order[6])
	scheduler.Done(10*second, call, Served)

	again := promptRequest("a", 1)
	chain := newPrefixChain(again)
	p := scheduler.pool(11*second, again.Service)
	eligible := scheduler.eligible(11*second, p, again, Prefill, &chain)
	candidates, arrivalServers := scheduler.prefixAffinity(11*second, p, Prefill, eligible, &chain)
	c.Check(arrivalServers, qt.Equals, 1)
	c.Assert(candidates, qt.HasLen, minAffinityServers)
	c.Check([]string{candidates[0].ID, candidates[1].ID}, qt.DeepEquals, order[:minAffinityServers])
}

func TestTwoPrefillServersAreRankedToo(t *testing.T) {
	seen := map[string]int{}
	for seed := range uint64(50) {
		seen[warmScheduler(seed, 2, 2).Choose(10*second, promptRequest("a", 1), Prefill, nil).Server.ID]++
	}
	qt.Check(t, seen, qt.HasLen, 1)
}

func TestPromptsWithoutSharedPrefixGoAnywhere(t *testing.T) {
	r := promptRequest("a", 1)
	r.Segments = r.Segments[:1]
	seen := destinations(10*second, r, Prefill, func(*Scheduler) {})
	qt.Check(t, seen, qt.HasLen, 7)
}

func TestCrashOfTheCachingServerCostsOnePrefill(t *testing.T) {
	c := qt.New(t)
	scheduler := warmScheduler(1, 7, 11)
	now, cached, prefills := 10*second, map[string]bool{}, 0
	crashed := ""
	for ownNumber := range 12 {
		r := promptRequest("a", ownNumber)
		call := scheduler.Choose(now, r, Prefill, nil)
		if call.Server.ID == crashed {
			scheduler.Done(now, call, Unreachable)
			r.Excluded = []string{crashed}
			call = scheduler.Choose(now, r, Prefill, nil)
		}
		if !cached[call.Server.ID] {
			cached[call.Server.ID] = true
			prefills++
		}
		now += 300 * time.Millisecond
		scheduler.ObserveLoad(now, call.Server.ID, Load{Slots: 32})
		scheduler.Done(now, call, Served)
		switch ownNumber {
		case 5:
			crashed = call.Server.ID
		case 8:
			scheduler.Update(now, catalog.NewTable(withoutServer(modelServers(7, 11), crashed)))
		}
	}
	c.Check(prefills, qt.Equals, 2, qt.Commentf("%v", cached))
}

func withoutServer(servers []*catalog.Server, id string) []*catalog.Server {
	return slices.DeleteFunc(servers, func(s *catalog.Server) bool { return s.ID == id })
}

func TestRollingUpdateMovesOnlyPromptsOfReplacedServers(t *testing.T) {
	c := qt.New(t)
	scheduler := warmScheduler(1, 10, 4)
	before := map[string]string{}
	for prompt := range 60 {
		r := promptRequest(fmt.Sprint(prompt), 0)
		before[fmt.Sprint(prompt)] = rankedPrefillServers(scheduler, r)[0]
	}
	servers := modelServers(10, 4)
	replaced := map[string]bool{}
	for i := range servers[:4] {
		replaced[servers[i].ID] = true
		replacement := *servers[i]
		replacement.ID += "-new"
		servers[i] = &replacement
	}
	slices.SortFunc(servers, func(x, y *catalog.Server) int { return strings.Compare(x.ID, y.ID) })
	scheduler.Update(20*second, catalog.NewTable(servers))
	for prompt, oldServer := range before {
		r := promptRequest(prompt, 1)
		newServer := rankedPrefillServers(scheduler, r)[0]
		moved := newServer != oldServer && !replaced[oldServer] && !strings.HasSuffix(newServer, "-new")
		c.Check(moved, qt.IsFalse, qt.Commentf("%s: %s to %s", prompt, oldServer, newServer))
		call := scheduler.Choose(21*second, r, Prefill, nil)
		c.Check(replaced[call.Server.ID], qt.IsFalse)
		scheduler.Done(21*second, call, Abandoned)
	}
}

// syncedScheduler returns the scheduler of a proxy that receives the reports of the other proxies, which know
// no cached prefix.
func syncedScheduler(prefillServers, decodeServers int) *Scheduler {
	scheduler := warmScheduler(1, prefillServers, decodeServers)
	scheduler.MarkFleetStart(10 * second)
	scheduler.SetPeerLoad(10*second, nil, AllServers)
	return scheduler
}

// affinityServers returns the prefill servers that a prompt may go to, and the number of servers whose
// arrivals compete for them.
func affinityServers(scheduler *Scheduler, r *Request) ([]string, int) {
	chain := newPrefixChain(r)
	p := scheduler.pool(10*second, r.Service)
	eligible := scheduler.eligible(10*second, p, r, Prefill, &chain)
	candidates, arrivalServers := scheduler.prefixAffinity(10*second, p, Prefill, eligible, &chain)
	ids := make([]string, len(candidates))
	for i := range candidates {
		ids[i] = candidates[i].ID
	}
	return ids, arrivalServers
}

// TestFirstPrefillsMayGoToAFractionOfTheServers: if no server has cached the shared prefix, any of the
// prefill servers that rank first for it may prefill it, and their number grows with the fleet.
func TestFirstPrefillsMayGoToAFractionOfTheServers(t *testing.T) {
	for prefillServers, want := range map[int]int{2: 2, 6: 2, 8: 2, 9: 3, 20: 5, 97: 25} {
		scheduler, r := syncedScheduler(prefillServers, prefillServers+5), promptRequest("a", 1)
		ids, arrivalServers := affinityServers(scheduler, r)
		qt.Check(t, ids, qt.DeepEquals, rankedPrefillServers(scheduler, r)[:want])
		qt.Check(t, arrivalServers, qt.Equals, want-1)
	}
}

// TestCachingServersRankBeforeOthers: a prompt goes to the prefill servers that are reported to have cached
// its shared prefix, whatever their scores. If there are many, it goes to those that all proxies rank first,
// so that the other copies are no longer used.
func TestCachingServersRankBeforeOthers(t *testing.T) {
	c := qt.New(t)
	r := promptRequest("a", 1)
	chain := newPrefixChain(r)
	shared, _ := chain.shared()
	order := rankedPrefillServers(warmScheduler(1, 20, 25), r)
	for _, test := range []struct{ holders, want []string }{
		{[]string{order[9]}, []string{order[9], order[0]}},
		{[]string{order[0]}, []string{order[0], order[1]}},
		{[]string{order[15], order[7], order[11]}, []string{order[7], order[11]}},
	} {
		scheduler := syncedScheduler(20, 25)
		for _, id := range test.holders {
			scheduler.AddCachedPrefixes([]CachedPrefixes{{id, []uint64{shared.hash}}})
		}
		ids, arrivalServers := affinityServers(scheduler, r)
		c.Check(ids, qt.DeepEquals, test.want)
		c.Check(arrivalServers, qt.Equals, 1)
	}
}
