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

// soakCommand runs small fleets on loopback, one after the other, under faults drawn by a seed.
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

// soaksFailedError reports how many soaks broke rules, and how many could not be played to their end.
type soaksFailedError struct{ broken, unplayed, total int }

func (e *soaksFailedError) Error() string {
	var parts []string
	if e.broken > 0 {
		parts = append(parts, fmt.Sprintf("%d of %d soaks broke rules", e.broken, e.total))
	}
	if e.unplayed > 0 {
		parts = append(parts, fmt.Sprintf("%d of %d could not be played to their end", e.unplayed, e.total))
	}
	return strings.Join(parts, ", ") + "; play one again with --first SEED, --seeds 1 and --logs DIR"
}

// Run runs the soaks and prints the report of each. It fails if any could not be run to its end or broke
// rules.
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
			failed.broken++
		case err != nil:
			failed.unplayed++
		}
		if printErr := c.print(out.stdout, seed, report, err); printErr != nil {
			return printErr
		}
	}
	if failed.broken+failed.unplayed > 0 {
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

// print prints the report of a seed, nil if there is none, and the error of its run. As JSON it returns that
// error too, which the document doesn't have.
func (c *soakCommand) print(out io.Writer, seed uint64, report *routertrial.SoakReport, runErr error) error {
	switch {
	case report == nil:
		_, err := fmt.Fprintf(out, "seed %d: not played: %v\n", seed, runErr)
		return err
	case c.JSON:
		return errors.Join(printSoakJSON(out, report), runErr)
	case runErr == nil && report.Violations() == 0:
		_, _ = io.WriteString(out, soakSummary(seed, report)) // if nobody reads it, the exit code still says so
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
		total.Failed, verdicts.MarkedLost, verdicts.Ejected, verdicts.TimedOut, playedFaults(report))
}

// printFailedSoak prints the summary, the events and the rules of a soak that broke rules, or whose run ended
// with an error.
func printFailedSoak(out io.Writer, seed uint64, report *routertrial.SoakReport, runErr error) error {
	text := bytes.NewBufferString(soakSummary(seed, report))
	if runErr != nil {
		fmt.Fprintf(text, "  not played to its end: %v\n", runErr)
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

// playedFaults lists how often each fault was injected.
func playedFaults(report *routertrial.SoakReport) string {
	var played []string
	for _, name := range slices.Sorted(maps.Keys(report.Injected)) {
		played = append(played, fmt.Sprintf("%s %d", name, report.Injected[name]))
	}
	return strings.Join(played, ", ")
}
