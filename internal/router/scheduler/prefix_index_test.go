package scheduler

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/catalog"
)

func TestPrefixIndexRecordsAndDrops(t *testing.T) {
	c := qt.New(t)
	index := newPrefixIndex(100)
	c.Check(index.record(1, chainOfSegments("a", "b")), qt.Equals, 0)
	c.Check(index.cachedTokens(1, chainOfSegments("a", "c")), qt.Equals, 100)
	c.Check(index.cachedTokens(1, chainOfSegments("a", "b")), qt.Equals, 200)
	c.Check(index.cachedTokens(2, chainOfSegments("a", "b")), qt.Equals, 0)
	before := index.record(1, chainOfSegments("a", "d"))
	c.Check(before, qt.Equals, 1)
	index.drop(1, chainOfSegments("a", "d"), before)
	c.Check(index.cachedTokens(1, chainOfSegments("a", "d")), qt.Equals, 100,
		qt.Commentf("the first segment was recorded before"))
	index.record(2, chainOfSegments("a", "b"))
	index.drop(1, chainOfSegments("a", "b"), 0)
	c.Check(index.cachedTokens(1, chainOfSegments("a", "b")), qt.Equals, 0)
	c.Check(index.cachedTokens(2, chainOfSegments("a", "b")), qt.Equals, 200)
}

// TestReturningServersKeepTheirPrefixes: a server that was missing from the table for a short time has not
// lost its cache.
func TestReturningServersKeepTheirPrefixes(t *testing.T) {
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
	index := newPrefixIndex(10)
	for i := range 1000 {
		index.record(1, chainOfSegments("kept"))
		index.record(1, chainOfSegments(fmt.Sprint(i)))
		if i%7 == 0 {
			index.drop(1, chainOfSegments(fmt.Sprint(i)), 0)
		}
	}
	c.Check(len(index.positions) <= 10, qt.IsTrue)
	c.Check(len(index.entries) <= 11, qt.IsTrue)
	c.Check(index.cachedTokens(1, chainOfSegments("kept")), qt.Equals, 100)
	c.Check(index.cachedTokens(1, chainOfSegments("998")), qt.Equals, 100)
	c.Check(index.cachedTokens(1, chainOfSegments("900")), qt.Equals, 0)
}

func TestRemovingAServerMovesOnlyItsPrefixes(t *testing.T) {
	c := qt.New(t)
	first := func(servers []candidate, prefix uint64) uint64 {
		all := append([]candidate{}, servers...)
		rank(all, prefix, 1)
		return all[0].hash
	}
	var seven []candidate
	for i := range 7 {
		seven = append(seven, candidate{serverState: &serverState{hash: mix(uint64(i + 1))}})
	}
	moved, load := 0, map[uint64]int{}
	for prefix := range uint64(7000) {
		before := first(seven, prefix)
		load[before]++
		if after := first(seven[:6], prefix); after != before {
			moved++
			c.Assert(before, qt.Equals, seven[6].hash, qt.Commentf("only prefixes of the removed server move"))
		}
	}
	c.Check(float64(moved), isNear, 1000.0, 150)
	for _, n := range load {
		c.Check(float64(n), isNear, 1000.0, 150)
	}
}
