// Package proxytrial tries the proxy on loopback: a discovery and zone servers that stand in for real ones,
// the program itself as a child process, and an open-loop load, with a trouble in the middle if wanted. What
// comes out is counted on both sides, and so are breaks of the rules.
package proxytrial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"cresshub/internal/childprocess"
	"cresshub/internal/testbed/proxystandin"
)

// Options are what is tried.
type Options struct {
	Program    string        // path of the proxy's binary
	Duration   time.Duration // how long the load lasts
	Servers    int
	Rate       float64 // requests a second; 0 is Load times what the servers can do
	LoadFactor float64 // part of the servers' capacity that the load takes
	Fault      string  // "", or one of Troubles
	Seed       uint64
	Set        []string  // KEY=VALUE of the proxy's configuration, over what the trial sets
	Log        io.Writer // the proxy's log, if wanted
	// Progress is called a few times a second while the load lasts, if it is set.
	Progress func(done time.Duration, t proxystandin.Totals)
}

// Report is what came of it. Times are in milliseconds.
type Report struct {
	Offered   int            `json:"offered"`
	Served    int            `json:"served"`
	InTime    int            `json:"served_in_time"`
	Refused   int            `json:"refused"`
	Failed    int            `json:"failed"`
	P50       float64        `json:"p50_ms"`
	P99       float64        `json:"p99_ms"`
	Max       float64        `json:"max_ms"`
	Service   float64        `json:"service"` // worth served in time over worth asked for
	Seconds   float64        `json:"seconds"`
	Rate      float64        `json:"rate"`
	Fault     string         `json:"trouble,omitempty"`
	Lag       float64        `json:"load_lag_ms"` // the load itself sent that late at worst
	NotSent   int            `json:"load_short"`  // requests not sent for want of connections; among the failed
	Rules     map[string]int `json:"rules"`       // breaks of each
	Servers   []ServerReport `json:"servers"`
	ListCalls int            `json:"list_calls"`
}

// ServerReport is what one zone server saw.
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

// Violations is how many breaks of rules there were.
func (r *Report) Violations() (n int) {
	for _, k := range r.Rules {
		n += k
	}
	return n
}

var halls = []string{"kita-hall", "chuo-hall", "toyohira-hall"}

// The classes of the brief, with the middle of each range.
var classes = []proxystandin.LoadClass{
	{Name: "zone-lookup", Fraction: 0.6, LatencyTarget: 600 * time.Millisecond,
		Deadline: 1500 * time.Millisecond, Value: 2},
	{Name: "rider-assign", Fraction: 0.4, LatencyTarget: 500 * time.Millisecond,
		Deadline: 2 * time.Second, Value: 8,
		Unsafe: true},
}

var meanClassWork = map[string]time.Duration{
	"zone-lookup": 125 * time.Millisecond, "rider-assign": 108 * time.Millisecond,
}

// meanRequestWork of a request, on a core of speed 1.
func meanRequestWork() (mean time.Duration) {
	for _, c := range classes {
		mean += time.Duration(c.Fraction * float64(meanClassWork[c.Name]))
	}
	return mean
}

var tenants = []string{"ramen-kita", "soup-curry-chuo", "jingisukan-east"}

// stopTimeout is how long the proxy may take to end: what clients may still send, and the longest deadline.
const stopTimeout = 10 * time.Second

// Run tries the proxy until the time is over or ctx ends; then what was measured so far is reported with
// ctx's error. Nothing is left behind: no process, no socket, no file.
func Run(ctx context.Context, o Options) (_ *Report, err error) {
	dir, err := os.MkdirTemp("", "cresshub-try-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	warmUp := proxystandin.WarmUp{StartFraction: 0.12, Duration: 10 * time.Second, OverloadMultiple: 4,
		OverloadAfter: 1500 * time.Millisecond}
	fleet, err := proxystandin.StartFleet(proxystandin.FleetOptions{
		Servers: o.Servers, Halls: halls, Work: meanClassWork, HalfSpeedFraction: 0.4, MaxQueued: 16,
		WarmUp: warmUp, Seed: o.Seed,
	})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	if o.Rate <= 0 {
		o.Rate = o.LoadFactor * fleet.Capacity(o.Servers) / meanRequestWork().Seconds()
	}
	file := filepath.Join(dir, "cresshub.toml")
	text := configuration(fleet.Discovery.Address(), o, warmUp)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	interrupted := func(err error) (*Report, error) { // interrupted before anything was sent
		if ctx.Err() == nil {
			return nil, err
		}
		return newReport(fleet, proxystandin.NewTally().Totals(), o, 0), ctx.Err()
	}
	proxy, err := childprocess.Start(ctx, o.Program, file, o.Set, o.Log)
	if err != nil {
		return interrupted(err)
	}
	stopped := false
	defer func() {
		if !stopped {
			proxy.Stop(stopTimeout)
		}
	}()
	startCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	if err := proxystandin.AwaitReady(startCtx, proxy.Field("listen")); err != nil {
		return interrupted(fmt.Errorf("%w\n%s", err, proxy.Tail()))
	}
	load := proxystandin.NewLoad(proxystandin.LoadOptions{
		Address: proxy.Field("listen"), Rate: o.Rate, Classes: classes, Tenants: tenants, Keys: 300, Seed: o.Seed,
		MaxConnections: 2000,
	})
	started := time.Now()
	loadCtx, done := context.WithTimeout(ctx, o.Duration)
	defer done()
	faultDone := make(chan error, 1)
	go func() {
		if o.Fault == mixed {
			faultDone <- injectMixed(loadCtx, fleet, proxy, file, o.Seed)
			return
		}
		faultDone <- injectFault(loadCtx, fleet, o)
	}()
	go reportProgress(loadCtx, started, load.Tally(), o.Progress)
	load.Run(loadCtx)
	seconds := min(time.Since(started), o.Duration).Seconds()
	stopped = true
	err = errors.Join(ctx.Err(), <-faultDone, proxy.Stop(stopTimeout))
	return newReport(fleet, load.Tally().Totals(), o, seconds), err
}

func reportProgress(ctx context.Context, started time.Time, t *proxystandin.Tally, show func(time.Duration,
	proxystandin.Totals)) {
	if show == nil {
		return
	}
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			show(time.Since(started), t.Totals())
		}
	}
}

func newReport(f *proxystandin.Fleet, t proxystandin.Totals, o Options, seconds float64) *Report {
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	r := &Report{
		Offered: t.Offered, Served: t.ByKind[proxystandin.Served], InTime: t.InTime,
		Refused: t.ByKind[proxystandin.Refused],
		P50:     ms(t.P50), P99: ms(t.P99), Max: ms(t.Max), Seconds: seconds, Rate: o.Rate, Fault: o.Fault,
		Lag: ms(t.Lag), NotSent: t.ByKind[proxystandin.NotSent], ListCalls: f.Discovery.Calls(),
		Servers: []ServerReport{},
		Rules: map[string]int{
			OneAnswer:  t.ByKind[proxystandin.NoAnswer] + t.Mismatched + t.ExtraAnswers,
			NeverTwice: f.RanTwice(), DrainObeyed: 0, WarmUpObeyed: 0,
		},
	}
	r.Failed = r.Offered - r.Served - r.Refused
	if t.OfferedValue > 0 {
		r.Service = t.ServedValue / t.OfferedValue
	}
	for name, c := range f.Counts() {
		r.Servers = append(r.Servers, ServerReport{name, c})
		r.Rules[DrainObeyed] += c.AfterDrain
		r.Rules[WarmUpObeyed] += c.Overloaded
	}
	slices.SortFunc(r.Servers, func(a, b ServerReport) int { return strings.Compare(a.Name, b.Name) })
	return r
}

// configuration is the proxy's file, as an operator of this fleet would write it.
func configuration(discovery string, o Options, warmUp proxystandin.WarmUp) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = \"try\"\nseed = \"%x\"\nhalls = [%q, %q, %q]\nkinds = [%q, %q]\n", o.Seed,
		halls[0], halls[1], halls[2], proxystandin.Standard, proxystandin.HalfSpeed)
	fmt.Fprintf(&b, "[listen]\naddress = \"127.0.0.1:0\"\n[discovery]\naddress = %q\n", discovery)
	fmt.Fprintf(&b, "[policy]\nhall = %q\nwarm_keys = true\n", halls[0])
	fmt.Fprintf(&b, "[drain]\ngrace = %q\n", proxystandin.DrainGrace)
	fmt.Fprintf(&b, "[cold]\nstart = %g\nwarm_after = %q\nfall_multiple = %g\nfall_after = %q\n",
		warmUp.StartFraction, warmUp.Duration, warmUp.OverloadMultiple, warmUp.OverloadAfter)
	for _, c := range classes {
		effect := "idempotent"
		if c.Unsafe {
			effect = "at_most_once"
		}
		fmt.Fprintf(&b, "[[class]]\nname = %q\naim = %q\ndeadline = %q\neffect = %q\nworth = %g\n", c.Name,
			c.LatencyTarget, c.Deadline, effect, c.Value)
	}
	for _, t := range tenants {
		fmt.Fprintf(&b, "[[tenant]]\nname = %q\nshare = %.3f\nquota = %g\n", t, 1/float64(len(tenants)),
			o.Rate*2/float64(len(tenants)))
	}
	return b.String()
}
