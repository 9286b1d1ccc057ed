package labcli

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"cresshub/internal/proxy/cli"
	"cresshub/internal/simulation/experiment"
)

// newCompare is the command compare.
func newCompare() *cobra.Command {
	var flags playFlags
	var metrics []string
	c := &cobra.Command{
		Use: "compare FILE", Short: "Tell whether two policies differ on the same days",
		Example: "  cresshub-lab compare snowy-evening --policy module,two-choices --repeat 12",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			header, err := flags.header(args[0])
			if err != nil {
				return err
			}
			if len(header.Policies) < 2 {
				return cli.UsageErrorf("--policy names %d, two or more are wanted", len(header.Policies))
			}
			for _, metric := range metrics {
				if !experiment.KnownMetric(metric) {
					return cli.UsageErrorf("--metric %q is none of %s", metric, strings.Join(experiment.MetricNames(), ", "))
				}
			}
			store, err := flags.play(c, header)
			if err != nil {
				return err
			}
			return printCompare(c.OutOrStdout(), store, metrics, flags.json)
		},
	}
	flags.add(c)
	c.Flags().StringSliceVar(&metrics, "metric", []string{"service", "mean_ms", "p99_ms", "refused"},
		"what is compared")
	return c
}

// newDifference is the command difference.
func newDifference() *cobra.Command {
	var metric string
	c := &cobra.Command{
		Use: "difference A B", Short: "Tell how the same days differ between two result files, B less A",
		Long:    "For two builds of the program: the days are paired by their keys, policy and seed.",
		Example: "  cresshub-lab difference before.jsonl after.jsonl --metric service",
		Args:    cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			if !experiment.KnownMetric(metric) {
				return cli.UsageErrorf("--metric %q is none of %s", metric, strings.Join(experiment.MetricNames(), ", "))
			}
			before, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			after, err := experiment.Read(args[1])
			if err != nil {
				return err
			}
			difference := experiment.PairStores(before, after, metric)
			verdict := "a difference"
			if difference.Noise {
				verdict = "noise"
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "%+.4f ±%.4f over %d days: %s\n", difference.Mean,
				difference.Half, difference.N, verdict)
			return err
		},
	}
	c.Flags().StringVar(&metric, "metric", "service", "what is compared")
	return c
}

// printCompare prints the paired differences of all policies from the first one.
func printCompare(w io.Writer, store *experiment.Store, metrics []string, asJSON bool) error {
	type row struct {
		A       string   `json:"a"`
		B       string   `json:"b"`
		Metric  string   `json:"metric"`
		Diff    float64  `json:"b_less_a"`
		Half    *float64 `json:"ci95"` // null for a single day
		Noise   bool     `json:"noise"`
		Repeats int      `json:"repeats_to_settle"`
	}
	rows := []row{}
	cells := store.Cells()
	for _, other := range cells[1:] {
		for _, metric := range metrics {
			difference := experiment.Paired(cells[0].Figures(metric), other.Figures(metric))
			r := row{cells[0].Policy, other.Policy, metric, difference.Mean, nil, difference.Noise, difference.Repeats}
			if !math.IsNaN(difference.Half) {
				r.Half = &difference.Half
			}
			rows = append(rows, r)
		}
	}
	if asJSON {
		return json.NewEncoder(w).Encode(rows)
	}
	t := &table{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	for _, r := range rows {
		verdict := "a difference"
		switch {
		case r.Half == nil:
			verdict = "one day tells nothing; repeat"
		case r.Noise && r.Repeats > 0:
			verdict = fmt.Sprintf("noise; about %d days would settle a difference of this size", r.Repeats)
		case r.Noise:
			verdict = "no difference"
		}
		half := math.NaN()
		if r.Half != nil {
			half = *r.Half
		}
		t.row("%s less %s\t%s\t%.4g\t±%.2g\t%s", r.B, r.A, r.Metric, r.Diff, half, verdict)
	}
	return t.flush()
}
