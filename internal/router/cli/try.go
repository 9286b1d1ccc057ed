//go:build !router_only

package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"cresshub/internal/testbed/routerstandin"
	"cresshub/internal/testbed/routertrial"
)

// The bounds of what a trial may be asked for.
const (
	minTrySeconds = 1
	maxTrySeconds = 600
	maxTryRate    = 500
)

// trialCommands are the commands that a program of the router alone (tag router_only) does not have.
type trialCommands struct {
	Try  tryCommand  `cmd:"" help:"Try a small fleet on this machine, between stand-ins, and check the rules."`
	Soak soakCommand `cmd:"" help:"Soak a small fleet on this machine in overlapping troubles drawn by lot."`

	FaultyRouter faultyRouterCommand `cmd:"" hidden:""`
}

// tryCommand tries a small fleet on loopback.
type tryCommand struct {
	Trouble string  `help:"What happens in the middle: ${enum}." enum:"${troubles}" default:"none"`
	Seconds float64 `help:"How long clients send; a trouble may make it longer." default:"10"`
	Rate    float64 `help:"Requests a second of all clients together." default:"60"`
	Seed    uint64  `help:"Of the order of kinds and clients." default:"1"`
	JSON    bool    `help:"Print one JSON document."`
	Log     string  `help:"File for the logs of the processes." placeholder:"FILE"`
	Program string  `help:"Program that has the router role." hidden:""`
}

// noFault is the word for a trial without trouble.
const noFault = "none"

// trialVars are the words that --trouble takes.
func trialVars() kong.Vars {
	return kong.Vars{
		"troubles":      strings.Join(append([]string{noFault}, routertrial.Troubles...), ","),
		"soak_troubles": strings.Join(routertrial.TroubleNames(), ", "),
	}
}

// InterruptedError says that a trial was ended by a signal.
type InterruptedError struct{}

func (*InterruptedError) Error() string {
	return "interrupted; what was measured until then is shown; run it again without an interrupt"
}

// RulesBrokenError says how often a trial broke rules.
type RulesBrokenError struct{ Breaks int }

func (e *RulesBrokenError) Error() string {
	return fmt.Sprintf("rules were broken %d times; see which above, and the logs with --log FILE", e.Breaks)
}

// Run tries the fleet, and prints what came of it.
func (c *tryCommand) Run(o *output) error {
	options, err := c.options()
	if err != nil {
		o.code = exitUsage
		return err
	}
	if c.Log != "" {
		file, err := os.Create(c.Log)
		if err != nil {
			return err
		}
		defer file.Close()
		options.Log = file
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	line := newProgressLine(o.stderr, options.For)
	options.Live = line.show
	report, err := routertrial.Run(ctx, options)
	line.clear()
	if report != nil {
		if printErr := c.print(o.stdout, report); printErr != nil {
			return printErr
		}
	}
	if ctx.Err() != nil {
		return &InterruptedError{}
	}
	return trialError(report, err)
}

// trialError returns what a trial failed for, nil where all is well.
func trialError(report *routertrial.Report, err error) error {
	if err == nil && report.Broken() > 0 {
		return &RulesBrokenError{report.Broken()}
	}
	return err
}

func (c *tryCommand) options() (routertrial.Options, error) {
	options := routertrial.Options{Program: c.Program, For: time.Duration(c.Seconds * float64(time.Second)),
		Rate: c.Rate, Seed: c.Seed}
	if c.Trouble != noFault {
		options.Trouble = c.Trouble
	}
	switch {
	case !(c.Seconds >= minTrySeconds && c.Seconds <= maxTrySeconds):
		return options, fmt.Errorf("--seconds %g is out of range; give %d to %d", c.Seconds, minTrySeconds,
			maxTrySeconds)
	case !(c.Rate >= 1 && c.Rate <= maxTryRate):
		return options, fmt.Errorf("--rate %g is out of range; give 1 to %d", c.Rate, maxTryRate)
	}
	var err error
	if options.Program == "" {
		options.Program, err = os.Executable()
	}
	return options, err
}

func (c *tryCommand) print(out io.Writer, report *routertrial.Report) error {
	if !c.JSON {
		return printReport(out, report)
	}
	document, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s\n", document)
	return err
}

// printReport prints the tables of a trial.
func printReport(out io.Writer, r *routertrial.Report) error {
	for _, note := range r.Notes {
		fmt.Fprintln(out, note)
	}
	fmt.Fprintf(out, "\n%.1f s at %.0f requests a second\n", r.Seconds, r.Rate)
	for _, event := range r.Events {
		fmt.Fprintln(out, event)
	}
	for _, t := range []*table{kindsTable(r.Kinds), serversTable(r.Servers)} {
		fmt.Fprintln(out)
		if err := t.print(out); err != nil {
			return err
		}
	}
	for _, reason := range r.Reasons {
		fmt.Fprintf(out, "not served: %d x %s\n", reason.Count, reason.Text)
	}
	fmt.Fprintln(out)
	return rulesTable(r.Rules).print(out)
}

func kindsTable(kinds []routerstandin.KindTally) *table {
	t := newTable("KIND", "ASKED", "IN TIME", "LATE", "REFUSED", "FAILED", "P50", "P99")
	for _, k := range kinds {
		t.add(k.Kind, k.Asked, k.InTime, k.Late, k.Refused, k.Failed, milliseconds(k.P50), milliseconds(k.P99))
	}
	return t
}

func milliseconds(value float64) string { return fmt.Sprintf("%.0f ms", value) }

func serversTable(servers []routerstandin.ServerTally) *table {
	t := newTable("SERVER", "SERVICE", "ZONE", "STAGE", "CALLS", "READ", "RUN", "TURNED AWAY", "BROKEN OFF")
	for _, s := range servers {
		t.add(s.ID, s.Service, s.Zone, s.Stage, s.Arrivals, s.Reads, s.Runs, s.Rejected, s.Broken)
	}
	return t
}

func rulesTable(rules []routerstandin.Verdict) *table {
	t := newTable("RULE", "STATE")
	for _, rule := range rules {
		if rule.Breaks == 0 {
			t.add(rule.Rule, "kept")
			continue
		}
		t.add(rule.Rule, fmt.Sprintf("BROKEN %d times", rule.Breaks))
		for _, detail := range rule.Details {
			t.add("", detail)
		}
	}
	return t
}
