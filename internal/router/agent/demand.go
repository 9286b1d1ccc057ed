package agent

import (
	"sync"
	"time"

	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/roleplan"
)

const (
	demandInterval = 500 * time.Millisecond
	// demandLife is how long what a proxy told of its demand counts.
	demandLife = 3 * time.Second
)

// demandTable holds what each proxy has under way at services with model servers.
type demandTable struct {
	node *Node

	mu      sync.Mutex
	mine    *peerproto.Demands
	proxies map[string]toldDemand // by id of the proxy's record
}

type toldDemand struct {
	at      time.Duration
	demands *peerproto.Demands
}

func newDemandTable(n *Node) *demandTable {
	return &demandTable{node: n, mine: &peerproto.Demands{}, proxies: map[string]toldDemand{}}
}

// measure follows this proxy's own demand until done closes.
func (b *demandTable) measure(done <-chan struct{}) {
	ticker := time.NewTicker(demandInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		demands := &peerproto.Demands{}
		for _, d := range b.node.workload.Demands() {
			demands.Services = append(demands.Services,
				peerproto.Demand{Service: d.Service, Prefill: d.Prefill, Decode: d.Decode})
		}
		b.mu.Lock()
		b.mine = demands
		b.proxies[b.node.id] = toldDemand{b.node.now(), demands}
		b.mu.Unlock()
	}
}

func (b *demandTable) own() *peerproto.Demands {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mine
}

// take notes what another proxy told.
func (b *demandTable) take(peer string, now time.Duration, body []byte) {
	var demands peerproto.Demands
	if peerproto.Decode(body, &demands) != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.proxies[peer] = toldDemand{now, &demands}
}

// of sums up the demand for a service over the proxies that were heard of lately.
func (b *demandTable) of(service string, now time.Duration) roleplan.Demand {
	b.mu.Lock()
	defer b.mu.Unlock()
	var sum roleplan.Demand
	for id, told := range b.proxies {
		if now-told.at > demandLife {
			delete(b.proxies, id)
			continue
		}
		for _, d := range told.demands.Services {
			if d.Service == service {
				sum.HasTraffic = true
				sum.PrefillCalls += d.Prefill
				sum.DecodeCalls += d.Decode
			}
		}
	}
	return sum
}
