//go:build !router_only

package cli

import (
	"bytes"
	"fmt"
	"io"

	"cresshub/internal/testbed/routerstandin"
	"cresshub/internal/testbed/routertrial"
)

// printReport prints the events and tables of a trial.
func printReport(out io.Writer, report *routertrial.Report) error {
	var text bytes.Buffer
	for _, line := range report.Notes {
		fmt.Fprintln(&text, line)
	}
	fmt.Fprintf(&text, "\n%.1f s at %.0f requests a second\n", report.Seconds, report.Rate)
	for _, event := range report.Events {
		fmt.Fprintln(&text, event)
	}
	for _, table := range []*table{kindsTable(report.Kinds), serversTable(report.Servers)} {
		text.WriteByte('\n')
		if err := table.print(&text); err != nil {
			return err
		}
	}
	for _, reason := range report.Reasons {
		fmt.Fprintf(&text, "not served: %d x %s\n", reason.Count, reason.Text)
	}
	text.WriteByte('\n')
	if err := rulesTable(report.Rules).print(&text); err != nil {
		return err
	}
	_, err := text.WriteTo(out)
	return err
}

// kindsTable has a row for each kind of request.
func kindsTable(kinds []routerstandin.KindTally) *table {
	table := newTable("KIND", "ASKED", "IN TIME", "LATE", "REJECTED", "FAILED", "P50", "P99")
	for _, kind := range kinds {
		table.add(kind.Kind, kind.Asked, kind.InTime, kind.Late, kind.Rejected, kind.Failed,
			milliseconds(kind.P50), milliseconds(kind.P99))
	}
	return table
}

func milliseconds(value float64) string { return fmt.Sprintf("%.0f ms", value) }

// serversTable has a row for each server.
func serversTable(servers []routerstandin.ServerTally) *table {
	table := newTable("SERVER", "SERVICE", "ZONE", "ROLE", "CALLS", "PREFILLS", "RUN", "REJECTED", "ABORTED")
	for _, server := range servers {
		table.add(server.ID, server.Service, server.Zone, roleName(server.Stage), server.Arrivals, server.Prefills,
			server.Runs, server.Rejected, server.Aborted)
	}
	return table
}

// rulesTable has a row for each rule, followed by rows with the details of its violations.
func rulesTable(rules []routerstandin.Verdict) *table {
	table := newTable("RULE", "STATE")
	for _, rule := range rules {
		if rule.Violations == 0 {
			table.add(rule.Rule, "kept")
			continue
		}
		table.add(rule.Rule, fmt.Sprintf("BROKEN %d times", rule.Violations))
		for _, detail := range rule.Details {
			table.add("", detail)
		}
	}
	return table
}
