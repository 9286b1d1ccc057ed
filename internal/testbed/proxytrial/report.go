package proxytrial

import (
	"slices"
	"strings"
	"time"

	"cresshub/internal/testbed/proxystandin"
)

// Report is the result of a trial. Times are in milliseconds.
type Report struct {
	Offered   int            `json:"offered"`
	Served    int            `json:"served"`
	InTime    int            `json:"served_in_time"`
	Rejected  int            `json:"rejected"`
	Failed    int            `json:"failed"`
	P50       float64        `json:"p50_ms"`
	P99       float64        `json:"p99_ms"`
	Max       float64        `json:"max_ms"`
	Service   float64        `json:"service"` // value served in time over value offered
	Seconds   float64        `json:"seconds"`
	Rate      float64        `json:"rate"`
	Fault     string         `json:"fault,omitempty"`
	Lag       float64        `json:"load_lag_ms"` // the most that the load itself was late in sending
	NotSent   int            `json:"load_short"`  // requests not sent for lack of connections; among Failed
	Rules     map[string]int `json:"rules"`       // violations of each
	Servers   []ServerReport `json:"servers"`
	ListCalls int            `json:"list_calls"`
}

// ServerReport is what one zone server counted.
type ServerReport struct {
	Name string `json:"name"`
	proxystandin.ZoneCounts
}

// The names of the rules in a report.
const (
	OneAnswer    = "one_final_answer"
	NeverTwice   = "rider_assign_once"
	DrainObeyed  = "drain_obeyed"
	WarmUpObeyed = "cold_not_pushed_over"
)

// Violations returns the number of violations of all rules.
func (r *Report) Violations() int {
	sum := 0
	for _, violations := range r.Rules {
		sum += violations
	}
	return sum
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func newReport(f *proxystandin.Fleet, t proxystandin.Totals, o Options, seconds float64) *Report {
	r := &Report{
		Offered: t.Offered, Served: t.ByKind[proxystandin.Served], InTime: t.InTime,
		Rejected: t.ByKind[proxystandin.Refused],
		P50:      milliseconds(t.P50), P99: milliseconds(t.P99), Max: milliseconds(t.Max),
		Seconds: seconds, Rate: o.Rate, Fault: o.Fault,
		Lag: milliseconds(t.Lag), NotSent: t.ByKind[proxystandin.NotSent], ListCalls: f.Discovery.Calls(),
		Servers: []ServerReport{},
		Rules: map[string]int{
			OneAnswer:  t.ByKind[proxystandin.NoAnswer] + t.Mismatched + t.ExtraAnswers,
			NeverTwice: f.RanTwice(), DrainObeyed: 0, WarmUpObeyed: 0,
		},
	}
	r.Failed = r.Offered - r.Served - r.Rejected
	if t.OfferedValue > 0 {
		r.Service = t.ServedValue / t.OfferedValue
	}
	for name, counts := range f.Counts() {
		r.Servers = append(r.Servers, ServerReport{name, counts})
		r.Rules[DrainObeyed] += counts.AfterDrain
		r.Rules[WarmUpObeyed] += counts.Overloaded
	}
	slices.SortFunc(r.Servers, func(a, b ServerReport) int { return strings.Compare(a.Name, b.Name) })
	return r
}
