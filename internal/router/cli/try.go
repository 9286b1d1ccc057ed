//go:build !router_only

package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"cresshub/internal/testbed/routertrial"
)

// Bounds of the values of --seconds and --rate.
const (
	minTrySeconds = 1
	maxTrySeconds = 600
	maxTryRate    = 500
)

// tryCommand runs a small fleet on loopback for some seconds, with at most one fault.
type tryCommand struct {
	Fault string `name:"trouble" help:"What happens in the middle: ${enum}." enum:"${troubles}" default:"none"`

	Seconds float64 `help:"How long clients send; a fault may make it longer." default:"10"`
	Rate    float64 `help:"Requests a second of all clients together." default:"60"`
	Seed    uint64  `help:"Of the order of kinds and clients." default:"1"`
	JSON    bool    `help:"Print one JSON document."`
	Log     string  `help:"File for the logs of the processes." placeholder:"FILE"`
	Program string  `help:"Program that has the router role." hidden:""`
}

// Run runs the trial and prints its report. It returns an error if the trial did not run to its end
// or violated rules.
func (c *tryCommand) Run(out *output) error {
	options, err := c.options()
	if err != nil {
		return &exitError{exitUsage, err}
	}
	if c.Log != "" {
		file, err := os.Create(c.Log)
		if err != nil {
			return err
		}
		defer file.Close()
		options.Log = file
	}
	ctx, stop := signalContext()
	defer stop()
	progress := newProgressLine(out.stderr, options.Duration)
	options.OnProgress = progress.show
	report, err := routertrial.Run(ctx, options)
	progress.clear()
	if report != nil {
		if printErr := c.print(out.stdout, report); printErr != nil {
			return printErr
		}
	}
	if ctx.Err() != nil {
		return errInterrupted
	}
	return trialError(report, err)
}

// trialError returns why a trial failed, given the error of its run, or nil if the trial succeeded.
func trialError(report *routertrial.Report, err error) error {
	if err == nil && report.Violations() > 0 {
		return &ruleViolationsError{report.Violations()}
	}
	return err
}

// options returns the options of the trial that the flags ask for.
func (c *tryCommand) options() (routertrial.Options, error) {
	options := routertrial.Options{
		Program: c.Program, Duration: time.Duration(c.Seconds * float64(time.Second)), Rate: c.Rate, Seed: c.Seed,
	}
	if c.Fault != noFault {
		options.Fault = c.Fault
	}
	switch { // negated so that NaN is out of range
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
