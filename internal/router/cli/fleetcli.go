// Package cli is the command line of the router fleet.
package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1 // the command was run and failed
	exitUsage    = 2 // the command line is wrong
	exitSettings = 3 // the settings are wrong
)

// commands are the sub-commands of the program.
type commands struct {
	Router routerCommand `cmd:"" help:"Run a process of the fleet; CRESSHUB_NODE_FILE names its settings."`
	Config configCommand `cmd:"" help:"Check an operator's configuration, or show the one in force."`

	Members membersCommand `cmd:"" help:"List the processes of the fleet."`
	Servers serversCommand `cmd:"" help:"List the servers that the fleet knows."`
	Late    lateCommand    `cmd:"" help:"Tell by their logs why answers of model services were late."`

	trialCommands
}

// commandsFor returns the commands that the arguments are parsed by. A process of the fleet knows its own
// only, for the others would cost it memory.
func commandsFor(arguments []string) any {
	if len(arguments) > 0 && arguments[0] == routerName {
		return &struct {
			Router routerCommand `cmd:"" help:"Run a process of the fleet; CRESSHUB_NODE_FILE names its settings."`
		}{}
	}
	return &commands{}
}

// isRouter tells whether a command runs a process of the fleet.
func isRouter(command string) bool { return command == routerName || command == faultyRouterName }

// The names of the commands that run a process of the fleet.
const (
	routerName       = "router"
	faultyRouterName = "faulty-router"
)

// output is where commands print, and the exit code they chose.
type output struct {
	stdout, stderr io.Writer
	code           int
	signals        <-chan os.Signal // of a process of the fleet, nil for other commands
}

// Main runs the command that the arguments name and returns the exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	result := &output{stdout: stdout, stderr: stderr}
	if len(arguments) > 0 && isRouter(arguments[0]) {
		result.signals = listenForSignals()
	}
	exited := -1
	parser, err := kong.New(commandsFor(arguments), kong.Name("cresshub-fleet"), kong.Writers(stdout, stderr),
		trialVars(),
		kong.Description("A router fleet for split prefill and decode."),
		kong.Exit(func(code int) { exited = code }), kong.UsageOnError())
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	context, err := parser.Parse(arguments)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if err := context.Run(result); err != nil {
		fmt.Fprintln(stderr, err)
		return max(result.code, exitFailed)
	}
	return result.code
}
