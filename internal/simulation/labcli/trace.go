package labcli

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"cresshub/internal/proxy/cli"
	"cresshub/internal/simulation/experiment"
	"cresshub/internal/simulation/proxysim"
)

// newTrace is the command trace.
func newTrace() *cobra.Command {
	var o playFlags
	var request int
	c := &cobra.Command{
		Use: "trace FILE", Short: "Tell one request's life",
		Example: "  cresshub-lab trace hall-loss --request 3200 --seed 2",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			h, err := o.header(args[0])
			if err != nil {
				return err
			}
			if request < 1 {
				return cli.UsageErrorf("--request %d is out of range, they count from 1", request)
			}
			d, err := experiment.Play(h.Scenario, h.Set, experiment.Job{Policy: h.Policies[0], Seed: h.Seed, K: h.K,
				Lambda: h.Lambda},
				proxysim.Options{Trace: request})
			if err != nil {
				return err
			}
			if len(d.Result.Trace) == 0 {
				return fmt.Errorf("there is no request %d on that day", request)
			}
			_, err = fmt.Fprintln(c.OutOrStdout(), strings.Join(d.Result.Trace, "\n"))
			return err
		},
	}
	o.add(c)
	c.Flags().IntVar(&request, "request", 1, "its number in order of arrival, from 1")
	return c
}
