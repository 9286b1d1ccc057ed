//go:build !router_only

package cli

import (
	"fmt"
	"os"

	"cresshub/internal/router/agent"
	"cresshub/internal/router/agentsettings"
	"cresshub/internal/testbed/faultinject"
)

// faultyRouterCommand runs a process of the fleet with fault injection. Commands on standard input, one per
// line, control the faults.
type faultyRouterCommand struct {
	routerCommand
	Fault []string `help:"Command that holds from the start; may be given several times." sep:"none"`
}

// Run serves until SIGTERM or SIGINT.
func (c *faultyRouterCommand) Run(out *output) error {
	injector := faultinject.New()
	for _, command := range c.Fault {
		if err := injector.Do(command); err != nil {
			return &exitError{exitUsage, err}
		}
	}
	go func() {
		if err := injector.Obey(os.Stdin); err != nil {
			_, _ = fmt.Fprintf(out.stderr, "faults: %v\n", err) // if the write fails, the exit code still reports it
			// Without its faults, a trial must not appear to pass.
			os.Exit(exitUsage)
		}
	}()
	return c.serve(out, func(settings *agentsettings.Settings) []agent.Option {
		return []agent.Option{
			agent.WithNetwork(injector.Network(settings.IP, settings.Front)), agent.WithFiles(injector.Files()),
		}
	})
}
