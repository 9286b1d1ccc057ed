package proxysim

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

// ratio is the served part of what was asked for, 1 where that is nothing.
func ratio(served, asked float64) float64 {
	if asked == 0 {
		return 1
	}
	return served / asked
}

// minRatio is the lowest ratio of two series, over the positions where something was asked for.
func minRatio(served, asked []float64) float64 {
	lowest := 1.0
	for i := range served {
		if asked[i] > 0 {
			lowest = min(lowest, served[i]/asked[i])
		}
	}
	return lowest
}

// result returns the figures of the run.
func (s *Sim) result() *Result {
	tally := &s.tally
	r := &Result{Policy: s.policy, Events: s.Events(), Requests: tally.requests, Served: tally.served,
		Refused: tally.refused, Failed: tally.failed, InTime: tally.inTime, Rules: s.monitor.violations,
		Attempts: tally.attempts, Handshakes: tally.handshakes, Probes: tally.probes, Rejected: tally.rejected,
		ListCalls: s.registry.calls, Violations: s.monitor.texts, Trace: s.monitor.traceLines,
		P50: tally.quantileMS(50), P99: tally.quantileMS(99)}
	if tally.served > 0 {
		mean := tally.responseSum / float64(tally.served)
		r.MeanMS, r.MeanServiceTimes = mean/nsPerMillisecond, mean/s.meanService
	}
	if tally.work > 0 {
		r.Wasted = tally.wasted / tally.work
	}
	s.score(r)
	conns := 0
	for i := range s.servers {
		conns += int(s.servers[i].conns)
	}
	r.Conns = float64(conns) / float64(len(s.servers))
	if counted := float64(s.lastArrival-tally.firstArrivalAt) / nsPerSecond; counted > 0 {
		r.Utilisation = tally.work / nsPerSecond / (s.capacity() * counted)
		observed := float64(tally.inSystemAt-tally.firstArrivalAt) / nsPerSecond
		r.MeanInSystem, r.Throughput = tally.inSystemArea/nsPerSecond/observed, float64(tally.requests)/observed
	}
	seconds := min(len(tally.bySecond), int(s.lastArrival/nsPerSecond)+1, maxReportedSeconds)
	for i := range tally.bySecond[:seconds] {
		r.ServiceBySecond = append(r.ServiceBySecond, ratio(tally.bySecond[i], tally.bySecondAsked[i]))
	}
	r.Warning = s.warning(r)
	return r
}

// maxReportedSeconds bounds Result.ServiceBySecond.
const maxReportedSeconds = 3600

// minAskedValue is the value asked for below which there is nothing to divide by.
const minAskedValue = 1e-9

// The weights of the parts of the service, as the task states them.
const (
	weightOverall     = 0.35
	weightWorst10s    = 0.35
	weightWorstClass  = 0.2
	weightWorstTenant = 0.1
)

// score sets the service of a run and what is deducted from it.
func (s *Sim) score(r *Result) {
	tally, prices := &s.tally, &s.scenario.Prices
	r.ServiceOverall = ratio(tally.value, tally.valueAsked)
	r.ServiceWorst10s = s.worstWindow()
	r.ServiceWorstClass = minRatio(tally.class, tally.classAsked)
	r.ServiceWorstTenant = minRatio(tally.tenant, tally.tenantAsked)
	perRequest := func(n int) float64 { return float64(n) / float64(max(tally.requests, 1)) }
	choked := 0
	for i := range s.servers {
		if s.servers[i].everChoked {
			choked++
		}
	}
	r.Prices = prices.CrossHall*perRequest(tally.crossHall) + prices.Handshake*perRequest(tally.handshakes) +
		prices.Probe*perRequest(tally.probes) + prices.Waste*r.Wasted +
		prices.LateFail*(tally.lateValue/max(tally.valueAsked, minAskedValue)) +
		prices.Choke*float64(choked)/float64(len(s.servers))
	r.Service = weightOverall*r.ServiceOverall + weightWorst10s*r.ServiceWorst10s +
		weightWorstClass*r.ServiceWorstClass + weightWorstTenant*r.ServiceWorstTenant - r.Prices
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
		if i >= windowSeconds-1 && asked > minAskedValue {
			worst = min(worst, served/asked)
		}
	}
	return worst
}
