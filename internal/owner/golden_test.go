package owner

import (
	"encoding/json"
	"testing"

	"cresshub/internal/chore"
	"cresshub/internal/lease"
	"cresshub/internal/ledger"
)

func TestGoldenPageIsReadAndWrittenByteForByte(t *testing.T) {
	goldenJSON(t, "page.json", Page{Self: "odori-1", Holder: "susukino-2", Token: 1, Here: true, LeaseLeft: 2,
		Chores: []Status{{Chore: "export", LastRun: 3, Backlog: 4, Problem: "the sink answered 500"}},
		Figures: Figures{Grants: 11, Renewals: 12, Losses: 13, GivenUp: 14, Calls: 15, Refused: 16, Stale: 17,
			Failed: 18, Entries: 19, Repeated: 20, Resumed: 21},
		List: &ListStatus{Held: true, AgeMS: 31, Version: 32},
		Store: &chore.View{Grant: lease.Grant{Holder: "odori-1", Token: 41, Renewed: 42}, Exported: 43,
			Sending: 44, Intent: 45, Final: 46, Open: 47, Backlog: 48, Fixes: 49,
			List: chore.ListView{Version: 51, Changed: 52, Token: 53, Index: 54, Raw: []byte(`{"index":54}`)},
			Figures: chore.Figures{Grants: 61, Stale: 62, Refused: 63, Periods: 64, Unsent: 65, Fixes: 66,
				Lists: 67}},
		Problem: "the group has no leader"})
}

// What the billing sink is sent, and what it answers. An entry's id must stay: the sink knows repeats by it.
func TestGoldenEntriesOfTheSinkAreReadAndWrittenByteForByte(t *testing.T) {
	key := ledger.Key{Tenant: "ramen-kita", Class: "zone-lookup", Answer: "passed"}
	sent := Entries(7, []ledger.Row{{Key: key, Sum: ledger.Sum{N: 100, In: 200, Out: 300},
		Corrections: ledger.Sum{N: 1, In: 2, Out: 3}}})
	sent = append(sent, corrections([]chore.Fix{{Seq: 8, Correction: ledger.Correction{ID: "fix-1", Period: 6,
		Key: key, Sum: ledger.Sum{N: -4, In: -5, Out: -6}, Reason: "counted twice"}}})...)
	goldenSame(t, "entries.json", sent, []Entry{
		{ID: "7/ramen-kita", Period: 7, Tenant: "ramen-kita",
			Lines: []Line{{"zone-lookup", "passed", ledger.Sum{N: 101, In: 202, Out: 303}}}},
		{ID: "6/correction/fix-1", Period: 6, Tenant: "ramen-kita",
			Lines: []Line{{"zone-lookup", "passed", ledger.Sum{N: -4, In: -5, Out: -6}}}, Reason: "counted twice"}})
	goldenJSON(t, "entry.json", sent[1])
	raw, err := json.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	var got []Entry
	if err := json.Unmarshal(goldenFile(t, "entries.json", raw), &got); err != nil {
		t.Fatal(err)
	}
	goldenSame(t, "entries.json", got, sent)
	goldenJSON(t, "taken.json", Taken{Stored: 9, Repeated: 10})
}
