package leaseholder

import (
	"encoding/json"
	"testing"

	"cresshub/internal/cluster/groupstate"
	"cresshub/internal/cluster/lease"
	"cresshub/internal/cluster/ledger"
	"cresshub/internal/testbed/goldenfile"
)

func TestGoldenPageIsReadAndWrittenByteForByte(t *testing.T) {
	goldenfile.CheckJSON(t, "page.json", Page{Self: "odori-1", Holder: "susukino-2", Token: 1, Owns: true,
		OwnedForMS:       6,
		LeaseRemainingMS: 2,
		Roles: []RoleStatus{{Role: "export", SinceLastRunMS: 3, Backlog: 4,
			Problem: "the sink answered 500"}},
		Stats: Stats{Grants: 11, Renewals: 12, Losses: 13, Resigned: 14, Calls: 15, RejectedCalls: 16,
			StaleCommands: 17, FailedCalls: 18, Entries: 19, Duplicates: 20, Resumed: 21},
		Endpoints: &EndpointStatus{FromOwner: true, AgeMS: 31, Version: 32},
		Store: &groupstate.View{Grant: lease.Grant{Holder: "odori-1", Token: 41, Renewals: 42}, LastExported: 43,
			IntentPeriod: 44, IntentToken: 45, FinalPeriod: 46, OpenPeriod: 47, Backlog: 48, PendingCorrections: 49,
			Endpoints: groupstate.EndpointView{Version: 51, ChangedVersion: 52, Token: 53, DiscoveryIndex: 54,
				Raw: []byte(`{"index":54}`)},
			Stats: groupstate.Stats{Grants: 61, Stale: 62, Rejected: 63, ExportedPeriods: 64, DroppedPeriods: 65,
				ExportedCorrections: 66, EndpointLists: 67}},
		Problem: "the group has no leader"})
}

// The entries sent to the billing sink and the sink's reply. The IDs of entries must never change, as the
// sink recognizes duplicates by them.
func TestGoldenEntriesOfTheSinkAreReadAndWrittenByteForByte(t *testing.T) {
	key := ledger.Key{Tenant: "ramen-kita", Class: "zone-lookup", Answer: "passed"}
	sent := PeriodEntries(7, []ledger.Row{{Key: key, Usage: ledger.Usage{Count: 100, BytesIn: 200,
		BytesOut: 300},
		Corrections: ledger.Usage{Count: 1, BytesIn: 2, BytesOut: 3}}})
	sent = append(sent, correctionEntries([]groupstate.PendingCorrection{{Seq: 8,
		Correction: ledger.Correction{ID: "fix-1", Period: 6,
			Key: key, Usage: ledger.Usage{Count: -4, BytesIn: -5, BytesOut: -6}, Reason: "counted twice"}}})...)
	goldenfile.CheckDecoded(t, "entries.json", sent, []Entry{
		{ID: "7/ramen-kita", Period: 7, Tenant: "ramen-kita",
			Items: []LineItem{{"zone-lookup", "passed", ledger.Usage{Count: 101, BytesIn: 202, BytesOut: 303}}}},
		{ID: "6/correction/fix-1", Period: 6, Tenant: "ramen-kita",
			Items:  []LineItem{{"zone-lookup", "passed", ledger.Usage{Count: -4, BytesIn: -5, BytesOut: -6}}},
			Reason: "counted twice"}})
	goldenfile.CheckJSON(t, "entry.json", sent[1])
	raw, err := json.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	var got []Entry
	if err := json.Unmarshal(goldenfile.CheckBytes(t, "entries.json", raw), &got); err != nil {
		t.Fatal(err)
	}
	goldenfile.CheckDecoded(t, "entries.json", got, sent)
	goldenfile.CheckJSON(t, "taken.json", SinkReply{Stored: 9, Duplicates: 10})
}
