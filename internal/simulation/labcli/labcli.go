package labcli

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"slices"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"cresshub/internal/proxy/cli"
	"cresshub/internal/simulation/experiment"
	"cresshub/internal/simulation/proxysim"
)

// Main runs the command line args and returns its exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	root := &cobra.Command{
		Use:   "cresshub-lab",
		Short: "Try designs on an emulated fleet, at sizes that sockets don't reach",
		Long: "Plays scenarios in virtual time with the real decisions (policy module) and with rivals, says\n" +
			"how sure the figures are, and draws them. FILE is a scenario, or one of these that come with it:\n  " +
			strings.Join(experiment.Shipped(), ", "),
		Example: "  cresshub-lab run snowy-evening --policy module,two-choices --repeat 8",
	}
	root.AddCommand(newRun(), newSweep(), newCompare(), newPlot(), newReport(), newTrace(), newValidate(),
		newLoad(), newShow(), newDocs(), newDifference(), newRig(), newSwim(), newLists(), newOverload())
	return cli.Execute(root, args, stdout, stderr)
}

// maxRepeat is the most days for each policy.
const maxRepeat = 10000

// playFlags are the flags of the commands that run days.
type playFlags struct {
	policies []string
	set      []string
	seed     uint64
	repeat   int
	k        int
	lambda   float64
	jobs     int
	out      string
	json     bool
	strict   bool
}

// add defines the flags of a command.
func (o *playFlags) add(command *cobra.Command) {
	flagSet := command.Flags()
	flagSet.StringSliceVar(&o.policies, "policy", []string{"module"},
		"one or more of "+strings.Join(proxysim.Policies, ", ")+", or all")
	flagSet.StringArrayVar(&o.set, "set", nil, "KEY=VALUE of the scenario; may be repeated")
	flagSet.Uint64Var(&o.seed, "seed", 1, "of the first day; repeats count up from it")
	flagSet.IntVar(&o.repeat, "repeat", 4, "days for each policy, of different seeds")
	flagSet.IntVar(&o.k, "k", 2, "servers looked at by k-choices and li-k")
	flagSet.Float64Var(&o.lambda, "lambda", 0,
		"arrival rate that basic-li and li-k take a server to have; 0 is the true")
	flagSet.IntVar(&o.jobs, "jobs", 0, "days played at a time; 0 is one a processor")
	flagSet.StringVarP(&o.out, "out", "o", "", "result file, for plot and report")
	flagSet.BoolVar(&o.json, "json", false, "print one JSON object")
	flagSet.BoolVar(&o.strict, "strict", false, "the first break of a rule ends a day, and the command with 1")
}

// header returns the experiment that the flags describe, or what is wrong with them or the scenario.
func (o *playFlags) header(scenario string) (experiment.Header, error) {
	header := experiment.Header{Scenario: scenario, Seed: o.seed, Repeat: o.repeat, K: o.k, Lambda: o.lambda,
		Policies: o.policies}
	if len(o.policies) == 1 && o.policies[0] == "all" {
		header.Policies = proxysim.Policies
	}
	for _, policy := range header.Policies {
		if !slices.Contains(proxysim.Policies, policy) {
			return header, cli.UsageErrorf("--policy %q is none of %s", policy, strings.Join(proxysim.Policies, ", "))
		}
	}
	if o.repeat < 1 || o.repeat > maxRepeat {
		return header, cli.UsageErrorf("--repeat %d is out of range, 1 to %d is allowed", o.repeat, maxRepeat)
	}
	var err error
	if header.Set, err = parseSet(o.set); err != nil {
		return header, err
	}
	// Errors of the scenario are reported before anything is run.
	_, err = experiment.Load(scenario, header.Set)
	return header, err
}

// parseSet parses the values of the flag --set.
func parseSet(pairs []string) (map[string]string, error) {
	set := map[string]string{}
	for _, pair := range pairs {
		key, value, ok := strings.Cut(pair, "=")
		if !ok {
			return set, cli.UsageErrorf("--set %q is no KEY=VALUE", pair)
		}
		set[key] = value
	}
	return set, nil
}

// play runs the days of an experiment that are missing. An interrupt retains those that have ended.
func (o *playFlags) play(command *cobra.Command, header experiment.Header) (*experiment.Store, error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	store := &experiment.Store{Header: header}
	if o.out != "" {
		var err error
		if store, err = experiment.Open(o.out, header); err != nil {
			return nil, err
		}
		defer func() { _ = store.Close() }() // a failed write of a day is returned by Add
	}
	missing := store.Missing()
	show, end := progress(command.ErrOrStderr(), len(missing))
	defer end()
	err := experiment.PlayAll(ctx, header.Scenario, header.Set, missing, o.jobs, o.strict,
		func(day *experiment.RunResult) error {
			show()
			return store.Add(day)
		})
	if ctx.Err() != nil {
		where := "; with --out they would have been kept"
		if o.out != "" {
			where = "; the same call goes on from there"
		}
		return store, fmt.Errorf("interrupted with %d of %d days played%s", len(store.Days),
			len(header.Jobs()), where)
	}
	return store, err
}
