package scheduler

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/catalog"
)

func TestPrefixIndexRecordsAndDrops(t *testing.T) {
	c := qt.New(t)
	h := newPrefixIndex(100)
	c.Check(h.record(1, chainOfSegments("a", "b")), qt.Equals, 0)
	c.Check(h.cachedTokens(1, chainOfSegments("a", "c")), qt.Equals, 100)
	c.Check(h.cachedTokens(1, chainOfSegments("a", "b")), qt.Equals, 200)
	c.Check(h.cachedTokens(2, chainOfSegments("a", "b")), qt.Equals, 0)
	before := h.record(1, chainOfSegments("a", "d"))
	c.Check(before, qt.Equals, 1)
	h.drop(1, chainOfSegments("a", "d"), before)
	c.Check(h.cachedTokens(1, chainOfSegments("a", "d")), qt.Equals, 100,
		qt.Commentf("it held the first segment before"))
	h.record(2, chainOfSegments("a", "b"))
	h.drop(1, chainOfSegments("a", "b"), 0)
	c.Check(h.cachedTokens(1, chainOfSegments("a", "b")), qt.Equals, 0)
	c.Check(h.cachedTokens(2, chainOfSegments("a", "b")), qt.Equals, 200)
}

// TestServersThatComeBackKeepTheirPrefixes: a server that was lost for a moment has lost nothing.
func TestServersThatComeBackKeepTheirPrefixes(t *testing.T) {
	c := qt.New(t)
	scheduler := warmScheduler(1, 7, 11)
	call := scheduler.Choose(10*second, promptRequest("a", 1), Prefill, nil)
	scheduler.Done(11*second, call, Served)
	table := scheduler.table
	scheduler.Update(12*second, catalog.NewTable(nil))
	scheduler.Update(13*second, table)
	chain := newPrefixChain(promptRequest("a", 2))
	c.Check(scheduler.prefixes.cachedTokens(serverHash(call.Server.ID), &chain), qt.Equals, 12000)
}

func TestPrefixIndexIsBoundedAndKeepsTheNewest(t *testing.T) {
	c := qt.New(t)
	h := newPrefixIndex(10)
	for i := range 1000 {
		h.record(1, chainOfSegments("kept"))
		h.record(1, chainOfSegments(fmt.Sprint(i)))
		if i%7 == 0 {
			h.drop(1, chainOfSegments(fmt.Sprint(i)), 0)
		}
	}
	c.Check(len(h.index) <= 10, qt.IsTrue)
	c.Check(len(h.entries) <= 11, qt.IsTrue)
	c.Check(h.cachedTokens(1, chainOfSegments("kept")), qt.Equals, 100)
	c.Check(h.cachedTokens(1, chainOfSegments("998")), qt.Equals, 100)
	c.Check(h.cachedTokens(1, chainOfSegments("900")), qt.Equals, 0)
}

func TestRanksMoveOnlyWithTheirServers(t *testing.T) {
	c := qt.New(t)
	first := func(servers []candidate, name uint64) uint64 {
		all := append([]candidate{}, servers...)
		rank(all, name, 1)
		return all[0].hash
	}
	var seven []candidate
	for i := range 7 {
		seven = append(seven, candidate{serverState: &serverState{hash: mix(uint64(i + 1))}})
	}
	moved, load := 0, map[uint64]int{}
	for name := range uint64(7000) {
		was := first(seven, name)
		load[was]++
		if now := first(seven[:6], name); now != was {
			moved++
			c.Assert(was, qt.Equals, seven[6].hash, qt.Commentf("only prefixes of the server that left move"))
		}
	}
	c.Check(float64(moved), isNear, 1000.0, 150)
	for _, n := range load {
		c.Check(float64(n), isNear, 1000.0, 150)
	}
}
