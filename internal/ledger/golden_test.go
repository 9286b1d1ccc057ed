package ledger

import (
	"reflect"
	"testing"
)

var (
	goldenKey   = Key{Tenant: "ramen-kita", Class: "zone-lookup", Answer: "passed"}
	goldenOther = Key{Tenant: "soup-curry-chuo", Class: "zone-watch", Answer: "dropped"}
	goldenRow   = Row{Key: goldenKey, Sum: Sum{N: 31, In: 32, Out: 33},
		Corrections: Sum{N: -34, In: -35, Out: -36}}
	goldenFigures = Figures{Batches: 41, Duplicates: 42, Past: 43, Gaps: 44, Answers: 45, Late: 46, Forgot: 47,
		Refused: 48}
)

func goldenCorrection() *Correction {
	return &Correction{ID: "fix-1", Period: 7, Key: goldenKey, Sum: Sum{N: -2, In: -300, Out: -70_000},
		Reason: "counted twice"}
}

// Structs stand in the log as arrays, in the order of their fields: each field's value is its own, so that
// two that change places show.
func TestGoldenEntriesAreReadAndWrittenByteForByte(t *testing.T) {
	batch := &Batch{Member: "odori-1", Incarnation: 1_790_000_000_123, Seq: 5, Answers: []Answers{
		{Key: goldenKey, Sum: Sum{N: 11, In: 1200, Out: 130_000}, IDs: []uint64{1, 1 << 40, 1<<64 - 1},
			Ins: []int64{14, 15, 16}, Outs: []int64{17, 18, 190_000}},
		{Key: goldenOther, Sum: Sum{N: 21, In: 22, Out: 23}, IDs: []uint64{24}, Ins: []int64{25},
			Outs: []int64{26}}}}
	goldenSet(t, "batch", reflect.ValueOf(batch))
	got, err := DecodeBatch(goldenFile(t, "batch.bin", batch.Encode()))
	if err != nil {
		t.Fatal(err)
	}
	goldenSame(t, "batch.bin", got, batch)

	fix := goldenCorrection()
	goldenSet(t, "correction", reflect.ValueOf(fix))
	c, ok := DecodeCorrection(goldenFile(t, "correction.bin", fix.Encode()))
	if !ok {
		t.Error("the correction does not decode")
	}
	goldenSame(t, "correction.bin", &c, fix)

	end := &Close{Period: 7, AtMS: 1_790_000_000_456}
	held := goldenFile(t, "close.bin", end.Encode())
	l := open(t)
	l.periods = []*period{newPeriod(7)}
	goldenSame(t, "close.bin", l.Apply(9, held), Result{Status: Closed, Index: 9, Period: 7})
	goldenSame(t, "close.bin", l.periods[0].ClosedMS, end.AtMS)
}

func TestGoldenSnapshotIsReadAndWrittenByteForByte(t *testing.T) {
	want := open(t)
	want.index, want.figures, want.held = 77, goldenFigures, 5
	want.members = map[string]*member{"odori-1": {51, 52, 53}, "susukino-2": {54, 55, 56}}
	closed := &period{ID: 6, ClosedMS: 1_790_000_000_456, ClosedAt: 61,
		Sums:        map[Key]*Sum{goldenKey: {62, 63, 64}, goldenOther: {65, 66, 67}},
		Corrections: map[Key]*Sum{goldenKey: {-62, -63, -64}},
		Fixed:       map[string]bool{"fix-1": true, "fix-2": true},
		ids:         map[uint64]bool{1<<64 - 2: true, 3: true}, order: []uint64{1<<64 - 2, 3},
		tenants: map[string]bool{"ramen-kita": true, "soup-curry-chuo": true}}
	opened := &period{ID: 7, Sums: map[Key]*Sum{goldenOther: {71, 72, 73}},
		Corrections: map[Key]*Sum{goldenOther: {74, 75, 76}}, Fixed: map[string]bool{"fix-3": true},
		ids: map[uint64]bool{9: true, 8: true, 7: true}, order: []uint64{9, 8, 7},
		tenants: map[string]bool{Other: true}}
	want.periods = []*period{closed, opened}
	got := open(t)
	if err := got.Restore(goldenFile(t, "snapshot.bin", want.Snapshot())); err != nil {
		t.Fatal(err)
	}
	goldenSame(t, "snapshot.bin", got, want)
	goldenFile(t, "snapshot.bin", got.Snapshot())
}

func TestGoldenAnswersAndQueriesAreReadAndWrittenByteForByte(t *testing.T) {
	goldenJSON(t, "view.json", View{Index: 1, Open: 2, Periods: []Period{{ID: 3, ClosedMS: 4,
		Rows: []Row{goldenRow}}}, Figures: goldenFigures, IDs: 5})
	goldenJSON(t, "query.json", Query{Tenant: "ramen-kita", Period: 7})
	goldenJSON(t, "result.json", Result{Status: Counted, Index: 8, Period: 9})
	goldenJSON(t, "correction.json", *goldenCorrection())
	goldenJSON(t, "statuses.json", []string{Counted, Duplicate, Past, Closed, Corrected, Refused, Other})
}
