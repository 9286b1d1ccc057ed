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
		Short: "Test the proxy on this machine against stand-in servers",
		Long: "Starts stand-ins for a discovery service and zone servers, one proxy as a separate process, and\n" +
			"an open-loop load, all on loopback; then prints the outcomes of the requests and whether each\n" +
			"rule was kept. It exits with status 1 if a rule was broken.",
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
	f.DurationVar(&o.Duration, "for", 10*time.Second, "duration of the load")
	f.IntVar(&o.Servers, "servers", 10, "number of zone servers; two in five have half the speed")
	f.Float64Var(&o.Rate, "rate", 0, "requests per second; 0 derives the rate from --load")
	f.Float64Var(&o.LoadFactor, "load", 0.6, "load, as a fraction of the servers' capacity with cold keys")
	f.StringVar(&o.Fault, "trouble", "", "fault during the load: "+strings.Join(proxytrial.Faults, ", "))
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the random arrivals, work and keys")
	f.StringArrayVar(&o.Set, "set", nil, "KEY=VALUE of the proxy's configuration; may be repeated")
	f.StringVar(&logFile, "log", "", "file to write the proxy's log to")
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

// runTrial runs a trial and prints its report, even if the trial was interrupted or failed.
func runTrial(c *cobra.Command, o proxytrial.Options, asJSON bool) error {
	ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	stopProgress := watchTrial(c.ErrOrStderr(), &o)
	report, err := proxytrial.Run(ctx, o)
	stopProgress()
	if report != nil {
		if printErr := printTrial(c.OutOrStdout(), report, asJSON); err == nil {
			err = printErr
		}
	}
	switch {
	case ctx.Err() != nil:
		return errors.New("interrupted; the report above covers the time until then")
	case err != nil:
		return err
	case report.Violations() > 0:
		return fmt.Errorf("rules were broken %d times", report.Violations())
	}
	return nil
}

// watchTrial shows the trial's progress if w is a terminal, and returns a function that removes the display.
func watchTrial(w io.Writer, o *proxytrial.Options) func() {
	f, ok := w.(*os.File)
	if !ok || !isatty.IsTerminal(f.Fd()) {
		return func() {}
	}
	var totals atomic.Pointer[proxystandin.Totals]
	totals.Store(&proxystandin.Totals{})
	progress := mpb.New(mpb.WithOutput(w), mpb.WithWidth(24))
	bar := progress.AddBar(o.Duration.Milliseconds(), mpb.BarRemoveOnComplete(),
		mpb.AppendDecorators(decor.Any(func(decor.Statistics) string {
			t := totals.Load()
			return fmt.Sprintf("offered %d  in time %d  rejected %d  p99 %s", t.Offered, t.InTime,
				t.ByKind[proxystandin.Refused], t.P99.Round(time.Millisecond))
		})))
	o.Progress = func(elapsed time.Duration, t proxystandin.Totals) {
		totals.Store(&t)
		bar.SetCurrent(min(elapsed, o.Duration).Milliseconds())
	}
	return func() {
		bar.Abort(true)
		progress.Wait()
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
