package scheduler

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/catalog"
)

func TestBacklog(t *testing.T) {
	c := qt.New(t)
	var b backlog
	b.set(0, 1000)
	c.Check(b.remainingAt(0), isNear, 1000.0, 1e-6)
	c.Check(b.remainingAt(600*time.Millisecond), isNear, 400.0, 1e-6)
	c.Check(b.remainingAt(5*second), isNear, 250.0, 1e-6, qt.Commentf("a quarter counts until the end is told"))
	b.set(600*time.Millisecond, 1100)
	c.Check(b.remainingAt(600*time.Millisecond), isNear, 500.0, 1e-6, qt.Commentf("new work comes on top"))
	b.set(600*time.Millisecond, 100)
	c.Check(b.remainingAt(600*time.Millisecond), isNear, 100.0, 1e-6,
		qt.Commentf("no more is left than is under way"))
	b.set(second, 0)
	c.Check(b.remainingAt(second), qt.Equals, 0.0)
}

// TestReadersThatOthersFillAreLeft sends prompts that share nothing where other proxies have nothing under
// way.
func TestReadersThatOthersFillAreLeft(t *testing.T) {
	r := prompted("a", 1)
	r.Segments = r.Segments[:1]
	seen := destinations(10*second, r, Prefill, func(c *Scheduler) {
		var others []InFlightLoad
		for _, s := range c.table.Service(r.Service.Name) {
			if s.Role == catalog.Prefill && s.ID != "r3" {
				others = append(others, InFlightLoad{Server: s.ID, Prefill: 2 * second, Calls: 2})
			}
		}
		c.SetPeerLoad(10*second, others, true)
	})
	qt.Check(t, seen, qt.DeepEquals, map[string]int{"r3": 200})
}

// TestWhatOthersToldIsForgotten falls back to figures of servers when other proxies fall silent.
func TestWhatOthersToldIsForgotten(t *testing.T) {
	c := warmScheduler(1, 7, 11)
	c.SetPeerLoad(10*second, nil, true)
	_, ok := c.peerLoadAge(10*second + peerLoadTTL)
	qt.Check(t, ok, qt.IsTrue)
	_, ok = c.peerLoadAge(10*second + peerLoadTTL + 1)
	qt.Check(t, ok, qt.IsFalse)
}

// TestChangesAreToldOnce tells each server at which something began or ended since the last time.
func TestChangesAreToldOnce(t *testing.T) {
	c := qt.New(t)
	chooser := warmScheduler(1, 7, 11)
	chooser.InFlightChanges(false)
	call := chooser.Choose(10*second, prompted("a", 1), Prefill, nil)
	changes := chooser.InFlightChanges(false)
	c.Assert(changes, qt.HasLen, 1)
	c.Check(changes[0].Server, qt.Equals, call.Server.ID)
	c.Check(changes[0].Calls, qt.Equals, 1)
	c.Check(changes[0].Prefill > 0, qt.IsTrue)
	c.Check(chooser.InFlightChanges(false), qt.HasLen, 0)
	c.Check(chooser.InFlightChanges(true), qt.HasLen, 1)
	chooser.Done(11*second, call, Served)
	c.Check(chooser.InFlightChanges(false), qt.DeepEquals, []InFlightLoad{{call.Server.ID, 0, 0}})
}

// TestColdPromptsGoToTheShorterQueue: where no server holds what a prompt shares, the first rank has no
// advantage; once another proxy has told that a server was sent it, that one has.
func TestColdPromptsGoToTheShorterQueue(t *testing.T) {
	c := qt.New(t)
	r := prompted("a", 1)
	order := rankedPrefillServers(warmScheduler(1, 7, 11), r)
	busy := []InFlightLoad{{Server: order[0], Prefill: second, Calls: 1}}
	know := func(chooser *Scheduler) {
		chooser.MarkFleetStart(10 * second)
		chooser.SetPeerLoad(10*second, busy, true)
	}
	seen := destinations(10*second, r, Prefill, know)
	c.Check(seen, qt.DeepEquals, map[string]int{order[1]: 200})
	name, _, _ := func() (uint64, int, bool) { p := newPrefixChain(r); return p.shared() }()
	seen = destinations(10*second, r, Prefill, func(chooser *Scheduler) {
		know(chooser)
		chooser.AddCachedPrefixes([]CachedPrefixes{{order[0], []uint64{name}}})
	})
	c.Check(seen, qt.DeepEquals, map[string]int{order[0]: 200})
}

// TestNewPromptsAreToldOnce tells of a prompt that was sent to a server for the first time, and not again.
func TestNewPromptsAreToldOnce(t *testing.T) {
	c := qt.New(t)
	chooser := warmScheduler(1, 7, 11)
	call := chooser.Choose(10*second, prompted("a", 1), Prefill, nil)
	told := chooser.TakeNewPrefixes()
	c.Assert(told, qt.HasLen, 1)
	c.Check(told[0].Server, qt.Equals, call.Server.ID)
	c.Check(told[0].Hashes, qt.HasLen, 1)
	chooser.Choose(10*second, prompted("a", 2), Prefill, nil)
	c.Check(chooser.TakeNewPrefixes(), qt.HasLen, 0)
}

// TestMissedNewsAreAssumed takes the first rank to hold a prompt after a time in which others were not heard.
func TestMissedNewsAreAssumed(t *testing.T) {
	c := qt.New(t)
	chooser := warmScheduler(1, 7, 11)
	c.Check(chooser.prefixesKnown(10*second), qt.IsFalse, qt.Commentf("started after others"))
	chooser.MarkFleetStart(10 * second)
	chooser.SetPeerLoad(11*second, nil, true)
	c.Check(chooser.prefixesKnown(11*second), qt.IsTrue)
	chooser.SetPeerLoad(11*second+2*peerLoadTTL, nil, true)
	c.Check(chooser.prefixesKnown(11*second+2*peerLoadTTL), qt.IsFalse)
	late := 11*second + 2*peerLoadTTL + prefixCatchUpTime
	for now := 11*second + 2*peerLoadTTL; now <= late; now += peerLoadTTL {
		chooser.SetPeerLoad(now, nil, false)
	}
	c.Check(chooser.prefixesKnown(late), qt.IsTrue)
}

// TestWhatIsKnownOfHoldersIsHandedOn brings a proxy that starts late up to date.
func TestWhatIsKnownOfHoldersIsHandedOn(t *testing.T) {
	c := qt.New(t)
	first, second2 := warmScheduler(1, 7, 11), warmScheduler(2, 7, 11)
	r := prompted("a", 1)
	call := first.Choose(10*second, r, Prefill, nil)
	second2.AddCachedPrefixes(first.KnownPrefixes(100))
	second2.MarkPrefixesSynced(10 * second)
	c.Check(second2.prefixesKnown(10*second), qt.IsTrue)
	chain := newPrefixChain(prompted("a", 2))
	c.Check(second2.prefixes.cachedTokens(call.state.hash, &chain), qt.Equals, 12000)
	c.Check(first.KnownPrefixes(0), qt.HasLen, 0)
}

// TestWhatWasToldIsHandedOnBeforeTheFirstDecision hands on what a proxy was told, as after a loss of all
// processes, where it knows the servers and has not had a request yet.
func TestWhatWasToldIsHandedOnBeforeTheFirstDecision(t *testing.T) {
	c := qt.New(t)
	known := warmScheduler(1, 7, 11)
	known.Choose(10*second, prompted("a", 1), Prefill, nil)
	told := known.KnownPrefixes(100)
	c.Assert(told, qt.HasLen, 1)

	restarted := New("z1", 2)
	restarted.AddCachedPrefixes(told)
	c.Check(restarted.KnownPrefixes(100), qt.HasLen, 0, qt.Commentf("no server is known"))
	restarted.Update(10*second, known.table)
	again := restarted.KnownPrefixes(100)
	slices.Sort(again[0].Hashes)
	slices.Sort(told[0].Hashes)
	c.Check(again, qt.DeepEquals, told)
}
