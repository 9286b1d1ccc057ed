package groupstate

import (
	"os"
	"path/filepath"
	"testing"

	"cresshub/internal/cluster/lease"
	"cresshub/internal/cluster/ledger"
	"cresshub/internal/testbed/goldenfile"
)

var (
	goldenGrant = lease.Grant{Holder: "odori-1", Token: 12, Renewals: 13}
	goldenKey   = ledger.Key{Tenant: "ramen-kita", Class: "zone-lookup", Answer: "passed"}
	goldenRow   = ledger.Row{Key: goldenKey, Usage: ledger.Usage{Count: 21, BytesIn: 22, BytesOut: 23},
		Corrections: ledger.Usage{Count: -24, BytesIn: -25, BytesOut: -26}}
	goldenCorrection = PendingCorrection{Seq: 31, Correction: ledger.Correction{ID: "fix-1", Period: 32,
		Key: goldenKey, Usage: ledger.Usage{Count: -33, BytesIn: -34, BytesOut: -35}, Reason: "counted twice"}}
	goldenStats = Stats{Grants: 41, Stale: 42, Rejected: 43, ExportedPeriods: 44, DroppedPeriods: 45,
		ExportedCorrections: 46, EndpointLists: 47}
)

// checkGoldenEntry compares an encoded log entry with its golden file, and the decoded file with want.
func checkGoldenEntry[C any](t *testing.T, name string, want C, raw []byte) {
	t.Helper()
	goldenfile.CheckFieldsSet(t, name, want)
	var got C
	read := func(c *C) Result {
		got = *c
		return Result{Status: StatusAccepted}
	}
	golden := goldenfile.CheckBytes(t, name, raw)
	result := decodeAndApply(newTestLog(t).machine, golden, read)
	goldenfile.CheckDecoded(t, name, result, Result{Status: StatusAccepted})
	goldenfile.CheckDecoded(t, name, got, want)
}

// The log stores structs as arrays in the order of their fields. Each field has a different value here, so
// that the test detects two fields that were swapped.
func TestGoldenEntriesAreReadAndWrittenByteForByte(t *testing.T) {
	intent := ExportIntent{Member: "odori-1", Token: 300, Period: 70_000}
	checkGoldenEntry(t, "intent.bin", intent, intent.Encode())
	done := ExportDone{Member: "odori-1", Token: 301, Period: 70_001}
	checkGoldenEntry(t, "done.bin", done, done.Encode())
	corrections := CorrectionsExported{Member: "odori-1", Token: 302, UpToSeq: 70_002}
	checkGoldenEntry(t, "settled.bin", corrections, corrections.Encode())
	list := PublishEndpointList{Member: "odori-1", Token: 303, DiscoveryIndex: 70_003,
		Raw: []byte(`{"index":70003}`)}
	checkGoldenEntry(t, "list.bin", list, list.Encode())

	for name, op := range map[string]lease.Op{"take.bin": lease.Acquire, "renew.bin": lease.Renew,
		"release.bin": lease.Release} {
		c := lease.Command{Op: op, Role: FleetRole, Member: "odori-1", Expected: goldenGrant}
		checkGoldenEntry(t, name, c, EncodeLease(c))
	}
}

// goldenEndpointState returns the endpoint state after the command of list.bin was applied at an index.
func goldenEndpointState(index uint64) endpointState {
	return endpointState{Token: 303, Version: index, ChangedVersion: index, DiscoveryIndex: 70_003,
		Raw: []byte(`{"index":70003}`)}
}

// Each golden entry is applied as the command that its first byte, the kind, names.
func TestGoldenEntriesAreAppliedByKind(t *testing.T) {
	golden := func(name string) []byte {
		raw, err := os.ReadFile(filepath.Join("testdata", "golden", name))
		if err != nil {
			t.Fatal(err)
		}
		return raw
	}
	m := newTestLog(t).machine
	grants := map[string]lease.Grant{FleetRole: goldenGrant}
	m.leases.Restore(grants)
	goldenfile.CheckDecoded(t, "renew.bin", m.Apply(50, golden("renew.bin")),
		any(lease.Result{Applied: true, Grant: lease.Grant{Holder: "odori-1", Token: 12, Renewals: 14}}))
	m.leases.Restore(grants)
	goldenfile.CheckDecoded(t, "take.bin", m.Apply(51, golden("take.bin")),
		any(lease.Result{Applied: true, Grant: lease.Grant{Holder: "odori-1", Token: 51}}))
	m.leases.Restore(grants)
	goldenfile.CheckDecoded(t, "release.bin", m.Apply(52, golden("release.bin")),
		any(lease.Result{Applied: true, Grant: lease.Grant{Token: 12, Renewals: 14}}))

	setOwnerToken := func(token uint64) {
		m.leases.Restore(map[string]lease.Grant{FleetRole: {Holder: "odori-1", Token: token}})
	}
	setOwnerToken(300)
	goldenfile.CheckDecoded(t, "intent.bin", m.Apply(53, golden("intent.bin")), any(Result{
		Status: StatusRejected, Reason: "period 70000 is not the next to export, which is 0"}))
	setOwnerToken(301)
	goldenfile.CheckDecoded(t, "done.bin", m.Apply(54, golden("done.bin")), any(Result{Status: StatusRejected,
		Reason: "no export of period 70001 is open"}))
	setOwnerToken(302)
	goldenfile.CheckDecoded(t, "settled.bin", m.Apply(55, golden("settled.bin")), any(Result{
		Status: StatusRejected, Reason: "no correction 70002 was added"}))
	setOwnerToken(303)
	goldenfile.CheckDecoded(t, "list.bin", m.Apply(56, golden("list.bin")), any(Result{Status: StatusAccepted}))
	goldenfile.CheckDecoded(t, "list.bin", m.state.Endpoints, goldenEndpointState(56))
}

func TestGoldenSnapshotIsReadAndWrittenByteForByte(t *testing.T) {
	want := newTestLog(t).machine
	want.Ledger.Apply(60, (&ledger.Batch{Member: "x", Incarnation: 1, Seq: 1, Usage: []ledger.KeyUsage{{
		Key: goldenKey, Usage: ledger.Usage{Count: 2, BytesIn: 3, BytesOut: 4}}}}).Encode())
	want.appliedIndex = 61
	want.leases.Restore(map[string]lease.Grant{FleetRole: goldenGrant,
		"another": {Holder: "susukino-2", Token: 14, Renewals: 15}})
	want.state = state{ExportStarted: true, LastExported: 51, OpenExport: &openExport{Period: 52, Token: 53,
		Rows: []ledger.Row{goldenRow}},
		PendingCorrections: []PendingCorrection{goldenCorrection}, LastCorrectionSeq: 54,
		Endpoints: goldenEndpointState(55), Stats: goldenStats}
	want.state.Endpoints.ChangedVersion = 57
	goldenfile.CheckFieldsSet(t, "state", want.state)
	golden := goldenfile.CheckBytes(t, "snapshot.bin", want.Snapshot())
	got := newTestLog(t).machine
	if err := got.Restore(golden); err != nil {
		t.Fatal(err)
	}
	goldenfile.CheckDecoded(t, "snapshot.bin", got.state, want.state)
	goldenfile.CheckDecoded(t, "snapshot.bin", got.appliedIndex, want.appliedIndex)
	goldenfile.CheckDecoded(t, "snapshot.bin", got.leases, want.leases)
	goldenfile.CheckDecoded(t, "snapshot.bin", got.Ledger.Snapshot(), want.Ledger.Snapshot())
	goldenfile.CheckBytes(t, "snapshot.bin", got.Snapshot())

	// A snapshot from before leases and exports existed contains only the ledger.
	old := newTestLog(t).machine
	ledgerSnapshot := goldenfile.CheckBytes(t, "snapshot-of-the-ledger.bin", want.Ledger.Snapshot())
	if err := old.Restore(ledgerSnapshot); err != nil {
		t.Fatal(err)
	}
	goldenfile.CheckDecoded(t, "snapshot-of-the-ledger.bin", old.Ledger.Snapshot(), want.Ledger.Snapshot())
	goldenfile.CheckDecoded(t, "snapshot-of-the-ledger.bin", old.appliedIndex, uint64(60))
}

func TestGoldenQueriesAndRepliesAreReadAndWrittenByteForByte(t *testing.T) {
	q := Query{Kind: QueryEndpoints, ChangedAfter: 61, Query: ledger.Query{Tenant: "ramen-kita", Period: 62}}
	goldenfile.CheckJSON(t, "query.json", q)
	goldenfile.CheckBytes(t, "query.json", q.Encode())
	goldenfile.CheckJSON(t, "questions.json", []string{QueryGrant, QueryView, QueryPendingExport, QueryEndpoints,
		FleetRole, StatusAccepted, StatusStale,
		StatusRejected})
	goldenfile.CheckJSON(t, "result.json", Result{Status: StatusStale, Reason: "another's"})
	list := EndpointView{Version: 71, ChangedVersion: 72, Token: 73, DiscoveryIndex: 74,
		Raw: []byte(`{"index":74}`)}
	goldenfile.CheckJSON(t, "list.json", list)
	goldenfile.CheckJSON(t, "view.json", View{Grant: goldenGrant, LastExported: 81, IntentPeriod: 82,
		IntentToken: 83, FinalPeriod: 84, OpenPeriod: 85, Backlog: 86, PendingCorrections: 87,
		Endpoints: list, Stats: goldenStats})
	goldenfile.CheckJSON(t, "statement.json", PendingExport{Grant: goldenGrant, DuePeriod: 91, IntentPeriod: 92,
		IntentToken: 93, Rows: []ledger.Row{goldenRow}, Corrections: []PendingCorrection{goldenCorrection}})
}
