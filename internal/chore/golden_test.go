package chore

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"cresshub/internal/lease"
	"cresshub/internal/ledger"
)

var (
	goldenGrant = lease.Grant{Holder: "odori-1", Token: 12, Renewed: 13}
	goldenKey   = ledger.Key{Tenant: "ramen-kita", Class: "zone-lookup", Answer: "passed"}
	goldenRow   = ledger.Row{Key: goldenKey, Sum: ledger.Sum{N: 21, In: 22, Out: 23},
		Corrections: ledger.Sum{N: -24, In: -25, Out: -26}}
	goldenFix = Fix{Seq: 31, Correction: ledger.Correction{ID: "fix-1", Period: 32, Key: goldenKey,
		Sum: ledger.Sum{N: -33, In: -34, Out: -35}, Reason: "counted twice"}}
	goldenFigures = Figures{Grants: 41, Stale: 42, Refused: 43, Periods: 44, Unsent: 45, Fixes: 46, Lists: 47}
)

// goldenEntry holds an entry of the log to its file, both ways.
func goldenEntry[C any](t *testing.T, name string, want C, raw []byte) {
	t.Helper()
	goldenSet(t, name, reflect.ValueOf(want))
	var got C
	read := func(c *C) Result {
		got = *c
		return Result{Status: Taken}
	}
	goldenSame(t, name, decoded(newLog(t).m, goldenFile(t, name, raw), read), Result{Status: Taken})
	goldenSame(t, name, got, want)
}

// Structs stand in the log as arrays, in the order of their fields: each field's value is its own, so that
// two that change places show.
func TestGoldenEntriesAreReadAndWrittenByteForByte(t *testing.T) {
	intent := Intent{Member: "odori-1", Token: 300, Period: 70_000}
	goldenEntry(t, "intent.bin", intent, intent.Encode())
	done := Done{Member: "odori-1", Token: 301, Period: 70_001}
	goldenEntry(t, "done.bin", done, done.Encode())
	settled := Settled{Member: "odori-1", Token: 302, UpTo: 70_002}
	goldenEntry(t, "settled.bin", settled, settled.Encode())
	list := List{Member: "odori-1", Token: 303, Index: 70_003, Raw: []byte(`{"index":70003}`)}
	goldenEntry(t, "list.bin", list, list.Encode())

	for name, op := range map[string]lease.Op{"take.bin": lease.Take, "renew.bin": lease.Renew,
		"release.bin": lease.Release} {
		c := lease.Command{Op: op, Chore: Owner, Member: "odori-1", Seen: goldenGrant}
		goldenEntry(t, name, c, Lease(c))
	}
}

// goldenList is the list of list.bin as the machine holds it after it was applied at an index.
func goldenList(index uint64) held {
	return held{Token: 303, Version: index, Changed: index, Index: 70_003, Raw: []byte(`{"index":70003}`)}
}

// What the entries do: the byte before each says which of them it is.
func TestGoldenEntriesAreAppliedAsTheirKind(t *testing.T) {
	held := func(name string) []byte {
		raw, err := os.ReadFile(filepath.Join("testdata", "golden", name))
		if err != nil {
			t.Fatal(err)
		}
		return raw
	}
	m := newLog(t).m
	grants := map[string]lease.Grant{Owner: goldenGrant}
	m.leases.Restore(grants)
	goldenSame(t, "renew.bin", m.Apply(50, held("renew.bin")),
		any(lease.Result{Done: true, Grant: lease.Grant{Holder: "odori-1", Token: 12, Renewed: 14}}))
	m.leases.Restore(grants)
	goldenSame(t, "take.bin", m.Apply(51, held("take.bin")),
		any(lease.Result{Done: true, Grant: lease.Grant{Holder: "odori-1", Token: 51}}))
	m.leases.Restore(grants)
	goldenSame(t, "release.bin", m.Apply(52, held("release.bin")),
		any(lease.Result{Done: true, Grant: lease.Grant{Token: 12, Renewed: 14}}))

	own := func(token uint64) {
		m.leases.Restore(map[string]lease.Grant{Owner: {Holder: "odori-1", Token: token}})
	}
	own(300)
	goldenSame(t, "intent.bin", m.Apply(53, held("intent.bin")), any(Result{Status: Refused,
		Why: "period 70000 is not the next to be sent; that is 0"}))
	own(301)
	goldenSame(t, "done.bin", m.Apply(54, held("done.bin")), any(Result{Status: Refused,
		Why: "period 70001 is not being sent"}))
	own(302)
	goldenSame(t, "settled.bin", m.Apply(55, held("settled.bin")), any(Result{Status: Refused,
		Why: "there is no correction 70002"}))
	own(303)
	goldenSame(t, "list.bin", m.Apply(56, held("list.bin")), any(Result{Status: Taken}))
	goldenSame(t, "list.bin", m.s.List, goldenList(56))
}

func TestGoldenSnapshotIsReadAndWrittenByteForByte(t *testing.T) {
	want := newLog(t).m
	want.Ledger.Apply(60, (&ledger.Batch{Member: "x", Incarnation: 1, Seq: 1, Answers: []ledger.Answers{{
		Key: goldenKey, Sum: ledger.Sum{N: 2, In: 3, Out: 4}}}}).Encode())
	want.applied = 61
	want.leases.Restore(map[string]lease.Grant{Owner: goldenGrant,
		"another": {Holder: "susukino-2", Token: 14, Renewed: 15}})
	want.s = state{Begun: true, Exported: 51, Open: &open{Period: 52, Token: 53, Rows: []ledger.Row{goldenRow}},
		Fixes: []Fix{goldenFix}, FixSeq: 54, List: goldenList(55), Figures: goldenFigures}
	want.s.List.Changed = 57
	goldenSet(t, "state", reflect.ValueOf(want.s))
	held := goldenFile(t, "snapshot.bin", want.Snapshot())
	got := newLog(t).m
	if err := got.Restore(held); err != nil {
		t.Fatal(err)
	}
	goldenSame(t, "snapshot.bin", got.s, want.s)
	goldenSame(t, "snapshot.bin", got.applied, want.applied)
	goldenSame(t, "snapshot.bin", got.leases, want.leases)
	goldenSame(t, "snapshot.bin", got.Ledger.Snapshot(), want.Ledger.Snapshot())
	goldenFile(t, "snapshot.bin", got.Snapshot())

	// A snapshot from before there were chores is the ledger's alone.
	old := newLog(t).m
	if err := old.Restore(goldenFile(t, "snapshot-of-the-ledger.bin", want.Ledger.Snapshot())); err != nil {
		t.Fatal(err)
	}
	goldenSame(t, "snapshot-of-the-ledger.bin", old.Ledger.Snapshot(), want.Ledger.Snapshot())
	goldenSame(t, "snapshot-of-the-ledger.bin", old.applied, uint64(60))
}

func TestGoldenAnswersAndQueriesAreReadAndWrittenByteForByte(t *testing.T) {
	q := Query{Ask: AskList, After: 61, Query: ledger.Query{Tenant: "ramen-kita", Period: 62}}
	goldenJSON(t, "query.json", q)
	goldenFile(t, "query.json", q.Encode())
	goldenJSON(t, "questions.json", []string{AskGrant, AskView, AskStatement, AskList, Owner, Taken, Stale,
		Refused})
	goldenJSON(t, "result.json", Result{Status: Stale, Why: "another's"})
	list := ListView{Version: 71, Changed: 72, Token: 73, Index: 74, Raw: []byte(`{"index":74}`)}
	goldenJSON(t, "list.json", list)
	goldenJSON(t, "view.json", View{Grant: goldenGrant, Exported: 81, Sending: 82, Intent: 83, Final: 84,
		Open: 85, Backlog: 86, Fixes: 87, List: list, Figures: goldenFigures})
	goldenJSON(t, "statement.json", Statement{Grant: goldenGrant, Due: 91, Period: 92, Token: 93,
		Rows: []ledger.Row{goldenRow}, Fixes: []Fix{goldenFix}})
}
