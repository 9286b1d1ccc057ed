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
	for _, k := range kinds {
		total += k.Fraction
	}
	for i := range s.scenario.Servers.Count {
		// The kind that is furthest behind its fraction comes next, so that fractions hold at any count.
		kind, furthest := 0, math.Inf(-1)
		for j, k := range kinds {
			if behind := k.Fraction/total*float64(i+1) - given[j]; behind > furthest {
				kind, furthest = j, behind
			}
		}
		given[kind]++
		s.addServer(kind, kinds[kind])
	}
}

// addServer adds a server of a kind, in the hall that is next in turn.
func (s *Sim) addServer(kind int, k Kind) int32 {
	i := len(s.servers)
	speed := k.MinSpeed + (k.MaxSpeed-k.MinSpeed)*s.streams.speeds.Float64()
	s.servers = append(s.servers, server{
		kind: int32(kind), hall: int32(i % len(s.halls)), cores: int32(k.Cores), speed: speed, up: true,
	})
	return int32(i)
}

// capacity is the work a second that all servers can do, in seconds of a core of speed 1.
func (s *Sim) capacity() (c float64) {
	for i := range s.servers {
		c += float64(s.servers[i].cores) * s.servers[i].speed
	}
	return c
}

// makeLoad sets the rate of arrivals and how requests divide among classes, tenants, proxies and keys.
func (s *Sim) makeLoad() {
	work := s.makeFractions()
	cores := 0
	for i := range s.servers {
		cores += int(s.servers[i].cores)
	}
	s.meanService = work / (s.capacity() / float64(cores)) * 1e9
	s.rate = s.scenario.Load.Rate
	if s.rate <= 0 {
		s.rate = s.scenario.Load.Utilisation * s.capacity() / work
	}
	if reports := &s.scenario.Reports; reports.Model == reportsOnAccess && reports.Delay > 0 {
		// As many proxies as each send one request in that time.
		copied := *s.scenario
		copied.Proxies.Count = max(1, int(s.rate*s.meanService/1e9/reports.Delay+0.5))
		s.scenario = &copied
	}
	total := 0.0
	for i := range s.scenario.Proxies.Count {
		total += math.Pow(float64(i+1), -s.scenario.Proxies.Skew)
		s.cumulativeLoad = append(s.cumulativeLoad, total)
	}
	if s.scenario.Load.Keys > 0 {
		s.zipf = rand.NewZipf(s.streams.keys, s.scenario.Load.KeySkew, 4, uint64(s.scenario.Load.Keys-1))
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
		p := &s.proxies[i]
		p.hall, p.module = int32(i%len(s.halls)), options.Policy == policyModule
		before := 0.0
		if i > 0 {
			before = s.cumulativeLoad[i-1]
		}
		p.meanGap = 1e9 / (s.rate * (s.cumulativeLoad[i] - before) / total)
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
	sc := s.scenario
	settings := balance.Settings{
		Seed: seed, Rank: int(rank), Peers: sc.Proxies.Count, Zone: int(s.proxies[rank].hall),
		Tick:         time.Millisecond,
		ReportFields: []balance.ReportField{balance.FieldInFlight, balance.FieldQueued, balance.FieldUtilization},
		Costs: balance.Costs{CrossZone: sc.Prices.CrossHall, Probe: sc.Prices.Probe, Waste: sc.Prices.Waste,
			LateFail: sc.Prices.LateFail},
		OverQuotaValue: sc.Prices.OverQuotaValue, MustFollow: !s.registry.push,
		RegistryInterval: sc.Discovery.RegistryInterval,
		DrainGrace:       sc.Rules.DrainGrace, ResponseGrace: sc.Rules.AnswerGrace,
		SlowStartMin:    sc.Servers.SlowStartMin,
		SlowStartWindow: sc.Servers.SlowStartWindow, CollapseMultiple: sc.Rules.CollapseFactor,
		CollapseAfter: sc.Rules.CollapseAfter,
		MaxAttempts:   sc.Rules.MaxAttempts, MayProbe: true, MayCancel: true, MayHedge: true,
		SendsRetryAfter: sc.Clients.HonorRetryAfter > 0, MaxRetryAfter: time.Second,
		DialTimeout: sc.Network.DialTimeout,
		KeyAffinity: sc.Servers.WarmKeyTTL > 0,
	}
	for _, class := range sc.Classes {
		balanced := balance.Class{LatencyTarget: class.LatencyTarget, Deadline: class.Deadline, Value: class.Value}
		if class.AtMostOnce {
			balanced.Effect = balance.AtMostOnce
		}
		if balanced.LatencyTarget == 0 {
			// Far off, but not so far that the first guess of a service time, a fifth of it, lasts.
			balanced.LatencyTarget = 100 * class.Work
		}
		if balanced.Deadline == 0 {
			balanced.Deadline = forever
		}
		settings.Classes = append(settings.Classes, balanced)
	}
	for _, tenant := range sc.Tenants {
		settings.Tenants = append(settings.Tenants,
			balance.Tenant{Fraction: tenant.Fraction, QuotaPerSec: tenant.Quota})
	}
	return settings
}
