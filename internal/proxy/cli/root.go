// Package cli implements the command line of cresshub with Cobra: a root command and its subcommands, in a
// file for each. The exit status is 0 for success, 1 for a command that failed and 2 for wrong usage. Results
// go to standard output, with --json as one JSON value; errors go to standard error, one per line.
//
// The command line of the laboratory shares Execute, RejectBareGroups and UsageErrorf.
package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"cresshub/internal/proxy/config"
)

// usageError is the error of a command that is called with wrong arguments or flags.
type usageError struct{ error }

// UsageErrorf returns an error for wrong arguments or flags, for which Execute returns the exit status 2.
func UsageErrorf(format string, args ...any) error { return usageError{fmt.Errorf(format, args...)} }

// errReported is the error of a command that has printed the cause of its failure; Execute prints nothing.
var errReported = errors.New("already reported")

// Exit statuses.
const (
	exitSuccess = 0
	exitFailure = 1
	exitUsage   = 2
)

// Main runs the program with its arguments and returns its exit status.
func Main(args []string, signals <-chan os.Signal, stdout, stderr io.Writer) int {
	if len(args) == 0 && os.Getenv("EDGE_CONFIG") != "" {
		args = []string{"serve"} // the platform starts the proxy without arguments
	}
	return Execute(newRoot(signals), args, stdout, stderr)
}

// Execute runs the command of the tree that the arguments select, prints its errors to stderr and returns the
// exit status.
func Execute(root *cobra.Command, args []string, stdout, stderr io.Writer) int {
	RejectBareGroups(root)
	root.SilenceErrors, root.SilenceUsage = true, true
	root.CompletionOptions.DisableDefaultCmd = true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	cmd, err := root.ExecuteC()
	var usage usageError
	switch {
	case err == nil:
		return exitSuccess
	case errors.Is(err, errReported):
		return exitFailure
	case errors.As(err, &usage):
		root.PrintErrf("%s: %v; see \"%s --help\"\n", root.Name(), err, cmd.CommandPath())
		return exitUsage
	}
	for line := range strings.SplitSeq(err.Error(), "\n") {
		root.PrintErrf("%s: %s\n", root.Name(), line)
	}
	return exitFailure
}

func newRoot(signals <-chan os.Signal) *cobra.Command {
	root := &cobra.Command{
		Use:   "cresshub",
		Short: "A client proxy that chooses a server for each request by load reports and their age",
		Long: "cresshub runs beside one instance of an application, accepts its HTTP/1.1 requests and\n" +
			"forwards each to one of a fleet of zone servers. It chooses the server by load reports\n" +
			"and takes their age into account.\n\n" +
			"Without a command, and with EDGE_CONFIG set to the path of the platform's file, it serves.",
		Example: "  cresshub try --for 10s\n  cresshub config init cresshub.toml\n" +
			"  cresshub serve --config cresshub.toml",
	}
	root.AddCommand(newServe(signals), newTry(), newConfig(), newStandin(), newLab(), newRig(), newVersion(),
		newFleet(), newLedger(), newOwner(), newCompletion(root))
	return root
}

// RejectBareGroups makes wrong arguments usage errors, for a command and all its subcommands. A command that
// only groups others prints its help when it is called without a subcommand, and suggests similar subcommands
// for an unknown one.
func RejectBareGroups(c *cobra.Command) {
	for _, sub := range c.Commands() {
		RejectBareGroups(sub)
	}
	if !c.HasSubCommands() {
		if c.DisableFlagParsing {
			return
		}
		validate := c.Args
		c.Args = func(c *cobra.Command, args []string) error {
			if err := validate(c, args); err != nil {
				return usageError{err}
			}
			return nil
		}
		return
	}
	c.Args = cobra.ArbitraryArgs
	c.SuggestionsMinimumDistance = 2
	c.RunE = func(c *cobra.Command, args []string) error {
		if len(args) == 0 {
			c.SetOut(c.ErrOrStderr())
			if err := c.Help(); err != nil {
				return err
			}
			return UsageErrorf("a command is missing")
		}
		hint := ""
		if similar := c.SuggestionsFor(args[0]); len(similar) > 0 {
			hint = "; did you mean " + strings.Join(similar, " or ") + "?"
		}
		return UsageErrorf("%q is no command%s", args[0], hint)
	}
}

// configFlags are the flags that select the configuration file and override its keys.
type configFlags struct {
	file, listen, discovery, name, level, format string
	set                                          []string
}

func (f *configFlags) register(c *cobra.Command) {
	flags := c.Flags()
	flags.StringVarP(&f.file, "config", "c", "", "configuration file; default: the value of CRESSHUB_CONFIG")
	flags.StringVar(&f.listen, "listen", "", "host:port that clients connect to (key listen.address)")
	flags.StringVar(&f.discovery, "discovery", "", "host:port of the discovery service (key discovery.address)")
	flags.StringVar(&f.name, "name", "", "name of this instance (key name)")
	flags.StringVar(&f.level, "log-level", "", "lowest level logged: debug, info, warn or error (key log.level)")
	flags.StringVar(&f.format, "log-format", "", "format of log records: text or json (key log.format)")
	flags.StringArrayVar(&f.set, "set", nil, "KEY=VALUE for any key not in a list of tables; may be repeated")
}

// load reads the configuration that the flags select, and also returns its sources, for a reload.
func (f *configFlags) load() (*config.Config, config.Input, error) {
	in, err := f.input()
	if err != nil {
		return nil, in, err
	}
	cfg, err := config.Load(in)
	return cfg, in, err
}

// input returns the sources of the configuration that the flags select.
func (f *configFlags) input() (config.Input, error) {
	in := config.Input{File: f.file, Flags: map[string]string{}}
	for key, value := range map[string]string{
		"listen.address": f.listen, "discovery.address": f.discovery, "name": f.name, "log.level": f.level,
		"log.format": f.format,
	} {
		if value != "" {
			in.Flags[key] = value
		}
	}
	for _, pair := range f.set {
		key, value, ok := strings.Cut(pair, "=")
		if !ok {
			return in, UsageErrorf("--set %q is no KEY=VALUE", pair)
		}
		in.Flags[key] = value
	}
	return in, nil
}
