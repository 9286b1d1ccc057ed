// Package labcli is the command line of the laboratory.
package labcli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"os/signal"
	"runtime/pprof"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"cresshub/internal/proxy/cli"
	"cresshub/internal/simulation/experiment"
	"cresshub/internal/simulation/proxysim"
)

// Main runs one call and returns its exit status: 0 done, 1 failed, 2 wrong use.
func Main(args []string, stdout, stderr io.Writer) int {
	root := &cobra.Command{
		Use:   "cresshub-lab",
		Short: "Try designs on an emulated fleet, at sizes that sockets don't reach",
		Long: "Plays scenarios in virtual time with the real decisions (policy module) and with rivals, says\n" +
			"how sure the figures are, and draws them. FILE is a scenario, or one of these that come with it:\n  " +
			strings.Join(experiment.Shipped(), ", "),
		Example: "  cresshub-lab run snowy-evening --policy module,two-choices --repeat 8",
	}
	root.AddCommand(newRun(), newSweep(), newCompare(), newPlot(), newReport(), newTrace(), newValidate(),
		newLoad(), newShow(), newDocs(), newDifference(), newRig(), newSwim(), newLists())
	return cli.Execute(root, args, stdout, stderr)
}

// choice is what the commands that play days have in common.
type playFlags struct {
	policies []string
	set      []string
	seed     uint64
	repeat   int
	k        int
	lambda   float64
	jobs     int
	out      string
	json     bool
	strict   bool
}

func (o *playFlags) add(c *cobra.Command) {
	f := c.Flags()
	f.StringSliceVar(&o.policies, "policy", []string{"module"},
		"one or more of "+strings.Join(proxysim.Policies, ", ")+", or all")
	f.StringArrayVar(&o.set, "set", nil, "KEY=VALUE of the scenario; may be repeated")
	f.Uint64Var(&o.seed, "seed", 1, "of the first day; repeats count up from it")
	f.IntVar(&o.repeat, "repeat", 4, "days for each policy, of different seeds")
	f.IntVar(&o.k, "k", 2, "servers looked at by k-choices and li-k")
	f.Float64Var(&o.lambda, "lambda", 0,
		"arrival rate that basic-li and li-k take a server to have; 0 is the true")
	f.IntVar(&o.jobs, "jobs", 0, "days played at a time; 0 is one a processor")
	f.StringVarP(&o.out, "out", "o", "", "result file, for plot and report")
	f.BoolVar(&o.json, "json", false, "print one JSON object")
	f.BoolVar(&o.strict, "strict", false, "the first break of a rule ends a day, and the command with 1")
}

// header checks the flags and says what experiment they name.
func (o *playFlags) header(scenario string) (experiment.Header, error) {
	h := experiment.Header{Scenario: scenario, Set: map[string]string{}, Seed: o.seed, Repeat: o.repeat, K: o.k,
		Lambda: o.lambda, Policies: o.policies}
	if len(o.policies) == 1 && o.policies[0] == "all" {
		h.Policies = proxysim.Policies
	}
	for _, p := range h.Policies {
		if !slices.Contains(proxysim.Policies, p) {
			return h, cli.UsageErrorf("--policy %q is none of %s", p, strings.Join(proxysim.Policies, ", "))
		}
	}
	if o.repeat < 1 || o.repeat > 10000 {
		return h, cli.UsageErrorf("--repeat %d is out of range, 1 to 10000 is allowed", o.repeat)
	}
	for _, pair := range o.set {
		key, value, ok := strings.Cut(pair, "=")
		if !ok {
			return h, cli.UsageErrorf("--set %q is no KEY=VALUE", pair)
		}
		h.Set[key] = value
	}
	// Whatever is wrong with the scenario is told before anything is played.
	_, err := experiment.Load(scenario, h.Set)
	return h, err
}

// play plays what is missing of an experiment. Interrupted, it keeps what was finished.
func (o *playFlags) play(c *cobra.Command, h experiment.Header) (*experiment.Store, error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	s := &experiment.Store{Header: h}
	if o.out != "" {
		var err error
		if s, err = experiment.Open(o.out, h); err != nil {
			return nil, err
		}
		defer s.Close()
	}
	missing := s.Missing()
	show, end := progress(c.ErrOrStderr(), len(missing))
	defer end()
	err := experiment.PlayAll(ctx, h.Scenario, h.Set, missing, o.jobs, o.strict,
		func(d *experiment.RunResult) error {
			show()
			return s.Add(d)
		})
	if ctx.Err() != nil {
		where := "; with --out they would have been kept"
		if o.out != "" {
			where = "; the same call goes on from there"
		}
		return s, fmt.Errorf("interrupted with %d of %d days played%s", len(s.Days), len(h.Jobs()), where)
	}
	return s, err
}

func newRun() *cobra.Command {
	var o playFlags
	var profile string
	c := &cobra.Command{
		Use: "run FILE", Short: "Play a scenario with one or more policies",
		Example: "  cresshub-lab run queues --policy random,basic-li --set load.utilisation=0.9 --json\n" +
			"  cresshub-lab run hall-loss --policy module --repeat 8 -o hall.jsonl",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			h, err := o.header(args[0])
			if err != nil {
				return err
			}
			if profile != "" {
				f, err := os.Create(profile)
				if err != nil {
					return err
				}
				defer f.Close()
				if err := pprof.StartCPUProfile(f); err != nil {
					return err
				}
				defer pprof.StopCPUProfile()
			}
			began := time.Now()
			s, err := o.play(c, h)
			if err != nil {
				return err
			}
			if o.json {
				err = printRun(c.OutOrStdout(), s, time.Since(began))
			} else {
				err = printTable(c.OutOrStdout(), s)
			}
			if err == nil && o.strict && len(violations(s)) > 0 {
				return fmt.Errorf("rules were broken:\n%s", strings.Join(violations(s), "\n"))
			}
			return err
		},
	}
	o.add(c)
	c.Flags().StringVar(&profile, "profile", "", "file for a profile of the processor's time")
	return c
}

func violations(s *experiment.Store) (texts []string) {
	for _, d := range s.Days {
		texts = append(texts, d.Result.Violations...)
	}
	return texts
}

var columns = []string{"service", "service_worst_10s", "mean_service_times", "p50_ms", "p99_ms",
	"refused", "failed"}

func printTable(w io.Writer, s *experiment.Store) error {
	head, rows := s.Table(columns)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, row := range append([][]string{head}, rows...) {
		fmt.Fprintln(t, strings.Join(row, "\t")+"\t")
	}
	if err := t.Flush(); err != nil {
		return err
	}
	notes := map[string]bool{}
	for _, d := range s.Days {
		for rule, n := range d.Result.Rules {
			if n > 0 {
				notes[fmt.Sprintf("%s: %s broken %d times with seed %d", d.Policy, rule, n, d.Seed)] = true
			}
		}
		if d.Result.Note != "" {
			notes[d.Policy+": "+d.Result.Note] = true
		}
	}
	var sorted []string
	for n := range notes {
		sorted = append(sorted, n)
	}
	slices.Sort(sorted)
	for _, n := range sorted[:min(len(sorted), 20)] {
		fmt.Fprintln(w, n)
	}
	return nil
}

// printRun writes means over the days with their intervals.
func printRun(w io.Writer, s *experiment.Store, wall time.Duration) error {
	type policy struct {
		Name     string             `json:"name"`
		Days     int                `json:"days"`
		Requests int                `json:"requests"`
		Served   int                `json:"served"`
		Refused  int                `json:"refused"`
		Failed   int                `json:"failed"`
		Mean     float64            `json:"mean_ms"`
		Times    float64            `json:"mean_service_times"`
		P50      float64            `json:"p50_ms"`
		P99      float64            `json:"p99_ms"`
		Service  float64            `json:"service"`
		Rules    map[string]int     `json:"rules"`
		CI       map[string]float64 `json:"ci95"`
		Metrics  map[string]float64 `json:"metrics"`
		Notes    []string           `json:"notes,omitempty"`
	}
	out := struct {
		Scenario string   `json:"scenario"`
		Seed     uint64   `json:"seed"`
		Events   uint64   `json:"events"`
		Wall     float64  `json:"wall_s"`
		Policies []policy `json:"policies"`
	}{Scenario: s.Header.Scenario, Seed: s.Header.Seed, Wall: wall.Seconds()}
	for _, cell := range s.Cells() {
		p := policy{Name: cell.Policy, Days: len(cell.Days), Rules: map[string]int{}, CI: map[string]float64{},
			Metrics: map[string]float64{}}
		for _, d := range cell.Days {
			r := d.Result
			out.Events += r.Events
			p.Requests, p.Served = p.Requests+r.Requests, p.Served+r.Served
			p.Refused, p.Failed = p.Refused+r.Refused, p.Failed+r.Failed
			for rule, n := range r.Rules {
				p.Rules[rule] += n
			}
			if r.Note != "" && !slices.Contains(p.Notes, r.Note) {
				p.Notes = append(p.Notes, r.Note)
			}
		}
		for _, m := range experiment.MetricNames() {
			e := experiment.EstimateOf(cell.Figures(m))
			p.Metrics[m] = e.Mean
			if !math.IsNaN(e.Half) {
				p.CI[m] = e.Half
			}
		}
		p.Mean, p.Times, p.P50 = p.Metrics["mean_ms"], p.Metrics["mean_service_times"], p.Metrics["p50_ms"]
		p.P99, p.Service = p.Metrics["p99_ms"], p.Metrics["service"]
		out.Policies = append(out.Policies, p)
	}
	return json.NewEncoder(w).Encode(out)
}

func newSweep() *cobra.Command {
	var o playFlags
	var over []string
	c := &cobra.Command{
		Use: "sweep FILE", Short: "Play a scenario over one or two keys",
		Long: "Plays every policy at every value, or pair of values. With --out, each day is written as it\n" +
			"ends, and the same call after an interrupt goes on with those that are missing.",
		Example: "  cresshub-lab sweep queues --over reports.delay=0.1,1,10,40 --set reports.model=periodic \\\n" +
			"    --policy random,two-choices,basic-li -o age.jsonl",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			h, err := o.header(args[0])
			if err != nil {
				return err
			}
			if len(over) < 1 || len(over) > 2 {
				return cli.UsageErrorf("--over is wanted once or twice")
			}
			for _, a := range over {
				key, values, ok := strings.Cut(a, "=")
				if !ok || values == "" {
					return cli.UsageErrorf("--over %q is no KEY=VALUE,VALUE", a)
				}
				h.Over = append(h.Over, experiment.Axis{Key: key, Values: strings.Split(values, ",")})
			}
			for _, j := range h.Jobs() { // a wrong value is told before hours are spent on the others
				set := map[string]string{}
				for k, v := range h.Set {
					set[k] = v
				}
				for k, v := range j.Set {
					set[k] = v
				}
				if _, err := experiment.Load(args[0], set); err != nil {
					return err
				}
			}
			s, err := o.play(c, h)
			if err != nil {
				return err
			}
			if o.json {
				head, rows := s.Table(experiment.MetricNames())
				return json.NewEncoder(c.OutOrStdout()).Encode(map[string]any{"header": s.Header, "head": head,
					"rows": rows})
			}
			return printTable(c.OutOrStdout(), s)
		},
	}
	o.add(c)
	c.Flags().StringArrayVar(&over, "over", nil, "KEY=VALUE,VALUE,...; may be given twice")
	return c
}
