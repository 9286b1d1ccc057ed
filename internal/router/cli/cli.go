// Package cli is the command line of the router fleet, cresshub-fleet.
//
// Each command is a struct that kong fills from the arguments: its fields are the flags, under names that
// kong derives from the names of the fields. Its method Run executes the command and prints to the output
// that it is given.
//
//   - router runs a process of the fleet.
//   - config, members, servers and late inspect a configuration, a running fleet or its logs.
//   - try and soak start a small fleet between simulated clients and servers and check its rules. A program
//     that is built with the tag router_only has neither these commands nor the simulation.
//
// Commands exit with 0 on success, 1 if they failed, 2 if the command line is invalid, 3 if the settings are
// invalid.
package cli

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes besides 0.
const (
	exitFailed   = 1 // the command ran and failed
	exitUsage    = 2 // the command line is invalid
	exitSettings = 3 // the settings of a process are invalid
)

// The names of the commands that run a process of the fleet.
const (
	routerName       = "router"
	faultyRouterName = "faulty-router"
)

// commands are all commands of the program.
type commands struct {
	routerCommands

	Config configCommand `cmd:"" help:"Check an operator's configuration, or show the one in force."`

	Members membersCommand `cmd:"" help:"List the processes of the fleet."`
	Servers serversCommand `cmd:"" help:"List the servers that the fleet knows."`
	Late    lateCommand    `cmd:"" help:"Tell by their logs why answers of model services were late."`

	trialCommands
}

// routerCommands holds the only command that a process of the fleet needs.
type routerCommands struct {
	Router routerCommand `cmd:"" help:"Run a process of the fleet; CRESSHUB_NODE_FILE names its settings."`
}

// commandsFor returns the commands for the parser of the arguments. For a process of the fleet these are only
// its own, which saves the memory that the parser needs for the others.
func commandsFor(arguments []string) any {
	if len(arguments) > 0 && arguments[0] == routerName {
		return &routerCommands{}
	}
	return &commands{}
}

// isRouter reports whether a command runs a process of the fleet.
func isRouter(command string) bool { return command == routerName || command == faultyRouterName }

// output is where a command prints.
type output struct {
	stdout, stderr io.Writer
	signals        <-chan os.Signal // received by a process of the fleet, nil for other commands
}

// exitError is an error of a command with the exit code of the program. After other errors the program exits
// with exitFailed.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

// Main runs the command that the arguments name and returns the exit code. The arguments do not include the
// name of the program.
func Main(arguments []string, stdout, stderr io.Writer) int {
	out := &output{stdout: stdout, stderr: stderr}
	if len(arguments) > 0 && isRouter(arguments[0]) {
		out.signals = listenForSignals()
	}
	kongExitCode := -1 // not negative once kong asked to exit, as it does after --help
	parser, err := newParser(arguments, out, func(code int) { kongExitCode = code })
	if err != nil {
		return printError(stderr, &exitError{exitUsage, err})
	}
	parsed, err := parser.Parse(arguments)
	if kongExitCode >= 0 {
		return kongExitCode
	}
	if err != nil {
		return printError(stderr, &exitError{exitUsage, err})
	}
	if err := parsed.Run(out); err != nil {
		return printError(stderr, err)
	}
	return 0
}

// newParser returns the parser of the arguments. The parser calls exit where kong would end the program.
func newParser(arguments []string, out *output, exit func(code int)) (*kong.Kong, error) {
	return kong.New(commandsFor(arguments),
		kong.Name("cresshub-fleet"),
		kong.Description("A router fleet for split prefill and decode."),
		kong.Writers(out.stdout, out.stderr),
		trialVars(),
		kong.Exit(exit),
		kong.UsageOnError())
}

// printError prints an error and returns its exit code.
func printError(stderr io.Writer, err error) int {
	_, _ = fmt.Fprintln(stderr, err) // if the write fails, the exit code still reports the error
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return exitFailed
}
