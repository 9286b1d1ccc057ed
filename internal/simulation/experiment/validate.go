package experiment

import (
	"fmt"
	"math"
	"strings"

	"golang.org/x/sync/errgroup"

	"cresshub/internal/simulation/proxysim"
)

const (
	checkRequests = 500_000 // of a day; quick takes a fifth
	checkDays     = 4
	checkMetric   = "mean_service_times"
	// littleBound is the relative deviation from Little's law up to which a day is accepted.
	littleBound = 0.01
)

// Check is one published result, and what the model gives.
type Check struct {
	Name     string                    `json:"name"`
	Source   string                    `json:"source"`
	Expected float64                   `json:"expected"`
	Measured float64                   `json:"found"`
	Half     float64                   `json:"ci95"`
	Within   float64                   `json:"within"`             // relative bound
	AtLeast  bool                      `json:"at_least,omitempty"` // more than expected holds too
	Holds    bool                      `json:"holds"`
	combine  func([]Estimate) Estimate // of the plays, in their order
	plays    []play
}

// Validate compares the model with published results; quick with a fifth of the requests and bounds twice as
// wide.
func Validate(quick bool) ([]*Check, error) {
	checked := checks()
	requests := checkRequests
	if quick {
		requests /= 5
	}
	var group errgroup.Group
	group.SetLimit(4)
	for _, check := range checked {
		if quick {
			check.Within *= 2
		}
		group.Go(func() error { return check.run(requests) })
	}
	return checked, group.Wait()
}

// run measures the check's figure and sets whether it holds.
func (check *Check) run(requests int) error {
	var estimates []Estimate
	for _, p := range check.plays {
		estimate, err := p.estimate(requests)
		if err != nil {
			return fmt.Errorf("%s, %w", check.Name, err)
		}
		estimates = append(estimates, estimate)
	}
	estimate := check.combine(estimates)
	check.Measured, check.Half = estimate.Mean, estimate.Half
	off := check.Measured/check.Expected - 1
	check.Holds = off >= -check.Within && (check.AtLeast || off <= check.Within)
	return nil
}

// estimate runs the days of a play and estimates the mean response time over the service time.
func (p play) estimate(requests int) (Estimate, error) {
	p.set["requests"], p.set["warm_up_requests"] = fmt.Sprint(requests), fmt.Sprint(requests/4)
	var figures []float64
	for seed := range uint64(checkDays) {
		job := Job{Policy: p.policy, Seed: seed + 1, K: p.k, Lambda: p.lambda}
		day, err := Play("queues", p.set, job, proxysim.Options{})
		if err != nil {
			return Estimate{}, err
		}
		little := day.Result.Throughput * day.Result.MeanMS / 1000
		if math.Abs(day.Result.MeanInSystem/little-1) > littleBound {
			return Estimate{}, fmt.Errorf("%s: %.4g held where Little's law wants %.4g", p.policy,
				day.Result.MeanInSystem, little)
		}
		figures = append(figures, Metrics[checkMetric](day.Result))
	}
	return EstimateOf(figures), nil
}

// ValidationTable formats the checks as a table in Markdown.
func ValidationTable(all []*Check) string {
	var b strings.Builder
	b.WriteString("| result | source | expected | found | 95% | held to | |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, check := range all {
		holds := "holds"
		if !check.Holds {
			holds = "**differs**"
		}
		bound := fmt.Sprintf("%.0f%%", check.Within*100)
		if check.AtLeast {
			bound = "at least, " + bound
		}
		fmt.Fprintf(&b, "| %s | %s | %.3f | %.3f | ±%.3f | %s | %s |\n", check.Name, check.Source,
			check.Expected, check.Measured, check.Half, bound, holds)
	}
	return b.String()
}
