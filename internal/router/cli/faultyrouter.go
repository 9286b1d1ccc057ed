//go:build !router_only

package cli

import (
	"os"

	"cresshub/internal/router/agent"
	"cresshub/internal/router/agentsettings"
	"cresshub/internal/testbed/faultinject"
)

// faultyRouterCommand runs a process of the fleet with faults, which lines on standard input inject into it.
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
	go func() { _ = injector.Obey(os.Stdin) }() // a wrong command ends it, as does the parent
	return c.serve(out, func(settings *agentsettings.Settings) []agent.Option {
		return []agent.Option{
			agent.WithNetwork(injector.Network(settings.IP, settings.Front)), agent.WithFiles(injector.Files()),
		}
	})
}
