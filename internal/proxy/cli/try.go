package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"sync/atomic"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"
	"github.com/vbauerster/mpb/v8"
	"github.com/vbauerster/mpb/v8/decor"

	"cresshub/internal/testbed/proxystandin"
	"cresshub/internal/testbed/proxytrial"
)

func newTry() *cobra.Command {
	var asJSON bool
	var logFile string
	var o proxytrial.Options
	c := &cobra.Command{
		Use:   "try",
		Short: "Try the proxy on this machine against stand-in servers",
		Long: "Starts a discovery and zone servers that stand in for real ones, one proxy as a process of its\n" +
			"own, and a load that waits for nothing, all on loopback; closes with what became of the\n" +
			"requests and whether the rules were kept. It ends with 1 if one was broken.",
		Example: "  cresshub try --for 10s\n  cresshub try --for 20s --trouble crash\n" +
			"  cresshub try --for 5s --json",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := checkTrial(&o); err != nil {
				return err
			}
			var err error
			if o.Program, err = os.Executable(); err != nil {
				return err
			}
			if logFile != "" {
				f, err := os.Create(logFile)
				if err != nil {
					return err
				}
				defer f.Close()
				o.Log = f
			}
			return runTrial(c, o, asJSON)
		},
	}
	c.SetContext(context.Background())
	f := c.Flags()
	f.DurationVar(&o.Duration, "for", 10*time.Second, "how long the load lasts")
	f.IntVar(&o.Servers, "servers", 10, "zone servers, two in five of half speed")
	f.Float64Var(&o.Rate, "rate", 0, "requests a second; 0 goes by --load")
	f.Float64Var(&o.LoadFactor, "load", 0.6, "part of what the servers can do with cold keys")
	f.StringVar(&o.Fault, "trouble", "", "in the middle: "+strings.Join(proxytrial.Faults, ", "))
	f.Uint64Var(&o.Seed, "seed", 1, "for arrivals, work and keys")
	f.StringArrayVar(&o.Set, "set", nil, "KEY=VALUE of the proxy's configuration; may be repeated")
	f.StringVar(&logFile, "log", "", "file for the proxy's log")
	f.BoolVar(&asJSON, "json", false, "print one JSON object")
	return c
}

// checkTrial checks the flags of a trial.
func checkTrial(o *proxytrial.Options) error {
	switch {
	case o.Duration < 100*time.Millisecond || o.Duration > time.Hour:
		return UsageErrorf("--for %s is out of range, 100ms to 1h is allowed", o.Duration)
	case o.Servers < 1 || o.Servers > 200:
		return UsageErrorf("--servers %d is out of range, 1 to 200 is allowed", o.Servers)
	case !(o.Rate >= 0 && o.Rate <= 20000):
		return UsageErrorf("--rate %g is out of range, 0 to 20000 is allowed", o.Rate)
	case !(o.LoadFactor > 0 && o.LoadFactor <= 10):
		return UsageErrorf("--load %g is out of range, above 0 to 10 is allowed", o.LoadFactor)
	}
	if err := proxytrial.CheckFault(o.Fault); err != nil {
		return usageError{err}
	}
	return nil
}

// runTrial runs a trial and prints its report, also where it was interrupted or failed.
func runTrial(c *cobra.Command, o proxytrial.Options, asJSON bool) error {
	ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	end := watchTrial(c.ErrOrStderr(), &o)
	report, err := proxytrial.Run(ctx, o)
	end()
	if report != nil {
		if printErr := printTrial(c.OutOrStdout(), report, asJSON); err == nil {
			err = printErr
		}
	}
	switch {
	case ctx.Err() != nil:
		return errors.New("interrupted; what was measured until then is above")
	case err != nil:
		return err
	case report.Violations() > 0:
		return fmt.Errorf("rules were broken %d times", report.Violations())
	}
	return nil
}

// watchTrial shows the progress where w is a terminal, and returns what ends that.
func watchTrial(w io.Writer, o *proxytrial.Options) func() {
	f, ok := w.(*os.File)
	if !ok || !isatty.IsTerminal(f.Fd()) {
		return func() {}
	}
	var now atomic.Pointer[proxystandin.Totals]
	now.Store(&proxystandin.Totals{})
	lines := mpb.New(mpb.WithOutput(w), mpb.WithWidth(24))
	bar := lines.AddBar(o.Duration.Milliseconds(), mpb.BarRemoveOnComplete(),
		mpb.AppendDecorators(decor.Any(func(decor.Statistics) string {
			t := now.Load()
			return fmt.Sprintf("offered %d  in time %d  rejected %d  p99 %s", t.Offered, t.InTime,
				t.ByKind[proxystandin.Refused], t.P99.Round(time.Millisecond))
		})))
	o.Progress = func(done time.Duration, t proxystandin.Totals) {
		now.Store(&t)
		bar.SetCurrent(min(done, o.Duration).Milliseconds())
	}
	return func() {
		bar.Abort(true)
		lines.Wait()
	}
}

func printTrial(w io.Writer, r *proxytrial.Report, asJSON bool) error {
	if asJSON {
		return printJSON(w, r)
	}
	title := newOutput(w)
	title.printf("%.1f s at %.0f requests a second", r.Seconds, r.Rate)
	if r.Fault != "" {
		title.printf(", fault: %s", r.Fault)
	}
	title.println()
	if err := title.flush(); err != nil {
		return err
	}
	t := newTable(w, tabwriter.AlignRight)
	percent := func(n int) float64 { return 100 * float64(n) / float64(max(r.Offered, 1)) }
	t.println("\noffered\tin time\tserved\trejected\tfailed\tp50\tp99\t")
	t.printf("%d\t%d (%.1f%%)\t%d\t%d\t%d\t%.0f ms\t%.0f ms\t\n", r.Offered, r.InTime, percent(r.InTime),
		r.Served, r.Rejected, r.Failed, r.P50, r.P99)
	t.println("\nserver\tattempts\tserved\trejected\tprobes\tconnections\t")
	for _, s := range r.Servers {
		t.printf("%s\t%d\t%d\t%d\t%d\t%d\t\n", s.Name, s.Requests, s.Served, s.Rejected, s.Probes, s.Opened)
	}
	if err := t.flush(); err != nil {
		return err
	}
	rules := newOutput(w)
	rules.println()
	for _, rule := range []string{proxytrial.OneAnswer, proxytrial.NeverTwice, proxytrial.DrainObeyed,
		proxytrial.WarmUpObeyed} {
		state := "kept"
		if n := r.Rules[rule]; n > 0 {
			state = fmt.Sprintf("BROKEN %d times", n)
		}
		rules.printf("%-22s %s\n", rule, state)
	}
	return rules.flush()
}
