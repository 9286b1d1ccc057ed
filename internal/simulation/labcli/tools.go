package labcli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"
	"github.com/vbauerster/mpb/v8"
	"github.com/vbauerster/mpb/v8/decor"

	"cresshub/internal/proxy/cli"
	"cresshub/internal/simulation/experiment"
	"cresshub/internal/simulation/proxysim"
	"cresshub/internal/testbed/proxystandin"
)

// progress shows how many of the days are played, where somebody can see it.
func progress(w io.Writer, total int) (one, end func()) {
	f, ok := w.(*os.File)
	if !ok || !isatty.IsTerminal(f.Fd()) || total < 2 {
		return func() {}, func() {}
	}
	lines := mpb.New(mpb.WithOutput(w), mpb.WithWidth(32))
	bar := lines.AddBar(int64(total), mpb.BarRemoveOnComplete(),
		mpb.AppendDecorators(decor.CountersNoUnit("%d of %d days"),
			decor.OnComplete(decor.AverageETA(decor.ET_STYLE_GO), "")))
	var once sync.Once
	return func() { bar.Increment() }, func() {
		once.Do(func() {
			bar.Abort(true)
			lines.Wait()
		})
	}
}

func newPlot() *cobra.Command {
	var metric, out string
	var logX, logY bool
	c := &cobra.Command{
		Use: "plot RESULT", Short: "Draw a metric over the swept key, or service over time",
		Example: "  cresshub-lab plot age.jsonl --metric mean_service_times --log-x -o age.svg",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			svg, err := s.Plot(metric, logX, logY)
			if err != nil {
				return err
			}
			return write(c.OutOrStdout(), out, svg)
		},
	}
	f := c.Flags()
	f.StringVar(&metric, "metric", "service", strings.Join(experiment.MetricNames(), ", "))
	f.BoolVar(&logX, "log-x", false, "logarithmic over the key")
	f.BoolVar(&logY, "log-y", false, "logarithmic in the metric")
	f.StringVarP(&out, "out", "o", "-", "SVG file, - for standard output")
	return c
}

func newReport() *cobra.Command {
	var out string
	c := &cobra.Command{
		Use: "report RESULT", Short: "Write one HTML page: settings, tables, plots, what was broken",
		Example: "  cresshub-lab report hall.jsonl -o hall.html",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			var b bytes.Buffer
			if err := s.Report(&b); err != nil {
				return err
			}
			return write(c.OutOrStdout(), out, b.Bytes())
		},
	}
	c.Flags().StringVarP(&out, "out", "o", "-", "HTML file, - for standard output")
	return c
}

func newTrace() *cobra.Command {
	var o playFlags
	var request int
	c := &cobra.Command{
		Use: "trace FILE", Short: "Tell one request's life",
		Example: "  cresshub-lab trace hall-loss --request 3200 --seed 2",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			h, err := o.header(args[0])
			if err != nil {
				return err
			}
			if request < 1 {
				return cli.UsageErrorf("--request %d is out of range, they count from 1", request)
			}
			d, err := experiment.Play(h.Scenario, h.Set, experiment.Job{Policy: h.Policies[0], Seed: h.Seed, K: h.K,
				Lambda: h.Lambda},
				proxysim.Options{Trace: request})
			if err != nil {
				return err
			}
			if len(d.Result.Trace) == 0 {
				return fmt.Errorf("there is no request %d on that day", request)
			}
			_, err = fmt.Fprintln(c.OutOrStdout(), strings.Join(d.Result.Trace, "\n"))
			return err
		},
	}
	o.add(c)
	c.Flags().IntVar(&request, "request", 1, "its number in order of arrival, from 1")
	return c
}

func newValidate() *cobra.Command {
	var quick, asJSON bool
	c := &cobra.Command{
		Use: "validate", Short: "Hold the emulator against results that nobody here made",
		Example: "  cresshub-lab validate",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			rows, err := experiment.Validate(quick)
			if err != nil {
				return err
			}
			if asJSON {
				if err := json.NewEncoder(c.OutOrStdout()).Encode(rows); err != nil {
					return err
				}
			} else {
				fmt.Fprint(c.OutOrStdout(), experiment.ValidationTable(rows))
			}
			for _, r := range rows {
				if !r.Holds {
					return fmt.Errorf("%s: found %.4g, expected %.4g", r.Name, r.Measured, r.Expected)
				}
			}
			return nil
		},
	}
	c.Flags().BoolVar(&quick, "quick", false, "a fifth of the requests, wider bounds")
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON list")
	return c
}

func newLoad() *cobra.Command {
	var o proxystandin.LoadOptions
	var lasting time.Duration
	var anywhere, asJSON bool
	var unsafe float64
	c := &cobra.Command{
		Use: "load ADDRESS", Short: "Send an open-loop load to a live proxy",
		Long: "Requests come as a Poisson stream and wait for nothing; times are taken from when each was due.\n" +
			"The proxy must know the classes zone-lookup and rider-assign.",
		Example: "  cresshub-lab load 127.0.0.1:8080 --rate 200 --for 30s",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			host, _, err := net.SplitHostPort(args[0])
			if err != nil {
				return cli.UsageErrorf("%q is no address; one is written 127.0.0.1:8080", args[0])
			}
			if ip := net.ParseIP(host); !anywhere && host != "localhost" && (ip == nil || !ip.IsLoopback()) {
				return cli.UsageErrorf("%s is not on this machine; --anywhere allows it", host)
			}
			if !(o.Rate > 0 && o.Rate <= 20000) || lasting <= 0 || lasting > time.Hour || unsafe < 0 || unsafe > 1 {
				return cli.UsageErrorf("--rate above 0 to 20000, --for above 0 to 1h and --unsafe 0 to 1 are allowed")
			}
			o.Address = args[0]
			o.Classes = []proxystandin.LoadClass{
				{Name: "zone-lookup", Fraction: 1 - unsafe, LatencyTarget: 600 * time.Millisecond,
					Deadline: 1500 * time.Millisecond, Value: 2},
				{Name: "rider-assign", Fraction: unsafe, LatencyTarget: 500 * time.Millisecond, Deadline: 2 * time.Second,
					Value: 8, Unsafe: true},
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			ctx, cancel := context.WithTimeout(ctx, lasting)
			defer cancel()
			l := proxystandin.NewLoad(o)
			l.Run(ctx)
			t := l.Tally().Totals()
			ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
			out := map[string]any{"offered": t.Offered, "served": t.ByKind[proxystandin.Served],
				"served_in_time": t.InTime,
				"refused":        t.ByKind[proxystandin.Refused], "failed": t.ByKind[proxystandin.Failed],
				"no_answer":   t.ByKind[proxystandin.NoAnswer],
				"unreachable": t.ByKind[proxystandin.Unreachable], "not_sent": t.ByKind[proxystandin.NotSent],
				"p50_ms": ms(t.P50),
				"p99_ms": ms(t.P99), "max_ms": ms(t.Max), "load_lag_ms": ms(t.Lag)}
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(out)
			}
			_, err = fmt.Fprintf(c.OutOrStdout(),
				"offered %d, served %d (%d in time), refused %d, failed %d, no answer %d, p50 %s, p99 %s\n", t.Offered,
				t.ByKind[proxystandin.Served], t.InTime, t.ByKind[proxystandin.Refused], t.ByKind[proxystandin.Failed],
				t.ByKind[proxystandin.NoAnswer],
				t.P50, t.P99)
			return err
		},
	}
	f := c.Flags()
	f.Float64Var(&o.Rate, "rate", 100, "requests a second")
	f.DurationVar(&lasting, "for", 10*time.Second, "how long")
	f.Float64Var(&unsafe, "unsafe", 0.4, "part of rider-assign")
	f.StringSliceVar(&o.Tenants, "tenant", nil, "tenants, in equal parts")
	f.IntVar(&o.Keys, "keys", 300, "distinct keys")
	f.IntVar(&o.MaxConnections, "connections", 1000, "open at once")
	f.Uint64Var(&o.Seed, "seed", 1, "of arrivals and keys")
	f.StringVar(&o.IDPrefix, "ids", "load", "what request ids begin with")
	f.BoolVar(&anywhere, "anywhere", false, "allow an address that is not on this machine")
	f.BoolVar(&asJSON, "json", false, "print one JSON object")
	return c
}

func newShow() *cobra.Command {
	return &cobra.Command{
		Use: "show NAME", Short: "Print a shipped scenario, to begin one's own with",
		Example: "  cresshub-lab show snowy-evening", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := experiment.Text(args[0])
			if err != nil {
				return err
			}
			_, err = c.OutOrStdout().Write(text)
			return err
		},
	}
}

func newDocs() *cobra.Command {
	var out string
	c := &cobra.Command{
		Use: "docs", Short: "Write the page of all keys of a scenario", Example: "  cresshub-lab docs -o -",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return write(c.OutOrStdout(), out, []byte(experiment.Reference()))
		},
	}
	c.Flags().StringVarP(&out, "out", "o", "docs/SCENARIO.md", "file, - for standard output")
	return c
}
