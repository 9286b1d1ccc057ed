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

func newRig() *cobra.Command {
	c := &cobra.Command{
		Use: "rig", Short: "Start several processes of the program, put faults between them, and check their views",
		Long: "A scenario is a file, or one of these that come with the program:\n  " +
			strings.Join(clusterrig.Shipped(), ", "),
		Example: "  cresshub rig run partition --plot partition.svg",
	}
	c.AddCommand(newRigRun(), newRigShow(), newRigLedger(), newRigOwner(), newRigLists(), newRigHerd(),
		newRigSoak())
	return c
}

func newRigShow() *cobra.Command {
	return &cobra.Command{
		Use: "show NAME", Short: "Print a scenario's file", Example: "  cresshub rig show slow > mine.toml",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			raw, err := clusterrig.Text(args[0])
			if err != nil {
				return err
			}
			_, err = c.OutOrStdout().Write(raw)
			return err
		},
	}
}

func newRigRun() *cobra.Command {
	var program, out, plot, log string
	var set []string
	var asJSON bool
	var seed uint64
	c := &cobra.Command{
		Use: "run FILE", Short: "Play a scenario; ends with 1 where something expected did not come in time",
		Example: "  cresshub rig run kill --set members=10 --set repeat=5\n" +
			"  cresshub rig run slow -o slow.jsonl --plot slow.svg --json",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			keys := map[string]string{}
			for _, pair := range set {
				key, value, ok := strings.Cut(pair, "=")
				if !ok {
					return cli.UsageErrorf("--set %q is no KEY=VALUE", pair)
				}
				keys[key] = value
			}
			sc, err := clusterrig.Load(args[0], keys)
			if err != nil {
				return err
			}
			o := clusterrig.Options{Program: program, Seed: seed}
			if o.Program == "" {
				if o.Program, err = proxyProgram(); err != nil {
					return err
				}
			}
			if o.Dir, err = os.MkdirTemp("", "cresshub-rig-"); err != nil {
				return err
			}
			defer os.RemoveAll(o.Dir)
			if log != "" {
				f, err := os.Create(log)
				if err != nil {
					return err
				}
				defer f.Close()
				o.Log = f
			}
			var rec io.Writer
			if out != "" {
				f, err := os.Create(out)
				if err != nil {
					return err
				}
				defer f.Close()
				rec = f
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			rep, err := clusterrig.Play(ctx, sc, o, rec)
			if err != nil {
				return err
			}
			return printRig(c.OutOrStdout(), rep, plot, asJSON)
		},
	}
	f := c.Flags()
	f.StringVar(&program, "program", "", "path of the proxy; the one beside this program where empty")
	f.StringVarP(&out, "out", "o", "", "file for the record of all views, JSON lines")
	f.StringVar(&plot, "plot", "", "file for a plot of the views over time, SVG")
	f.StringVar(&log, "log", "", "file for the logs of all members")
	f.StringArrayVar(&set, "set", nil, "KEY=VALUE of the scenario; may be repeated")
	f.Uint64Var(&seed, "seed", 1, "of losses and jitter")
	f.BoolVar(&asJSON, "json", false, "print one JSON object")
	return c
}

func printRig(w io.Writer, rep *clusterrig.Report, plot string, asJSON bool) error {
	if plot != "" {
		f, err := os.Create(plot)
		if err != nil {
			return err
		}
		if err := rep.Plot(f); err != nil {
			f.Close()
			return err
		}
		if err := f.Close(); err != nil {
			return err
		}
	}
	var err error
	if asJSON {
		err = json.NewEncoder(w).Encode(rep)
	} else {
		err = rep.Print(w)
	}
	if err == nil && rep.Failures > 0 {
		err = fmt.Errorf("%d things expected did not come, or members were dead that were not", rep.Failures)
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

func newRigLedger() *cobra.Command {
	var o clusterrig.MeasureOptions
	var asJSON bool
	c := &cobra.Command{
		Use: "ledger", Short: "Measure the ledger's replicas on this machine's disk: commits, entries, catching up",
		Example: "  cresshub rig ledger --rate 20000 --for 20s --entries 1000000", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if o.Rate < 1 || o.Rate > 1_000_000 || o.For <= 0 || o.For > time.Hour || o.Entries < 0 ||
				o.Entries > 10_000_000 {
				return cli.UsageErrorf("--rate 1 to 1000000, --for up to 1h and --entries 0 to 10000000 are allowed")
			}
			dir, err := os.MkdirTemp(o.Dir, "cresshub-ledger-")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			o.Dir = dir
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			r, err := clusterrig.Measure(ctx, o)
			if err != nil {
				return err
			}
			if asJSON {
				return r.JSON(c.OutOrStdout())
			}
			return r.Print(c.OutOrStdout())
		},
	}
	f := c.Flags()
	f.StringVar(&o.Dir, "dir", "", "folder on the disk to measure; the system's for temporary files where empty")
	f.IntVar(&o.Rate, "rate", 20000, "answers counted a second")
	f.DurationVar(&o.For, "for", 20*time.Second, "how long answers are counted")
	f.IntVar(&o.Entries, "entries", 1_000_000, "log entries that a wiped replica catches up with")
	f.BoolVar(&asJSON, "json", false, "print one JSON object")
	return c
}
