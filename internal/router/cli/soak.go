//go:build !router_only

package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"cresshub/internal/testbed/routertrial"
)

// soakCommand runs small fleets on loopback, one after the other, under random faults that a seed determines.
type soakCommand struct {
	Seeds   int      `help:"How many soaks, each with a seed of its own." default:"1"`
	First   uint64   `help:"Seed of the first; the same seed draws the same faults." default:"1"`
	Rounds  int      `help:"Rounds of overlapping faults of each soak." default:"4"`
	Rate    float64  `help:"Requests a second of all clients together." default:"60"`
	Large   bool     `help:"Twelve processes, six with a disk, in place of six and three."`
	Only    []string `help:"Draw only these faults: ${soak_faults}."`
	Logs    string   `help:"Folder for the logs of the processes, a file for each seed." placeholder:"DIR"`
	Level   string   `help:"Least level that the processes log." default:"info" enum:"debug,info"`
	JSON    bool     `help:"Print one JSON document a soak."`
	Program string   `help:"Program that has the router role." hidden:""`
}

// soaksFailedError reports how many soaks violated rules, and how many did not run to their end.
type soaksFailedError struct{ violating, incomplete, total int }

func (e *soaksFailedError) Error() string {
	var parts []string
	if e.violating > 0 {
		parts = append(parts, fmt.Sprintf("%d of %d soaks violated rules", e.violating, e.total))
	}
	if e.incomplete > 0 {
		parts = append(parts, fmt.Sprintf("%d of %d did not run to their end", e.incomplete, e.total))
	}
	return strings.Join(parts, ", ") + "; repeat one with --first SEED, --seeds 1 and --logs DIR"
}

// Run runs the soaks and prints the report of each. It returns an error if any soak did not run to its end or
// violated rules.
func (c *soakCommand) Run(out *output) error {
	ctx, stop := signalContext()
	defer stop()
	if c.Program == "" {
		var err error
		if c.Program, err = os.Executable(); err != nil {
			return err
		}
	}
	failed := soaksFailedError{total: c.Seeds}
	for i := range c.Seeds {
		seed := c.First + uint64(i)
		report, err := c.soak(ctx, seed)
		if ctx.Err() != nil {
			return errInterrupted
		}
		switch {
		case report != nil && report.Violations() > 0:
			failed.violating++
		case err != nil:
			failed.incomplete++
		}
		if printErr := c.print(out.stdout, seed, report, err); printErr != nil {
			return printErr
		}
	}
	if failed.violating+failed.incomplete > 0 {
		return &failed
	}
	return nil
}

// soak runs the soak of a seed.
func (c *soakCommand) soak(ctx context.Context, seed uint64) (*routertrial.SoakReport, error) {
	options := routertrial.SoakOptions{
		Program: c.Program, Seed: seed, Rounds: c.Rounds, Rate: c.Rate, OnlyFaults: c.Only, Large: c.Large,
		LogLevel: c.Level,
	}
	if c.Logs != "" {
		if err := os.MkdirAll(c.Logs, 0o755); err != nil {
			return nil, err
		}
		file, err := os.Create(filepath.Join(c.Logs, fmt.Sprintf("soak-%d.log", seed)))
		if err != nil {
			return nil, err
		}
		defer file.Close()
		options.Log = file
	}
	return routertrial.Soak(ctx, options)
}

// print prints the report of a seed, which is nil if there is none, and the error of its run. The JSON
// document does not contain that error, so with --json print returns it.
func (c *soakCommand) print(out io.Writer, seed uint64, report *routertrial.SoakReport, runErr error) error {
	switch {
	case report == nil:
		_, err := fmt.Fprintf(out, "seed %d: not run: %v\n", seed, runErr)
		return err
	case c.JSON:
		return errors.Join(printSoakJSON(out, report), runErr)
	case runErr == nil && report.Violations() == 0:
		_, _ = io.WriteString(out, soakSummary(seed, report)) // if the write fails, the exit code still reports it
		return nil
	}
	return printFailedSoak(out, seed, report, runErr)
}

func printSoakJSON(out io.Writer, report *routertrial.SoakReport) error {
	document, err := json.Marshal(report)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s\n", document)
	return err
}

// soakSummary is one line on the soak of a seed.
func soakSummary(seed uint64, report *routertrial.SoakReport) string {
	total := &report.Total
	verdicts := &report.Verdicts
	return fmt.Sprintf("seed %d: %.0f s, asked %d, served %d, rejected %d, failed %d; servers: %d marked lost, "+
		"%d ejected, %d calls timed out; %s\n", seed, report.Seconds, total.Asked, total.Served(), total.Rejected,
		total.Failed, verdicts.MarkedLost, verdicts.Ejected, verdicts.TimedOut, injectedFaults(report))
}

// printFailedSoak prints the summary, the events and the rules of a soak that violated rules, or whose run
// ended with an error.
func printFailedSoak(out io.Writer, seed uint64, report *routertrial.SoakReport, runErr error) error {
	text := bytes.NewBufferString(soakSummary(seed, report))
	if runErr != nil {
		fmt.Fprintf(text, "  did not run to its end: %v\n", runErr)
	}
	for _, event := range report.Events {
		fmt.Fprintln(text, "  "+event)
	}
	if err := rulesTable(report.Rules).print(text); err != nil {
		return err
	}
	_, err := text.WriteTo(out)
	return err
}

// injectedFaults lists how often each fault was injected.
func injectedFaults(report *routertrial.SoakReport) string {
	var counts []string
	for _, name := range slices.Sorted(maps.Keys(report.Injected)) {
		counts = append(counts, fmt.Sprintf("%s %d", name, report.Injected[name]))
	}
	return strings.Join(counts, ", ")
}
