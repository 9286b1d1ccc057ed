// Package cli is the command line: one root, its sub-commands, and how they end. A command that cannot be
// understood ends with 2, one that failed with 1, one that did what it was told with 0.
package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"cresshub/internal/proxy/config"
)

// usageError is a call that cannot be understood.
type usageError struct{ error }

func usageErrorf(format string, args ...any) error { return usageError{fmt.Errorf(format, args...)} }

// UsageErrorf is the error of a call that cannot be understood.
func UsageErrorf(format string, args ...any) error { return usageErrorf(format, args...) }

// errReported is a failure that the command has told in its own way.
var errReported = errors.New("told already")

// Main runs one call of the program and returns its exit status: 0 done, 1 failed, 2 wrong use.
func Main(args []string, signals <-chan os.Signal, stdout, stderr io.Writer) int {
	if len(args) == 0 && os.Getenv("EDGE_CONFIG") != "" {
		args = []string{"serve"} // as the platform starts it
	}
	return Execute(newRoot(signals), args, stdout, stderr)
}

// Execute runs one call of a tree of commands and returns its exit status. Errors are one line each on
// standard error.
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
		return 0
	case errors.Is(err, errReported):
		return 1
	case errors.As(err, &usage):
		fmt.Fprintf(stderr, "%s: %v; see \"%s --help\"\n", root.Name(), err, cmd.CommandPath())
		return 2
	}
	for line := range strings.SplitSeq(err.Error(), "\n") {
		fmt.Fprintf(stderr, "%s: %s\n", root.Name(), line)
	}
	return 1
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

// RejectBareGroups has a command that only holds others say so when it is called by itself or with a wrong
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
			c.Help()
			return usageErrorf("a command is missing")
		}
		hint := ""
		if near := c.SuggestionsFor(given[0]); len(near) > 0 {
			hint = "; did you mean " + strings.Join(near, " or ") + "?"
		}
		return usageErrorf("%q is no command%s", given[0], hint)
	}
}

// configFlags are the flags that say where a configuration comes from.
type configFlags struct {
	file, listen, discovery, name, level, format string
	set                                          []string
}

func (s *configFlags) register(c *cobra.Command) {
	f := c.Flags()
	f.StringVarP(&s.file, "config", "c", "", "configuration file (CRESSHUB_CONFIG)")
	f.StringVar(&s.listen, "listen", "", "host:port that clients connect to (listen.address)")
	f.StringVar(&s.discovery, "discovery", "", "host:port of discovery (discovery.address)")
	f.StringVar(&s.name, "name", "", "name of this instance (name)")
	f.StringVar(&s.level, "log-level", "", "debug, info, warn or error (log.level)")
	f.StringVar(&s.format, "log-format", "", "text or json (log.format)")
	f.StringArrayVar(&s.set, "set", nil, "KEY=VALUE for any key outside a list of tables; may be repeated")
}

// input is where the flags say a configuration is read from.
func (s *configFlags) input() (config.Input, error) {
	in := config.Input{File: s.file, Flags: map[string]string{}}
	for key, value := range map[string]string{
		"listen.address": s.listen, "discovery.address": s.discovery, "name": s.name, "log.level": s.level,
		"log.format": s.format,
	} {
		if value != "" {
			in.Flags[key] = value
		}
	}
	for _, pair := range s.set {
		key, value, ok := strings.Cut(pair, "=")
		if !ok {
			return in, usageErrorf("--set %q is no KEY=VALUE", pair)
		}
		in.Flags[key] = value
	}
	return in, nil
}

// printJSON writes one value on one line.
func printJSON(w io.Writer, v any) error { return json.NewEncoder(w).Encode(v) }
