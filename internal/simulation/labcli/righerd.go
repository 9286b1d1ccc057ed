package labcli

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"cresshub/internal/proxy/cli"
	"cresshub/internal/testbed/clusterrig"
)

func newRigHerd() *cobra.Command {
	var program, dir string
	var members []int
	var asJSON bool
	c := &cobra.Command{
		Use: "herd", Short: "Kill seven in ten proxies at once; count all probes, connections and list calls",
		Example: "  cresshub rig herd --members 8,24,48", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var rows []*clusterrig.RestartStorm
			for _, n := range members {
				if n < 3 || n > 48 {
					return cli.UsageErrorf("--members 3 to 48 are allowed")
				}
				err := withRig(program, dir, func(ctx context.Context, o clusterrig.Options) error {
					h, err := clusterrig.RunRestartStorm(ctx, o, n)
					rows = append(rows, h)
					return err
				})
				if err != nil {
					return err
				}
			}
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(rows)
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(w, "members\tover 15 s\trequests\tlost\tprobes\tconnections\tlist calls\tall ready\t")
			for _, h := range rows {
				for _, s := range []struct {
					what string
					clusterrig.StormTotals
					ready string
				}{{"quiet", h.Quiet, ""}, {"killed", h.Killed, fmt.Sprintf("%.0f ms", h.ReadyMS)}} {
					fmt.Fprintf(w, "%d\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t\n", h.Members, s.what, s.Requests, s.Lost, s.Probes,
						s.Opened, s.Lists, s.ready)
				}
			}
			return w.Flush()
		},
	}
	f := c.Flags()
	f.IntSliceVar(&members, "members", []int{8, 24, 48}, "sizes of the fleet")
	rigFlags(c, &program, &dir, &asJSON)
	return c
}

func newRigSoak() *cobra.Command {
	var program, dir string
	var members, clients int
	var lasting, every time.Duration
	var asJSON bool
	c := &cobra.Command{
		Use: "soak", Short: "Run the ledger and the chores under a load; look at memory and disk as time passes",
		Example: "  cresshub rig soak --for 30m --every 3m", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if members < 3 || members > 30 || clients < 1 || clients > 256 || every < time.Second ||
				lasting < every || lasting > 24*time.Hour {
				return cli.UsageErrorf("--members 3 to 30, --clients 1 to 256 and --every from 1s to --for are allowed")
			}
			return withRig(program, dir, func(ctx context.Context, o clusterrig.Options) error {
				all, err := clusterrig.Soak(ctx, o, members, clients, lasting, every)
				if err != nil {
					return err
				}
				if asJSON {
					return json.NewEncoder(c.OutOrStdout()).Encode(all)
				}
				return clusterrig.PrintSoak(c.OutOrStdout(), all)
			})
		},
	}
	f := c.Flags()
	f.IntVar(&members, "members", 5, "processes")
	f.IntVar(&clients, "clients", 8, "clients that send at once")
	f.DurationVar(&lasting, "for", 30*time.Minute, "how long")
	f.DurationVar(&every, "every", 3*time.Minute, "between looks")
	rigFlags(c, &program, &dir, &asJSON)
	return c
}
