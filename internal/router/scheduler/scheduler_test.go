package scheduler

import (
	"fmt"
	"testing"
	"time"

	"cresshub/internal/router/catalog"

	qt "github.com/frankban/quicktest"
)

func TestSplitRequestPrefillsAtOneServerAndDecodesAtAnother(t *testing.T) {
	c := qt.New(t)
	scheduler := warmUp(modelScheduler(1, 3, 3), 10*second)
	r := promptRequest("a", 1)
	c.Assert(scheduler.Split(10*second, r), qt.IsTrue)
	prefillCall := scheduler.Choose(10*second, r, Prefill, nil)
	c.Assert(prefillCall.Server.Role, qt.Equals, catalog.Prefill)
	decodeCall := scheduler.Choose(10*second, r, Decode, prefillCall.Server)
	c.Assert(decodeCall.Server.Role, qt.Equals, catalog.Decode)
}

// TestExpectationCountsUncachedTokens: for a second prompt with the same shared prefix, only the tokens of
// its own are expected to be prefilled, and an earlier response is expected.
func TestExpectationCountsUncachedTokens(t *testing.T) {
	c := qt.New(t)
	scheduler := warmUp(modelScheduler(1, 1, 1), 10*second)
	prefill := func(ownNumber int) Expectation {
		call := scheduler.Choose(10*second, promptRequest("a", ownNumber), Prefill, nil)
		scheduler.Done(10*second+time.Millisecond, call, Served)
		return call.Expected()
	}
	uncached, cached := prefill(1), prefill(2)
	c.Assert(uncached.UncachedTokens, qt.Equals, 14000)
	c.Assert(cached.UncachedTokens, qt.Equals, 2000)
	c.Assert(cached.TimeToFirstByte < uncached.TimeToFirstByte, qt.IsTrue)
}

func TestLastSuccessIsTheNewestServedCall(t *testing.T) {
	c := qt.New(t)
	scheduler := plainScheduler(2)
	c.Assert(scheduler.LastSuccess("unknown"), qt.Equals, LastSuccess{})
	scheduler.Done(2*second, callAt(scheduler, second, "a"), Broken)
	c.Assert(scheduler.LastSuccess("a"), qt.Equals, LastSuccess{})
	scheduler.Done(4*second, callAt(scheduler, 3*second, "b"), Served)
	c.Assert(scheduler.LastSuccess("b"), qt.Equals, LastSuccess{Exists: true, At: 4 * second})
}

// prefillDuration returns how long a prefill server of these tests takes for that many tokens.
func prefillDuration(tokens int) time.Duration {
	return 15*time.Millisecond + time.Duration(tokens)*time.Millisecond/40
}

func TestPromptsStayWithTheirPrefillServer(t *testing.T) {
	c := qt.New(t)
	cached := map[string]bool{}
	proxies := []*Scheduler{warmUp(modelScheduler(1, 7, 11), 10*second), warmUp(modelScheduler(2, 7, 11),
		10*second)}
	now := 10 * second
	for prompt := range 30 {
		seen := map[string]int{}
		for ownNumber := range 6 {
			scheduler := proxies[ownNumber%2]
			r := promptRequest(fmt.Sprint("thing", prompt), ownNumber)
			call := scheduler.Choose(now, r, Prefill, nil)
			seen[call.Server.ID]++
			tokens, key := 2000, fmt.Sprint(call.Server.ID, prompt)
			if !cached[key] {
				cached[key], tokens = true, 14000
			}
			now += prefillDuration(tokens)
			scheduler.FirstEvent(now, call)
			scheduler.ObserveLoad(now, call.Server.ID, Load{Slots: 32})
			scheduler.Done(now, call, Served)
			now += 300 * time.Millisecond
		}
		c.Check(seen, qt.HasLen, 1, qt.Commentf("prompt %d", prompt))
	}
}

func TestChooseReturnsNilOnlyIfAllServersAreExcluded(t *testing.T) {
	c := qt.New(t)
	scheduler := modelScheduler(1, 1, 2)
	r := promptRequest("a", 1)
	for _, id := range []string{"w0", "w1"} {
		for range 3 {
			call := scheduler.Choose(second, &Request{Service: r.Service, Excluded: otherThan(id)}, Decode, nil)
			c.Assert(call.Server.ID, qt.Equals, id)
			scheduler.Done(second, call, Unreachable)
		}
	}
	c.Assert(scheduler.Choose(second, r, Decode, nil), qt.IsNotNil)
	r.Excluded = []string{"w0", "w1"}
	c.Assert(scheduler.Choose(second, r, Decode, nil), qt.IsNil)
}

// otherThan returns the id of the other one of two decode servers.
func otherThan(id string) []string {
	if id == "w0" {
		return []string{"w1"}
	}
	return []string{"w0"}
}

func TestNoSplitAfterTheLastPrefillServerIsLost(t *testing.T) {
	c := qt.New(t)
	scheduler := modelScheduler(1, 1, 2)
	r := promptRequest("a", 1)
	call := scheduler.Choose(second, r, Prefill, nil)
	scheduler.Done(second, call, Unreachable)
	c.Assert(scheduler.Split(second, r), qt.IsFalse)
	c.Assert(scheduler.Choose(second, r, Serve, nil).Server.Role, qt.Equals, catalog.Decode)
	scheduler.Update(2*second, catalog.NewTable(modelServers(0, 2)))
	c.Assert(scheduler.Split(4*second, r), qt.IsFalse)
}

func benchmark(b *testing.B, prefillServers, decodeServers int) {
	b.Helper()
	scheduler := warmUp(modelScheduler(1, prefillServers, decodeServers), 10*second)
	requests := make([]*Request, 200)
	for i := range requests {
		requests[i] = promptRequest(fmt.Sprint("thing", i%50), i)
	}
	now := 10 * second
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += time.Millisecond
		r := requests[i%len(requests)]
		scheduler.Split(now, r)
		prefillCall := scheduler.Choose(now, r, Prefill, nil)
		decodeCall := scheduler.Choose(now, r, Decode, prefillCall.Server)
		scheduler.Done(now, prefillCall, Served)
		scheduler.FirstEvent(now, decodeCall)
		scheduler.Done(now, decodeCall, Served)
	}
}

func BenchmarkSplitRequest18(b *testing.B)  { benchmark(b, 7, 11) }
func BenchmarkSplitRequest140(b *testing.B) { benchmark(b, 56, 84) }
