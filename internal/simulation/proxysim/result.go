package proxysim

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what a day came to. Times are in milliseconds.
type Result struct {
	Policy             string         `json:"name"`
	Seed               uint64         `json:"seed"`
	Events             uint64         `json:"events"`
	Requests           int            `json:"requests"`
	Served             int            `json:"served"`
	Refused            int            `json:"refused"`
	Failed             int            `json:"failed"`
	InTime             int            `json:"served_in_time"`
	MeanMS             float64        `json:"mean_ms"`
	MeanServiceTimes   float64        `json:"mean_service_times"`
	P50                float64        `json:"p50_ms"`
	P99                float64        `json:"p99_ms"`
	Service            float64        `json:"service"`
	ServiceOverall     float64        `json:"service_whole"`
	ServiceWorst10s    float64        `json:"service_worst_10s"`
	ServiceWorstClass  float64        `json:"service_worst_class"`
	ServiceWorstTenant float64        `json:"service_worst_tenant"`
	Prices             float64        `json:"prices"`
	Rules              map[string]int `json:"rules"`

	Attempts        int       `json:"attempts"`
	Handshakes      int       `json:"handshakes"`
	Probes          int       `json:"probes"`
	Rejected        int       `json:"turned_away"`
	ListCalls       int       `json:"list_calls"`
	Conns           float64   `json:"connections_a_server"`
	Wasted          float64   `json:"work_wasted"`    // as a part of the work asked for
	Utilisation     float64   `json:"utilisation"`    // asked for, as a part of what the servers can do
	MeanInSystem    float64   `json:"held_mean"`      // requests in the system, by time
	Throughput      float64   `json:"rate_per_s"`     // that ended, over the time counted
	Note            string    `json:"note,omitempty"` // what kept the day from its plan
	Violations      []string  `json:"breaks,omitempty"`
	Trace           []string  `json:"trace,omitempty"`
	ServiceBySecond []float64 `json:"service_by_second"` // worth served in time over worth asked, by arrival
}

// tally adds up what is counted.
type tally struct {
	hist                                              *hdrhistogram.Histogram
	requests, served, refused, failed, inTime         int
	responseSum                                       float64 // of response times, ns
	attempts, crossHall, handshakes, probes, rejected int
	work, wasted                                      float64
	value, valueAsked, lateValue                      float64
	class, tenant                                     []float64 // worth
	classAsked, tenantAsked                           []float64
	bySecond, bySecondAsked                           []float64
	quotaTokens                                       []float64 // of tenants' quotas
	quotaTokensAt                                     int64
	inSystemArea                                      float64
	from, inSystemAt                                  int64
	inSystem                                          int
	sentAll                                           int
}

func (t *tally) init(s *Sim) {
	t.hist = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	seconds := int(s.scenario.Duration/time.Second) + 1
	if seconds > 100000 {
		seconds = 100000
	}
	t.bySecond, t.bySecondAsked = make([]float64, seconds), make([]float64, seconds)
	t.class, t.classAsked = make([]float64, len(s.scenario.Classes)), make([]float64, len(s.scenario.Classes))
	t.tenant, t.tenantAsked = make([]float64, len(s.scenario.Tenants)), make([]float64, len(s.scenario.Tenants))
	for _, x := range s.scenario.Tenants {
		t.quotaTokens = append(t.quotaTokens, x.Quota)
	}
}

// trackInSystem follows how many counted requests are in the system, over time.
func (t *tally) trackInSystem(s *Sim, change int) {
	t.inSystemArea += float64(t.inSystem) * float64(s.now-t.inSystemAt)
	t.inSystemAt = s.now
	t.inSystem += change
}

// countArrival counts a request in. Beyond its tenant's share it is worth little.
func (t *tally) countArrival(s *Sim, di int32) {
	d := &s.demands[di]
	if len(t.quotaTokens) > 0 {
		passed := float64(s.now-t.quotaTokensAt) / 1e9
		t.quotaTokensAt = s.now
		for i, x := range s.scenario.Tenants {
			t.quotaTokens[i] = min(t.quotaTokens[i]+passed*x.Quota, x.Quota)
		}
		if s.scenario.Tenants[d.tenant].Quota > 0 {
			if t.quotaTokens[d.tenant] >= 1 {
				t.quotaTokens[d.tenant]--
			} else {
				d.value *= s.scenario.Prices.OverQuotaValue
			}
		}
		t.tenantAsked[d.tenant] += d.value
	}
	if t.requests == 0 {
		t.from, t.inSystemAt = s.now, s.now
	}
	t.requests++
	t.work += d.work
	t.trackInSystem(s, 1)
	t.valueAsked += d.value
	t.classAsked[d.class] += d.value
	t.bySecondAsked[min(int(d.arrivedAt/1e9), len(t.bySecond)-1)] += d.value
}

func (t *tally) countAttempt(s *Sim, d *demand, cross bool) {
	t.attempts++
	if cross {
		t.crossHall++
	}
}

// countAnswer counts what became of a request in the end.
func (t *tally) countAnswer(s *Sim, d *demand, how int) {
	t.trackInSystem(s, -1)
	took := s.now - d.arrivedAt
	aim := int64(s.scenario.Classes[d.class].LatencyTarget)
	switch how {
	case served:
		t.served++
		t.responseSum += float64(took)
		t.hist.RecordValue(max(took/1000, 1)) // beyond an hour it is the hour
		if aim == 0 || took <= aim {
			t.inTime++
			t.value += d.value
			t.class[d.class] += d.value
			if len(t.tenant) > 0 {
				t.tenant[d.tenant] += d.value
			}
			t.bySecond[min(int(d.arrivedAt/1e9), len(t.bySecond)-1)] += d.value
		} else {
			t.lateValue += d.value
		}
	case refused:
		t.refused++
	default:
		t.failed++
	}
	if how != served && aim > 0 && took > aim {
		t.lateValue += d.value
	}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return a / b
}

func minRatio(a, b []float64) float64 {
	x := 1.0
	for i := range a {
		if b[i] > 0 {
			x = min(x, a[i]/b[i])
		}
	}
	return x
}

// result is what the day came to, as the brief counts it.
func (s *Sim) result() *Result {
	t, sc := &s.tally, s.scenario
	r := &Result{Policy: s.policy, Events: s.Events(), Requests: t.requests, Served: t.served,
		Refused: t.refused,
		Failed:  t.failed, InTime: t.inTime, Rules: s.monitor.violations, Attempts: t.attempts,
		Handshakes: t.handshakes,
		Probes:     t.probes, Rejected: t.rejected, ListCalls: s.registry.calls, Violations: s.monitor.texts,
		Trace: s.monitor.traceLines, P50: float64(t.hist.ValueAtQuantile(50)) / 1000,
		P99: float64(t.hist.ValueAtQuantile(99)) / 1000}
	if t.served > 0 {
		mean := t.responseSum / float64(t.served)
		r.MeanMS, r.MeanServiceTimes = mean/1e6, mean/s.meanService
	}
	r.ServiceOverall = ratio(t.value, t.valueAsked)
	r.ServiceWorstClass, r.ServiceWorstTenant = minRatio(t.class, t.classAsked),
		minRatio(t.tenant, t.tenantAsked)
	r.ServiceWorst10s = s.worstWindow()
	per := func(n int) float64 { return float64(n) / float64(max(t.requests, 1)) }
	choked := 0
	conns := 0
	for i := range s.servers {
		if s.servers[i].everChoked {
			choked++
		}
		conns += int(s.servers[i].conns)
	}
	r.Wasted = ratio(t.wasted, t.work)
	if t.work == 0 {
		r.Wasted = 0
	}
	p := &sc.Prices
	r.Prices = p.CrossHall*per(t.crossHall) + p.Handshake*per(t.handshakes) + p.Probe*per(t.probes) +
		p.Waste*r.Wasted + p.LateFail*(t.lateValue/math.Max(t.valueAsked, 1e-9)) +
		p.Choke*float64(choked)/float64(len(s.servers))
	r.Service = 0.35*r.ServiceOverall + 0.35*r.ServiceWorst10s + 0.2*r.ServiceWorstClass +
		0.1*r.ServiceWorstTenant - r.Prices
	r.Conns = float64(conns) / float64(len(s.servers))
	counted := float64(s.lastArrival-t.from) / 1e9
	if counted > 0 {
		r.Utilisation = t.work / 1e9 / (s.capacity() * counted)
		span := float64(t.inSystemAt-t.from) / 1e9
		r.MeanInSystem, r.Throughput = t.inSystemArea/1e9/span, float64(t.requests)/span
	}
	for i := range t.bySecond[:min(len(t.bySecond), int(s.lastArrival/1e9)+1, 3600)] {
		r.ServiceBySecond = append(r.ServiceBySecond, ratio(t.bySecond[i], t.bySecondAsked[i]))
	}
	switch {
	case s.overflow:
		r.Note = "ended early: more requests were held than most_held; the load is beyond what the servers can do"
	case s.monitor.stop:
		r.Note = "ended early: a rule was broken"
	case r.Utilisation >= 1 && sc.Load.Rate+sc.Load.Utilisation > 0:
		r.Note = "the load is beyond what the servers can do, so nothing here is a steady state"
	}
	return r
}

// worstWindow is the least service of any 10 s, by arrival.
func (s *Sim) worstWindow() float64 {
	t := &s.tally
	x := 1.0
	a, b := 0.0, 0.0
	for i := range t.bySecond {
		a, b = a+t.bySecond[i], b+t.bySecondAsked[i]
		if i >= 10 {
			a, b = a-t.bySecond[i-10], b-t.bySecondAsked[i-10]
		}
		if i >= 9 && b > 1e-9 {
			x = min(x, a/b)
		}
	}
	if len(t.bySecond) < 10 {
		return ratio(t.value, t.valueAsked)
	}
	return x
}
