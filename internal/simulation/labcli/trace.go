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
	var flags playFlags
	var request int
	command := &cobra.Command{
		Use: "trace FILE", Short: "Tell one request's life",
		Example: "  cresshub-lab trace hall-loss --request 3200 --seed 2",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			header, err := flags.header(args[0])
			if err != nil {
				return err
			}
			if request < 1 {
				return cli.UsageErrorf("--request %d is out of range, they count from 1", request)
			}
			job := experiment.Job{Policy: header.Policies[0], Seed: header.Seed, K: header.K, Lambda: header.Lambda}
			day, err := experiment.Play(header.Scenario, header.Set, job, proxysim.Options{Trace: request})
			if err != nil {
				return err
			}
			if len(day.Result.Trace) == 0 {
				return fmt.Errorf("there is no request %d on that day", request)
			}
			_, err = fmt.Fprintln(command.OutOrStdout(), strings.Join(day.Result.Trace, "\n"))
			return err
		},
	}
	flags.add(command)
	command.Flags().IntVar(&request, "request", 1, "its number in order of arrival, from 1")
	return command
}
