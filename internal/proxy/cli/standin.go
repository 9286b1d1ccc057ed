package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"cresshub/internal/testbed/proxystandin"
)

func newStandin() *cobra.Command {
	c := &cobra.Command{
		Use: "standin", Short: "Run a stand-in for a service that the proxy talks to",
		Example: "  cresshub standin zone --name zone-1 --listen 127.0.0.1:9001\n" +
			"  cresshub standin discovery --listen 127.0.0.1:8500 --server zone-1=127.0.0.1:9001",
	}
	c.AddCommand(newStandinZone(), newStandinDiscovery(), newStandinSink())
	return c
}

// waitForSignal waits for SIGINT or SIGTERM, at most for the time limit.
func waitForSignal(limit time.Duration) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	<-ctx.Done()
}

func newStandinZone() *cobra.Command {
	var o proxystandin.ZoneOptions
	var limit, lookup, assign time.Duration
	var cold, asJSON bool
	c := &cobra.Command{
		Use:   "zone",
		Short: "Run a zone server with a number of cores, a queue and an optional cold start",
		Long: "Responds to each request after the time that its work takes, rejects requests with the header\n" +
			"X-Not-Processed while its queue is full, and reports its load at GET /stats. SIGUSR1 makes it\n" +
			"drain. It prints its counts when it exits.",
		Example: "  cresshub standin zone --name zone-1 --listen 127.0.0.1:9001 --cores 2 --speed 0.9",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			o.Work = map[string]time.Duration{"zone-lookup": lookup, "rider-assign": assign}
			since := time.Time{}
			if cold {
				since = time.Now()
				o.WarmUp = proxystandin.WarmUp{StartFraction: 0.12, Duration: 23 * time.Second, OverloadMultiple: 4,
					OverloadAfter: 1500 * time.Millisecond}
			}
			z, err := proxystandin.StartZone(o, since)
			if err != nil {
				return err
			}
			defer z.Close()
			drain := make(chan os.Signal, 1)
			signal.Notify(drain, syscall.SIGUSR1)
			go func() {
				for range drain {
					z.Drain()
				}
			}()
			c.PrintErrln("listening on", z.Address())
			waitForSignal(limit)
			if asJSON {
				return printJSON(c.OutOrStdout(), z.Counts())
			}
			return printZoneCounts(c.OutOrStdout(), z.Counts())
		},
	}
	f := c.Flags()
	f.StringVar(&o.Name, "name", "zone", "name of the server, sent in its responses")
	f.StringVar(&o.Listen, "listen", "127.0.0.1:0", "host:port to listen on; port 0 lets the system choose")
	f.IntVar(&o.Cores, "cores", 2, "number of cores; each processes one request at a time")
	f.Float64Var(&o.Speed, "speed", 1.8, "speed of a core relative to a standard core, which is 1")
	f.IntVar(&o.MaxQueued, "waiting", 16, "largest number of queued requests")
	f.IntVar(&o.MaxConnections, "connections", 1500, "largest number of open connections")
	f.DurationVar(&o.Handshake, "handshake", 2*time.Millisecond, "work that a new connection costs")
	f.DurationVar(&lookup, "lookup", 125*time.Millisecond, "mean work of a zone-lookup on a core of speed 1")
	f.DurationVar(&assign, "assign", 108*time.Millisecond, "mean work of a rider-assign on a core of speed 1")
	f.Float64Var(&o.Spread, "spread", 0.3, "work varies by up to this fraction of its mean, up and down")
	f.BoolVar(&cold, "cold", false, "start cold, and collapse under overload while warming up")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the random work of requests")
	f.DurationVar(&limit, "for", time.Hour, "exit after this time")
	f.BoolVar(&asJSON, "json", false, "print the counts as one JSON object")
	return c
}

// printZoneCounts prints the counts under the names that scripts read, whatever the Go fields are called.
func printZoneCounts(w io.Writer, n proxystandin.ZoneCounts) error {
	_, err := fmt.Fprintf(w, "{Requests:%d Served:%d TurnedAway:%d Probes:%d Opened:%d RanTwice:%d "+
		"AfterDrain:%d FellOver:%d}\n",
		n.Requests, n.Served, n.Rejected, n.Probes, n.Opened, n.RanTwice, n.AfterDrain,
		n.Overloaded)
	return err
}

func newStandinDiscovery() *cobra.Command {
	var listen string
	var servers []string
	var limit time.Duration
	c := &cobra.Command{
		Use:     "discovery",
		Short:   "Run a discovery service, which lists zone servers",
		Example: "  cresshub standin discovery --listen 127.0.0.1:8500 --server zone-1=127.0.0.1:9001",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			d, err := proxystandin.StartDiscovery(listen)
			if err != nil {
				return err
			}
			defer d.Close()
			for _, s := range servers {
				name, address, ok := strings.Cut(s, "=")
				if !ok {
					return UsageErrorf("--server %q is no NAME=HOST:PORT", s)
				}
				d.Set(proxystandin.Endpoint{Name: name, Address: address, Status: "in_service", Weight: 1})
			}
			c.PrintErrln("listening on", d.Address())
			waitForSignal(limit)
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:8500", "host:port to listen on; port 0 lets the system choose")
	f.StringArrayVar(&servers, "server", nil, "NAME=HOST:PORT of a zone server; may be repeated")
	f.DurationVar(&limit, "for", time.Hour, "exit after this time")
	return c
}

func newStandinSink() *cobra.Command {
	var listen string
	var limit time.Duration
	c := &cobra.Command{
		Use:     "sink",
		Short:   "Run a billing sink, which accepts exports of the ledger and prints them as JSON at exit",
		Example: "  cresshub standin sink --listen 127.0.0.1:9950",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := proxystandin.StartSink(listen)
			if err != nil {
				return err
			}
			defer s.Close()
			c.PrintErrln("listening on", s.Address())
			waitForSignal(limit)
			return printJSON(c.OutOrStdout(), s.Entries())
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:9950",
		"host:port to listen on; port 0 lets the system choose")
	c.Flags().DurationVar(&limit, "for", time.Hour, "exit after this time")
	return c
}
