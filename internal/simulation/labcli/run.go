package labcli

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"runtime/pprof"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"cresshub/internal/simulation/experiment"
	"cresshub/internal/simulation/proxysim"
)

// newRun is the command run.
func newRun() *cobra.Command {
	var flags playFlags
	var profile string
	command := &cobra.Command{
		Use: "run FILE", Short: "Play a scenario with one or more policies",
		Example: "  cresshub-lab run queues --policy random,basic-li --set load.utilisation=0.9 --json\n" +
			"  cresshub-lab run hall-loss --policy module --repeat 8 -o hall.jsonl",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			header, err := flags.header(args[0])
			if err != nil {
				return err
			}
			if profile != "" {
				stop, err := startProfile(profile)
				if err != nil {
					return err
				}
				defer stop()
			}
			began := time.Now()
			store, err := flags.play(command, header)
			if err != nil {
				return err
			}
			if flags.json {
				err = printRun(command.OutOrStdout(), store, time.Since(began))
			} else {
				err = printTable(command.OutOrStdout(), store)
			}
			if err == nil && flags.strict && len(violations(store)) > 0 {
				return fmt.Errorf("rules were broken:\n%s", strings.Join(violations(store), "\n"))
			}
			return err
		},
	}
	flags.add(command)
	command.Flags().StringVar(&profile, "profile", "", "file for a profile of the processor's time")
	return command
}

// startProfile writes a profile of the processor's time to a file until stop is called.
func startProfile(path string) (stop func(), err error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		f.Close()
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		f.Close()
	}, nil
}

// violations returns the reports of all violated rules.
func violations(store *experiment.Store) (texts []string) {
	for _, day := range store.Days {
		texts = append(texts, day.Result.Violations...)
	}
	return texts
}

// columns are the metrics in the table that run and sweep print.
var columns = []string{"service", "service_worst_10s", "mean_service_times", "p50_ms", "p99_ms",
	"refused", "failed"}

// maxNotes bounds the notes below a table.
const maxNotes = 20

// printTable prints the estimates of all cells, and notes of violated rules and runs that ended early.
func printTable(w io.Writer, store *experiment.Store) error {
	head, rows := store.Table(columns)
	t := newTable(w)
	for _, row := range append([][]string{head}, rows...) {
		t.row("%s\t", strings.Join(row, "\t"))
	}
	if err := t.flush(); err != nil {
		return err
	}
	notes := map[string]bool{}
	for _, day := range store.Days {
		for rule, count := range day.Result.Rules {
			if count > 0 {
				notes[fmt.Sprintf("%s: %s broken %d times with seed %d", day.Policy, rule, count, day.Seed)] = true
			}
		}
		if day.Result.Warning != "" {
			notes[day.Policy+": "+day.Result.Warning] = true
		}
	}
	sorted := slices.Sorted(maps.Keys(notes))
	for _, note := range sorted[:min(len(sorted), maxNotes)] {
		if _, err := fmt.Fprintln(w, note); err != nil {
			return err
		}
	}
	return nil
}

// policyResult is a policy's part of the JSON that run prints: sums over the days, and means with the half
// width of their 95% intervals.
type policyResult struct {
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

// printRun prints the results of all policies as a JSON object.
func printRun(w io.Writer, store *experiment.Store, wall time.Duration) error {
	out := struct {
		Scenario string         `json:"scenario"`
		Seed     uint64         `json:"seed"`
		Events   uint64         `json:"events"`
		Wall     float64        `json:"wall_s"`
		Policies []policyResult `json:"policies"`
	}{Scenario: store.Header.Scenario, Seed: store.Header.Seed, Wall: wall.Seconds()}
	for _, cell := range store.Cells() {
		for _, day := range cell.Days {
			out.Events += day.Result.Events
		}
		out.Policies = append(out.Policies, newPolicyResult(cell))
	}
	return json.NewEncoder(w).Encode(out)
}

// newPolicyResult returns the sums and estimates of a policy's days.
func newPolicyResult(cell *experiment.Cell) policyResult {
	p := policyResult{Name: cell.Policy, Days: len(cell.Days), Rules: map[string]int{},
		CI: map[string]float64{}, Metrics: map[string]float64{}}
	for _, day := range cell.Days {
		p.addDay(day.Result)
	}
	for _, metric := range experiment.MetricNames() {
		estimate := experiment.EstimateOf(cell.Figures(metric))
		p.Metrics[metric] = estimate.Mean
		if !math.IsNaN(estimate.Half) {
			p.CI[metric] = estimate.Half
		}
	}
	p.Mean, p.Times, p.P50 = p.Metrics["mean_ms"], p.Metrics["mean_service_times"], p.Metrics["p50_ms"]
	p.P99, p.Service = p.Metrics["p99_ms"], p.Metrics["service"]
	return p
}

// addDay adds the counts of a day.
func (p *policyResult) addDay(result *proxysim.Result) {
	p.Requests += result.Requests
	p.Served += result.Served
	p.Refused += result.Refused
	p.Failed += result.Failed
	for rule, violations := range result.Rules {
		p.Rules[rule] += violations
	}
	if result.Warning != "" && !slices.Contains(p.Notes, result.Warning) {
		p.Notes = append(p.Notes, result.Warning)
	}
}
