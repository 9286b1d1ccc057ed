package cli

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"cresshub/internal/cluster/gossip"
)

func newFleet() *cobra.Command {
	c := &cobra.Command{Use: "fleet", Short: "Show a running proxy's view of the fleet of proxies",
		Example: "  cresshub fleet members --door 127.0.0.1:9901 --json"}
	var adminAddress string
	var asJSON bool
	members := &cobra.Command{
		Use: "members", Short: "Print each member as this proxy sees it: state, time in that state, incarnation",
		Example: "  cresshub fleet members --door 127.0.0.1:9901", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var page gossip.Page
			err := getPage(adminAddress, "/_fleet", "is not a member of a fleet (its fleet.bind is empty)", &page)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(c.OutOrStdout(), page)
			}
			w := newTable(c.OutOrStdout(), 0)
			w.println("NAME\tADDRESS\tSTATUS\tGONE\tPHASE\tSINCE\tINCARNATION\tHALL\tFLAPS")
			for _, m := range page.Members {
				w.printf("%s\t%s\t%s\t%v\t%s\t%s\t%d\t%s\t%d\n", m.Name, m.Address, m.Status, m.Gone, m.Phase,
					(time.Duration(m.AgeMS) * time.Millisecond).Round(time.Millisecond), m.Incarnation, m.Hall, m.Flaps)
			}
			if err := w.flush(); err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "seen by %s (label %q): %+v\n", page.Self, page.Label, page.Counters)
			return err
		},
	}
	addAdminFlag(members, &adminAddress)
	members.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	c.AddCommand(members)
	return c
}
