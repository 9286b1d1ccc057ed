package routersim

import "time"

// ModelEngine returns an engine of a usual size.
func ModelEngine() Engine {
	return Engine{
		Slots: 64, StepMs: 5, StepSlotMs: 0.15, PrefillTokensPerMs: 40, SetupMs: 8, PrefillChunk: 1024,
		CacheTokens: 400_000, TokenBytes: 20_000, LinkMegabits: 150_000,
	}
}

// Drafts returns three kinds of requests: with long, middling and short prompts.
func Drafts() []Kind {
	return []Kind{
		{
			Name: "long", PerSecond: 9, Shared: []SharedSegment{{Things: 70, Tokens: 13000, Spread: 0.6}},
			Own: 3700, Spread: 0.9, Output: 15,
			LatencyTarget: 800 * time.Millisecond, Deadline: 6 * time.Second, Value: 2,
		}, {
			Name: "middling", PerSecond: 6.5, Shared: []SharedSegment{
				{Things: 4, Tokens: 2500, Spread: 0.4}, {Things: 100, Tokens: 3800, Spread: 0.6}},
			Own: 2900, Spread: 0.9, Output: 7,
			LatencyTarget: 600 * time.Millisecond, Deadline: 4 * time.Second, Value: 3,
		}, {
			Name: "short", PerSecond: 10, Shared: []SharedSegment{
				{Things: 8, Tokens: 200, Spread: 0.4}, {Things: 80, Tokens: 150, Spread: 0.6}},
			Own: 1100, Spread: 0.8, Output: 20,
			LatencyTarget: 500 * time.Millisecond, Deadline: 6 * time.Second, Value: 1,
		},
	}
}

// Galleries is a fleet whose prompts are long beside its answers, and of which a third are prefilled for the
// first time: most late answers are late by the time of their own prefill.
func Galleries(seed uint64) Scenario {
	engine := Engine{
		Slots: 64, StepMs: 3.09, StepSlotMs: 0.0165, PrefillTokensPerMs: 61.8, MsPerMillionPairs: 0.367,
		SetupMs: 3.7, PrefillChunk: 2048, CacheTokens: 390_191,
		TokenBytes: 163_840, LinkMegabits: 1_800_000,
	}
	kinds := []Kind{
		{
			Name: "album", PerSecond: 22.5, Shared: []SharedSegment{
				{Things: 285, Tokens: 13300, Spread: 0.7, Max: 39900}},
			Own: 3720, MaxOwn: 53200, Spread: 1.1, Output: 8, Urgency: 1,
			LatencyTarget: 600 * time.Millisecond, Deadline: 5 * time.Second, Value: 2,
		}, {
			Name: "tag", PerSecond: 17.5, Shared: []SharedSegment{
				{Things: 4, Tokens: 2520, Spread: 0.4, Max: 6290}, {Things: 98, Tokens: 3780, Spread: 0.7, Max: 11300}},
			Own: 2890, MaxOwn: 39600, Spread: 1, Output: 3,
			LatencyTarget: 500 * time.Millisecond, Deadline: 3 * time.Second, Value: 3,
		}, {
			Name: "label", PerSecond: 40.5, Shared: []SharedSegment{
				{Things: 15, Tokens: 210, Spread: 0.4, Max: 524}, {Things: 229, Tokens: 140, Spread: 0.7, Max: 419}},
			Own: 1110, MaxOwn: 3790, Spread: 1, Output: 12, Urgency: 2,
			LatencyTarget: 300 * time.Millisecond, Deadline: 5 * time.Second, Value: 1,
		},
	}
	return Scenario{
		Name: "galleries", Seed: seed, Length: 34 * time.Second,
		Zones: 3, Proxies: 23, PrefillServers: 20, DecodeServers: 9,
		Engine: engine, Kinds: kinds, RateFactor: 1,
		ListingDelay: 1500 * time.Millisecond, PeerLoadDelay: 60 * time.Millisecond,
	}
}

// Calm is a small fleet on a usual day.
func Calm(seed uint64) Scenario {
	return Scenario{
		Name: "calm", Seed: seed, Length: 40 * time.Second,
		Zones: 3, Proxies: 10, PrefillServers: 7, DecodeServers: 11,
		Engine: ModelEngine(), SpeedSpread: 0.1, Kinds: Drafts(), RateFactor: 1,
		ListingDelay: 1500 * time.Millisecond,
	}
}

// Busy is the same fleet with its prefill servers busy for two thirds of the time, if nothing is prefilled
// twice.
func Busy(seed uint64) Scenario {
	s := Calm(seed)
	s.Name, s.RateFactor = "busy", 1.6
	return s
}

// Loaded is the same fleet with its prefill servers at their limit.
func Loaded(seed uint64) Scenario {
	s := Calm(seed)
	s.Name, s.RateFactor = "loaded", 2.2
	return s
}

// Overload is the same fleet at its limit, with proxies that report to each other what they have in flight,
// and clients that send a request again once.
func Overload(seed uint64) Scenario {
	s := Loaded(seed)
	s.Name, s.PeerLoadDelay, s.ClientRetries = "overload", 60*time.Millisecond, 1
	return s
}

// Variants returns scenarios of other loads, faults and engines.
func Variants() []func(seed uint64) Scenario {
	vary := func(name string, change func(s *Scenario)) func(uint64) Scenario {
		return func(seed uint64) Scenario {
			s := Calm(seed)
			s.Name = name
			change(&s)
			return s
		}
	}
	during := func(kind FaultKind, fraction float64) []Fault {
		return []Fault{{At: 10 * time.Second, Until: 25 * time.Second, Fraction: fraction, Kind: kind}}
	}
	return []func(seed uint64) Scenario{
		vary("few things, asked often", func(s *Scenario) { s.Kinds[0].Shared[0].Things, s.RateFactor = 4, 1.5 }),
		vary("a fifth slow", func(s *Scenario) { s.Faults = during(Slow, 0.2) }),
		vary("a third with slow links", func(s *Scenario) { s.Faults = during(SlowLink, 0.3) }),
		vary("a fifth crash", func(s *Scenario) { s.Faults = during(Crash, 0.2) }),
		vary("quick prefill servers", func(s *Scenario) { s.Engine.PrefillTokensPerMs, s.RateFactor = 120, 3 }),
		vary("slow engines", func(s *Scenario) {
			s.Engine.PrefillTokensPerMs, s.Engine.StepMs = 12, 20
			s.RateFactor = 0.3
		}),
		vary("140 servers", func(s *Scenario) {
			s.PrefillServers, s.DecodeServers, s.Proxies = 56, 84, 40
			s.RateFactor = 8
		}),
	}
}
