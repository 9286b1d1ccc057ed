// Package cli is the command line of the router fleet, cresshub-fleet.
//
// Each command is a struct that kong fills from the arguments: its fields are the flags, under names that
// kong derives from the names of the fields. Its method Run does the work and prints to the output it is
// given.
//
//   - router runs a process of the fleet.
//   - config, members, servers and late inspect a configuration, a running fleet or its logs.
//   - try and soak start a small fleet between stand-ins and check its rules. A program that is built with
//     the tag router_only leaves them out, and with them the stand-ins.
//
// Commands exit with 0, 1 if they failed, 2 if the command line is wrong, 3 if the settings are wrong.
package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes besides 0.
const (
	exitFailed   = 1 // the command was run and failed
	exitUsage    = 2 // the command line is wrong
	exitSettings = 3 // the settings of a process are wrong
)

// The names of the commands that run a process of the fleet.
const (
	routerName       = "router"
	faultyRouterName = "faulty-router"
)

// commands are the commands of the program.
type commands struct {
	routerCommands

	Config configCommand `cmd:"" help:"Check an operator's configuration, or show the one in force."`

	Members membersCommand `cmd:"" help:"List the processes of the fleet."`
	Servers serversCommand `cmd:"" help:"List the servers that the fleet knows."`
	Late    lateCommand    `cmd:"" help:"Tell by their logs why answers of model services were late."`

	trialCommands
}

// routerCommands is the only command of a process of the fleet.
type routerCommands struct {
	Router routerCommand `cmd:"" help:"Run a process of the fleet; CRESSHUB_NODE_FILE names its settings."`
}

// commandsFor returns the commands by which the arguments are parsed. A process of the fleet parses its own
// only, to save the memory of the others.
func commandsFor(arguments []string) any {
	if len(arguments) > 0 && arguments[0] == routerName {
		return &routerCommands{}
	}
	return &commands{}
}

// isRouter reports whether a command runs a process of the fleet.
func isRouter(command string) bool { return command == routerName || command == faultyRouterName }

// output is where a command prints, and the exit code that it sets.
type output struct {
	stdout, stderr io.Writer
	code           int              // of a command that fails, 0 for exitFailed
	signals        <-chan os.Signal // to a process of the fleet, nil for other commands
}

// Main runs the command that the arguments name, without the program's own name, and returns the exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	result := &output{stdout: stdout, stderr: stderr}
	if len(arguments) > 0 && isRouter(arguments[0]) {
		result.signals = listenForSignals()
	}
	exitedWith := -1 // by kong itself, after --help
	parser, err := kong.New(commandsFor(arguments), kong.Name("cresshub-fleet"), kong.Writers(stdout, stderr),
		trialVars(),
		kong.Description("A router fleet for split prefill and decode."),
		kong.Exit(func(code int) { exitedWith = code }), kong.UsageOnError())
	if err != nil {
		return exitWith(exitUsage, err, stderr)
	}
	parsed, err := parser.Parse(arguments)
	if exitedWith >= 0 {
		return exitedWith
	}
	if err != nil {
		return exitWith(exitUsage, err, stderr)
	}
	if err := parsed.Run(result); err != nil {
		return exitWith(max(result.code, exitFailed), err, stderr)
	}
	return result.code
}

// exitWith prints an error and returns the exit code.
func exitWith(code int, err error, stderr io.Writer) int {
	_, _ = fmt.Fprintln(stderr, err) // if nobody reads it, the exit code still says that the command failed
	return code
}
