package groupstate

import (
	"testing"

	"cresshub/internal/cluster/ledger"
)

// Applies each command of the export in and out of order, and under tokens other than that of the current
// grant, with which it must be rejected as stale.
func TestExportStepsRequireTheCurrentGrant(t *testing.T) {
	l := newTestLog(t)
	l.addPeriod(5)
	a := l.acquire("a")
	intent := func(member string, token, period uint64) []byte {
		return (&ExportIntent{Member: member, Token: token, Period: period}).Encode()
	}
	done := func(member string, token, period uint64) []byte {
		return (&ExportDone{Member: member, Token: token, Period: period}).Encode()
	}
	if s := l.pendingExport(); s.DuePeriod != 1 || s.IntentPeriod != 0 {
		t.Fatalf("%+v", s)
	}
	check := func(what string, got, want string) {
		t.Helper()
		if got != want {
			t.Errorf("%s: status %s, want %s", what, got, want)
		}
	}
	check("a period that does not exist", l.applyStatus(intent("a", a, 9)), StatusRejected)
	check("period 0", l.applyStatus(intent("a", a, 0)), StatusRejected)
	check("the ledger's open period", l.applyStatus(intent("a", a, 2)), StatusRejected)
	check("another member's token", l.applyStatus(intent("b", a, 1)), StatusStale)
	check("no token", l.applyStatus(intent("a", 0, 1)), StatusStale)
	check("a token above the grant's", l.applyStatus(intent("a", a+1, 1)), StatusStale)
	check("done without an intent", l.applyStatus(done("a", a, 1)), StatusRejected)
	check("the next period", l.applyStatus(intent("a", a, 1)), StatusAccepted)
	check("a duplicate intent", l.applyStatus(intent("a", a, 1)), StatusAccepted)
	// A correction after the intent is not added to the frozen rows.
	fix := &ledger.Correction{ID: "x", Period: 1, Key: ledger.Key{Tenant: "ramen-kita", Class: "zone-lookup",
		Answer: "passed"}, Usage: ledger.Usage{Count: -1}, Reason: "asked for"}
	if r := l.apply(fix.Encode()).(ledger.Result); r.Status != ledger.StatusCorrected {
		t.Fatalf("%+v", r)
	}
	l.apply(fix.Encode()) // a duplicate ID is counted once
	b := l.acquire("b")
	check("done by the earlier owner", l.applyStatus(done("a", a, 1)), StatusStale)
	if s := l.pendingExport(); s.IntentPeriod != 1 || s.IntentToken != a || len(s.Rows) != 1 ||
		s.Rows[0].Count != 5 || s.Rows[0].Corrections.Count != 0 || len(s.Corrections) != 1 {
		t.Errorf("the next owner has to export %+v", s)
	}
	l.addPeriod(7)
	check("an intent while another is open", l.applyStatus(intent("b", b, 2)), StatusRejected)
	check("done by the next owner", l.applyStatus(done("b", b, 1)), StatusAccepted)
	check("a duplicate done", l.applyStatus(done("b", b, 1)), StatusAccepted)
	check("corrections beyond the last one", l.applyStatus((&CorrectionsExported{"b", b, 2}).Encode()),
		StatusRejected)
	check("corrections by the earlier owner", l.applyStatus((&CorrectionsExported{"a", a, 1}).Encode()),
		StatusStale)
	check("corrections", l.applyStatus((&CorrectionsExported{"b", b, 1}).Encode()), StatusAccepted)
	if s := l.pendingExport(); s.DuePeriod != 2 || len(s.Corrections) != 0 {
		t.Errorf("%+v", s)
	}
	check("garbage", l.applyStatus([]byte{'I', 0xc1}), StatusRejected)
	v := l.machine.View()
	if v.LastExported != 1 || v.Backlog != 1 || v.Stats.ExportedPeriods != 1 ||
		v.Stats.ExportedCorrections != 1 || v.Stats.Stale != 5 || v.Stats.Rejected != 7 || v.Stats.Grants != 2 {
		t.Errorf("%+v", v)
	}
}

// Once an export has begun, the ledger retains unexported periods beyond ledger.Settings.MaxPeriods.
func TestUnexportedPeriodsAreRetained(t *testing.T) {
	l := newTestLog(t)
	for range 10 {
		l.addPeriod(1)
	}
	if first := l.machine.Ledger.FirstPeriod(); first != 8 {
		t.Errorf("before the first export the oldest period is %d, want 8", first)
	}
	a := l.acquire("a")
	if s := l.applyStatus((&ExportIntent{"a", a, 8}).Encode()); s != StatusAccepted {
		t.Fatal(s)
	}
	for range 10 {
		l.addPeriod(1)
	}
	if first := l.machine.Ledger.FirstPeriod(); first != 8 {
		t.Errorf("while period 8 is being exported the oldest period is %d", first)
	}
	l.apply((&ExportDone{"a", a, 8}).Encode())
	l.addPeriod(1)
	if first := l.machine.Ledger.FirstPeriod(); first != 9 {
		t.Errorf("after period 8 was exported the oldest period is %d, want 9", first)
	}
}
