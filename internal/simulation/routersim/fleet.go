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
	slowLinkFactor   = 10.0
	slowEngineFactor = 4.0
	sameZoneLatency  = 100 * time.Microsecond
	crossZoneLatency = 500 * time.Microsecond
)

// fleet is a run.
type fleet struct {
	clock        clock
	scenario     *Scenario
	service      *fleetconfig.Service
	random       *rand.Rand
	servers      map[string]*server
	proxies      []*proxy
	counts       Counts
	tableVersion uint64
	queues       serverQueues // for the clairvoyant
}

// Run plays a scenario with a policy.
func Run(scenario Scenario, policy PolicyFactory) Result {
	engine := &scenario.Engine
	f := &fleet{
		scenario: &scenario, random: rand.New(rand.NewPCG(scenario.Seed, 7)), servers: map[string]*server{},
		queues: serverQueues{},
		service: &fleetconfig.Service{Name: "model", Engine: &fleetconfig.Engine{
			Slots: engine.Slots, KVCacheTokens: engine.CacheTokens, KVBytesPerToken: engine.TokenBytes,
			LinkMbps: engine.LinkMegabits, MaxTokensPerEvent: 1,
		}},
	}
	f.start(policy)
	f.schedule()
	f.clock.play(scenario.Length + 10*time.Second)
	return Result{policy.Name, f.counts}
}

func (f *fleet) start(policy PolicyFactory) {
	for i := range f.scenario.PrefillServers {
		f.addServer(catalog.Prefill, i, 0)
	}
	for i := range f.scenario.DecodeServers {
		f.addServer(catalog.Decode, i, 0)
	}
	for i := range f.scenario.Proxies {
		zone := zoneName(i % f.scenario.Zones)
		p := &proxy{fleet: f, zone: zone, policy: policy.New(zone, f.scenario.Seed*1000+uint64(i))}
		if all, ok := p.policy.(*clairvoyant); ok {
			all.queues = f.queues
		}
		f.proxies = append(f.proxies, p)
	}
	f.publishTable()
	if f.scenario.PeerLoadDelay > 0 {
		f.startSharing()
	}
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i) }

func (f *fleet) addServer(stage catalog.Role, number, incarnation int) {
	s := &server{
		Server: &catalog.Server{
			ID: fmt.Sprintf("%s-%d-%d", stage, number, incarnation), Service: f.service.Name,
			Slots: f.scenario.Engine.Slots, Zone: zoneName(number % f.scenario.Zones), State: catalog.Ready,
			Role: stage,
		},
		clock: &f.clock, engine: &f.scenario.Engine, cache: newPrefixCache(f.scenario.Engine.CacheTokens),
		speed: 1 + f.scenario.SpeedSpread*(2*f.random.Float64()-1), transferFactor: 1, counts: &f.counts,
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

// publishTable tells all proxies which servers live.
func (f *fleet) publishTable() {
	var listed []*catalog.Server
	for _, s := range f.live() {
		listed = append(listed, s.Server)
	}
	f.tableVersion++
	table := catalog.NewTable(f.tableVersion, listed)
	for _, p := range f.proxies {
		p.policy.Update(f.clock.now, table)
	}
}

// schedule makes the arrivals and faults of the scenario.
func (f *fleet) schedule() {
	for i := range f.scenario.Kinds {
		f.planArrivals(i, rand.New(rand.NewPCG(f.scenario.Seed, uint64(100+i))))
	}
	for _, fault := range f.scenario.Faults {
		f.clock.after(fault.At, func() { f.inject(fault) })
	}
}

// inject lets a fault happen to a share of the servers, drawn at random.
func (f *fleet) inject(fault Fault) {
	live := f.live()
	f.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	for i, s := range live[:int(fault.Fraction*float64(len(live))+0.5)] {
		f.applyFault(s, fault, i)
	}
}

func (f *fleet) applyFault(s *server, fault Fault, number int) {
	lasting := fault.Until - fault.At
	switch fault.Kind {
	case SlowLink:
		s.transferFactor = slowLinkFactor
		f.clock.after(lasting, func() { s.transferFactor = 1 })
	case Slow:
		s.speed /= slowEngineFactor
		f.clock.after(lasting, func() { s.speed *= slowEngineFactor })
	case Crash:
		s.crash()
		f.clock.after(f.scenario.ListingDelay, f.publishTable)
		f.clock.after(lasting, func() { f.addServer(s.Role, number, int(f.tableVersion)+1) })
		f.clock.after(lasting+f.scenario.ListingDelay, f.publishTable)
	}
}

func (f *fleet) networkDelay(zone string, s *server) time.Duration {
	if s.Zone == zone {
		return sameZoneLatency
	}
	return crossZoneLatency
}
