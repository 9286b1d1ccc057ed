package cli

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"cresshub/internal/proxy/daemon"
)

// ledgerMissing completes the error for a proxy without a ledger; see getPage.
const ledgerMissing = "has no ledger (its ledger.bind is empty)"

func newLedger() *cobra.Command {
	c := &cobra.Command{
		Use: "ledger", Short: "Show or correct the ledger of usage by tenant, by a running proxy",
		Example: "  cresshub ledger show --door 127.0.0.1:9901 --tenant ramen-kita"}
	var adminAddress, tenant string
	var period uint64
	var asJSON bool
	show := &cobra.Command{
		Use: "show", Short: "Print usage by period, tenant, class and answer, and what is not yet committed",
		Example: "  cresshub ledger show --door 127.0.0.1:9901 --period 12", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			query := url.Values{}
			if tenant != "" {
				query.Set("tenant", tenant)
			}
			if period != 0 {
				query.Set("period", fmt.Sprint(period))
			}
			var page daemon.LedgerPage
			if err := getPage(adminAddress, "/_ledger?"+query.Encode(), ledgerMissing, &page); err != nil {
				return err
			}
			if asJSON {
				return printJSON(c.OutOrStdout(), page)
			}
			return printLedger(c, &page)
		},
	}
	addAdminFlag(show, &adminAddress)
	f := show.Flags()
	f.StringVar(&tenant, "tenant", "", "show only this tenant")
	f.Uint64Var(&period, "period", 0, "show only this period")
	f.BoolVar(&asJSON, "json", false, "print one JSON object")
	c.AddCommand(show, newLedgerCorrect())
	return c
}

func newLedgerCorrect() *cobra.Command {
	var adminAddress, id, tenant, class, answer, reason string
	var period uint64
	var n, bytesIn, bytesOut int64
	c := &cobra.Command{
		Use: "correct", Short: "Record a correction to a closed period; the same id counts once",
		Example: "  cresshub ledger correct --id ticket-7 --period 12 --tenant ramen-kita --class zone-lookup " +
			"--answer passed --n -3 --reason refund",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			query := url.Values{
				"id": {id}, "tenant": {tenant}, "class": {class}, "answer": {answer}, "reason": {reason},
			}
			for key, v := range map[string]int64{
				"period": int64(period), "n": n, "bytes_in": bytesIn, "bytes_out": bytesOut,
			} {
				query.Set(key, fmt.Sprint(v))
			}
			path := "/_ledger/correct?" + query.Encode()
			var reply daemon.CorrectionReply
			if err := callAdmin(http.MethodPost, adminAddress, path, ledgerMissing, &reply); err != nil {
				return err
			}
			if reply.Problem != "" {
				return fmt.Errorf("not corrected: %s", strings.ReplaceAll(reply.Problem, "\n", ", "))
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), reply.String())
			return err
		},
	}
	addAdminFlag(c, &adminAddress)
	f := c.Flags()
	f.StringVar(&id, "id", "", "unique id; a correction whose id the ledger has already is ignored")
	f.StringVar(&tenant, "tenant", "", "tenant")
	f.StringVar(&class, "class", "", "class")
	f.StringVar(&answer, "answer", "", "outcome of the requests: passed, dropped or bad_gateway")
	f.StringVar(&reason, "reason", "", "why")
	f.Uint64Var(&period, "period", 0, "id of the closed period")
	f.Int64Var(&n, "n", 0, "change of the number of answers; may be negative")
	f.Int64Var(&bytesIn, "bytes-in", 0, "change of the bytes from clients; may be negative")
	f.Int64Var(&bytesOut, "bytes-out", 0, "change of the bytes to clients; may be negative")
	return c
}

// printLedger prints the page as tables, and returns an error if the proxy could not read the ledger.
func printLedger(c *cobra.Command, page *daemon.LedgerPage) error {
	w := newTable(c.OutOrStdout(), 0)
	if v := page.Ledger; v != nil {
		w.println("PERIOD\tCLOSED\tTENANT\tCLASS\tANSWER\tN\tBYTES IN\tBYTES OUT\tCORRECTED")
		for _, p := range v.Periods {
			closed := "open"
			if p.ClosedMS > 0 {
				closed = time.UnixMilli(p.ClosedMS).UTC().Format(time.RFC3339)
			}
			for _, r := range p.Rows {
				w.printf("%d\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%+d\n", p.ID, closed, r.Tenant, r.Class, r.Answer,
					r.Count, r.BytesIn, r.BytesOut, r.Corrections.Count)
			}
		}
	}
	group, local := &page.Group, &page.Here
	w.println("\nGROUP\tROLE HERE\tLEADER\tTERM\tAPPLIED\tVOTERS\tLEARNERS")
	w.printf("%s\t%s\t%s\t%d\t%d\t%s\t%s\n", group.Group, group.Role, group.Leader,
		group.Term, group.Applied, strings.Join(group.Voters, " "), strings.Join(group.Learners, " "))
	w.println("\nCOUNTED HERE\tPROMISED\tWAITING\tIN MEMORY\tOLDEST\tLOST\tCOMMIT P99")
	w.printf("%d\t%d\t%d\t%d\t%d ms\t%d\t%.1f ms\n", local.Counted, local.Committed, local.Queued,
		local.InMemory, local.OldestMS, local.Lost, local.CommitP99MS)
	if err := w.flush(); err != nil {
		return err
	}
	if group.Stalled != "" {
		if _, err := fmt.Fprintln(c.OutOrStdout(), "this replica is stalled:", group.Stalled); err != nil {
			return err
		}
	}
	if page.Problem != "" {
		return fmt.Errorf("the proxy could not read the ledger: %s", page.Problem)
	}
	return nil
}
