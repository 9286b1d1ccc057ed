package labcli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"cresshub/internal/proxy/cli"
	"cresshub/internal/testbed/clusterrig"
)

// Bounds of the flags of the trials with processes.
const (
	minRigMembers   = 3
	maxRigMembers   = 30
	minOwnerMembers = 4
	maxOwnerFaults  = 10_000
	maxStormMembers = 48
	maxSoakClients  = 256
	minSoakInterval = time.Second
	maxSoakTime     = 24 * time.Hour
)

// rigFlags are the flags of every trial with processes.
type rigFlags struct {
	program string
	dir     string
	json    bool
}

// add defines the flags of a command.
func (r *rigFlags) add(command *cobra.Command) {
	flagSet := command.Flags()
	flagSet.StringVar(&r.program, "program", "", "path of the proxy; the one beside this program where empty")
	flagSet.StringVar(&r.dir, "dir", "",
		"folder for the members' data; the system's for temporary files where empty")
	flagSet.BoolVar(&r.json, "json", false, "print JSON")
}

// run runs a trial with a temporary folder and the proxy's program, until a signal.
func (r *rigFlags) run(trial func(context.Context, clusterrig.Options) error) error {
	o := clusterrig.Options{Program: r.program}
	var err error
	if o.Program == "" {
		if o.Program, err = proxyProgram(); err != nil {
			return err
		}
	}
	if o.Dir, err = os.MkdirTemp(r.dir, "cresshub-rig-"); err != nil {
		return err
	}
	defer removeTemp(o.Dir)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return trial(ctx, o)
}

// removeTemp removes a temporary folder. What is left after a failure is for the system to remove.
func removeTemp(dir string) { _ = os.RemoveAll(dir) }

// newRigOwner is the command rig owner.
func newRigOwner() *cobra.Command {
	var o clusterrig.OwnerTrialOptions
	var rig rigFlags
	command := &cobra.Command{
		Use:     "owner",
		Short:   "Pause, partition and kill owners of singleton roles; count what former ones still did",
		Example: "  cresshub rig owner --pauses 50 --cuts 10 --kills 20", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if o.Members < minOwnerMembers || o.Members > maxRigMembers ||
				min(o.Pauses, o.Partitions, o.Kills) < 0 || o.Pauses+o.Partitions+o.Kills > maxOwnerFaults {
				return cli.UsageErrorf("--members %d to %d and %d faults at most are allowed", minOwnerMembers,
					maxRigMembers, maxOwnerFaults)
			}
			return rig.run(func(ctx context.Context, rigOptions clusterrig.Options) error {
				t, err := clusterrig.RunOwnerTrial(ctx, rigOptions, o)
				if err != nil {
					return err
				}
				if rig.json {
					return t.JSON(command.OutOrStdout())
				}
				return t.Print(command.OutOrStdout())
			})
		},
	}
	flagSet := command.Flags()
	flagSet.IntVar(&o.Members, "members", 5, "processes")
	flagSet.IntVar(&o.Pauses, "pauses", 50, "owners paused for three leases and woken")
	flagSet.IntVar(&o.Partitions, "cuts", 10, "owners cut off from the other members, not from the sinks")
	flagSet.IntVar(&o.Kills, "kills", 20, "owners killed and restarted")
	flagSet.DurationVar(&o.Lease, "lease", 2*time.Second, "owner.lease")
	flagSet.DurationVar(&o.Election, "election", time.Second, "ledger.election")
	rig.add(command)
	return command
}

// newRigLists is the command rig lists.
func newRigLists() *cobra.Command {
	var rig rigFlags
	var members []int
	command := &cobra.Command{
		Use: "lists", Short: "Count a fleet's calls on discovery, with an owner and without one",
		Example: "  cresshub rig lists --members 5,10,30", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var rows []*clusterrig.ListCalls
			for _, count := range members {
				if count < minRigMembers || count > maxRigMembers {
					return cli.UsageErrorf("--members %d to %d are allowed", minRigMembers, maxRigMembers)
				}
				for _, owned := range []bool{false, true} {
					err := rig.run(func(ctx context.Context, o clusterrig.Options) error {
						calls, err := clusterrig.CountListCalls(ctx, o, count, owned)
						rows = append(rows, calls)
						return err
					})
					if err != nil {
						return err
					}
				}
			}
			return printRows(command, rig.json, rows,
				"members\towner\tstart\tquiet\trolling\toutage\tat once\tseconds\tcalls a minute\t",
				func(t *table, calls *clusterrig.ListCalls) {
					t.row("%d\t%v\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.1f\t", calls.Members, calls.Owner, calls.Start, calls.Quiet,
						calls.Rolling, calls.Outage, calls.AtOnce, calls.Seconds, calls.Minute)
				})
		},
	}
	command.Flags().IntSliceVar(&members, "members", []int{5, 10, 30}, "sizes of the fleet")
	rig.add(command)
	return command
}

// newRigRestartStorm is the command of the restart storm, under the word that operators know.
func newRigRestartStorm() *cobra.Command {
	var rig rigFlags
	var members []int
	command := &cobra.Command{
		Use: "herd", Short: "Kill seven in ten proxies at once; count all probes, connections and list calls",
		Example: "  cresshub rig herd --members 8,24,48", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var rows []*clusterrig.RestartStorm
			for _, count := range members {
				if count < minRigMembers || count > maxStormMembers {
					return cli.UsageErrorf("--members %d to %d are allowed", minRigMembers, maxStormMembers)
				}
				err := rig.run(func(ctx context.Context, o clusterrig.Options) error {
					storm, err := clusterrig.RunRestartStorm(ctx, o, count)
					rows = append(rows, storm)
					return err
				})
				if err != nil {
					return err
				}
			}
			return printRows(command, rig.json, rows,
				"members\tover 15 s\trequests\tlost\tprobes\tconnections\tlist calls\tall ready\t",
				func(t *table, r *clusterrig.RestartStorm) {
					stormRow(t, r.Members, "quiet", r.Quiet, "")
					stormRow(t, r.Members, "killed", r.Killed, fmt.Sprintf("%.0f ms", r.ReadyMS))
				})
		},
	}
	command.Flags().IntSliceVar(&members, "members", []int{8, 24, 48}, "sizes of the fleet")
	rig.add(command)
	return command
}

// stormRow adds the totals of one phase of a restart storm.
func stormRow(t *table, members int, phase string, s clusterrig.StormTotals, ready string) {
	t.row("%d\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t", members, phase, s.Requests, s.Lost, s.Probes, s.Opened,
		s.Lists, ready)
}

// newRigSoak is the command rig soak.
func newRigSoak() *cobra.Command {
	var rig rigFlags
	var members, clients int
	var duration, interval time.Duration
	command := &cobra.Command{
		Use: "soak", Short: "Run the ledger and the singleton roles under a load; watch memory and disk over time",
		Example: "  cresshub rig soak --for 30m --every 3m", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if members < minRigMembers || members > maxRigMembers || clients < 1 || clients > maxSoakClients ||
				interval < minSoakInterval || duration < interval || duration > maxSoakTime {
				return cli.UsageErrorf("--members %d to %d, --clients 1 to %d and --every from 1s to --for are allowed",
					minRigMembers, maxRigMembers, maxSoakClients)
			}
			return rig.run(func(ctx context.Context, o clusterrig.Options) error {
				samples, err := clusterrig.Soak(ctx, o, members, clients, duration, interval)
				if err != nil {
					return err
				}
				if rig.json {
					return json.NewEncoder(command.OutOrStdout()).Encode(samples)
				}
				return clusterrig.PrintSoak(command.OutOrStdout(), samples)
			})
		},
	}
	flagSet := command.Flags()
	flagSet.IntVar(&members, "members", 5, "processes")
	flagSet.IntVar(&clients, "clients", 8, "clients that send at once")
	flagSet.DurationVar(&duration, "for", 30*time.Minute, "how long")
	flagSet.DurationVar(&interval, "every", 3*time.Minute, "between looks")
	rig.add(command)
	return command
}
