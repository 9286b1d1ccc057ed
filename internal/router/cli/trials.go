//go:build !router_only

package cli

import (
	"context"
	"errors"
	"fmt"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"cresshub/internal/testbed/routertrial"
)

// trialCommands run a small fleet on this machine. A program that is built with the tag router_only doesn't
// have them.
type trialCommands struct {
	Try  tryCommand  `cmd:"" help:"Try a small fleet on this machine, between stand-ins, and check the rules."`
	Soak soakCommand `cmd:"" help:"Soak a small fleet on this machine in overlapping faults drawn at random."`

	FaultyRouter faultyRouterCommand `cmd:"" hidden:""`
}

// noFault is the value of --trouble for a trial without a fault.
const noFault = "none"

// trialVars returns the names of the faults, for use in the struct tags of the flags.
func trialVars() kong.Vars {
	return kong.Vars{
		"troubles":    strings.Join(append([]string{noFault}, routertrial.Faults...), ","),
		"soak_faults": strings.Join(routertrial.SoakFaultNames(), ", "),
	}
}

// errInterrupted reports that a signal ended a trial.
var errInterrupted = errors.New(
	"interrupted; results shown cover the time until then; run it again for complete results")

// ruleViolationsError reports how often a trial violated rules.
type ruleViolationsError struct{ violations int }

func (e *ruleViolationsError) Error() string {
	return fmt.Sprintf("rules were broken %d times; the report above names them, --log FILE keeps the logs",
		e.violations)
}

// signalContext returns a context that is canceled by the first SIGINT, SIGTERM or SIGHUP.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
}
