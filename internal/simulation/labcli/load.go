package labcli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"cresshub/internal/proxy/cli"
	"cresshub/internal/testbed/proxystandin"
)

// Bounds of the flags of load.
const (
	maxLoadRate = 20000 // requests per second
	maxLoadTime = time.Hour
)

// loadFlags are the flags of the command load.
type loadFlags struct {
	options  proxystandin.LoadOptions
	duration time.Duration
	anywhere bool // addresses of other machines are allowed
	unsafe   float64
	json     bool
}

// newLoad is the command load.
func newLoad() *cobra.Command {
	var l loadFlags
	command := &cobra.Command{
		Use: "load ADDRESS", Short: "Send an open-loop load to a live proxy",
		Long: "Requests come as a Poisson stream and wait for nothing; times are taken from when each was due.\n" +
			"The proxy must know the classes zone-lookup and rider-assign.",
		Example: "  cresshub-lab load 127.0.0.1:8080 --rate 200 --for 30s",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if err := l.check(args[0]); err != nil {
				return err
			}
			l.options.Address = args[0]
			return l.run(command.OutOrStdout())
		},
	}
	flagSet := command.Flags()
	flagSet.Float64Var(&l.options.Rate, "rate", 100, "requests a second")
	flagSet.DurationVar(&l.duration, "for", 10*time.Second, "how long")
	flagSet.Float64Var(&l.unsafe, "unsafe", 0.4, "part of rider-assign")
	flagSet.StringSliceVar(&l.options.Tenants, "tenant", nil, "tenants, in equal parts")
	flagSet.IntVar(&l.options.Keys, "keys", 300, "distinct keys")
	flagSet.IntVar(&l.options.MaxConnections, "connections", 1000, "open at once")
	flagSet.Uint64Var(&l.options.Seed, "seed", 1, "of arrivals and keys")
	flagSet.StringVar(&l.options.IDPrefix, "ids", "load", "what request ids begin with")
	flagSet.BoolVar(&l.anywhere, "anywhere", false, "allow an address that is not on this machine")
	flagSet.BoolVar(&l.json, "json", false, "print one JSON object")
	return command
}

// check checks the flags, and that the address is of this machine unless others are allowed.
func (l *loadFlags) check(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return cli.UsageErrorf("%q is no address; one is written 127.0.0.1:8080", address)
	}
	if ip := net.ParseIP(host); !l.anywhere && host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return cli.UsageErrorf("%s is not on this machine; --anywhere allows it", host)
	}
	rate := l.options.Rate
	if !(rate > 0 && rate <= maxLoadRate) || l.duration <= 0 || l.duration > maxLoadTime || l.unsafe < 0 ||
		l.unsafe > 1 {
		return cli.UsageErrorf("--rate above 0 to %d, --for above 0 to 1h and --unsafe 0 to 1 are allowed",
			maxLoadRate)
	}
	return nil
}

// run sends the load until its end or a signal, and prints what became of it.
func (l *loadFlags) run(w io.Writer) error {
	l.options.Classes = loadClasses(l.unsafe)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, l.duration)
	defer cancel()
	load := proxystandin.NewLoad(l.options)
	load.Run(ctx)
	t := load.Tally().Totals()
	if l.json {
		return json.NewEncoder(w).Encode(newLoadReport(&t))
	}
	_, err := fmt.Fprintf(w,
		"offered %d, served %d (%d in time), refused %d, failed %d, no answer %d, p50 %s, p99 %s\n", t.Offered,
		t.ByKind[proxystandin.Served], t.InTime, t.ByKind[proxystandin.Refused], t.ByKind[proxystandin.Failed],
		t.ByKind[proxystandin.NoAnswer], t.P50, t.P99)
	return err
}

// loadReport is what load prints as JSON. Times are in milliseconds.
type loadReport struct {
	Failed       int     `json:"failed"`
	Lag          float64 `json:"load_lag_ms"` // by which requests were sent late
	Max          float64 `json:"max_ms"`
	NoAnswer     int     `json:"no_answer"`
	NotSent      int     `json:"not_sent"`
	Offered      int     `json:"offered"`
	P50          float64 `json:"p50_ms"`
	P99          float64 `json:"p99_ms"`
	Refused      int     `json:"refused"`
	Served       int     `json:"served"`
	ServedInTime int     `json:"served_in_time"`
	Unreachable  int     `json:"unreachable"`
}

func newLoadReport(totals *proxystandin.Totals) loadReport {
	return loadReport{
		Failed: totals.ByKind[proxystandin.Failed], Lag: milliseconds(totals.Lag), Max: milliseconds(totals.Max),
		NoAnswer: totals.ByKind[proxystandin.NoAnswer], NotSent: totals.ByKind[proxystandin.NotSent],
		Offered: totals.Offered, P50: milliseconds(totals.P50), P99: milliseconds(totals.P99),
		Refused: totals.ByKind[proxystandin.Refused], Served: totals.ByKind[proxystandin.Served],
		ServedInTime: totals.InTime, Unreachable: totals.ByKind[proxystandin.Unreachable],
	}
}

// milliseconds returns a time in ms, to the microsecond.
func milliseconds(d time.Duration) float64 {
	const usPerMillisecond = 1000
	return float64(d.Microseconds()) / usPerMillisecond
}

// loadClasses are the classes of the load, of which a fraction must not run twice.
func loadClasses(unsafe float64) []proxystandin.LoadClass {
	return []proxystandin.LoadClass{
		{Name: "zone-lookup", Fraction: 1 - unsafe, LatencyTarget: 600 * time.Millisecond,
			Deadline: 1500 * time.Millisecond, Value: 2},
		{Name: "rider-assign", Fraction: unsafe, LatencyTarget: 500 * time.Millisecond, Deadline: 2 * time.Second,
			Value: 8, Unsafe: true},
	}
}
