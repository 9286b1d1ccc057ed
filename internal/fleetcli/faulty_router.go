//go:build !router_only

package fleetcli

import (
	"os"

	"cresshub/internal/faultinject"
	"cresshub/internal/node"
	"cresshub/internal/nodesettings"
)

// faultyRouterCommand runs one process of the fleet with faults that lines on standard input put into it.
type faultyRouterCommand struct {
	routerCommand
	Fault []string `help:"Command that holds from the start; may be given several times." sep:"none"`
}

// Run serves until SIGTERM or SIGINT.
func (c *faultyRouterCommand) Run(o *output) error {
	faults := faultinject.New()
	for _, command := range c.Fault {
		if err := faults.Do(command); err != nil {
			o.code = exitMisused
			return err
		}
	}
	go func() { _ = faults.Obey(os.Stdin) }() // it ends with its parent's end of the pipe
	return c.serve(o, func(settings *nodesettings.Settings) []node.Option {
		return []node.Option{
			node.WithNetwork(faults.Network(settings.IP, settings.Front)), node.WithFiles(faults.Files()),
		}
	})
}
