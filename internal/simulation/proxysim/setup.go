package proxysim

import (
	"math"
	"math/rand/v2"
	"time"

	"cresshub/balance"
)

// makeServers adds the servers of the start, of all kinds by their fractions.
func (s *Sim) makeServers() {
	kinds := s.scenario.Kinds
	if len(kinds) == 0 {
		kinds = []Kind{{Name: "server", Fraction: 1, Cores: s.scenario.Servers.Cores, MinSpeed: 1, MaxSpeed: 1}}
	}
	given := make([]float64, len(kinds))
	total := 0.0
	for _, kind := range kinds {
		total += kind.Fraction
	}
	for i := range s.scenario.Servers.Count {
		// The kind that is furthest behind its fraction comes next, so that fractions hold at any count.
		next, furthest := 0, math.Inf(-1)
		for candidate, kind := range kinds {
			if behind := kind.Fraction/total*float64(i+1) - given[candidate]; behind > furthest {
				next, furthest = candidate, behind
			}
		}
		given[next]++
		s.addServer(next, kinds[next])
	}
}

// addServer adds a server of a kind, in the hall that is next in turn.
func (s *Sim) addServer(kindIndex int, kind Kind) {
	speed := kind.MinSpeed + (kind.MaxSpeed-kind.MinSpeed)*s.streams.speeds.Float64()
	s.servers = append(s.servers, server{
		kind: int32(kindIndex), hall: int32(len(s.servers) % len(s.halls)), cores: int32(kind.Cores),
		speed: speed, up: true,
	})
}

// capacity is the work a second that all servers can do, in seconds of a core of speed 1.
func (s *Sim) capacity() (sum float64) {
	for i := range s.servers {
		sum += float64(s.servers[i].cores) * s.servers[i].speed
	}
	return sum
}

// zipfOffset is the offset of the rank in the Zipf distribution of the keys: key k has a weight of
// (zipfOffset+k)^-KeySkew.
const zipfOffset = 4

// distantTarget is the latency target of a class without one, in mean works of its requests: far off, but not
// so far that the module's first guess of a service time, a fifth of the target, lasts.
const distantTarget = 100

// makeLoad sets the rate of arrivals and how requests divide among classes, tenants, proxies and keys.
func (s *Sim) makeLoad() {
	work := s.makeFractions()
	cores := 0
	for i := range s.servers {
		cores += int(s.servers[i].cores)
	}
	s.meanService = work / (s.capacity() / float64(cores)) * nsPerSecond
	s.rate = s.scenario.Load.Rate
	if s.rate <= 0 {
		s.rate = s.scenario.Load.Utilisation * s.capacity() / work
	}
	if reports := &s.scenario.Reports; reports.Model == reportsOnAccess && reports.Delay > 0 {
		// As many proxies as each send one request in that time.
		copied := *s.scenario
		copied.Proxies.Count = max(1, int(s.rate*s.meanService/nsPerSecond/reports.Delay+0.5))
		s.scenario = &copied
	}
	total := 0.0
	for i := range s.scenario.Proxies.Count {
		total += math.Pow(float64(i+1), -s.scenario.Proxies.Skew)
		s.cumulativeLoad = append(s.cumulativeLoad, total)
	}
	if s.scenario.Load.Keys > 0 {
		s.zipf = rand.NewZipf(s.streams.keys, s.scenario.Load.KeySkew, zipfOffset, uint64(s.scenario.Load.Keys-1))
	}
}

// makeFractions cumulates the fractions of classes and tenants, and returns the mean work of a request in
// seconds.
func (s *Sim) makeFractions() float64 {
	work, classes := 0.0, 0.0
	for _, class := range s.scenario.Classes {
		classes += class.Fraction
		s.cumulativeFractions.class = append(s.cumulativeFractions.class, classes)
		work += class.Fraction * class.Work.Seconds()
	}
	tenants := 0.0
	for _, tenant := range s.scenario.Tenants {
		tenants += tenant.Fraction
		s.cumulativeFractions.tenant = append(s.cumulativeFractions.tenant, tenants)
	}
	return work / classes
}

// makeProxies starts the discovery service and all proxies.
func (s *Sim) makeProxies(options Options) error {
	s.registry.init(s)
	s.idleConns = make([]idleConns, s.scenario.Proxies.Count*s.registry.maxServers)
	s.proxies = make([]proxy, s.scenario.Proxies.Count)
	total := s.cumulativeLoad[len(s.cumulativeLoad)-1]
	for i := range s.proxies {
		proxy := &s.proxies[i]
		proxy.hall, proxy.module = int32(i%len(s.halls)), options.Policy == policyModule
		before := 0.0
		if i > 0 {
			before = s.cumulativeLoad[i-1]
		}
		proxy.meanGap = nsPerSecond / (s.rate * (s.cumulativeLoad[i] - before) / total)
		if err := s.startProxy(int32(i), options); err != nil {
			return err
		}
	}
	return nil
}

// startProxy starts a proxy with the current list.
func (s *Sim) startProxy(proxyIndex int32, options Options) error {
	proxy := &s.proxies[proxyIndex]
	proxy.alive, proxy.watching, proxy.withdrawnAt = true, s.registry.push, nil
	proxy.version = s.registry.version()
	rng := stream(options.Seed+uint64(proxyIndex)*goldenRatio64+uint64(proxy.incarnation), "policy")
	if proxy.module {
		newAgent := options.Module
		if newAgent == nil {
			newAgent = func(set balance.Settings, now time.Duration) (Agent, error) { return balance.New(set, now) }
		}
		var err error
		if proxy.agent, err = newAgent(s.settings(proxyIndex, rng.Uint64()), time.Duration(s.now)); err != nil {
			return err
		}
	} else {
		proxy.agent = newBaseline(s, proxyIndex, options, rng)
	}
	kind := balance.ListCached
	if s.registry.push {
		kind = balance.ListFull
	}
	s.apply(proxyIndex, proxy.agent.List(time.Duration(s.now), kind, s.registry.fullList(), s.actions[:0]))
	return nil
}

// settings are those of the module at one proxy.
func (s *Sim) settings(rank int32, seed uint64) balance.Settings {
	scenario := s.scenario
	settings := balance.Settings{
		Seed: seed, Rank: int(rank), Peers: scenario.Proxies.Count, Zone: int(s.proxies[rank].hall),
		Tick:         time.Millisecond,
		ReportFields: []balance.ReportField{balance.FieldInFlight, balance.FieldQueued, balance.FieldUtilization},
		Costs: balance.Costs{CrossZone: scenario.Prices.CrossHall, Probe: scenario.Prices.Probe,
			Waste: scenario.Prices.Waste, LateFail: scenario.Prices.LateFail},
		OverQuotaValue: scenario.Prices.OverQuotaValue, MustFollow: !s.registry.push,
		RegistryInterval: scenario.Discovery.RegistryInterval,
		DrainGrace:       scenario.Rules.DrainGrace, ResponseGrace: scenario.Rules.AnswerGrace,
		SlowStartMin:    scenario.Servers.SlowStartMin,
		SlowStartWindow: scenario.Servers.SlowStartWindow, CollapseMultiple: scenario.Rules.CollapseFactor,
		CollapseAfter: scenario.Rules.CollapseAfter,
		MaxAttempts:   scenario.Rules.MaxAttempts, MayProbe: true, MayCancel: true, MayHedge: true,
		SendsRetryAfter: scenario.Clients.HonorRetryAfter > 0, MaxRetryAfter: time.Second,
		DialTimeout: scenario.Network.DialTimeout,
		KeyAffinity: scenario.Servers.WarmKeyTTL > 0,
	}
	for _, class := range scenario.Classes {
		balanced := balance.Class{LatencyTarget: class.LatencyTarget, Deadline: class.Deadline, Value: class.Value}
		if class.AtMostOnce {
			balanced.Effect = balance.AtMostOnce
		}
		if balanced.LatencyTarget == 0 {
			balanced.LatencyTarget = distantTarget * class.Work
		}
		if balanced.Deadline == 0 {
			balanced.Deadline = forever
		}
		settings.Classes = append(settings.Classes, balanced)
	}
	for _, tenant := range scenario.Tenants {
		settings.Tenants = append(settings.Tenants,
			balance.Tenant{Fraction: tenant.Fraction, QuotaPerSec: tenant.Quota})
	}
	return settings
}
