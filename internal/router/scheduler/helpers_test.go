package scheduler

import (
	"fmt"
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/fleetconfig"
)

const second = time.Second

func modelService() *fleetconfig.Service {
	return &fleetconfig.Service{Name: "model", Engine: &fleetconfig.Engine{
		Slots: 32, KVCacheTokens: 200000, KVBytesPerToken: 20000, LinkMbps: 100000,
	}}
}

// modelServers returns prefill servers r0, r1, ... and decode servers w0, w1, ..., spread over three zones.
func modelServers(prefillServers, decodeServers int) []*catalog.Server {
	var all []*catalog.Server
	add := func(n int, role catalog.Role) {
		for i := range n {
			all = append(all, &catalog.Server{
				ID: fmt.Sprintf("%c%d", role[0], i), Service: "model", Zone: fmt.Sprintf("z%d", i%3),
				Slots: 32, State: catalog.Ready, Role: role,
			})
		}
	}
	add(prefillServers, catalog.Prefill)
	add(decodeServers, catalog.Decode)
	return all
}

func modelScheduler(seed uint64, prefillServers, decodeServers int) *Scheduler {
	scheduler := New("z0", seed)
	scheduler.Update(0, catalog.NewTable(modelServers(prefillServers, decodeServers)))
	return scheduler
}

// warmUp makes all servers known and reports them idle at the given time. Servers that are listed at 0 are
// past their slow start at 10 s.
func warmUp(scheduler *Scheduler, now time.Duration) *Scheduler {
	scheduler.Split(0, promptRequest("warm", 0))
	for id := range scheduler.servers {
		scheduler.ObserveLoad(now, id, Load{Slots: 32})
	}
	return scheduler
}

// promptRequest returns a request with a prompt of 12000 tokens that all prompts with the same sharedID
// share, and 2000 tokens of its own, identified by ownNumber.
func promptRequest(sharedID string, ownNumber int) *Request {
	return &Request{
		Service: modelService(), PromptTokens: 14000, OutputTokens: 20, Idempotent: true,
		Segments: []Segment{{sharedID, 12000}, {fmt.Sprint(sharedID, "-", ownNumber), 2000}},
	}
}

func plainService() *fleetconfig.Service { return &fleetconfig.Service{Name: "plain"} }

// warmScheduler returns a scheduler whose servers are, at 10 s, known, idle and as fast as the initial
// estimates.
func warmScheduler(seed uint64, prefillServers, decodeServers int) *Scheduler {
	return warmUp(modelScheduler(seed, prefillServers, decodeServers), 0)
}

// reportAll reports the same load for all servers of a role.
func reportAll(scheduler *Scheduler, now time.Duration, role catalog.Role, running int) {
	for id, s := range scheduler.servers {
		if s.Role == role {
			scheduler.ObserveLoad(now, id, Load{Running: running, Slots: 32})
		}
	}
}

// rankedPrefillServers returns the ids of the prefill servers in the order of their ranks for a prompt.
func rankedPrefillServers(scheduler *Scheduler, r *Request) []string {
	chain := newPrefixChain(r)
	shared, _ := chain.shared()
	var all []candidate
	for _, s := range scheduler.pool(0, r.Service).prefillServers {
		all = append(all, candidate{serverState: s})
	}
	rank(all, shared.hash, len(all))
	var ids []string
	for i := range all {
		ids = append(ids, all[i].ID)
	}
	return ids
}

// destinations returns to which servers 200 proxies with the same state would send a request, and how many of
// them to each.
func destinations(now time.Duration, r *Request, role Role, prepare func(*Scheduler)) map[string]int {
	counts := map[string]int{}
	for seed := range uint64(200) {
		scheduler := warmScheduler(seed, 7, 11)
		prepare(scheduler)
		counts[scheduler.Choose(now, r, role, nil).Server.ID]++
	}
	return counts
}

func plainScheduler(servers int) *Scheduler {
	var all []*catalog.Server
	for i := range servers {
		all = append(all, &catalog.Server{
			ID: string(rune('a' + i)), Service: "plain", Zone: "z0", Slots: 4, State: catalog.Ready,
		})
	}
	scheduler := New("z0", 1)
	scheduler.Update(0, catalog.NewTable(all))
	return scheduler
}

// callAt begins a call at the server of an id.
func callAt(scheduler *Scheduler, now time.Duration, id string) *Call {
	r := &Request{Service: plainService(), Idempotent: true}
	for _, s := range scheduler.table.Service("plain") {
		if s.ID != id {
			r.Excluded = append(r.Excluded, s.ID)
		}
	}
	return scheduler.Choose(now, r, Serve, nil)
}

// countRequestsTo returns how many of 100 requests the server of an id gets.
func countRequestsTo(scheduler *Scheduler, now time.Duration, id string, idempotent bool) int {
	n := 0
	for range 100 {
		call := scheduler.Choose(now, &Request{Service: plainService(), Idempotent: idempotent}, Serve, nil)
		if call.Server.ID == id {
			n++
		}
		scheduler.Done(now, call, Abandoned)
	}
	return n
}
