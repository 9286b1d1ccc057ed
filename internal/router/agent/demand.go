package agent

import (
	"sync"
	"time"

	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/roleplan"
)

const (
	demandInterval = 500 * time.Millisecond
	// demandTimeout is how long what a proxy told of its demand counts.
	demandTimeout = 3 * time.Second
)

// demandTable holds what each proxy has under way at services with model servers.
type demandTable struct {
	node *Node

	mu        sync.Mutex
	ownDemand *peerproto.Demands
	proxies   map[string]reportedDemand // by id of the proxy's record
}

type reportedDemand struct {
	reportedAt time.Duration
	demands    *peerproto.Demands
}

func newDemandTable(n *Node) *demandTable {
	return &demandTable{node: n, ownDemand: &peerproto.Demands{}, proxies: map[string]reportedDemand{}}
}

// measure follows this proxy's own demand until done closes.
func (t *demandTable) measure(done <-chan struct{}) {
	ticker := time.NewTicker(demandInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		demands := &peerproto.Demands{}
		for _, d := range t.node.workload.Demands() {
			demands.Services = append(demands.Services,
				peerproto.Demand{Service: d.Service, Prefill: d.Prefill, Decode: d.Decode})
		}
		t.mu.Lock()
		t.ownDemand = demands
		t.proxies[t.node.id] = reportedDemand{t.node.now(), demands}
		t.mu.Unlock()
	}
}

func (t *demandTable) own() *peerproto.Demands {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ownDemand
}

// record notes what another proxy told.
func (t *demandTable) record(peer string, now time.Duration, body []byte) {
	var demands peerproto.Demands
	if peerproto.Decode(body, &demands) != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.proxies[peer] = reportedDemand{now, &demands}
}

// total sums up the demand for a service over the proxies that were heard of lately.
func (t *demandTable) total(service string, now time.Duration) roleplan.Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum roleplan.Demand
	for id, reported := range t.proxies {
		if now-reported.reportedAt > demandTimeout {
			delete(t.proxies, id)
			continue
		}
		for _, d := range reported.demands.Services {
			if d.Service == service {
				sum.HasTraffic = true
				sum.PrefillCalls += d.Prefill
				sum.DecodeCalls += d.Decode
			}
		}
	}
	return sum
}
