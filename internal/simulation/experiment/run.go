package experiment

import (
	"context"
	"maps"
	"math"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"cresshub/internal/simulation/proxysim"
)

// Job is one day to run: values of swept keys, a policy and a seed.
type Job struct {
	Set    map[string]string `json:"set,omitempty"` // of the swept keys
	Policy string            `json:"policy"`
	Seed   uint64            `json:"seed"`
	K      int               `json:"k,omitempty"`
	Lambda float64           `json:"lambda,omitempty"`
}

// RunResult is a day that has ended.
type RunResult struct {
	Job
	Result *proxysim.Result `json:"result"`
	Wall   float64          `json:"wall_s"`
}

// Play runs one day of a scenario, with the values of some keys replaced.
func Play(scenario string, base map[string]string, job Job, options proxysim.Options) (*RunResult, error) {
	set := map[string]string{}
	maps.Copy(set, base)
	maps.Copy(set, job.Set)
	sc, err := Load(scenario, set)
	if err != nil {
		return nil, err
	}
	options.Policy, options.Seed, options.K, options.Lambda = job.Policy, job.Seed, job.K, job.Lambda
	began := time.Now()
	sim, err := proxysim.New(sc, options)
	if err != nil {
		return nil, err
	}
	result := sim.Run(options)
	result.Seed = job.Seed
	return &RunResult{job, result, time.Since(began).Seconds()}, nil
}

// PlayAll runs days in parallel, jobs at a time or, if that is 0, one a processor. It passes each day that
// ends to record, from one goroutine at a time. It stops at the first error or when ctx is done; days under
// way end before it returns.
func PlayAll(ctx context.Context, scenario string, base map[string]string, days []Job, jobs int, strict bool,
	record func(*RunResult) error) error {
	if jobs <= 0 {
		jobs = runtime.GOMAXPROCS(0)
	}
	g, groupCtx := errgroup.WithContext(ctx)
	g.SetLimit(jobs)
	recording := make(chan struct{}, 1)
	for _, job := range days {
		if groupCtx.Err() != nil {
			break
		}
		g.Go(func() error {
			if groupCtx.Err() != nil {
				return groupCtx.Err()
			}
			day, err := Play(scenario, base, job, proxysim.Options{Strict: strict})
			if err != nil {
				return err
			}
			recording <- struct{}{}
			defer func() { <-recording }()
			return record(day)
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	return ctx.Err()
}

// perRequest is a count over the number of requests.
func perRequest(r *proxysim.Result, n int) float64 { return float64(n) / float64(max(r.Requests, 1)) }

// Metrics are the figures of a day that are estimated, by name.
var Metrics = map[string]func(*proxysim.Result) float64{
	"mean_ms":              func(r *proxysim.Result) float64 { return r.MeanMS },
	"mean_service_times":   func(r *proxysim.Result) float64 { return r.MeanServiceTimes },
	"p50_ms":               func(r *proxysim.Result) float64 { return r.P50 },
	"p99_ms":               func(r *proxysim.Result) float64 { return r.P99 },
	"service":              func(r *proxysim.Result) float64 { return r.Service },
	"service_whole":        func(r *proxysim.Result) float64 { return r.ServiceOverall },
	"service_worst_10s":    func(r *proxysim.Result) float64 { return r.ServiceWorst10s },
	"service_worst_class":  func(r *proxysim.Result) float64 { return r.ServiceWorstClass },
	"service_worst_tenant": func(r *proxysim.Result) float64 { return r.ServiceWorstTenant },
	"prices":               func(r *proxysim.Result) float64 { return r.Prices },
	"refused":              func(r *proxysim.Result) float64 { return perRequest(r, r.Refused) },
	"failed":               func(r *proxysim.Result) float64 { return perRequest(r, r.Failed) },
	"probes":               func(r *proxysim.Result) float64 { return perRequest(r, r.Probes) },
	"handshakes":           func(r *proxysim.Result) float64 { return perRequest(r, r.Handshakes) },
	"attempts":             func(r *proxysim.Result) float64 { return perRequest(r, r.Attempts) },
	"list_calls":           func(r *proxysim.Result) float64 { return float64(r.ListCalls) },
	"connections_a_server": func(r *proxysim.Result) float64 { return r.Conns },
	"work_wasted":          func(r *proxysim.Result) float64 { return r.Wasted },
}

// WallMetric is the wall time of a request with all its events on this machine, in microseconds. Unlike the
// others it differs from run to run; run one job at a time to measure it.
const WallMetric = "wall_us_a_request"

// figure returns a metric of a day.
func (r *RunResult) figure(metric string) float64 {
	if metric == WallMetric {
		return r.Wall * 1e6 / float64(max(r.Result.Requests, 1))
	}
	return Metrics[metric](r.Result)
}

// KnownMetric reports whether there is a metric of that name.
func KnownMetric(metric string) bool { return metric == WallMetric || Metrics[metric] != nil }

// MetricNames returns the names of the metrics, sorted.
func MetricNames() (names []string) {
	for n := range Metrics {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// Estimate is a mean over days with the half width of its 95% interval; that is NaN for a single day.
type Estimate struct {
	Mean, Half float64
	N          int
}

// EstimateOf estimates the mean of figures.
func EstimateOf(figures []float64) Estimate {
	mean, sd := stat.MeanStdDev(figures, nil)
	if len(figures) < 2 {
		return Estimate{mean, math.NaN(), len(figures)}
	}
	return Estimate{mean, student(len(figures)) * sd / math.Sqrt(float64(len(figures))), len(figures)}
}

// normal95 is the quantile of the normal distribution for a 95% interval.
const normal95 = 1.96

// student is Student's t for a 95% interval from n figures.
func student(n int) float64 {
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(n - 1)}.Quantile(0.975)
}

// Difference is the paired difference of two policies over the same days.
type Difference struct {
	Estimate
	Noise   bool // the interval holds 0
	Repeats int  // days that would make a difference of this size significant; 0 where it is
}

// Paired estimates the difference of figures of the same days, b less a.
func Paired(a, b []float64) Difference {
	differences := make([]float64, min(len(a), len(b)))
	for i := range differences {
		differences[i] = b[i] - a[i]
	}
	estimate := EstimateOf(differences)
	result := Difference{Estimate: estimate, Noise: !(math.Abs(estimate.Mean) > estimate.Half)}
	if result.Noise && estimate.N > 1 && estimate.Mean != 0 {
		deviation := estimate.Half / student(estimate.N) * math.Sqrt(float64(estimate.N))
		days := math.Ceil(math.Pow(normal95*deviation/estimate.Mean, 2)) + 2
		result.Repeats = int(min(days, 1e9))
	}
	return result
}
