package ledger

import (
	"testing"

	"cresshub/internal/testbed/goldenfile"
)

var (
	goldenKey   = Key{Tenant: "ramen-kita", Class: "zone-lookup", Answer: "passed"}
	goldenOther = Key{Tenant: "soup-curry-chuo", Class: "zone-watch", Answer: "dropped"}
	goldenRow   = Row{Key: goldenKey, Usage: Usage{Count: 31, BytesIn: 32, BytesOut: 33},
		Corrections: Usage{Count: -34, BytesIn: -35, BytesOut: -36}}
	goldenStats = Stats{Batches: 41, Duplicates: 42, StaleIncarnations: 43, Gaps: 44, Answers: 45, Late: 46,
		ForgottenIDs: 47,
		Rejected:     48}
)

// goldenCorrection returns the correction in the golden files.
func goldenCorrection() *Correction {
	return &Correction{ID: "fix-1", Period: 7, Key: goldenKey, Usage: Usage{Count: -2, BytesIn: -300,
		BytesOut: -70_000},
		Reason: "counted twice"}
}

// TestGoldenCommandsAreReadAndWrittenByteForByte compares the commands in the log with the golden files.
// Structs are encoded as arrays in the order of their fields; each field has a different value, so that the
// test detects exchanged fields.
func TestGoldenCommandsAreReadAndWrittenByteForByte(t *testing.T) {
	batch := &Batch{Member: "odori-1", Incarnation: 1_790_000_000_123, Seq: 5, Usage: []KeyUsage{
		{Key: goldenKey, Usage: Usage{Count: 11, BytesIn: 1200, BytesOut: 130_000}, IDs: []uint64{1, 1 << 40,
			1<<64 - 1},
			BytesInByID: []int64{14, 15, 16}, BytesOutByID: []int64{17, 18, 190_000}},
		{Key: goldenOther, Usage: Usage{Count: 21, BytesIn: 22, BytesOut: 23}, IDs: []uint64{24},
			BytesInByID:  []int64{25},
			BytesOutByID: []int64{26}}}}
	goldenfile.CheckFieldsSet(t, "batch", batch)
	got, err := DecodeBatch(goldenfile.CheckBytes(t, "batch.bin", batch.Encode()))
	if err != nil {
		t.Fatal(err)
	}
	goldenfile.CheckDecoded(t, "batch.bin", got, batch)

	correction := goldenCorrection()
	goldenfile.CheckFieldsSet(t, "correction", correction)
	decoded, ok := DecodeCorrection(goldenfile.CheckBytes(t, "correction.bin", correction.Encode()))
	if !ok {
		t.Error("the golden correction does not decode")
	}
	goldenfile.CheckDecoded(t, "correction.bin", &decoded, correction)

	closePeriod := &ClosePeriod{Period: 7, AtMS: 1_790_000_000_456}
	data := goldenfile.CheckBytes(t, "close.bin", closePeriod.Encode())
	l := newLedger(t)
	l.periods = []*period{newPeriod(7)}
	goldenfile.CheckDecoded(t, "close.bin", l.Apply(9, data), Result{Status: StatusClosed, Index: 9, Period: 7})
	goldenfile.CheckDecoded(t, "close.bin", l.periods[0].closedMS, closePeriod.AtMS)
}

func TestGoldenSnapshotIsReadAndWrittenByteForByte(t *testing.T) {
	want := newLedger(t)
	want.appliedIndex, want.stats, want.idCount = 77, goldenStats, 5
	want.members = map[string]*member{"odori-1": {51, 52, 53}, "susukino-2": {54, 55, 56}}
	closed := &period{id: 6, closedMS: 1_790_000_000_456, closedAtIndex: 61,
		usage:         map[Key]*Usage{goldenKey: {62, 63, 64}, goldenOther: {65, 66, 67}},
		corrections:   map[Key]*Usage{goldenKey: {-62, -63, -64}},
		correctionIDs: map[string]bool{"fix-1": true, "fix-2": true},
		ids:           map[uint64]bool{1<<64 - 2: true, 3: true}, idOrder: []uint64{1<<64 - 2, 3},
		tenants: map[string]bool{"ramen-kita": true, "soup-curry-chuo": true}}
	open := &period{id: 7, usage: map[Key]*Usage{goldenOther: {71, 72, 73}},
		corrections: map[Key]*Usage{goldenOther: {74, 75, 76}}, correctionIDs: map[string]bool{"fix-3": true},
		ids: map[uint64]bool{9: true, 8: true, 7: true}, idOrder: []uint64{9, 8, 7},
		tenants: map[string]bool{OtherTenants: true}}
	want.periods = []*period{closed, open}
	got := newLedger(t)
	if err := got.Restore(goldenfile.CheckBytes(t, "snapshot.bin", want.Snapshot())); err != nil {
		t.Fatal(err)
	}
	goldenfile.CheckDecoded(t, "snapshot.bin", got, want)
	goldenfile.CheckBytes(t, "snapshot.bin", got.Snapshot())
}

func TestGoldenQueriesAndResultsAreReadAndWrittenByteForByte(t *testing.T) {
	goldenfile.CheckJSON(t, "view.json", View{Index: 1, OpenPeriod: 2, Periods: []PeriodView{{ID: 3, ClosedMS: 4,
		Rows: []Row{goldenRow}}}, Stats: goldenStats, IDs: 5})
	goldenfile.CheckJSON(t, "query.json", Query{Tenant: "ramen-kita", Period: 7})
	goldenfile.CheckJSON(t, "result.json", Result{Status: StatusCounted, Index: 8, Period: 9})
	goldenfile.CheckJSON(t, "correction.json", *goldenCorrection())
	goldenfile.CheckJSON(t, "statuses.json", []string{StatusCounted, StatusDuplicate, StatusStaleIncarnation,
		StatusClosed, StatusCorrected, StatusRejected, OtherTenants})
}
