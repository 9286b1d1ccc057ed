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
	c := &cobra.Command{
		Use: "plot RESULT", Short: "Draw a metric over the swept key, or service over time",
		Example: "  cresshub-lab plot age.jsonl --metric mean_service_times --log-x -o age.svg",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			store, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			svg, err := store.Plot(metric, logX, logY)
			if err != nil {
				return err
			}
			return writeFile(c.OutOrStdout(), out, svg)
		},
	}
	f := c.Flags()
	f.StringVar(&metric, "metric", "service", strings.Join(experiment.MetricNames(), ", "))
	f.BoolVar(&logX, "log-x", false, "logarithmic over the key")
	f.BoolVar(&logY, "log-y", false, "logarithmic in the metric")
	f.StringVarP(&out, "out", "o", "-", "SVG file, - for standard output")
	return c
}

// newReport is the command report.
func newReport() *cobra.Command {
	var out string
	c := &cobra.Command{
		Use: "report RESULT", Short: "Write one HTML page: settings, tables, plots, what was broken",
		Example: "  cresshub-lab report hall.jsonl -o hall.html",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			store, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			var b bytes.Buffer
			if err := store.Report(&b); err != nil {
				return err
			}
			return writeFile(c.OutOrStdout(), out, b.Bytes())
		},
	}
	c.Flags().StringVarP(&out, "out", "o", "-", "HTML file, - for standard output")
	return c
}
