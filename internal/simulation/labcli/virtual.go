package labcli

import (
	"strings"
	"time"

	"github.com/spf13/cobra"

	"cresshub/internal/proxy/cli"
	"cresshub/internal/simulation/proxysim"
)

// Bounds of the flags of swim and lists.
const (
	minMembers     = 3
	maxMembers     = 10000
	maxTrialRepeat = 1000
)

// swimFlags are the flags of the command swim.
type swimFlags struct {
	options proxysim.SWIMOptions
	members []int
	repeat  []int // one, or one for each of members
	trials  []string
	json    bool
}

// newSwim is the command swim.
func newSwim() *cobra.Command {
	var s swimFlags
	command := &cobra.Command{
		Use: "swim", Short: "Play the fleet view's gossip in virtual time, at sizes that processes don't reach",
		Long: "Trials: " + strings.Join(proxysim.SWIMTrialNames, ", ") + ". The settings are those of\n" +
			"`cresshub rig`, whose scenarios of the same names play them with real processes.",
		Example: "  cresshub-lab swim --members 5,10,30,300 --trial kill,partition --repeat 20",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			rows, err := s.run()
			if err != nil {
				return err
			}
			return printRows(command, s.json, rows, "trial\tmembers\trepeat\tmedian\tworst\theal median\theal worst\t"+
				"missed\tbytes/member/s\tpackets/member/s\tfalse deaths\t",
				func(t *table, r proxysim.SWIMTrialResult) {
					t.row("%s\t%d\t%d\t%.0f ms\t%.0f ms\t%.0f ms\t%.0f ms\t%d\t%.0f\t%.1f\t%d\t", r.Trial, r.Members,
						r.Repeat, r.Median, r.Worst, r.Heal, r.HealWorst, r.Missed, r.Bytes, r.Packets, r.FalseDeaths)
				})
		},
	}
	f, o := command.Flags(), &s.options
	f.IntSliceVar(&s.members, "members", []int{5, 10, 30}, "sizes of the fleet")
	f.StringSliceVar(&s.trials, "trial", proxysim.SWIMTrialNames, "which to play")
	f.IntSliceVar(&s.repeat, "repeat", []int{20}, "times, each with a seed of its own; one count or one a size")
	f.DurationVar(&o.Probe, "probe", 200*time.Millisecond, "between probes of one member")
	f.DurationVar(&o.ProbeTimeout, "probe-timeout", 100*time.Millisecond, "for a direct answer")
	f.DurationVar(&o.Gossip, "gossip", 100*time.Millisecond, "between rounds of gossip")
	f.IntVar(&o.SuspicionMult, "suspicion-mult", 4, "a suspicion lasts this many probes times log(members)")
	f.DurationVar(&o.RejoinInterval, "rejoin", 500*time.Millisecond, "between attempts to join the dead")
	f.DurationVar(&o.SyncPerMember, "sync-each", 500*time.Millisecond,
		"between full exchanges, times the members")
	f.DurationVar(&o.GossipToDead, "gone-after", 2*time.Second, "the dead hear gossip for so long")
	f.DurationVar(&o.Latency, "latency", 150*time.Microsecond, "one way, with handling")
	f.DurationVar(&o.Jitter, "jitter", 300*time.Microsecond, "further, even from 0 to this")
	f.IntVar(&o.Seeds, "seeds", 1, "members that the others try to join")
	f.IntVar(&o.NameBytes, "name-bytes", 4, "of a member's name")
	f.IntVar(&o.MetaBytes, "meta-bytes", 58, "of a member's metadata")
	f.Uint64Var(&o.Seed, "seed", 1, "of the first repeat")
	f.BoolVar(&s.json, "json", false, "print one JSON array")
	return command
}

// run runs all trials at all sizes.
func (s *swimFlags) run() ([]proxysim.SWIMTrialResult, error) {
	if len(s.repeat) != 1 && len(s.repeat) != len(s.members) {
		return nil, cli.UsageErrorf("--repeat takes one count, or one for each of --members")
	}
	var rows []proxysim.SWIMTrialResult
	for _, trial := range s.trials {
		for i, members := range s.members {
			times := s.repeat[min(i, len(s.repeat)-1)]
			if members < minMembers || members > maxMembers || times < 1 || times > maxTrialRepeat {
				return nil, cli.UsageErrorf("--members %d to %d and --repeat 1 to %d are allowed", minMembers,
					maxMembers, maxTrialRepeat)
			}
			s.options.Members = members
			result, err := proxysim.RunSWIMTrial(trial, s.options, times)
			if err != nil {
				return nil, cli.UsageErrorf("--trial %v", err)
			}
			rows = append(rows, result)
		}
	}
	return rows, nil
}

// listFlags are the flags of the command lists.
type listFlags struct {
	options proxysim.ListTrialOptions
	members []int
	trials  []string
	json    bool
}

// newLists is the command lists.
func newLists() *cobra.Command {
	var l listFlags
	command := &cobra.Command{
		Use: "lists", Short: "Count calls on discovery in virtual time, at sizes that processes don't reach",
		Example: "  cresshub-lab lists --members 300,3000 --trial rolling", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			rows, err := l.run()
			if err != nil {
				return err
			}
			return printRows(command, l.json, rows,
				"trial\tmembers\towner\tcalls a minute\tworst second\tasked alone\twatches\tno list\t",
				func(t *table, r proxysim.ListTrialResult) {
					t.row("%s\t%d\t%v\t%d\t%d\t%d\t%d\t%d\t", r.Trial, r.Proxies, r.Owner, r.Calls, r.Peak,
						r.SelfFetching, r.Watches, r.WithoutList)
				})
		},
	}
	f, o := command.Flags(), &l.options
	f.IntSliceVar(&l.members, "members", []int{5, 10, 30, 300, 3000}, "sizes of the fleet")
	f.StringSliceVar(&l.trials, "trial", proxysim.ListTrialNames, "which to play")
	f.DurationVar(&o.MaxAge, "list-max-age", 4*time.Second, "owner.list_max_age")
	f.DurationVar(&o.Poll, "list-poll", 250*time.Millisecond, "owner.list_poll")
	f.DurationVar(&o.Lease, "lease", 2*time.Second, "owner.lease")
	f.Uint64Var(&o.Seed, "seed", 1, "of all that is drawn")
	f.BoolVar(&l.json, "json", false, "print one JSON array")
	return command
}

// run runs all trials at all sizes, without an owner and with one.
func (l *listFlags) run() ([]proxysim.ListTrialResult, error) {
	var rows []proxysim.ListTrialResult
	for _, trial := range l.trials {
		for _, members := range l.members {
			if members < minMembers || members > maxMembers {
				return nil, cli.UsageErrorf("--members %d to %d are allowed", minMembers, maxMembers)
			}
			for _, owned := range []bool{false, true} {
				l.options.Proxies, l.options.Owner = members, owned
				result, err := proxysim.RunListTrial(trial, l.options)
				if err != nil {
					return nil, cli.UsageErrorf("--trial %v", err)
				}
				rows = append(rows, result)
			}
		}
	}
	return rows, nil
}
