package agent

import (
	"sync"
	"time"

	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/roleplan"
)

const (
	// demandInterval is how often this process measures its demand. Each ping carries the last measurement.
	demandInterval = 500 * time.Millisecond
	// demandTimeout is how long a proxy's reported demand stays valid.
	demandTimeout = 3 * time.Second
)

// demandTable holds the last reported demand of each proxy, including this one, for the services with model
// servers. Its methods are safe for concurrent use.
type demandTable struct {
	*process
	workload Workload

	mu        sync.Mutex
	ownDemand *peerproto.Demands
	proxies   map[string]reportedDemand // by the id of the proxy's record
}

type reportedDemand struct {
	reportedAt time.Duration
	demands    *peerproto.Demands
}

func newDemandTable(p *process, workload Workload) *demandTable {
	return &demandTable{process: p, workload: workload, ownDemand: &peerproto.Demands{},
		proxies: map[string]reportedDemand{}}
}

// run measures the demand of this process until done closes.
func (t *demandTable) run(done <-chan struct{}) { runEvery(demandInterval, done, t.measure) }

func (t *demandTable) measure() {
	demands := &peerproto.Demands{}
	for _, d := range t.workload.Demands() {
		demands.Services = append(demands.Services,
			peerproto.Demand{Service: d.Service, Prefill: d.Prefill, Decode: d.Decode})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ownDemand = demands
	t.proxies[t.id] = reportedDemand{t.now(), demands}
}

// own returns the last measured demand of this process.
func (t *demandTable) own() *peerproto.Demands {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ownDemand
}

// record records the demand that another proxy has reported with a ping.
func (t *demandTable) record(peer string, now time.Duration, body []byte) {
	var demands peerproto.Demands
	if peerproto.Decode(body, &demands) != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.proxies[peer] = reportedDemand{now, &demands}
}

// total returns the sum of the demand for a service over the proxies that have reported within demandTimeout,
// and removes the reports that are older.
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
