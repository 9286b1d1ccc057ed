// Package cli is the command line of cresshub: a root command and its sub-commands, in a file for each
// (Cobra). The exit status is 0 for success, 1 for a command that failed and 2 for one that is used wrongly.
// Results go to standard output, with --json as one JSON value; errors are one line each on standard error.
//
// The laboratory's command line shares Execute, RejectBareGroups and UsageErrorf.
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

// usageError is the error of a command that is used wrongly.
type usageError struct{ error }

// UsageErrorf returns the error of a command that is used wrongly, which ends with exitUsage.
func UsageErrorf(format string, args ...any) error { return usageError{fmt.Errorf(format, args...)} }

// errReported is the error of a command that has printed its failure itself.
var errReported = errors.New("already reported")

// The exit statuses.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// Main runs the program with its arguments and returns its exit status.
func Main(args []string, signals <-chan os.Signal, stdout, stderr io.Writer) int {
	if len(args) == 0 && os.Getenv("EDGE_CONFIG") != "" {
		args = []string{"serve"} // the platform gives no arguments
	}
	return Execute(newRoot(signals), args, stdout, stderr)
}

// Execute runs a tree of commands with arguments, prints the errors and returns the exit status.
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
		return exitDone
	case errors.Is(err, errReported):
		return exitFailed
	case errors.As(err, &usage):
		root.PrintErrf("%s: %v; see \"%s --help\"\n", root.Name(), err, cmd.CommandPath())
		return exitUsage
	}
	for line := range strings.SplitSeq(err.Error(), "\n") {
		root.PrintErrf("%s: %s\n", root.Name(), line)
	}
	return exitFailed
}

func newRoot(signals <-chan os.Signal) *cobra.Command {
	root := &cobra.Command{
		Use:   "cresshub",
		Short: "A client proxy that chooses a server for each request from load reports and their age",
		Long: "cresshub stands beside one copy of an application, takes its HTTP/1.1 requests and\n" +
			"passes each to one of a fleet of zone servers. It decides from old load reports, read by\n" +
			"their age.\n\n" +
			"Called without a command, it serves where EDGE_CONFIG names the platform's file.",
		Example: "  cresshub try --for 10s\n  cresshub config init cresshub.toml\n" +
			"  cresshub serve --config cresshub.toml",
	}
	root.AddCommand(newServe(signals), newTry(), newConfig(), newStandin(), newLab(), newRig(), newVersion(),
		newFleet(), newLedger(), newOwner(), newCompletion(root))
	return root
}

// RejectBareGroups makes wrong arguments usage errors, for a command and all below it. A command that only
// groups others has its help printed when it is called by itself, and suggests one of them for an unknown
// word.
func RejectBareGroups(c *cobra.Command) {
	for _, sub := range c.Commands() {
		RejectBareGroups(sub)
	}
	if !c.HasSubCommands() {
		if c.DisableFlagParsing {
			return
		}
		args := c.Args
		c.Args = func(c *cobra.Command, given []string) error {
			if err := args(c, given); err != nil {
				return usageError{err}
			}
			return nil
		}
		return
	}
	c.Args = cobra.ArbitraryArgs
	c.SuggestionsMinimumDistance = 2
	c.RunE = func(c *cobra.Command, given []string) error {
		if len(given) == 0 {
			c.SetOut(c.ErrOrStderr())
			if err := c.Help(); err != nil {
				return err
			}
			return UsageErrorf("a command is missing")
		}
		hint := ""
		if near := c.SuggestionsFor(given[0]); len(near) > 0 {
			hint = "; did you mean " + strings.Join(near, " or ") + "?"
		}
		return UsageErrorf("%q is no command%s", given[0], hint)
	}
}

// configFlags are the flags that select and override the configuration.
type configFlags struct {
	file, listen, discovery, name, level, format string
	set                                          []string
}

func (f *configFlags) register(c *cobra.Command) {
	set := c.Flags()
	set.StringVarP(&f.file, "config", "c", "", "configuration file (CRESSHUB_CONFIG)")
	set.StringVar(&f.listen, "listen", "", "host:port that clients connect to (listen.address)")
	set.StringVar(&f.discovery, "discovery", "", "host:port of discovery (discovery.address)")
	set.StringVar(&f.name, "name", "", "name of this instance (name)")
	set.StringVar(&f.level, "log-level", "", "debug, info, warn or error (log.level)")
	set.StringVar(&f.format, "log-format", "", "text or json (log.format)")
	set.StringArrayVar(&f.set, "set", nil, "KEY=VALUE for any key outside a list of tables; may be repeated")
}

// load reads the configuration that the flags select, and returns its sources for reading it again.
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
