package leaseholder

import (
	"fmt"

	"cresshub/internal/cluster/groupstate"
	"cresshub/internal/cluster/ledger"
)

// Entry is the usage of one tenant in one period, or one correction, in the format of the billing sink. The
// sink stores each ID once, however often it is sent.
type Entry struct {
	ID     string     `json:"id"`
	Period uint64     `json:"period"`
	Tenant string     `json:"tenant"`
	Items  []LineItem `json:"lines"`
	Reason string     `json:"reason,omitempty"` // of a correction
}

// LineItem is the usage of one class and final answer within an Entry, as an item of a bill.
type LineItem struct {
	Class  string `json:"class"`
	Answer string `json:"answer"`
	ledger.Usage
}

// SinkReply is the body of the sink's response to a call: how many of the call's entries it stored, and how
// many it had stored before.
type SinkReply struct {
	Stored     int `json:"stored"`
	Duplicates int `json:"repeated"`
}

// PeriodEntries returns the entries of a period, one per tenant, with corrections added to the usage. The
// rows must be sorted by tenant, as package ledger returns them.
func PeriodEntries(period uint64, rows []ledger.Row) []Entry {
	var entries []Entry
	for _, row := range rows {
		if len(entries) == 0 || entries[len(entries)-1].Tenant != row.Tenant {
			id := fmt.Sprintf("%d/%s", period, row.Tenant)
			entries = append(entries, Entry{ID: id, Period: period, Tenant: row.Tenant})
		}
		usage := row.Usage
		usage.Add(row.Corrections)
		last := &entries[len(entries)-1]
		last.Items = append(last.Items, LineItem{row.Class, row.Answer, usage})
	}
	return entries
}

// correctionEntries returns one entry for each correction.
func correctionEntries(pending []groupstate.PendingCorrection) []Entry {
	entries := make([]Entry, 0, len(pending))
	for _, correction := range pending {
		entries = append(entries, Entry{
			ID:     fmt.Sprintf("%d/correction/%s", correction.Period, correction.ID),
			Period: correction.Period,
			Tenant: correction.Tenant,
			Items:  []LineItem{{correction.Class, correction.Answer, correction.Usage}},
			Reason: correction.Reason,
		})
	}
	return entries
}
