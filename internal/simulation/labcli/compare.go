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
	command := &cobra.Command{
		Use: "compare FILE", Short: "Tell whether two policies differ on the same days",
		Example: "  cresshub-lab compare snowy-evening --policy module,two-choices --repeat 12",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			header, err := flags.header(args[0])
			if err != nil {
				return err
			}
			if len(header.Policies) < 2 {
				return cli.UsageErrorf("--policy names %d, two or more are wanted", len(header.Policies))
			}
			for _, metric := range metrics {
				if err := checkMetric(metric); err != nil {
					return err
				}
			}
			store, err := flags.play(command, header)
			if err != nil {
				return err
			}
			return printCompare(command.OutOrStdout(), store, metrics, flags.json)
		},
	}
	flags.add(command)
	command.Flags().StringSliceVar(&metrics, "metric", []string{"service", "mean_ms", "p99_ms", "refused"},
		"what is compared")
	return command
}

// checkMetric returns what is wrong with a value of --metric.
func checkMetric(metric string) error {
	if !experiment.KnownMetric(metric) {
		return cli.UsageErrorf("--metric %q is none of %s", metric, strings.Join(experiment.MetricNames(), ", "))
	}
	return nil
}

// newDifference is the command difference.
func newDifference() *cobra.Command {
	var metric string
	command := &cobra.Command{
		Use: "difference A B", Short: "Tell how the same days differ between two result files, B less A",
		Long:    "For two builds of the program: the days are paired by their keys, policy and seed.",
		Example: "  cresshub-lab difference before.jsonl after.jsonl --metric service",
		Args:    cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			if err := checkMetric(metric); err != nil {
				return err
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
			_, err = fmt.Fprintf(command.OutOrStdout(), "%+.4f ±%.4f over %d days: %s\n", difference.Mean,
				difference.Half, difference.N, verdict)
			return err
		},
	}
	command.Flags().StringVar(&metric, "metric", "service", "what is compared")
	return command
}

// comparison is the paired difference of a policy from the first one, in one metric.
type comparison struct {
	First   string   `json:"a"`
	Other   string   `json:"b"`
	Metric  string   `json:"metric"`
	Mean    float64  `json:"b_less_a"`
	Half    *float64 `json:"ci95"` // half width of the interval; null for a single day
	Noise   bool     `json:"noise"`
	Repeats int      `json:"repeats_to_settle"`
}

// comparisons returns the paired differences of all policies from the first one.
func comparisons(store *experiment.Store, metrics []string) []comparison {
	compared := []comparison{}
	cells := store.Cells()
	first := cells[0]
	for _, other := range cells[1:] {
		for _, metric := range metrics {
			difference := experiment.Paired(first.Figures(metric), other.Figures(metric))
			c := comparison{First: first.Policy, Other: other.Policy, Metric: metric, Mean: difference.Mean,
				Noise: difference.Noise, Repeats: difference.Repeats}
			if !math.IsNaN(difference.Half) {
				c.Half = &difference.Half
			}
			compared = append(compared, c)
		}
	}
	return compared
}

// verdict says what the difference means.
func (c *comparison) verdict() string {
	switch {
	case c.Half == nil:
		return "one day tells nothing; repeat"
	case c.Noise && c.Repeats > 0:
		return fmt.Sprintf("noise; about %d days would settle a difference of this size", c.Repeats)
	case c.Noise:
		return "no difference"
	}
	return "a difference"
}

// printCompare prints the paired differences of all policies from the first one.
func printCompare(w io.Writer, store *experiment.Store, metrics []string, asJSON bool) error {
	compared := comparisons(store, metrics)
	if asJSON {
		return json.NewEncoder(w).Encode(compared)
	}
	t := &table{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	for _, c := range compared {
		half := math.NaN()
		if c.Half != nil {
			half = *c.Half
		}
		t.row("%s less %s\t%s\t%.4g\t±%.2g\t%s", c.Other, c.First, c.Metric, c.Mean, half, c.verdict())
	}
	return t.flush()
}
