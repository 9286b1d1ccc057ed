package cli

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"cresshub/internal/cluster/leaseholder"
)

func newOwner() *cobra.Command {
	c := &cobra.Command{
		Use: "owner", Short: "Show who owns the fleet's singleton roles, as a running proxy sees it",
		Example: "  cresshub owner status --door 127.0.0.1:9901"}
	var adminAddress string
	var asJSON bool
	status := &cobra.Command{
		Use: "status", Short: "Print the owner, its token, the remaining lease time, and each role's last run",
		Example: "  cresshub owner status --door 127.0.0.1:9901 --json", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var p leaseholder.Page
			err := getPage(adminAddress, "/_owner", "has no singleton roles (its owner.chores is empty)", &p)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(c.OutOrStdout(), p)
			}
			return printOwner(c, &p)
		},
	}
	addAdminFlag(status, &adminAddress)
	status.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	c.AddCommand(status)
	return c
}

// printOwner prints the page as tables, and returns an error if the proxy could not read the store.
func printOwner(c *cobra.Command, p *leaseholder.Page) error {
	w := newTable(c.OutOrStdout(), 0)
	const unknown = "known to the owner only"
	holder, owned, left := p.Holder, unknown, unknown
	if holder == "" {
		holder = "(nobody)"
	}
	if p.Owns {
		owned = fmt.Sprintf("%d ms", p.OwnedForMS)
		left = fmt.Sprintf("%d ms", p.LeaseRemainingMS)
	}
	w.println("OWNER\tTOKEN\tHERE\tOWNED FOR\tLEASE LEFT")
	w.printf("%s\t%d\t%v\t%s\t%s\n", holder, p.Token, p.Owns, owned, left)
	w.println("\nROLE\tLAST RUN HERE\tWAITING\tPROBLEM")
	for _, s := range p.Roles {
		last := "never"
		if s.SinceLastRunMS >= 0 {
			last = (time.Duration(s.SinceLastRunMS) * time.Millisecond).String() + " ago"
		}
		w.printf("%s\t%s\t%d\t%s\n", s.Role, last, s.Backlog, s.Problem)
	}
	if v := p.Store; v != nil {
		w.println("\nEXPORTED\tSENDING\tMAY BE SENT\tOPEN\tCORRECTIONS\tLIST\tSTALE ENTRIES")
		w.printf("%d\t%d\t%d\t%d\t%d\t%d\t%d\n", v.LastExported, v.IntentPeriod, v.FinalPeriod, v.OpenPeriod,
			v.PendingCorrections, v.Endpoints.Version, v.Stats.Stale)
	}
	if l := p.Endpoints; l != nil {
		from := "discovery"
		if l.FromOwner {
			from = "the owner"
		}
		w.printf("\nthe list here comes from %s; an owner published it %d ms ago\n", from, l.AgeMS)
	}
	stats := &p.Stats
	w.println("\nLEASES HERE\tLOST\tGIVEN BACK\tCALLS\tREFUSED\tFAILED\tENTRIES\tREPEATED\tRESUMED")
	w.printf("%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", stats.Grants, stats.Losses, stats.Resigned, stats.Calls,
		stats.RejectedCalls, stats.FailedCalls, stats.Entries, stats.Duplicates, stats.Resumed)
	if err := w.flush(); err != nil {
		return err
	}
	if p.Problem != "" {
		return fmt.Errorf("the proxy could not read the store: %s", p.Problem)
	}
	return nil
}
