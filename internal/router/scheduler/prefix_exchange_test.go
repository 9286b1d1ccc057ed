package scheduler

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/catalog"
)

// TestNewPrefixesAreReportedOnce: a prefix is reported when it is first sent to a server, and not again.
func TestNewPrefixesAreReportedOnce(t *testing.T) {
	c := qt.New(t)
	scheduler := warmScheduler(1, 7, 11)
	call := scheduler.Choose(10*second, promptRequest("a", 1), Prefill, nil)
	prefixes := scheduler.TakeNewPrefixes()
	c.Assert(prefixes, qt.HasLen, 1)
	c.Check(prefixes[0].Server, qt.Equals, call.Server.ID)
	c.Check(prefixes[0].Hashes, qt.HasLen, 1)
	scheduler.Choose(10*second, promptRequest("a", 2), Prefill, nil)
	c.Check(scheduler.TakeNewPrefixes(), qt.HasLen, 0)
}

// TestPrefixesAreAssumedAfterAGapInReports: after a gap in the other proxies' reports, this proxy may have
// missed prefixes until prefixCatchUpTime has passed, and assumes that the servers that rank first have
// cached them.
func TestPrefixesAreAssumedAfterAGapInReports(t *testing.T) {
	c := qt.New(t)
	scheduler := warmScheduler(1, 7, 11)
	c.Check(scheduler.prefixesKnown(10*second), qt.IsFalse, qt.Commentf("this proxy started after the others"))
	scheduler.MarkFleetStart(10 * second)
	scheduler.SetPeerLoad(11*second, nil, AllServers)
	c.Check(scheduler.prefixesKnown(11*second), qt.IsTrue)
	scheduler.SetPeerLoad(11*second+2*peerLoadTTL, nil, AllServers)
	c.Check(scheduler.prefixesKnown(11*second+2*peerLoadTTL), qt.IsFalse)
	late := 11*second + 2*peerLoadTTL + prefixCatchUpTime
	for now := 11*second + 2*peerLoadTTL; now <= late; now += peerLoadTTL {
		scheduler.SetPeerLoad(now, nil, ChangedServers)
	}
	c.Check(scheduler.prefixesKnown(late), qt.IsTrue)
}

// TestKnownPrefixesInitializeALateProxy: a proxy that starts late gets the known prefixes from another one.
func TestKnownPrefixesInitializeALateProxy(t *testing.T) {
	c := qt.New(t)
	early, late := warmScheduler(1, 7, 11), warmScheduler(2, 7, 11)
	r := promptRequest("a", 1)
	call := early.Choose(10*second, r, Prefill, nil)
	late.AddCachedPrefixes(early.KnownPrefixes(100))
	late.MarkPrefixesSynced(10 * second)
	c.Check(late.prefixesKnown(10*second), qt.IsTrue)
	chain := newPrefixChain(promptRequest("a", 2))
	c.Check(late.prefixes.cachedTokens(call.state.hash, &chain), qt.Equals, 12000)
	c.Check(early.KnownPrefixes(0), qt.HasLen, 0)
}

// TestKnownPrefixesIncludeThoseOfPeersBeforeTheFirstDecision: a proxy passes on the prefixes that it got from
// others as soon as it knows the servers, even before its first request, as after a loss of all processes.
func TestKnownPrefixesIncludeThoseOfPeersBeforeTheFirstDecision(t *testing.T) {
	c := qt.New(t)
	known := warmScheduler(1, 7, 11)
	known.Choose(10*second, promptRequest("a", 1), Prefill, nil)
	prefixes := known.KnownPrefixes(100)
	c.Assert(prefixes, qt.HasLen, 1)

	restarted := New("z1", 2)
	restarted.AddCachedPrefixes(prefixes)
	c.Check(restarted.KnownPrefixes(100), qt.HasLen, 0, qt.Commentf("no server is known"))
	restarted.Update(10*second, known.table)
	c.Check(restarted.KnownPrefixes(100), qt.DeepEquals, prefixes)
}

// TestKnownPrefixesKeepTheOrderOfUse: a proxy that got the prefixes from another one, or from its disk,
// evicts the least recently used ones first.
func TestKnownPrefixesKeepTheOrderOfUse(t *testing.T) {
	c := qt.New(t)
	scheduler := warmScheduler(1, 7, 11)
	server := modelServers(7, 11)[0].ID
	used := []CachedPrefixes{{server, []uint64{3, 1, 2}}}
	scheduler.AddCachedPrefixes(used)
	c.Check(scheduler.KnownPrefixes(100), qt.DeepEquals, used)
	c.Check(scheduler.KnownPrefixes(2), qt.DeepEquals, []CachedPrefixes{{server, []uint64{1, 2}}})
}

// TestPrefixesOfAServerThatLeftTheTableAreReported: the server may return soon, with its cache.
func TestPrefixesOfAServerThatLeftTheTableAreReported(t *testing.T) {
	c := qt.New(t)
	scheduler := warmScheduler(1, 7, 11)
	call := scheduler.Choose(10*second, promptRequest("a", 1), Prefill, nil)
	isCalled := func(s *catalog.Server) bool { return s.ID == call.Server.ID }
	scheduler.Update(10*second, catalog.NewTable(slices.DeleteFunc(modelServers(7, 11), isCalled)))
	prefixes := scheduler.TakeNewPrefixes()
	c.Assert(prefixes, qt.HasLen, 1)
	c.Check(prefixes[0].Server, qt.Equals, call.Server.ID)
}
