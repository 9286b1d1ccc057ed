package proxysim

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what a day came to. Times are in milliseconds.
type Result struct {
	Policy   string         `json:"name"`
	Seed     uint64         `json:"seed"`
	Events   uint64         `json:"events"`
	Requests int            `json:"requests"`
	Served   int            `json:"served"`
	Refused  int            `json:"refused"`
	Failed   int            `json:"failed"`
	InTime   int            `json:"served_in_time"`
	MeanMS   float64        `json:"mean_ms"`
	Mean     float64        `json:"mean_service_times"`
	P50      float64        `json:"p50_ms"`
	P99      float64        `json:"p99_ms"`
	Service  float64        `json:"service"`
	Whole    float64        `json:"service_whole"`
	Worst    float64        `json:"service_worst_10s"`
	Class    float64        `json:"service_worst_class"`
	Tenant   float64        `json:"service_worst_tenant"`
	Price    float64        `json:"prices"`
	Rules    map[string]int `json:"rules"`

	Attempts    int       `json:"attempts"`
	Handshakes  int       `json:"handshakes"`
	Probes      int       `json:"probes"`
	TurnedAway  int       `json:"turned_away"`
	ListCalls   int       `json:"list_calls"`
	Conns       float64   `json:"connections_a_server"`
	Wasted      float64   `json:"work_wasted"`    // as a part of the work asked for
	Utilisation float64   `json:"utilisation"`    // asked for, as a part of what the servers can do
	Held        float64   `json:"held_mean"`      // requests in the system, by time
	Rate        float64   `json:"rate_per_s"`     // that ended, over the time counted
	Note        string    `json:"note,omitempty"` // what kept the day from its plan
	Breaks      []string  `json:"breaks,omitempty"`
	Life        []string  `json:"trace,omitempty"`
	Seconds     []float64 `json:"service_by_second"` // worth served in time over worth asked, by arrival
}

// tally adds up what is counted.
type tally struct {
	hist                                            *hdrhistogram.Histogram
	n, served, refused, failed, inTime              int
	sum                                             float64 // of response times, ns
	attempts, cross, handshakes, probes, turnedAway int
	work, wasted                                    float64
	worth, worthAsked, late                         float64
	class, tenant                                   []float64 // worth
	classAsked, tenantAsked                         []float64
	second, secondAsked                             []float64
	buckets                                         []float64 // of tenants' quotas
	bucketsAt                                       int64
	heldArea                                        float64
	from, heldAt                                    int64
	heldN                                           int
	sentAll                                         int
}

func (t *tally) init(s *Sim) {
	t.hist = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	seconds := int(s.sc.Duration/time.Second) + 1
	if seconds > 100000 {
		seconds = 100000
	}
	t.second, t.secondAsked = make([]float64, seconds), make([]float64, seconds)
	t.class, t.classAsked = make([]float64, len(s.sc.Classes)), make([]float64, len(s.sc.Classes))
	t.tenant, t.tenantAsked = make([]float64, len(s.sc.Tenants)), make([]float64, len(s.sc.Tenants))
	for _, x := range s.sc.Tenants {
		t.buckets = append(t.buckets, x.Quota)
	}
}

// level follows how many counted requests are in the system, over time.
func (t *tally) level(s *Sim, change int) {
	t.heldArea += float64(t.heldN) * float64(s.now-t.heldAt)
	t.heldAt = s.now
	t.heldN += change
}

// asked counts a request in. Beyond its tenant's share it is worth little.
func (t *tally) asked(s *Sim, di int32) {
	d := &s.demands[di]
	if len(t.buckets) > 0 {
		passed := float64(s.now-t.bucketsAt) / 1e9
		t.bucketsAt = s.now
		for i, x := range s.sc.Tenants {
			t.buckets[i] = min(t.buckets[i]+passed*x.Quota, x.Quota)
		}
		if s.sc.Tenants[d.tenant].Quota > 0 {
			if t.buckets[d.tenant] >= 1 {
				t.buckets[d.tenant]--
			} else {
				d.worth *= s.sc.Prices.OverShare
			}
		}
		t.tenantAsked[d.tenant] += d.worth
	}
	if t.n == 0 {
		t.from, t.heldAt = s.now, s.now
	}
	t.n++
	t.work += d.work
	t.level(s, 1)
	t.worthAsked += d.worth
	t.classAsked[d.class] += d.worth
	t.secondAsked[min(int(d.at/1e9), len(t.second)-1)] += d.worth
}

func (t *tally) sent(s *Sim, d *demand, cross bool) {
	t.attempts++
	if cross {
		t.cross++
	}
}

// ended counts what became of a request in the end.
func (t *tally) ended(s *Sim, d *demand, how int) {
	t.level(s, -1)
	took := s.now - d.at
	aim := int64(s.sc.Classes[d.class].Aim)
	switch how {
	case served:
		t.served++
		t.sum += float64(took)
		t.hist.RecordValue(max(took/1000, 1)) // beyond an hour it is the hour
		if aim == 0 || took <= aim {
			t.inTime++
			t.worth += d.worth
			t.class[d.class] += d.worth
			if len(t.tenant) > 0 {
				t.tenant[d.tenant] += d.worth
			}
			t.second[min(int(d.at/1e9), len(t.second)-1)] += d.worth
		} else {
			t.late += d.worth
		}
	case refused:
		t.refused++
	default:
		t.failed++
	}
	if how != served && aim > 0 && took > aim {
		t.late += d.worth
	}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return a / b
}

func least(a, b []float64) float64 {
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
	t, sc := &s.tally, s.sc
	r := &Result{Policy: s.policy, Events: s.Events(), Requests: t.n, Served: t.served, Refused: t.refused,
		Failed: t.failed, InTime: t.inTime, Rules: s.monitor.breaks, Attempts: t.attempts, Handshakes: t.handshakes,
		Probes: t.probes, TurnedAway: t.turnedAway, ListCalls: s.registry.calls, Breaks: s.monitor.texts,
		Life: s.monitor.life, P50: float64(t.hist.ValueAtQuantile(50)) / 1000,
		P99: float64(t.hist.ValueAtQuantile(99)) / 1000}
	if t.served > 0 {
		mean := t.sum / float64(t.served)
		r.MeanMS, r.Mean = mean/1e6, mean/s.serv
	}
	r.Whole = ratio(t.worth, t.worthAsked)
	r.Class, r.Tenant = least(t.class, t.classAsked), least(t.tenant, t.tenantAsked)
	r.Worst = s.worst()
	per := func(n int) float64 { return float64(n) / float64(max(t.n, 1)) }
	choked := 0
	conns := 0
	for i := range s.servers {
		if s.servers[i].everChoke {
			choked++
		}
		conns += int(s.servers[i].open)
	}
	r.Wasted = ratio(t.wasted, t.work)
	if t.work == 0 {
		r.Wasted = 0
	}
	p := &sc.Prices
	r.Price = p.CrossHall*per(t.cross) + p.Handshake*per(t.handshakes) + p.Probe*per(t.probes) +
		p.Waste*r.Wasted + p.LateFail*(t.late/math.Max(t.worthAsked, 1e-9)) +
		p.Choke*float64(choked)/float64(len(s.servers))
	r.Service = 0.35*r.Whole + 0.35*r.Worst + 0.2*r.Class + 0.1*r.Tenant - r.Price
	r.Conns = float64(conns) / float64(len(s.servers))
	counted := float64(s.last-t.from) / 1e9
	if counted > 0 {
		r.Utilisation = t.work / 1e9 / (s.capacity() * counted)
		span := float64(t.heldAt-t.from) / 1e9
		r.Held, r.Rate = t.heldArea/1e9/span, float64(t.n)/span
	}
	for i := range t.second[:min(len(t.second), int(s.last/1e9)+1, 3600)] {
		r.Seconds = append(r.Seconds, ratio(t.second[i], t.secondAsked[i]))
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

// worst is the least service of any 10 s, by arrival.
func (s *Sim) worst() float64 {
	t := &s.tally
	x := 1.0
	a, b := 0.0, 0.0
	for i := range t.second {
		a, b = a+t.second[i], b+t.secondAsked[i]
		if i >= 10 {
			a, b = a-t.second[i-10], b-t.secondAsked[i-10]
		}
		if i >= 9 && b > 1e-9 {
			x = min(x, a/b)
		}
	}
	if len(t.second) < 10 {
		return ratio(t.worth, t.worthAsked)
	}
	return x
}
