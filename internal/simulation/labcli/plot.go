package labcli

import (
	"bytes"
	"strings"

	"github.com/spf13/cobra"

	"cresshub/internal/simulation/experiment"
)

// newPlot is the command plot.
func newPlot() *cobra.Command {
	var metric, out string
	var logX, logY bool
	command := &cobra.Command{
		Use: "plot RESULT", Short: "Draw a metric over the swept key, or service over time",
		Example: "  cresshub-lab plot age.jsonl --metric mean_service_times --log-x -o age.svg",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			store, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			svg, err := store.Plot(metric, logX, logY)
			if err != nil {
				return err
			}
			return writeFile(command.OutOrStdout(), out, svg)
		},
	}
	flagSet := command.Flags()
	flagSet.StringVar(&metric, "metric", "service", strings.Join(experiment.MetricNames(), ", "))
	flagSet.BoolVar(&logX, "log-x", false, "logarithmic over the key")
	flagSet.BoolVar(&logY, "log-y", false, "logarithmic in the metric")
	flagSet.StringVarP(&out, "out", "o", "-", "SVG file, - for standard output")
	return command
}

// newReport is the command report.
func newReport() *cobra.Command {
	var out string
	command := &cobra.Command{
		Use: "report RESULT", Short: "Write one HTML page: settings, tables, plots, what was broken",
		Example: "  cresshub-lab report hall.jsonl -o hall.html",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			store, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			var b bytes.Buffer
			if err := store.Report(&b); err != nil {
				return err
			}
			return writeFile(command.OutOrStdout(), out, b.Bytes())
		},
	}
	command.Flags().StringVarP(&out, "out", "o", "-", "HTML file, - for standard output")
	return command
}
