package labcli

import (
	"encoding/json"
	"maps"
	"strings"

	"github.com/spf13/cobra"

	"cresshub/internal/proxy/cli"
	"cresshub/internal/simulation/experiment"
)

// newSweep is the command sweep.
func newSweep() *cobra.Command {
	var flags playFlags
	var over []string
	command := &cobra.Command{
		Use: "sweep FILE", Short: "Play a scenario over one or two keys",
		Long: "Plays every policy at every value, or pair of values. With --out, each day is written as it\n" +
			"ends, and the same call after an interrupt goes on with those that are missing.",
		Example: "  cresshub-lab sweep queues --over reports.delay=0.1,1,10,40 --set reports.model=periodic \\\n" +
			"    --policy random,two-choices,basic-li -o age.jsonl",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			header, err := flags.header(args[0])
			if err != nil {
				return err
			}
			if header.Over, err = parseAxes(over); err != nil {
				return err
			}
			if err := checkJobs(header); err != nil {
				return err
			}
			store, err := flags.play(command, header)
			if err != nil {
				return err
			}
			if flags.json {
				report := sweepReport{Header: store.Header}
				report.Head, report.Rows = store.Table(experiment.MetricNames())
				return json.NewEncoder(command.OutOrStdout()).Encode(report)
			}
			return printTable(command.OutOrStdout(), store)
		},
	}
	flags.add(command)
	command.Flags().StringArrayVar(&over, "over", nil, "KEY=VALUE,VALUE,...; may be given twice")
	return command
}

// sweepReport is what sweep prints as JSON: the experiment, and a table of all metrics.
type sweepReport struct {
	Head   []string          `json:"head"`
	Header experiment.Header `json:"header"`
	Rows   [][]string        `json:"rows"`
}

// parseAxes parses the values of the flag --over.
func parseAxes(over []string) (axes []experiment.Axis, err error) {
	if len(over) < 1 || len(over) > 2 {
		return nil, cli.UsageErrorf("--over is wanted once or twice")
	}
	for _, axis := range over {
		key, values, ok := strings.Cut(axis, "=")
		if !ok || values == "" {
			return nil, cli.UsageErrorf("--over %q is no KEY=VALUE,VALUE", axis)
		}
		axes = append(axes, experiment.Axis{Key: key, Values: strings.Split(values, ",")})
	}
	return axes, nil
}

// checkJobs validates the scenario of each job, before hours are spent on some of them.
func checkJobs(h experiment.Header) error {
	for _, j := range h.Jobs() {
		set := maps.Clone(h.Set)
		maps.Copy(set, j.Set)
		if _, err := experiment.Load(h.Scenario, set); err != nil {
			return err
		}
	}
	return nil
}
