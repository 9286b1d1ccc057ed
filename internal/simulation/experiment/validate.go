package experiment

import (
	"fmt"
	"math"
	"strings"

	"golang.org/x/sync/errgroup"

	"cresshub/internal/simulation/proxysim"
)

// Check is one result that nobody here made, and what the emulator finds.
type Check struct {
	Name     string  `json:"name"`
	Source   string  `json:"source"`
	Expected float64 `json:"expected"`
	Measured float64 `json:"found"`
	Half     float64 `json:"ci95"`
	Within   float64 `json:"within"`             // relative bound held to
	AtLeast  bool    `json:"at_least,omitempty"` // more than expected holds too
	Holds    bool    `json:"holds"`
	combine  func([]map[string]Estimate) Estimate
	plays    []play
}

// play is one scenario with one policy that a check needs.
type play struct {
	policy string
	k      int
	lambda float64
	set    map[string]string
}

func newPlay(policy string, kv ...string) play {
	p := play{policy: policy, set: map[string]string{}}
	for i := 0; i+1 < len(kv); i += 2 {
		p.set[kv[i]] = kv[i+1]
	}
	return p
}

func (p play) with(k int) play { p.k = k; return p }

func (p play) and(key, value string) play { p.set[key] = value; return p }

// Erlang is the mean response time of M/M/c over its service time.
func Erlang(c int, load float64) float64 {
	term, sum := 1.0, 0.0
	for k := range c {
		sum += term
		term *= load * float64(c) / float64(k+1)
	}
	wait := term / (1 - load)
	return 1 + wait/(sum+wait)/(float64(c)*(1-load))
}

// TwoChoices is the mean response time over the service time when each of infinitely many queues is chosen
// as the shorter of two: the sum of load^(2^i-2) over i from 1.
func TwoChoices(load float64) (t float64) {
	for i := 1; i < 40; i++ {
		t += math.Pow(load, math.Pow(2, float64(i))-2)
	}
	return t
}

const mean = "mean_service_times"

// checks are all of them. Bounds are what the number of requests leaves to chance and, where the text gives
// a rounded figure, its rounding.
func checks() []*Check {
	first := func(e []map[string]Estimate) Estimate { return e[0][mean] }
	faster := func(e []map[string]Estimate) Estimate { // how much slower the second is
		return Estimate{Mean: e[1][mean].Mean / e[0][mean].Mean, Half: e[0][mean].Half/e[0][mean].Mean +
			e[1][mean].Half/e[1][mean].Mean}
	}
	best := func(e []map[string]Estimate) Estimate { // the best of the others over the first
		out := Estimate{Mean: math.Inf(1)}
		for i := range e[1:] {
			if x := faster([]map[string]Estimate{e[0], e[i+1]}); x.Mean < out.Mean {
				out = x
			}
		}
		return out
	}
	n, load, model, delay := "servers.count", "load.utilisation", "reports.model", "reports.delay"
	var all []*Check
	add := func(name, source string, want, within float64, what func([]map[string]Estimate) Estimate,
		plays ...play) {
		all = append(all, &Check{Name: name, Source: source, Expected: want, Within: within, combine: what,
			plays: plays})
	}
	for _, l := range []float64{0.5, 0.8, 0.9} {
		add(fmt.Sprintf("M/M/1 at %.1f", l), "queueing theory", 1/(1-l), 0.05, first,
			newPlay("random", n, "1", load, fmt.Sprint(l)))
	}
	for _, c := range []int{2, 4, 16} {
		add(fmt.Sprintf("M/M/%d at 0.9", c), "Erlang C", Erlang(c, 0.9), 0.05, first,
			newPlay("random", n, "1", "servers.cores", fmt.Sprint(c), load, "0.9"))
	}
	for _, l := range []float64{0.5, 0.9} {
		add(fmt.Sprintf("random, n = 100 at %.1f", l), "M/M/1", 1/(1-l), 0.03, first,
			newPlay("random", load, fmt.Sprint(l)))
		add(fmt.Sprintf("two choices, n = 100 at %.1f", l), "mean field, n without bound", TwoChoices(l), 0.04,
			first,
			newPlay("two-choices", load, fmt.Sprint(l)))
	}
	periodic := func(p string, t string) play { return newPlay(p, model, "periodic", delay, t) }
	add("Basic LI against the best k at T = 40", "paper, 5.1: 41% faster", 1.41, 0.06, best,
		periodic("basic-li", "40"),
		periodic("random", "40"), periodic("two-choices", "40"), periodic("k-choices", "40").with(3))
	add("Basic LI against random at T = 200", "paper, 5.1: 9%", 1.09, 0.04, best, periodic("basic-li", "200"),
		periodic("random", "200"))
	atLeast := func(name, source string, want, within float64, plays ...play) {
		add(name, source, want, within, best, plays...)
		all[len(all)-1].AtLeast = true
	}
	atLeast("Basic LI against k at T = 1", "paper, 5.1: at least as good", 1, 0.01, periodic("basic-li", "1"),
		periodic("random", "1"), periodic("two-choices", "1"), periodic("k-choices", "1").with(3))
	atLeast("n = 8, T = 10: Basic LI against k", "paper, Figure 4: as for n = 100", 1, 0.01,
		periodic("basic-li", "10").and(n, "8"), periodic("random", "10").and(n, "8"),
		periodic("two-choices", "10").and(n, "8"))
	add("LI-2 over Basic LI, periodic, T = 10", "paper, Figure 14c: nearly identical", 1, 0.12, faster,
		periodic("basic-li", "10"), periodic("li-k", "10").with(2))
	conservative := periodic("basic-li", "20")
	conservative.lambda = 1
	add("Basic LI with lambda 1.0 for 0.9, T = 20", "paper, 5.6: within 1%", 1, 0.02, faster,
		periodic("basic-li", "20"), conservative)
	access := func(p string, kv ...string) play {
		return newPlay(p,
			append(kv, model, "on-access", delay, "10")...)
	}
	atLeast("on access, T = 10: Basic LI against k", "paper, 5.3: outperforms all", 1, 0.01, access("basic-li"),
		access("random"), access("two-choices"), access("k-choices").with(3))
	add("on access, T = 10: LI-2 over two choices", "paper, 5.7: similar", 1, 0.08, faster,
		access("two-choices"),
		access("li-k").with(2))
	atLeast("on access, T = 10: LI-3 against k", "paper, 5.7: outperforms all k", 1, 0.01,
		access("li-k").with(3),
		access("two-choices"), access("k-choices").with(3))
	bursty := func(p string) play { return access(p, "load.arrivals", "bursty", "load.burst", "10") }
	atLeast("on access, bursts of 10, T = 10: Basic LI", "paper, 5.4: best or tied", 1, 0.02, bursty("basic-li"),
		bursty("random"), bursty("two-choices"), bursty("k-choices").with(3))
	steady := func(p, spread string) play {
		return newPlay(p, model, "continuous", delay, "10", "reports.spread", spread)
	}
	atLeast("continuous, fixed T = 10: Basic LI against k", "paper, 5.2: as good as any", 1, 0.01,
		steady("basic-li", "fixed"), steady("random", "fixed"), steady("two-choices", "fixed"))
	atLeast("continuous, exponential T = 10: Basic LI against k", "paper, 5.2: up to 16% behind", 1/1.16, 0.01,
		steady("basic-li", "exponential"), steady("random", "exponential"), steady("two-choices", "exponential"))
	add("two choices over random at T = 100", "paper, 2: random is twice as good", 2, 0.25,
		func(e []map[string]Estimate) Estimate {
			x := faster(e)
			x.Mean = 1 / x.Mean
			return x
		}, periodic("two-choices", "100"), periodic("random", "100"))
	add("fresh, lighter load: shortest over random", "paper, 5.1, Figure 3: nearly a factor of two", 2, 0.1,
		faster,
		newPlay("stale-shortest", load, "0.5"), newPlay("random", load, "0.5"))
	return all
}

// Validate plays all checks; quick with a fifth of the requests and bounds twice as wide.
func Validate(quick bool) ([]*Check, error) {
	all := checks()
	requests, days := 500000, 4
	if quick {
		requests = 100000
	}
	var g errgroup.Group
	g.SetLimit(4)
	for _, c := range all {
		if quick {
			c.Within *= 2
		}
		g.Go(func() error {
			var estimates []map[string]Estimate
			for _, p := range c.plays {
				p.set["requests"], p.set["warm_up_requests"] = fmt.Sprint(requests), fmt.Sprint(requests/4)
				figures := map[string][]float64{}
				for seed := range uint64(days) {
					d, err := Play("queues", p.set, Job{Policy: p.policy, Seed: seed + 1, K: p.k, Lambda: p.lambda},
						proxysim.Options{})
					if err != nil {
						return err
					}
					little := d.Result.Throughput * d.Result.MeanMS / 1000
					if math.Abs(d.Result.MeanInSystem/little-1) > 0.01 {
						return fmt.Errorf("%s, %s: %.4g held where Little's law wants %.4g", c.Name, p.policy,
							d.Result.MeanInSystem, little)
					}
					figures[mean] = append(figures[mean], Metrics[mean](d.Result))
				}
				estimates = append(estimates, map[string]Estimate{mean: EstimateOf(figures[mean])})
			}
			e := c.combine(estimates)
			c.Measured, c.Half = e.Mean, e.Half
			off := c.Measured/c.Expected - 1
			c.Holds = off >= -c.Within && (c.AtLeast || off <= c.Within)
			return nil
		})
	}
	return all, g.Wait()
}

// ValidationTable is the checks as a table in Markdown.
func ValidationTable(all []*Check) string {
	var b strings.Builder
	b.WriteString("| result | source | expected | found | 95% | held to | |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, c := range all {
		holds := "holds"
		if !c.Holds {
			holds = "**differs**"
		}
		bound := fmt.Sprintf("%.0f%%", c.Within*100)
		if c.AtLeast {
			bound = "at least, " + bound
		}
		fmt.Fprintf(&b, "| %s | %s | %.3f | %.3f | ±%.3f | %s | %s |\n", c.Name, c.Source, c.Expected, c.Measured,
			c.Half, bound, holds)
	}
	return b.String()
}
