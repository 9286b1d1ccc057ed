package proxysim

import (
	"math"
)

// Result is the figures of a run, over the requests that arrive after the warm-up. Services are the value
// served in time over the value asked for. Times are in milliseconds.
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
	Wasted          float64   `json:"work_wasted"`    // as a fraction of the work asked for
	Utilisation     float64   `json:"utilisation"`    // work asked for, as a fraction of capacity
	MeanInSystem    float64   `json:"held_mean"`      // requests in the system, by time
	Throughput      float64   `json:"rate_per_s"`     // requests over the time counted
	Warning         string    `json:"note,omitempty"` // why the run is not as planned
	Violations      []string  `json:"breaks,omitempty"`
	Trace           []string  `json:"trace,omitempty"`
	ServiceBySecond []float64 `json:"service_by_second"` // by second of arrival
}

// ratio is a/b, 1 where b is 0: what nobody asked for is served.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return a / b
}

// minRatio is the lowest ratio of two series, over the positions where b is above 0.
func minRatio(a, b []float64) float64 {
	x := 1.0
	for i := range a {
		if b[i] > 0 {
			x = min(x, a[i]/b[i])
		}
	}
	return x
}

// result returns the figures of the run.
func (s *Sim) result() *Result {
	t := &s.tally
	r := &Result{Policy: s.policy, Events: s.Events(), Requests: t.requests, Served: t.served,
		Refused: t.refused, Failed: t.failed, InTime: t.inTime, Rules: s.monitor.violations,
		Attempts: t.attempts, Handshakes: t.handshakes, Probes: t.probes, Rejected: t.rejected,
		ListCalls: s.registry.calls, Violations: s.monitor.texts, Trace: s.monitor.traceLines,
		P50: float64(t.hist.ValueAtQuantile(50)) / 1000, P99: float64(t.hist.ValueAtQuantile(99)) / 1000}
	if t.served > 0 {
		mean := t.responseSum / float64(t.served)
		r.MeanMS, r.MeanServiceTimes = mean/1e6, mean/s.meanService
	}
	if t.work > 0 {
		r.Wasted = t.wasted / t.work
	}
	s.score(r)
	conns := 0
	for i := range s.servers {
		conns += int(s.servers[i].conns)
	}
	r.Conns = float64(conns) / float64(len(s.servers))
	if counted := float64(s.lastArrival-t.firstArrivalAt) / 1e9; counted > 0 {
		r.Utilisation = t.work / 1e9 / (s.capacity() * counted)
		observed := float64(t.inSystemAt-t.firstArrivalAt) / 1e9
		r.MeanInSystem, r.Throughput = t.inSystemArea/1e9/observed, float64(t.requests)/observed
	}
	for i := range t.bySecond[:min(len(t.bySecond), int(s.lastArrival/1e9)+1, 3600)] {
		r.ServiceBySecond = append(r.ServiceBySecond, ratio(t.bySecond[i], t.bySecondAsked[i]))
	}
	r.Warning = s.warning(r)
	return r
}

// score sets the service of a run and what is deducted from it, as the task weighs them.
func (s *Sim) score(r *Result) {
	t, prices := &s.tally, &s.scenario.Prices
	r.ServiceOverall = ratio(t.value, t.valueAsked)
	r.ServiceWorst10s = s.worstWindow()
	r.ServiceWorstClass = minRatio(t.class, t.classAsked)
	r.ServiceWorstTenant = minRatio(t.tenant, t.tenantAsked)
	perRequest := func(n int) float64 { return float64(n) / float64(max(t.requests, 1)) }
	choked := 0
	for i := range s.servers {
		if s.servers[i].everChoked {
			choked++
		}
	}
	r.Prices = prices.CrossHall*perRequest(t.crossHall) + prices.Handshake*perRequest(t.handshakes) +
		prices.Probe*perRequest(t.probes) + prices.Waste*r.Wasted +
		prices.LateFail*(t.lateValue/math.Max(t.valueAsked, 1e-9)) +
		prices.Choke*float64(choked)/float64(len(s.servers))
	r.Service = 0.35*r.ServiceOverall + 0.35*r.ServiceWorst10s + 0.2*r.ServiceWorstClass +
		0.1*r.ServiceWorstTenant - r.Prices
}

// warning says why a run is not what its scenario planned, or "".
func (s *Sim) warning(r *Result) string {
	load := &s.scenario.Load
	switch {
	case s.overflow:
		return "ended early: more requests were held than most_held; the load is beyond what the servers can do"
	case s.monitor.stop:
		return "ended early: a rule was broken"
	case r.Utilisation >= 1 && load.Rate+load.Utilisation > 0:
		return "the load is beyond what the servers can do, so nothing here is a steady state"
	}
	return ""
}

// worstWindow is the lowest service of any 10 s, by arrival; of the run where it is shorter.
func (s *Sim) worstWindow() float64 {
	const windowSeconds = 10
	tally := &s.tally
	if len(tally.bySecond) < windowSeconds {
		return ratio(tally.value, tally.valueAsked)
	}
	worst := 1.0
	served, asked := 0.0, 0.0 // value of the window that ends with second i
	for i := range tally.bySecond {
		served += tally.bySecond[i]
		asked += tally.bySecondAsked[i]
		if i >= windowSeconds {
			served -= tally.bySecond[i-windowSeconds]
			asked -= tally.bySecondAsked[i-windowSeconds]
		}
		if i >= windowSeconds-1 && asked > 1e-9 {
			worst = min(worst, served/asked)
		}
	}
	return worst
}
