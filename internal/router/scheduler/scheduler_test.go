package scheduler

import (
	"fmt"
	"testing"
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/fleetconfig"

	qt "github.com/frankban/quicktest"
)

const second = time.Second

func modelService() *fleetconfig.Service {
	return &fleetconfig.Service{Name: "model", Engine: &fleetconfig.Engine{
		Slots: 32, KVCacheTokens: 200000, KVBytesPerToken: 20000, LinkMbps: 100000,
	}}
}

// modelServers returns readers r0... and writers w0..., spread over three zones.
func modelServers(readers, writers int) []*catalog.Server {
	var all []*catalog.Server
	add := func(n int, stage catalog.Role) {
		for i := range n {
			all = append(all, &catalog.Server{
				ID: fmt.Sprintf("%c%d", stage[0], i), Service: "model", Zone: fmt.Sprintf("z%d", i%3),
				Slots: 32, State: catalog.Ready, Role: stage,
			})
		}
	}
	add(readers, catalog.Prefill)
	add(writers, catalog.Decode)
	return all
}

func modelScheduler(seed uint64, readers, writers int) *Scheduler {
	c := New("z0", seed)
	c.Update(0, catalog.NewTable(1, modelServers(readers, writers)))
	return c
}

// warm lets the servers be known, calm and no longer new at 10 s.
func warmUp(c *Scheduler, now time.Duration) *Scheduler {
	c.Split(0, prompted("warm", 0))
	for id := range c.servers {
		c.ObserveLoad(now, id, Load{Slots: 32})
	}
	return c
}

func prompted(thing string, own int) *Request {
	return &Request{
		Service: modelService(), PromptTokens: 14000, OutputTokens: 20, Idempotent: true,
		Segments: []Segment{{thing, 12000}, {fmt.Sprint(thing, "-", own), 2000}},
	}
}

func TestSplitReadsAtOneServerAndWritesAtAnother(t *testing.T) {
	c := qt.New(t)
	chooser := warmUp(modelScheduler(1, 3, 3), 10*second)
	r := prompted("a", 1)
	c.Assert(chooser.Split(10*second, r), qt.IsTrue)
	read := chooser.Choose(10*second, r, Prefill, nil)
	c.Assert(read.Server.Role, qt.Equals, catalog.Prefill)
	write := chooser.Choose(10*second, r, Decode, read.Server)
	c.Assert(write.Server.Role, qt.Equals, catalog.Decode)
}

// readTime is what a reader of these tests takes.
func readTime(tokens int) time.Duration {
	return 15*time.Millisecond + time.Duration(tokens)*time.Millisecond/40
}

func TestPromptsStayWithTheirReader(t *testing.T) {
	c := qt.New(t)
	holds := map[string]bool{}
	proxies := []*Scheduler{warmUp(modelScheduler(1, 7, 11), 10*second), warmUp(modelScheduler(2, 7, 11),
		10*second)}
	now := 10 * second
	for thing := range 30 {
		seen := map[string]int{}
		for own := range 6 {
			chooser := proxies[own%2]
			r := prompted(fmt.Sprint("thing", thing), own)
			call := chooser.Choose(now, r, Prefill, nil)
			seen[call.Server.ID]++
			tokens, key := 2000, fmt.Sprint(call.Server.ID, thing)
			if !holds[key] {
				holds[key], tokens = true, 14000
			}
			now += readTime(tokens)
			chooser.FirstEvent(now, call)
			chooser.ObserveLoad(now, call.Server.ID, Load{Slots: 32})
			chooser.Done(now, call, Served)
			now += 300 * time.Millisecond
		}
		c.Check(seen, qt.HasLen, 1, qt.Commentf("thing %d", thing))
	}
}

func TestNilOnlyWhereAllServersWereTried(t *testing.T) {
	c := qt.New(t)
	chooser := modelScheduler(1, 1, 2)
	r := prompted("a", 1)
	for _, id := range []string{"w0", "w1"} {
		for range 3 {
			call := chooser.Choose(second, &Request{Service: r.Service, Excluded: other(id)}, Decode, nil)
			c.Assert(call.Server.ID, qt.Equals, id)
			chooser.Done(second, call, Unreachable)
		}
	}
	c.Assert(chooser.Choose(second, r, Decode, nil), qt.IsNotNil)
	r.Excluded = []string{"w0", "w1"}
	c.Assert(chooser.Choose(second, r, Decode, nil), qt.IsNil)
}

func other(id string) []string {
	if id == "w0" {
		return []string{"w1"}
	}
	return []string{"w0"}
}

func TestLastReaderLost(t *testing.T) {
	c := qt.New(t)
	chooser := modelScheduler(1, 1, 2)
	r := prompted("a", 1)
	call := chooser.Choose(second, r, Prefill, nil)
	chooser.Done(second, call, Unreachable)
	c.Assert(chooser.Split(second, r), qt.IsFalse)
	c.Assert(chooser.Choose(second, r, Serve, nil).Server.Role, qt.Equals, catalog.Decode)
	chooser.Update(2*second, catalog.NewTable(2, modelServers(0, 2)))
	c.Assert(chooser.Split(4*second, r), qt.IsFalse)
}

func benchmark(b *testing.B, readers, writers int) {
	chooser := warmUp(modelScheduler(1, readers, writers), 10*second)
	requests := make([]*Request, 200)
	for i := range requests {
		requests[i] = prompted(fmt.Sprint("thing", i%50), i)
	}
	now := 10 * second
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += time.Millisecond
		r := requests[i%len(requests)]
		chooser.Split(now, r)
		read := chooser.Choose(now, r, Prefill, nil)
		write := chooser.Choose(now, r, Decode, read.Server)
		chooser.Done(now, read, Served)
		chooser.FirstEvent(now, write)
		chooser.Done(now, write, Served)
	}
}

func BenchmarkSplitReadWrite18(b *testing.B)  { benchmark(b, 7, 11) }
func BenchmarkSplitReadWrite140(b *testing.B) { benchmark(b, 56, 84) }

func plainService() *fleetconfig.Service { return &fleetconfig.Service{Name: "plain"} }
