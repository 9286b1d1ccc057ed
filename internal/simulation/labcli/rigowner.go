package labcli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"cresshub/internal/proxy/cli"
	"cresshub/internal/simulation/proxysim"
	"cresshub/internal/testbed/clusterrig"
)

// withRig runs try with a folder of its own and the proxy's program, until a signal.
func withRig(program, dir string, try func(context.Context, clusterrig.Options) error) error {
	o := clusterrig.Options{Program: program}
	var err error
	if o.Program == "" {
		if o.Program, err = proxyProgram(); err != nil {
			return err
		}
	}
	if o.Dir, err = os.MkdirTemp(dir, "cresshub-rig-"); err != nil {
		return err
	}
	defer os.RemoveAll(o.Dir)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return try(ctx, o)
}

// rigFlags are those of every trial with processes.
func rigFlags(c *cobra.Command, program, dir *string, asJSON *bool) {
	f := c.Flags()
	f.StringVar(program, "program", "", "path of the proxy; the one beside this program where empty")
	f.StringVar(dir, "dir", "", "folder for the members' data; the system's for temporary files where empty")
	f.BoolVar(asJSON, "json", false, "print JSON")
}

func newRigOwner() *cobra.Command {
	var o clusterrig.OwnerTrialOptions
	var program, dir string
	var asJSON bool
	c := &cobra.Command{
		Use: "owner", Short: "Pause, cut off and kill owners of the fleet's chores; count what old ones still did",
		Example: "  cresshub rig owner --pauses 50 --cuts 10 --kills 20", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if o.Members < 4 || o.Members > 30 || min(o.Pauses, o.Partitions, o.Kills) < 0 ||
				o.Pauses+o.Partitions+o.Kills > 10_000 {
				return cli.UsageErrorf("--members 4 to 30 and 10000 faults at most are allowed")
			}
			return withRig(program, dir, func(ctx context.Context, ro clusterrig.Options) error {
				t, err := clusterrig.RunOwnerTrial(ctx, ro, o)
				if err != nil {
					return err
				}
				if asJSON {
					return t.JSON(c.OutOrStdout())
				}
				return t.Print(c.OutOrStdout())
			})
		},
	}
	f := c.Flags()
	f.IntVar(&o.Members, "members", 5, "processes")
	f.IntVar(&o.Pauses, "pauses", 50, "owners paused for three leases and woken")
	f.IntVar(&o.Partitions, "cuts", 10, "owners cut off from the other members, not from the sinks")
	f.IntVar(&o.Kills, "kills", 20, "owners killed and restarted")
	f.DurationVar(&o.Lease, "lease", 2*time.Second, "owner.lease")
	f.DurationVar(&o.Election, "election", time.Second, "ledger.election")
	rigFlags(c, &program, &dir, &asJSON)
	return c
}

func newRigLists() *cobra.Command {
	var program, dir string
	var members []int
	var asJSON bool
	c := &cobra.Command{
		Use: "lists", Short: "Count a fleet's calls on discovery, with an owner and without one",
		Example: "  cresshub rig lists --members 5,10,30", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var rows []*clusterrig.ListCalls
			for _, n := range members {
				if n < 3 || n > 30 {
					return cli.UsageErrorf("--members 3 to 30 are allowed")
				}
				for _, owned := range []bool{false, true} {
					err := withRig(program, dir, func(ctx context.Context, o clusterrig.Options) error {
						r, err := clusterrig.CountListCalls(ctx, o, n, owned)
						rows = append(rows, r)
						return err
					})
					if err != nil {
						return err
					}
				}
			}
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(rows)
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(w, "members\towner\tstart\tquiet\trolling\toutage\tat once\tseconds\tcalls a minute\t")
			for _, r := range rows {
				fmt.Fprintf(w, "%d\t%v\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.1f\t\n", r.Members, r.Owner, r.Start, r.Quiet,
					r.Rolling, r.Outage, r.AtOnce, r.Seconds, r.Minute)
			}
			return w.Flush()
		},
	}
	f := c.Flags()
	f.IntSliceVar(&members, "members", []int{5, 10, 30}, "sizes of the fleet")
	rigFlags(c, &program, &dir, &asJSON)
	return c
}

func newLists() *cobra.Command {
	o := proxysim.ListTrialOptions{}
	var members []int
	var trials []string
	var asJSON bool
	c := &cobra.Command{
		Use: "lists", Short: "Count calls on discovery in virtual time, at sizes that processes don't reach",
		Example: "  cresshub-lab lists --members 300,3000 --trial rolling", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var rows []proxysim.ListTrialResult
			for _, trial := range trials {
				for _, n := range members {
					if n < 3 || n > 10000 {
						return cli.UsageErrorf("--members 3 to 10000 are allowed")
					}
					for _, owned := range []bool{false, true} {
						o.Proxies, o.Owner = n, owned
						r, err := proxysim.RunListTrial(trial, o)
						if err != nil {
							return cli.UsageErrorf("--trial %v", err)
						}
						rows = append(rows, r)
					}
				}
			}
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(rows)
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(w, "trial\tmembers\towner\tcalls a minute\tworst second\tasked alone\twatches\tno list\t")
			for _, r := range rows {
				fmt.Fprintf(w, "%s\t%d\t%v\t%d\t%d\t%d\t%d\t%d\t\n", r.Trial, r.Proxies, r.Owner, r.Calls, r.Peak,
					r.SelfFetching, r.Watches, r.WithoutList)
			}
			return w.Flush()
		},
	}
	f := c.Flags()
	f.IntSliceVar(&members, "members", []int{5, 10, 30, 300, 3000}, "sizes of the fleet")
	f.StringSliceVar(&trials, "trial", proxysim.ListTrialNames, "which to play")
	f.DurationVar(&o.MaxAge, "list-max-age", 4*time.Second, "owner.list_max_age")
	f.DurationVar(&o.Poll, "list-poll", 250*time.Millisecond, "owner.list_poll")
	f.DurationVar(&o.Lease, "lease", 2*time.Second, "owner.lease")
	f.Uint64Var(&o.Seed, "seed", 1, "of all that is drawn")
	f.BoolVar(&asJSON, "json", false, "print one JSON array")
	return c
}
