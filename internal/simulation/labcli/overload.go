package labcli

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"cresshub/internal/proxy/cli"
	"cresshub/internal/simulation/routersim"
)

// Bounds of the flags of overload.
const (
	maxLoad           = 10
	maxOverloadRepeat = 100
	maxClientRetries  = 10
	minStepLength     = time.Second
	maxStepLength     = 10 * time.Minute
)

// overloadFlags are the flags of the command overload.
type overloadFlags struct {
	policies   []string
	loads      []float64
	stepLength time.Duration
	retries    int
	repeat     int
	json       bool
	out        string
}

// overloadRun is what one policy did.
type overloadRun struct {
	Policy     string              `json:"policy"`
	Hysteresis float64             `json:"hysteresis"`
	Curve      routersim.LoadCurve `json:"curve"`
}

// newOverload is the command overload.
func newOverload() *cobra.Command {
	var o overloadFlags
	command := &cobra.Command{
		Use:   "overload",
		Short: "Play a router fleet while its load rises over capacity and falls again",
		Long: "Prints the value that the fleet earned at each load, as a multiple of what is offered at\n" +
			"capacity, while the load rose and while it fell. Hysteresis is the area between the two: 0 for a\n" +
			"fleet that serves as much after an overload as before. Policies:\n  " +
			strings.Join(overloadPolicyNames(), "\n  "),
		Example: "  cresshub-lab overload --client-retries 1 -o overload.svg",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			runs, err := o.run()
			if err != nil {
				return err
			}
			if err := o.print(command, runs); err != nil || o.out == "" {
				return err
			}
			svg, err := plotOverload(runs)
			if err != nil {
				return err
			}
			return writeFile(command.OutOrStdout(), o.out, svg)
		},
	}
	f := command.Flags()
	f.StringArrayVar(&o.policies, "policy", []string{routersim.Scheduler().Name},
		"which to play; may be repeated")
	f.Float64SliceVar(&o.loads, "loads", []float64{0.5, 0.75, 1, 1.25, 1.5, 1.75, 2}, "of capacity, rising")
	f.DurationVar(&o.stepLength, "step", 10*time.Second, "how long each load lasts")
	f.IntVar(&o.retries, "client-retries", 1, "how often a client sends a request again")
	f.IntVar(&o.repeat, "repeat", 4, "runs of each policy, of different seeds")
	f.BoolVar(&o.json, "json", false, "print one JSON array")
	f.StringVarP(&o.out, "out", "o", "", "SVG file of a plot")
	return command
}

// overloadPolicies returns the policies that can be played.
func overloadPolicies() []routersim.PolicyFactory {
	return append([]routersim.PolicyFactory{routersim.Scheduler()}, routersim.Baselines()...)
}

func overloadPolicyNames() (names []string) {
	for _, policy := range overloadPolicies() {
		names = append(names, policy.Name)
	}
	return names
}

// check returns what is wrong with the flags.
func (o *overloadFlags) check() error {
	if !o.loadsRise() {
		return cli.UsageErrorf("--loads takes two or more rising numbers above 0, %d at most", maxLoad)
	}
	if o.stepLength < minStepLength || o.stepLength > maxStepLength {
		return cli.UsageErrorf("--step %v is out of range, %v to %v is allowed", o.stepLength, minStepLength,
			maxStepLength)
	}
	if o.retries < 0 || o.retries > maxClientRetries {
		return cli.UsageErrorf("--client-retries %d is out of range, 0 to %d is allowed", o.retries,
			maxClientRetries)
	}
	if o.repeat < 1 || o.repeat > maxOverloadRepeat {
		return cli.UsageErrorf("--repeat %d is out of range, 1 to %d is allowed", o.repeat, maxOverloadRepeat)
	}
	return nil
}

// loadsRise reports whether there are two loads or more, each above the one before and none out of bounds.
func (o *overloadFlags) loadsRise() bool {
	previous := 0.0
	for _, load := range o.loads {
		if !(load > previous && load <= maxLoad) { // false for NaN too
			return false
		}
		previous = load
	}
	return len(o.loads) >= 2
}

// run plays the cycle with each policy.
func (o *overloadFlags) run() ([]overloadRun, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	all := overloadPolicies()
	cycle := routersim.LoadCycle{
		Scenario: o.scenario, Loads: o.loads, StepLength: o.stepLength, Seeds: uint64(o.repeat),
	}
	var runs []overloadRun
	for _, name := range o.policies {
		at := slices.IndexFunc(all, func(p routersim.PolicyFactory) bool { return p.Name == name })
		if at < 0 {
			return nil, cli.UsageErrorf("--policy %q is none of %s", name,
				strings.Join(overloadPolicyNames(), "; "))
		}
		curve := cycle.Play(all[at])
		runs = append(runs, overloadRun{name, curve.Hysteresis(), curve})
	}
	return runs, nil
}

// scenario returns the scenario of a seed.
func (o *overloadFlags) scenario(seed uint64) routersim.Scenario {
	scenario := routersim.Overload(seed)
	scenario.ClientRetries = o.retries
	return scenario
}

// print prints the curves, each with its hysteresis.
func (o *overloadFlags) print(command *cobra.Command, runs []overloadRun) error {
	if o.json {
		return printRows(command, true, runs, "", nil)
	}
	for _, run := range runs {
		_, err := fmt.Fprintf(command.OutOrStdout(), "%s: hysteresis %.3f\n", run.Policy, run.Hysteresis)
		if err != nil {
			return err
		}
		err = printRows(command, false, run.Curve,
			"load\tearned rising\tfalling\tfailed rising\tfalling\tprefilled rising\tfalling\t",
			func(t *table, p routersim.LoadPoint) {
				t.row("%.2f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t", p.Load, p.Rising.Earned, p.Falling.Earned,
					p.Rising.Failed, p.Falling.Failed, p.Rising.Prefilled, p.Falling.Prefilled)
			})
		if err != nil {
			return err
		}
	}
	return nil
}
