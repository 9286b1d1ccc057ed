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
	sameZoneLatency  = 100 * time.Microsecond // one way
	crossZoneLatency = 500 * time.Microsecond
	drainTime        = 10 * time.Second // after the last arrival, for answers to end
)

// The streams of random draws of a run, as the second word of a generator's seed. The policy of each proxy
// draws by a seed of its own (proxySeed).
const (
	fleetStream    = 7
	baselineStream = 3
	clientStream   = 8
	arrivalsStream = 100 // and on, one for each kind of request
)

// fleet is the state of a run.
type fleet struct {
	clock           clock
	scenario        *Scenario
	service         *fleetconfig.Service // that all requests are for
	random          *rand.Rand           // of servers and faults; arrivals have generators of their own
	clientRandom    *rand.Rand           // of the proxies that clients turn to again
	servers         map[string]*server   // by id, dead ones included
	proxies         []*proxy
	counts          Counts
	publishedTables uint64       // their number is the incarnation of a server that starts
	queues          serverQueues // shared by clairvoyant policies
}

// Run plays a scenario with a policy.
func Run(scenario Scenario, policy PolicyFactory) Result {
	engine := &scenario.Engine
	f := &fleet{
		scenario: &scenario, random: rand.New(rand.NewPCG(scenario.Seed, fleetStream)),
		clientRandom: rand.New(rand.NewPCG(scenario.Seed, clientStream)),
		counts:       Counts{Steps: make([]StepCounts, len(scenario.loadSteps()))},
		servers:      map[string]*server{}, queues: serverQueues{},
		service: &fleetconfig.Service{Name: "model", Engine: &fleetconfig.Engine{
			Slots: engine.Slots, KVCacheTokens: engine.CacheTokens, KVBytesPerToken: engine.TokenBytes,
			LinkMbps: engine.LinkMegabits, MaxTokensPerEvent: 1,
		}},
	}
	f.start(policy)
	f.schedule()
	f.clock.play(scenario.arrivalTime() + drainTime)
	return Result{policy.Name, f.counts}
}

// start adds the servers and proxies.
func (f *fleet) start(policy PolicyFactory) {
	for i := range f.scenario.PrefillServers {
		f.addServer(catalog.Prefill, i, 0)
	}
	for i := range f.scenario.DecodeServers {
		f.addServer(catalog.Decode, i, 0)
	}
	for i := range f.scenario.Proxies {
		zone := zoneName(i % f.scenario.Zones)
		p := &proxy{fleet: f, zone: zone, policy: policy.New(zone, proxySeed(f.scenario.Seed, i))}
		if bound, ok := p.policy.(*clairvoyant); ok {
			bound.queues = f.queues
		}
		f.proxies = append(f.proxies, p)
	}
	f.publishTable()
	if f.scenario.PeerLoadDelay > 0 {
		f.startPeerExchange()
	}
}

// seedsPerRun is the number of seeds for the proxies of a run.
const seedsPerRun = 1000

// proxySeed returns the seed of a proxy's policy; no two proxies share one in runs of up to seedsPerRun
// proxies.
func proxySeed(seed uint64, proxy int) uint64 { return seed*seedsPerRun + uint64(proxy) }

func zoneName(number int) string { return fmt.Sprintf("zone-%d", number) }

// addServer starts a server. Number and incarnation make up its id with its role; the number determines its
// zone.
func (f *fleet) addServer(role catalog.Role, number, incarnation int) {
	s := &server{
		Server: &catalog.Server{
			ID: fmt.Sprintf("%s-%d-%d", role, number, incarnation), Service: f.service.Name,
			Slots: f.scenario.Engine.Slots, Zone: zoneName(number % f.scenario.Zones), State: catalog.Ready,
			Role: role,
		},
		clock: &f.clock, engine: &f.scenario.Engine, cache: newPrefixCache(f.scenario.Engine.CacheTokens),
		speed: 1 + f.scenario.SpeedSpread*(2*f.random.Float64()-1), transferFactor: 1, counts: &f.counts,
	}
	f.servers[s.ID] = s
}

// live returns the servers that are not dead, sorted by id.
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

// publishTable gives all proxies the table of the live servers.
func (f *fleet) publishTable() {
	var listed []*catalog.Server
	for _, s := range f.live() {
		listed = append(listed, s.Server)
	}
	f.publishedTables++
	table := catalog.NewTable(listed)
	for _, p := range f.proxies {
		p.policy.Update(f.clock.now, table)
	}
}

// schedule schedules the arrivals and faults of the scenario.
func (f *fleet) schedule() {
	for i := range f.scenario.Kinds {
		f.scheduleArrivals(i, rand.New(rand.NewPCG(f.scenario.Seed, uint64(arrivalsStream+i))))
	}
	for _, fault := range f.scenario.Faults {
		f.clock.after(fault.At, func() { f.inject(fault) })
	}
}

// networkDelay returns the one-way delay between a zone and a server.
func (f *fleet) networkDelay(zone string, s *server) time.Duration {
	if s.Zone == zone {
		return sameZoneLatency
	}
	return crossZoneLatency
}
