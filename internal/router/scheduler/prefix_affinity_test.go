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

// settled is a chooser at 10 s whose servers are known, idle and as fast as guessed.
func warmScheduler(seed uint64, readers, writers int) *Scheduler {
	return warmUp(modelScheduler(seed, readers, writers), 0)
}

// reportAll lets all servers of a stage tell a load.
func reportAll(c *Scheduler, now time.Duration, stage catalog.Role, running int) {
	for id, s := range c.servers {
		if s.Role == stage {
			c.ObserveLoad(now, id, Load{Running: running, Slots: 32})
		}
	}
}

// ranks returns the readers in the order in which a prompt prefers them.
func rankedPrefillServers(c *Scheduler, r *Request) []string {
	chain := newPrefixChain(r)
	name, _, _ := chain.shared()
	var all []candidate
	for _, s := range c.pool(0, r.Service).prefillServers {
		all = append(all, candidate{serverState: s})
	}
	rank(all, name, len(all))
	var ids []string
	for i := range all {
		ids = append(ids, all[i].ID)
	}
	return ids
}

// where counts to which servers many proxies that know the same would send a request.
func destinations(now time.Duration, r *Request, role Role, prepare func(c *Scheduler)) map[string]int {
	counts := map[string]int{}
	for seed := range uint64(200) {
		c := warmScheduler(seed, 7, 11)
		prepare(c)
		counts[c.Choose(now, r, role, nil).Server.ID]++
	}
	return counts
}

func TestIdleReadersAreChosenByRank(t *testing.T) {
	r := prompted("a", 1)
	first := rankedPrefillServers(warmScheduler(1, 7, 11), r)[0]
	seen := destinations(10*second, r, Prefill, func(*Scheduler) {})
	qt.Check(t, seen, qt.DeepEquals, map[string]int{first: 200})
}

func TestBusyFirstRankIsLeftWhenItsQueueIsLongerThanTheReread(t *testing.T) {
	r := prompted("a", 1)
	order := rankedPrefillServers(warmScheduler(1, 7, 11), r)
	tests := []struct {
		name    string
		running int // at the first rank
		least   int // of 200 sends that go there
		most    int
	}{
		{"a shorter queue", 4, 200, 200},
		{"a far longer one", 30, 0, 20},
	}
	for _, test := range tests {
		seen := destinations(10*second, r, Prefill, func(c *Scheduler) {
			reportAll(c, 10*second, catalog.Prefill, 0)
			c.ObserveLoad(10*second, order[0], Load{Running: test.running, Slots: 32})
		})
		qt.Check(t, seen[order[0]] >= test.least, qt.IsTrue, qt.Commentf("%s: %v", test.name, seen))
		qt.Check(t, seen[order[0]] <= test.most, qt.IsTrue, qt.Commentf("%s: %v", test.name, seen))
	}
}

// TestBothRanksBusyForAMomentKeepTheirPrompt leaves a prompt where its parts are unless the queues there are
// longer by far than elsewhere; a third copy would be read again by whoever does not know of it.
func TestBothRanksBusyForAMomentKeepTheirPrompt(t *testing.T) {
	r := prompted("a", 1)
	order := rankedPrefillServers(warmScheduler(1, 7, 11), r)
	seen := destinations(10*second, r, Prefill, func(c *Scheduler) {
		reportAll(c, 10*second, catalog.Prefill, 0)
		for _, id := range order[:2] {
			c.ObserveLoad(10*second, id, Load{Running: 4, Slots: 32})
		}
	})
	qt.Check(t, seen[order[0]]+seen[order[1]], qt.Equals, 200, qt.Commentf("%v", seen))
}

// TestCopiesElsewhereAreLeftAlone does not follow a copy that only this proxy knows of, because all others
// keep to the ranks.
func TestCopiesElsewhereAreLeftAlone(t *testing.T) {
	c := qt.New(t)
	chooser := warmScheduler(1, 7, 11)
	r := prompted("a", 1)
	order := rankedPrefillServers(chooser, r)
	r.Excluded = order[:6]
	held := chooser.Choose(10*second, r, Prefill, nil)
	c.Assert(held.Server.ID, qt.Equals, order[6])
	chooser.Done(10*second, held, Served)

	again := prompted("a", 1)
	chain := newPrefixChain(again)
	p := chooser.pool(11*second, again.Service)
	eligible := chooser.eligible(11*second, p, again, Prefill, &chain)
	candidates, n := chooser.prefixAffinity(11*second, p, Prefill, eligible, &chain)
	c.Check(n, qt.Equals, 1)
	c.Assert(candidates, qt.HasLen, minAffinityServers)
	c.Check([]string{candidates[0].ID, candidates[1].ID}, qt.DeepEquals, order[:minAffinityServers])
}

func TestTwoReadersAreRankedToo(t *testing.T) {
	seen := map[string]int{}
	for seed := range uint64(50) {
		seen[warmScheduler(seed, 2, 2).Choose(10*second, prompted("a", 1), Prefill, nil).Server.ID]++
	}
	qt.Check(t, seen, qt.HasLen, 1)
}

func TestPromptsWithoutSharedPartsGoAnywhere(t *testing.T) {
	r := prompted("a", 1)
	r.Segments = r.Segments[:1]
	seen := destinations(10*second, r, Prefill, func(*Scheduler) {})
	qt.Check(t, seen, qt.HasLen, 7)
}

func TestCrashOfTheHolderCostsOneReread(t *testing.T) {
	c := qt.New(t)
	chooser := warmScheduler(1, 7, 11)
	now, holds, rereads := 10*second, map[string]bool{}, 0
	crashed := ""
	for own := range 12 {
		r := prompted("a", own)
		call := chooser.Choose(now, r, Prefill, nil)
		if call.Server.ID == crashed {
			chooser.Done(now, call, Unreachable)
			r.Excluded = []string{crashed}
			call = chooser.Choose(now, r, Prefill, nil)
		}
		if !holds[call.Server.ID] {
			holds[call.Server.ID] = true
			rereads++
		}
		now += 300 * time.Millisecond
		chooser.ObserveLoad(now, call.Server.ID, Load{Slots: 32})
		chooser.Done(now, call, Served)
		switch own {
		case 5:
			crashed = call.Server.ID
		case 8:
			chooser.Update(now, catalog.NewTable(2, withoutServer(modelServers(7, 11), crashed)))
		}
	}
	c.Check(rereads, qt.Equals, 2, qt.Commentf("%v", holds))
}

func withoutServer(servers []*catalog.Server, id string) []*catalog.Server {
	return slices.DeleteFunc(servers, func(s *catalog.Server) bool { return s.ID == id })
}

func TestRollingReleaseKeepsTheOtherPromptsInPlace(t *testing.T) {
	c := qt.New(t)
	chooser := warmScheduler(1, 10, 4)
	before := map[string]string{}
	for thing := range 60 {
		r := prompted(fmt.Sprint(thing), 0)
		before[fmt.Sprint(thing)] = rankedPrefillServers(chooser, r)[0]
	}
	servers := modelServers(10, 4)
	replaced := map[string]bool{}
	for i := range servers[:4] {
		replaced[servers[i].ID] = true
		younger := *servers[i]
		younger.ID += "-new"
		servers[i] = &younger
	}
	slices.SortFunc(servers, func(x, y *catalog.Server) int { return strings.Compare(x.ID, y.ID) })
	chooser.Update(20*second, catalog.NewTable(2, servers))
	for thing, was := range before {
		r := prompted(thing, 1)
		now := rankedPrefillServers(chooser, r)[0]
		moved := now != was && !replaced[was] && !strings.HasSuffix(now, "-new")
		c.Check(moved, qt.IsFalse, qt.Commentf("%s: %s to %s", thing, was, now))
		call := chooser.Choose(21*second, r, Prefill, nil)
		c.Check(replaced[call.Server.ID], qt.IsFalse)
		chooser.Done(21*second, call, Abandoned)
	}
}

// syncedScheduler returns a chooser of a proxy that hears the others, which know of no prompt at any server.
func syncedScheduler(readers, servers int) *Scheduler {
	chooser := warmScheduler(1, readers, servers)
	chooser.MarkFleetStart(10 * second)
	chooser.SetPeerLoad(10*second, nil, true)
	return chooser
}

// affinityServers returns the readers that a prompt may go to, and the n of what arrives.
func affinityServers(chooser *Scheduler, r *Request) ([]string, int) {
	chain := newPrefixChain(r)
	p := chooser.pool(10*second, r.Service)
	eligible := chooser.eligible(10*second, p, r, Prefill, &chain)
	candidates, n := chooser.prefixAffinity(10*second, p, Prefill, eligible, &chain)
	ids := make([]string, len(candidates))
	for i := range candidates {
		ids[i] = candidates[i].ID
	}
	return ids, n
}

// TestFirstReadingsMayGoToAPartOfTheReaders: where no reader holds what a prompt shares, the readers that
// rank first for it may read it, more of them in a larger fleet.
func TestFirstReadingsMayGoToAPartOfTheReaders(t *testing.T) {
	for readers, want := range map[int]int{2: 2, 6: 2, 8: 2, 9: 3, 20: 5, 97: 25} {
		chooser, r := syncedScheduler(readers, readers+5), prompted("a", 1)
		ids, n := affinityServers(chooser, r)
		qt.Check(t, ids, qt.DeepEquals, rankedPrefillServers(chooser, r)[:want])
		qt.Check(t, n, qt.Equals, want-1)
	}
}

// TestHoldersRankBeforeOthers: a prompt goes to the readers that are told to hold what it shares, wherever
// these rank; of many, to those that all proxies rank first, so that the other copies fall out of use.
func TestHoldersRankBeforeOthers(t *testing.T) {
	c := qt.New(t)
	r := prompted("a", 1)
	chain := newPrefixChain(r)
	name, _, _ := chain.shared()
	order := rankedPrefillServers(warmScheduler(1, 20, 25), r)
	for _, test := range []struct{ holders, want []string }{
		{[]string{order[9]}, []string{order[9], order[0]}},
		{[]string{order[0]}, []string{order[0], order[1]}},
		{[]string{order[15], order[7], order[11]}, []string{order[7], order[11]}},
	} {
		chooser := syncedScheduler(20, 25)
		for _, id := range test.holders {
			chooser.AddCachedPrefixes([]CachedPrefixes{{id, []uint64{name}}})
		}
		ids, n := affinityServers(chooser, r)
		c.Check(ids, qt.DeepEquals, test.want)
		c.Check(n, qt.Equals, 1)
	}
}
