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
	for _, t := range []*table{kindsTable(report.Kinds), serversTable(report.Servers)} {
		text.WriteByte('\n')
		if err := t.print(&text); err != nil {
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
	t := newTable("KIND", "ASKED", "IN TIME", "LATE", "REFUSED", "FAILED", "P50", "P99")
	for _, k := range kinds {
		t.add(k.Kind, k.Asked, k.InTime, k.Late, k.Rejected, k.Failed, milliseconds(k.P50), milliseconds(k.P99))
	}
	return t
}

func milliseconds(value float64) string { return fmt.Sprintf("%.0f ms", value) }

// serversTable has a row for each server.
func serversTable(servers []routerstandin.ServerTally) *table {
	t := newTable("SERVER", "SERVICE", "ZONE", "STAGE", "CALLS", "READ", "RUN", "TURNED AWAY", "BROKEN OFF")
	for _, s := range servers {
		t.add(s.ID, s.Service, s.Zone, s.Stage, s.Arrivals, s.Prefills, s.Runs, s.Rejected, s.Aborted)
	}
	return t
}

// rulesTable has a row for each rule, with rows below for the details of each break.
func rulesTable(rules []routerstandin.Verdict) *table {
	t := newTable("RULE", "STATE")
	for _, rule := range rules {
		if rule.Violations == 0 {
			t.add(rule.Rule, "kept")
			continue
		}
		t.add(rule.Rule, fmt.Sprintf("BROKEN %d times", rule.Violations))
		for _, detail := range rule.Details {
			t.add("", detail)
		}
	}
	return t
}
