package labcli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"cresshub/internal/proxy/cli"
	"cresshub/internal/simulation/proxysim"
)

func newSwim() *cobra.Command {
	o := proxysim.SWIMOptions{}
	var members, repeat []int
	var trials []string
	var asJSON bool
	c := &cobra.Command{
		Use: "swim", Short: "Play the fleet view's gossip in virtual time, at sizes that processes don't reach",
		Long: "Trials: " + strings.Join(proxysim.SWIMTrialNames, ", ") + ". The settings are those of\n" +
			"`cresshub rig`, whose scenarios of the same names play them with real processes.",
		Example: "  cresshub-lab swim --members 5,10,30,300 --trial kill,partition --repeat 20",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if len(repeat) != 1 && len(repeat) != len(members) {
				return cli.UsageErrorf("--repeat takes one count, or one for each of --members")
			}
			var rows []proxysim.SWIMTrialResult
			for _, trial := range trials {
				for i, n := range members {
					times := repeat[min(i, len(repeat)-1)]
					if n < 3 || n > 10000 || times < 1 || times > 1000 {
						return cli.UsageErrorf("--members 3 to 10000 and --repeat 1 to 1000 are allowed")
					}
					o.Members = n
					r, err := proxysim.RunSWIMTrial(trial, o, times)
					if err != nil {
						return cli.UsageErrorf("--trial %v", err)
					}
					rows = append(rows, r)
				}
			}
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(rows)
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(w, "trial\tmembers\trepeat\tmedian\tworst\theal median\theal worst\tmissed\tbytes/member/s\t"+
				"packets/member/s\tfalse deaths\t")
			for _, r := range rows {
				fmt.Fprintf(w, "%s\t%d\t%d\t%.0f ms\t%.0f ms\t%.0f ms\t%.0f ms\t%d\t%.0f\t%.1f\t%d\t\n", r.Trial,
					r.Members, r.Repeat, r.Median, r.Worst, r.Heal, r.HealWorst, r.Missed, r.Bytes, r.Packets, r.FalseDeaths)
			}
			return w.Flush()
		},
	}
	f := c.Flags()
	f.IntSliceVar(&members, "members", []int{5, 10, 30}, "sizes of the fleet")
	f.StringSliceVar(&trials, "trial", proxysim.SWIMTrialNames, "which to play")
	f.IntSliceVar(&repeat, "repeat", []int{20}, "times, each with a seed of its own; one count or one a size")
	f.DurationVar(&o.Probe, "probe", 200*time.Millisecond, "between probes of one member")
	f.DurationVar(&o.ProbeTimeout, "probe-timeout", 100*time.Millisecond, "for a direct answer")
	f.DurationVar(&o.Gossip, "gossip", 100*time.Millisecond, "between rounds of gossip")
	f.IntVar(&o.SuspicionMult, "suspicion-mult", 4, "a suspicion lasts this many probes times log(members)")
	f.DurationVar(&o.RejoinInterval, "rejoin", 500*time.Millisecond, "between tries to join the dead")
	f.DurationVar(&o.SyncPerMember, "sync-each", 500*time.Millisecond,
		"between full exchanges, times the members")
	f.DurationVar(&o.GossipToDead, "gone-after", 2*time.Second, "the dead hear gossip for so long")
	f.DurationVar(&o.Latency, "latency", 150*time.Microsecond, "one way, with handling")
	f.DurationVar(&o.Jitter, "jitter", 300*time.Microsecond, "further, even from 0 to this")
	f.IntVar(&o.Seeds, "seeds", 1, "members that the others try to join")
	f.IntVar(&o.NameBytes, "name-bytes", 4, "of a member's name")
	f.IntVar(&o.MetaBytes, "meta-bytes", 58, "of a member's metadata")
	f.Uint64Var(&o.Seed, "seed", 1, "of the first repeat")
	f.BoolVar(&asJSON, "json", false, "print one JSON array")
	return c
}
