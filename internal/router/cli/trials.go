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

// trialVars are the names of faults for the tags of the flags.
func trialVars() kong.Vars {
	return kong.Vars{
		"troubles":    strings.Join(append([]string{noFault}, routertrial.Faults...), ","),
		"soak_faults": strings.Join(routertrial.SoakFaultNames(), ", "),
	}
}

// errInterrupted reports that a signal ended a trial.
var errInterrupted = errors.New(
	"interrupted; what was measured until then is shown; run it again without an interrupt")

// rulesBrokenError reports how often a trial broke rules.
type rulesBrokenError struct{ breaks int }

func (e *rulesBrokenError) Error() string {
	return fmt.Sprintf("rules were broken %d times; see which above, and the logs with --log FILE", e.breaks)
}

// signalContext returns a context that ends with the first signal to end the program.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
}
