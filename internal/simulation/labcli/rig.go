package labcli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"cresshub/internal/proxy/cli"
	"cresshub/internal/testbed/clusterrig"
)

// newRig is the command rig.
func newRig() *cobra.Command {
	command := &cobra.Command{
		Use: "rig", Short: "Start several processes of the program, put faults between them, and check their views",
		Long: "A scenario is a file, or one of these that come with the program:\n  " +
			strings.Join(clusterrig.Shipped(), ", "),
		Example: "  cresshub rig run partition --plot partition.svg",
	}
	command.AddCommand(newRigRun(), newRigShow(), newRigLedger(), newRigOwner(), newRigLists(),
		newRigRestartStorm(), newRigSoak())
	return command
}

// newRigShow is the command rig show.
func newRigShow() *cobra.Command {
	return &cobra.Command{
		Use: "show NAME", Short: "Print a scenario's file", Example: "  cresshub rig show slow > mine.toml",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			raw, err := clusterrig.Text(args[0])
			if err != nil {
				return err
			}
			_, err = command.OutOrStdout().Write(raw)
			return err
		},
	}
}

// rigRunFlags are the flags of the command rig run.
type rigRunFlags struct {
	rig  rigFlags
	out  string
	plot string
	log  string
	set  []string
	seed uint64
}

// newRigRun is the command rig run.
func newRigRun() *cobra.Command {
	var r rigRunFlags
	command := &cobra.Command{
		Use: "run FILE", Short: "Play a scenario; ends with 1 where something expected did not come in time",
		Example: "  cresshub rig run kill --set members=10 --set repeat=5\n" +
			"  cresshub rig run slow -o slow.jsonl --plot slow.svg --json",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			report, err := r.run(args[0])
			if err != nil {
				return err
			}
			return printRig(command.OutOrStdout(), report, r.plot, r.rig.json)
		},
	}
	flagSet := command.Flags()
	flagSet.StringVar(&r.rig.program, "program", "",
		"path of the proxy; the one beside this program where empty")
	flagSet.StringVarP(&r.out, "out", "o", "", "file for the record of all views, JSON lines")
	flagSet.StringVar(&r.plot, "plot", "", "file for a plot of the views over time, SVG")
	flagSet.StringVar(&r.log, "log", "", "file for the logs of all members")
	flagSet.StringArrayVar(&r.set, "set", nil, "KEY=VALUE of the scenario; may be repeated")
	flagSet.Uint64Var(&r.seed, "seed", 1, "of losses and jitter")
	flagSet.BoolVar(&r.rig.json, "json", false, "print one JSON object")
	return command
}

// run plays a scenario, by its file or name, with real processes.
func (r *rigRunFlags) run(scenario string) (report *clusterrig.Report, err error) {
	keys, err := parseSet(r.set)
	if err != nil {
		return nil, err
	}
	sc, err := clusterrig.Load(scenario, keys)
	if err != nil {
		return nil, err
	}
	err = r.rig.run(func(ctx context.Context, options clusterrig.Options) error {
		options.Seed = r.seed
		if r.log != "" {
			file, err := os.Create(r.log)
			if err != nil {
				return err
			}
			defer file.Close()
			options.Log = file
		}
		var record io.Writer
		if r.out != "" {
			file, err := os.Create(r.out)
			if err != nil {
				return err
			}
			defer file.Close()
			record = file
		}
		report, err = clusterrig.Play(ctx, sc, options, record)
		return err
	})
	return report, err
}

// printRig writes the plot of a report, if a path is given, and prints the report. It is an error if
// something expected did not occur.
func printRig(w io.Writer, report *clusterrig.Report, plot string, asJSON bool) error {
	if plot != "" {
		file, err := os.Create(plot)
		if err != nil {
			return err
		}
		if err := report.Plot(file); err != nil {
			file.Close()
			return err
		}
		if err := file.Close(); err != nil {
			return err
		}
	}
	var err error
	if asJSON {
		err = json.NewEncoder(w).Encode(report)
	} else {
		err = report.Print(w)
	}
	if err == nil && report.Failures > 0 {
		err = fmt.Errorf("%d things expected did not come, or members were dead that were not", report.Failures)
	}
	return err
}

// proxyProgram finds the proxy beside this program, or on the path.
func proxyProgram() (string, error) {
	const name = "cresshub"
	if own, err := os.Executable(); err == nil {
		path := filepath.Join(filepath.Dir(own), name)
		if _, err := os.Stat(path); err == nil {
			return path, nil
		}
	}
	path, err := exec.LookPath(name)
	if err != nil {
		return "", fmt.Errorf("%s is neither beside this program nor on the path; --program names it", name)
	}
	return path, nil
}

// Bounds of the flags of rig ledger.
const (
	maxLedgerRate    = 1_000_000 // answers per second
	maxLedgerTime    = time.Hour
	maxLedgerEntries = 10_000_000
)

// newRigLedger is the command rig ledger.
func newRigLedger() *cobra.Command {
	var o clusterrig.MeasureOptions
	var asJSON bool
	command := &cobra.Command{
		Use: "ledger", Short: "Measure the ledger's replicas on this machine's disk: commits, entries, catching up",
		Example: "  cresshub rig ledger --rate 20000 --for 20s --entries 1000000", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if o.Rate < 1 || o.Rate > maxLedgerRate || o.For <= 0 || o.For > maxLedgerTime || o.Entries < 0 ||
				o.Entries > maxLedgerEntries {
				return cli.UsageErrorf("--rate 1 to %d, --for up to 1h and --entries 0 to %d are allowed",
					maxLedgerRate, maxLedgerEntries)
			}
			dir, err := os.MkdirTemp(o.Dir, "cresshub-ledger-")
			if err != nil {
				return err
			}
			defer removeTemp(dir)
			o.Dir = dir
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			r, err := clusterrig.Measure(ctx, o)
			if err != nil {
				return err
			}
			if asJSON {
				return r.JSON(command.OutOrStdout())
			}
			return r.Print(command.OutOrStdout())
		},
	}
	flagSet := command.Flags()
	flagSet.StringVar(&o.Dir, "dir", "",
		"folder on the disk to measure; the system's for temporary files where empty")
	flagSet.IntVar(&o.Rate, "rate", 20000, "answers counted a second")
	flagSet.DurationVar(&o.For, "for", 20*time.Second, "how long answers are counted")
	flagSet.IntVar(&o.Entries, "entries", 1_000_000, "log entries that a wiped replica catches up with")
	flagSet.BoolVar(&asJSON, "json", false, "print one JSON object")
	return command
}
