package proxysim

import (
	"encoding/json"
	"fmt"
	"math"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cresshub/balance"
)

// queues are equal servers with exponential work, and nothing else.
func queues(n, cores int, load float64, model string, delay float64, requests int) *Scenario {
	return &Scenario{Name: "queues", Duration: forever, Requests: requests, MaxInFlight: 1 << 20,
		Servers: Servers{Count: n, Cores: cores, SlowStartMin: 1, ChokeFactor: 1},
		Load:    Load{Utilisation: load, Arrivals: "poisson", WorkDistribution: "exponential"},
		Proxies: Proxies{Count: 1}, Clients: Clients{MaxAttempts: 1, TimeoutFraction: 1},
		Network: Network{IdleTimeout: 5 * time.Second},
		Reports: Reports{Model: model, Delay: delay, DelaySpread: "fixed"},
		Rules:   Rules{MaxAttempts: 3, DrainGrace: time.Second, AnswerGrace: time.Second},
		Classes: []Class{{Name: "job", Fraction: 1, Work: time.Second, Value: 1}}}
}

// evening has every kind of fault: lost halls, choking, drains, stale lists, retries.
func evening(load float64) *Scenario {
	return &Scenario{Name: "evening", Duration: 30 * time.Second, WarmUp: time.Second, MaxInFlight: 1 << 20,
		Halls: []string{"a", "b", "c"},
		Servers: Servers{Count: 10, QueueLimit: 30, MaxConns: 500, HandshakeWork: 2 * time.Millisecond,
			ChokeQueue: 6,
			ChokeAfter: 2 * time.Second, ChokeFactor: 2.8, ChokeIdle: 3 * time.Second, MaxChoke: 20 * time.Second,
			SlowStartMin: 0.12, SlowStartWindow: 10 * time.Second, WarmKeyTTL: 5 * time.Second, WarmKeyWork: 0.5,
			MaxWarmKeys: 64},
		Load: Load{Utilisation: load, Arrivals: "poisson", WorkDistribution: "uniform", WorkSpread: 0.3,
			Keys: 300, KeySkew: 1.1},
		Proxies: Proxies{Count: 5, Skew: 0.5},
		Clients: Clients{MaxAttempts: 5, TimeoutFraction: 0.5, HonorRetryAfter: 0.5},
		Network: Network{WithinHall: 200 * time.Microsecond, AcrossHalls: 600 * time.Microsecond, Jitter: 0.2,
			DialTimeout: 250 * time.Millisecond, IdleTimeout: 5 * time.Second},
		Reports: Reports{Model: "probe", Refresh: 100 * time.Millisecond, ProbeWork: 500 * time.Microsecond},
		Discovery: Discovery{Delay: 2 * time.Second, ServiceTime: 5 * time.Millisecond,
			RegistryInterval: 10 * time.Second},
		Rules: Rules{AnswerGrace: 20 * time.Millisecond, DrainGrace: 1500 * time.Millisecond, CollapseFactor: 4,
			CollapseAfter: 1500 * time.Millisecond, MaxAttempts: 3},
		Prices: Prices{CrossHall: 0.03, Handshake: 0.02, Probe: 0.01, Waste: 0.04, LateFail: 0.033,
			OverQuotaValue: 0.1},
		Kinds: []Kind{{Name: "standard", Fraction: 0.6, Cores: 2, MinSpeed: 1.5, MaxSpeed: 2.1},
			{Name: "half", Fraction: 0.4, Cores: 2, MinSpeed: 0.77, MaxSpeed: 1}},
		Classes: []Class{
			{Name: "lookup", Fraction: 0.6, Work: 125 * time.Millisecond, LatencyTarget: 600 * time.Millisecond,
				Deadline: 1500 * time.Millisecond, Value: 2},
			{Name: "assign", Fraction: 0.4, Work: 108 * time.Millisecond, LatencyTarget: 500 * time.Millisecond,
				Deadline: 2 * time.Second, Value: 8, AtMostOnce: true}},
		Tenants: []Tenant{{Name: "x", Fraction: 0.7, Quota: 300}, {Name: "y", Fraction: 0.3, Quota: 300}},
		Faults: []Fault{
			{Type: "hall_loss", At: 5 * time.Second, Duration: 6 * time.Second, Hall: "b", Proxies: true},
			{Type: "hall_loss", At: 14 * time.Second, Duration: 3 * time.Second, Hall: "c", Unresponsive: true},
			{Type: "burst", At: 12 * time.Second, Duration: 4 * time.Second, Size: 1.5},
			{Type: "pauses", At: 18 * time.Second, Duration: 4 * time.Second, Size: 0.3,
				PauseDuration: 200 * time.Millisecond, Interval: time.Second},
			{Type: "discovery_stale", At: 3 * time.Second, Duration: 9 * time.Second, Lag: 3 * time.Second},
			{Type: "rolling", At: 20 * time.Second, Duration: 6 * time.Second, Size: 0.3, Interval: 2 * time.Second},
			{Type: "crash", At: 27 * time.Second, Duration: 2 * time.Second}}}
}

func play(tb testing.TB, sc *Scenario, o Options) *Result {
	tb.Helper()
	s, err := New(sc, o)
	if err != nil {
		tb.Fatal(err)
	}
	return s.Run(o)
}

// erlang is the mean response time of M/M/c in service times.
func erlang(c int, load float64) float64 {
	a := load * float64(c)
	term, sum := 1.0, 0.0
	for k := range c {
		sum += term
		term *= a / float64(k+1)
	}
	wait := term / (1 - load)
	return 1 + wait/(sum+wait)/(float64(c)*(1-load))
}

// Results of queueing theory, and those of the paper for its policies, hold within what these many requests
// leave to chance.
func TestMatchesKnownResults(t *testing.T) {
	for _, c := range []struct {
		name, policy, model string
		n, cores            int
		load, delay         float64
		want, within        float64
	}{
		{"M/M/1", "random", "fresh", 1, 1, 0.5, 0, 2, 0.03},
		{"M/M/1 at 0.8", "random", "fresh", 1, 1, 0.8, 0, 5, 0.07},
		{"M/M/4", "random", "fresh", 1, 4, 0.8, 0, erlang(4, 0.8), 0.04},
		{"random of 100", "random", "fresh", 100, 1, 0.9, 0, 10, 0.08},
		{"two choices, mean field 2.614 and 3% for n = 100", "two-choices", "fresh", 100, 1, 0.9, 0, 2.69, 0.04},
		{"Basic LI, fresh, is the shortest queue", "basic-li", "fresh", 50, 1, 0.5, 0, 1, 0.01},
		{"Basic LI at T = 40, 41% faster than any k", "basic-li", "periodic", 100, 1, 0.9, 40, 10 / 1.41, 0.06},
		{"Basic LI at T = 200, 9% faster than random", "basic-li", "periodic", 100, 1, 0.9, 200, 10 / 1.09, 0.08},
	} {
		r := play(t, queues(c.n, c.cores, c.load, c.model, c.delay, 300000), Options{Policy: c.policy, Seed: 7})
		if math.Abs(r.MeanServiceTimes/c.want-1) > c.within {
			t.Errorf("%s: %.3f service times, %.3f are known", c.name, r.MeanServiceTimes, c.want)
		}
		if little := r.Throughput * r.MeanMS / 1000; math.Abs(r.MeanInSystem/little-1) > 0.01 {
			t.Errorf("%s: %.3f held, Little's law wants %.3f", c.name, r.MeanInSystem, little)
		}
	}
}

// The same scenario and seed give the same bytes, whatever the processors; another seed does not, and two
// policies meet the same requests.
func TestSameSeedSameBytes(t *testing.T) {
	for _, policy := range Policies {
		text := func(seed uint64, procs int) (string, int) {
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(procs))
			r := play(t, evening(0.5), Options{Policy: policy, Seed: seed})
			b, err := json.Marshal(r)
			if err != nil {
				t.Fatal(err)
			}
			return string(b), r.Requests
		}
		a, asked := text(3, 1)
		b, _ := text(3, 4)
		c, _ := text(4, 4)
		if diff := cmp.Diff(a, b); diff != "" || a == c {
			t.Errorf("%s: %s", policy, diff)
		}
		if _, random := text(3, 1); random != asked {
			t.Errorf("%s met %d requests, then %d", policy, asked, random)
		}
	}
}

// Every request ends once, nothing is left open, and the module obeys the rules through all faults.
func TestEachRequestEndsOnceThroughFaults(t *testing.T) {
	for _, policy := range Policies {
		for _, load := range []float64{0.4, 0.9} {
			s, err := New(evening(load), Options{Policy: policy, Seed: 5})
			if err != nil {
				t.Fatal(err)
			}
			r := s.Run(Options{Policy: policy, Seed: 5})
			if r.Served+r.Refused+r.Failed != r.Requests || r.Requests == 0 || s.inFlight != 0 {
				t.Errorf("%s at %g: %d of %d ended, %d held", policy, load, r.Served+r.Refused+r.Failed, r.Requests,
					s.inFlight)
			}
			if n := r.Rules[AtMostOnce] + r.Rules[OneAnswer] + r.Rules[DrainObeyed]; policy == "module" && n > 0 {
				t.Errorf("the module breaks rules: %v\n%s", r.Rules, strings.Join(r.Violations, "\n"))
			}
			for i := range s.servers {
				if s.servers[i].conns < 0 {
					t.Errorf("%s: server %d has %d connections", policy, i, s.servers[i].conns)
				}
			}
		}
	}
}

// reckless breaks each rule in turn.
type reckless struct {
	how string
}

func (r *reckless) List(_ time.Duration, _ balance.ListKind, _ []balance.Server,
	a []balance.Action) []balance.Action {
	return a
}
func (r *reckless) Probed(_ time.Duration, _ balance.ProbeResult, a []balance.Action) []balance.Action {
	return a
}
func (r *reckless) Timer(_ time.Duration, _ uint64, a []balance.Action) []balance.Action { return a }
func (r *reckless) ClientDisconnected(_ time.Duration, _ string, a []balance.Action) []balance.Action {
	return a
}

func (r *reckless) Request(_ time.Duration, q balance.Request, a []balance.Action) []balance.Action {
	send := balance.Action{Kind: balance.Send, ID: q.ID, Server: 1}
	switch r.how {
	case AtMostOnce:
		return append(a, send, send)
	case OneAnswer:
		return a
	}
	return append(a, send)
}

func (r *reckless) Outcome(_ time.Duration, o balance.Outcome, a []balance.Action) []balance.Action {
	if o.Final {
		return a
	}
	return append(a, balance.Action{Kind: balance.Fail, ID: o.ID})
}

// A violation of each rule is reported with what led to it.
func TestMonitorReportsViolations(t *testing.T) {
	for _, rule := range []string{AtMostOnce, OneAnswer, DrainObeyed, SlowStartObeyed} {
		sc := evening(0.3)
		sc.Faults = nil
		sc.Clients.MaxAttempts = 1
		switch rule {
		case DrainObeyed:
			sc.Discovery = Discovery{}
			sc.Faults = []Fault{{Type: "shrink", At: time.Second, Duration: time.Second, Size: 1, Interval: time.Hour}}
		case SlowStartObeyed:
			sc.Faults = []Fault{{Type: "crash", At: time.Second, Duration: time.Second}}
			sc.Load.Utilisation = 2
		}
		o := Options{Policy: "module", Seed: 1, Strict: true,
			Module: func(balance.Settings, time.Duration) (Agent, error) { return &reckless{how: rule}, nil }}
		r := play(t, sc, o)
		if r.Rules[rule] == 0 || len(r.Violations) == 0 || !strings.Contains(r.Violations[0], "request") ||
			r.Warning == "" {
			t.Errorf("%s: %v, %q", rule, r.Rules, r.Violations)
		}
	}
}

// A load beyond capacity ends, and the result says so; so does a table that is full.
func TestOverloadEnds(t *testing.T) {
	sc := queues(2, 1, 1.5, "fresh", 0, 20000)
	r := play(t, sc, Options{Policy: "random", Seed: 1})
	if !strings.Contains(r.Warning, "beyond") || r.Served != 20000 {
		t.Errorf("%q, %d served", r.Warning, r.Served)
	}
	sc.MaxInFlight = 1000
	if r := play(t, sc, Options{Policy: "random", Seed: 1}); !strings.Contains(r.Warning, "most_held") {
		t.Errorf("%q", r.Warning)
	}
}

// The queue returns events in order of time and creation, without allocating once it has grown.
func TestKernelOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var k Kernel
		last := event{at: -1}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "add") {
				k.add(k.now+int64(rapid.IntRange(-2, 20).Draw(t, "wait")), event{})
			} else if e, ok := k.next(); ok {
				if e.before(&last) {
					t.Fatalf("%v after %v", e, last)
				}
				last = e
			}
		}
	})
	k := warmKernel(1000)
	if n := testing.AllocsPerRun(1000, func() { step(k) }); n > 0 {
		t.Errorf("%v allocations an event", n)
	}
}

func warmKernel(n int) *Kernel {
	k := &Kernel{}
	for i := range n + 1 {
		k.add(int64(i), event{})
	}
	k.next()
	return k
}

func step(k *Kernel) {
	e, _ := k.next()
	k.add(e.at+int64(e.sequence*2654435761%1000), e)
}

func BenchmarkKernel(b *testing.B) {
	k := warmKernel(10000)
	b.ReportAllocs()
	for b.Loop() {
		step(k)
	}
}

// BenchmarkDecision is what one request with all its events costs the module, by the number of servers.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{10, 60, 100, 1000} {
		for _, policy := range []string{"module", "random", "basic-li"} {
			b.Run(fmt.Sprint(policy, "/", n), func(b *testing.B) {
				sc := queues(n, 2, 0.7, "fresh", 0, max(b.N, 100))
				sc.Reports = Reports{Model: "probe", Refresh: 100 * time.Millisecond}
				b.ReportAllocs()
				b.ResetTimer()
				play(b, sc, Options{Policy: policy, Seed: 1})
			})
		}
	}
}
