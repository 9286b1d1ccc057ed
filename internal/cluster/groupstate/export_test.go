package groupstate

import (
	"testing"

	"cresshub/internal/cluster/ledger"
)

// What each command of the export does, and that it is rejected under a token that isn't that of the grant.
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
			t.Errorf("%s: %s, not %s", what, got, want)
		}
	}
	check("a period that does not exist", l.applyStatus(intent("a", a, 9)), StatusRejected)
	check("no period", l.applyStatus(intent("a", a, 0)), StatusRejected)
	check("the open period", l.applyStatus(intent("a", a, 2)), StatusRejected)
	check("another's token", l.applyStatus(intent("b", a, 1)), StatusStale)
	check("no token", l.applyStatus(intent("a", 0, 1)), StatusStale)
	check("a token of the future", l.applyStatus(intent("a", a+1, 1)), StatusStale)
	check("done before begun", l.applyStatus(done("a", a, 1)), StatusRejected)
	check("the next period", l.applyStatus(intent("a", a, 1)), StatusAccepted)
	check("the same again", l.applyStatus(intent("a", a, 1)), StatusAccepted)
	// A correction that comes now is not part of what is sent.
	fix := &ledger.Correction{ID: "x", Period: 1, Key: ledger.Key{Tenant: "ramen-kita", Class: "zone-lookup",
		Answer: "passed"}, Usage: ledger.Usage{Count: -1}, Reason: "asked for"}
	if r := l.apply(fix.Encode()).(ledger.Result); r.Status != ledger.StatusCorrected {
		t.Fatalf("%+v", r)
	}
	l.apply(fix.Encode()) // the same id counts once
	b := l.acquire("b")
	check("the old owner is done", l.applyStatus(done("a", a, 1)), StatusStale)
	if s := l.pendingExport(); s.IntentPeriod != 1 || s.IntentToken != a || len(s.Rows) != 1 || s.Rows[0].Count != 5 ||
		s.Rows[0].Corrections.Count != 0 || len(s.Corrections) != 1 {
		t.Errorf("what the next owner sends is %+v", s)
	}
	l.addPeriod(7)
	check("a second intent", l.applyStatus(intent("b", b, 2)), StatusRejected)
	check("the next owner is done", l.applyStatus(done("b", b, 1)), StatusAccepted)
	check("and again", l.applyStatus(done("b", b, 1)), StatusAccepted)
	check("corrections that are not", l.applyStatus((&CorrectionsExported{"b", b, 2}).Encode()), StatusRejected)
	check("corrections by the old owner", l.applyStatus((&CorrectionsExported{"a", a, 1}).Encode()), StatusStale)
	check("corrections", l.applyStatus((&CorrectionsExported{"b", b, 1}).Encode()), StatusAccepted)
	if s := l.pendingExport(); s.DuePeriod != 2 || len(s.Corrections) != 0 {
		t.Errorf("%+v", s)
	}
	check("garbage", l.applyStatus([]byte{'I', 0xc1}), StatusRejected)
	v := l.machine.View()
	if v.LastExported != 1 || v.Backlog != 1 || v.Stats.ExportedPeriods != 1 || v.Stats.ExportedCorrections != 1 ||
		v.Stats.Stale != 5 || v.Stats.Rejected != 7 || v.Stats.Grants != 2 {
		t.Errorf("%+v", v)
	}
}

// A period that was not exported is retained beyond the bound on periods once exports have begun.
func TestUnexportedPeriodsAreRetained(t *testing.T) {
	l := newTestLog(t)
	for range 10 {
		l.addPeriod(1)
	}
	if first := l.machine.Ledger.FirstPeriod(); first != 8 {
		t.Errorf("without an export the oldest is %d", first)
	}
	a := l.acquire("a")
	if s := l.applyStatus((&ExportIntent{"a", a, 8}).Encode()); s != StatusAccepted {
		t.Fatal(s)
	}
	for range 10 {
		l.addPeriod(1)
	}
	if first := l.machine.Ledger.FirstPeriod(); first != 8 {
		t.Errorf("8 is being sent, and the oldest is %d", first)
	}
	l.apply((&ExportDone{"a", a, 8}).Encode())
	l.addPeriod(1)
	if first := l.machine.Ledger.FirstPeriod(); first != 9 {
		t.Errorf("8 is done and 9 is not; the oldest is %d", first)
	}
}
