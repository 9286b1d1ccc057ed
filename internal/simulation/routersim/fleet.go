package routersim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/fleetconfig"
)

const (
	slowLinkTimes = 10.0
	slowTimes     = 4.0
	inZone        = 100 * time.Microsecond
	betweenZones  = 500 * time.Microsecond
)

// fleet is a run.
type fleet struct {
	clock    clock
	scenario *Scenario
	service  *fleetconfig.Service
	random   *rand.Rand
	servers  map[string]*server
	proxies  []*proxy
	count    Counts
	tables   uint64
	queues   queues // for the clairvoyant
}

// Run plays a scenario with a policy.
func Run(scenario Scenario, policy Maker) Result {
	e := &scenario.Engine
	f := &fleet{
		scenario: &scenario, random: rand.New(rand.NewPCG(scenario.Seed, 7)), servers: map[string]*server{},
		queues: queues{},
		service: &fleetconfig.Service{Name: "model", Engine: &fleetconfig.Engine{
			Slots: e.Slots, KVCacheTokens: e.CacheTokens, KVBytesPerToken: e.TokenBytes,
			LinkMbps: e.LinkMegabits, MaxTokensPerEvent: 1,
		}},
	}
	f.start(policy)
	f.plan()
	f.clock.play(scenario.Length + 10*time.Second)
	return Result{policy.Name, f.count}
}

func (f *fleet) start(policy Maker) {
	for i := range f.scenario.Readers {
		f.add(catalog.Reading, i, 0)
	}
	for i := range f.scenario.Writers {
		f.add(catalog.Writing, i, 0)
	}
	for i := range f.scenario.Proxies {
		zone := zoneName(i % f.scenario.Zones)
		p := &proxy{fleet: f, zone: zone, policy: policy.New(zone, f.scenario.Seed*1000+uint64(i))}
		if all, ok := p.policy.(*clairvoyant); ok {
			all.queues = f.queues
		}
		f.proxies = append(f.proxies, p)
	}
	f.list()
	if f.scenario.Shared > 0 {
		f.startSharing()
	}
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i) }

func (f *fleet) add(stage catalog.Stage, number, life int) {
	s := &server{
		Server: &catalog.Server{
			ID: fmt.Sprintf("%s-%d-%d", stage, number, life), Service: f.service.Name,
			Slots: f.scenario.Engine.Slots, Zone: zoneName(number % f.scenario.Zones), State: catalog.Ready,
			Stage: stage,
		},
		clock: &f.clock, engine: &f.scenario.Engine, cache: newCache(f.scenario.Engine.CacheTokens),
		speed: 1 + f.scenario.SpeedSpread*(2*f.random.Float64()-1), linkSlow: 1, count: &f.count,
	}
	f.servers[s.ID] = s
}

// live returns the servers that live, by their ids.
func (f *fleet) live() []*server {
	var live []*server
	for _, s := range f.servers {
		if !s.dead {
			live = append(live, s)
		}
	}
	slices.SortFunc(live, func(x, y *server) int { return strings.Compare(x.ID, y.ID) })
	return live
}

// list tells all proxies which servers live.
func (f *fleet) list() {
	var listed []*catalog.Server
	for _, s := range f.live() {
		listed = append(listed, s.Server)
	}
	f.tables++
	table := catalog.NewTable(f.tables, listed)
	for _, p := range f.proxies {
		p.policy.Update(f.clock.now, table)
	}
}

// plan makes the arrivals and faults of the scenario.
func (f *fleet) plan() {
	for i := range f.scenario.Kinds {
		f.arrivals(i, rand.New(rand.NewPCG(f.scenario.Seed, uint64(100+i))))
	}
	for _, fault := range f.scenario.Faults {
		f.clock.after(fault.At, func() { f.fail(fault) })
	}
}

// fail lets a fault happen to a share of the servers, drawn at random.
func (f *fleet) fail(fault Fault) {
	live := f.live()
	f.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	for i, s := range live[:int(fault.Share*float64(len(live))+0.5)] {
		f.harm(s, fault, i)
	}
}

func (f *fleet) harm(s *server, fault Fault, number int) {
	long := fault.Until - fault.At
	switch fault.Kind {
	case SlowLink:
		s.linkSlow = slowLinkTimes
		f.clock.after(long, func() { s.linkSlow = 1 })
	case Slow:
		s.speed /= slowTimes
		f.clock.after(long, func() { s.speed *= slowTimes })
	case Crash:
		s.crash()
		f.clock.after(f.scenario.Listed, f.list)
		f.clock.after(long, func() { f.add(s.Stage, number, int(f.tables)+1) })
		f.clock.after(long+f.scenario.Listed, f.list)
	}
}

func (f *fleet) transit(zone string, s *server) time.Duration {
	if s.Zone == zone {
		return inZone
	}
	return betweenZones
}
