package ledger

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var testSettings = Settings{MaxPeriods: 3, DedupPeriods: 2, MaxIDs: 100, MaxTenants: 3, MaxMembers: 4}

func newLedger(tb testing.TB) *Ledger {
	tb.Helper()
	l, err := New(testSettings)
	if err != nil {
		tb.Fatal(err)
	}
	return l
}

var passedKey = Key{"ramen-kita", "zone-lookup", "passed"}

// batch returns a batch with an answer for each request id.
func batch(member string, incarnation, seq uint64, ids ...uint64) *Batch {
	usage := KeyUsage{Key: passedKey, IDs: ids}
	for range ids {
		usage.BytesInByID = append(usage.BytesInByID, 10)
		usage.BytesOutByID = append(usage.BytesOutByID, 20)
	}
	return &Batch{Member: member, Incarnation: incarnation, Seq: seq, Usage: []KeyUsage{usage}}
}

// command is a Batch, a ClosePeriod or a Correction.
type command interface{ Encode() []byte }

// applyAll encodes and applies commands in their order, and returns the status of each.
func applyAll(tb testing.TB, l *Ledger, commands ...command) (statuses []string) {
	tb.Helper()
	for _, c := range commands {
		statuses = append(statuses, l.Apply(l.AppliedIndex()+1, c.Encode()).Status)
	}
	return statuses
}

// total returns the usage of a period, including corrections.
func total(l *Ledger, period uint64) Usage {
	v := l.Read(Query{Period: period})
	if len(v.Periods) == 0 {
		return Usage{}
	}
	return v.Periods[0].Total()
}

func TestCommandsApplyOnceAndToTheirPeriod(t *testing.T) {
	correction := func(id string, period uint64) *Correction {
		return &Correction{ID: id, Period: period, Key: passedKey, Usage: Usage{Count: -1}, Reason: "asked for"}
	}
	for name, c := range map[string]struct {
		commands []command
		want     []string
		totals   map[uint64]int64 // answers by period
	}{
		"a batch sent twice counts once": {[]command{batch("a", 1, 1, 1, 2), batch("a", 1, 1, 1, 2)},
			[]string{StatusCounted, StatusDuplicate}, map[uint64]int64{1: 2}},
		"a batch of an earlier incarnation is not counted": {[]command{batch("a", 2, 1, 1), batch("a", 1, 5, 2)},
			[]string{StatusCounted, StatusStaleIncarnation}, map[uint64]int64{1: 1}},
		"sequence numbers start again with a new incarnation": {[]command{batch("a", 1, 7, 1), batch("a", 2, 1, 2)},
			[]string{StatusCounted, StatusCounted}, map[uint64]int64{1: 2}},
		"batches before and after a close count in different periods": {
			[]command{batch("a", 1, 1, 1), &ClosePeriod{Period: 1}, batch("a", 1, 2, 2)},
			[]string{StatusCounted, StatusClosed, StatusCounted}, map[uint64]int64{1: 1, 2: 1}},
		"a period is closed once": {[]command{&ClosePeriod{Period: 1}, &ClosePeriod{Period: 1},
			&ClosePeriod{Period: 9}},
			[]string{StatusClosed, StatusDuplicate, StatusDuplicate}, map[uint64]int64{1: 0, 2: 0}},
		"a second answer to a request counts in the period of the first": {
			[]command{batch("a", 1, 1, 7), &ClosePeriod{Period: 1},
				batch("b", 1, 1, 7)}, []string{StatusCounted, StatusClosed, StatusCounted}, map[uint64]int64{1: 2, 2: 0}},
		"two answers to a request in one period both count": {[]command{batch("a", 1, 1, 7), batch("b", 1, 1, 7)},
			[]string{StatusCounted, StatusCounted}, map[uint64]int64{1: 2}},
		"request ids are forgotten after DedupPeriods": {
			[]command{batch("a", 1, 1, 7), &ClosePeriod{Period: 1}, &ClosePeriod{Period: 2},
				batch("b", 1, 1, 7)}, []string{StatusCounted, StatusClosed, StatusClosed, StatusCounted},
			map[uint64]int64{1: 1, 3: 1}},
		"a correction applies once": {[]command{batch("a", 1, 1, 7, 8), &ClosePeriod{Period: 1}, correction("x", 1),
			correction("x", 1)},
			[]string{StatusCounted, StatusClosed, StatusCorrected, StatusDuplicate}, map[uint64]int64{1: 1}},
		"invalid corrections are rejected": {[]command{correction("x", 1), correction("x", 9),
			correction("", 1)},
			[]string{StatusRejected, StatusRejected, StatusRejected}, map[uint64]int64{1: 0}},
		"batches without member or sequence number are rejected": {
			[]command{batch("", 1, 1), batch("a", 1, 0)}, []string{StatusRejected,
				StatusRejected},
			map[uint64]int64{1: 0}},
		"the oldest periods are dropped beyond MaxPeriods": {
			[]command{&ClosePeriod{Period: 1}, &ClosePeriod{Period: 2}, &ClosePeriod{Period: 3},
				&ClosePeriod{Period: 4}},
			[]string{StatusClosed, StatusClosed, StatusClosed, StatusClosed}, map[uint64]int64{5: 0}},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger(t)
			if diff := cmp.Diff(c.want, applyAll(t, l, c.commands...)); diff != "" {
				t.Error(diff)
			}
			for period, want := range c.totals {
				if got := total(l, period); got.Count != want {
					t.Errorf("period %d has %d answers, want %d", period, got.Count, want)
				}
			}
		})
	}
}

func TestTenantsAndMembersAreBounded(t *testing.T) {
	l := newLedger(t)
	for i := range 10 {
		b := batch("a", 1, uint64(i+1), uint64(i))
		b.Usage[0].Tenant = string(rune('a' + i))
		applyAll(t, l, b)
		applyAll(t, l, batch(string(rune('a'+i))+"-member", 1, 1))
	}
	rows := l.Read(Query{}).Periods[0].Rows
	if len(rows) != testSettings.MaxTenants+1 || total(l, 1).Count != 10 {
		t.Errorf("%d rows with the total usage %v", len(rows), total(l, 1))
	}
	if rows[0].Tenant != OtherTenants || rows[0].Count != 7 {
		t.Errorf("the usage of further tenants is counted as %+v", rows[0])
	}
	if len(l.members) > testSettings.MaxMembers {
		t.Errorf("%d members are remembered", len(l.members))
	}
}

func TestRequestIDsAreBounded(t *testing.T) {
	l := newLedger(t)
	var many []uint64
	for i := range 250 {
		many = append(many, uint64(1000+i))
	}
	applyAll(t, l, batch("y", 1, 1, 1, 2, 3), &ClosePeriod{Period: 1}, batch("z", 1, 1, many...))
	v, counted := l.Read(Query{}), total(l, 2).Count
	if v.IDs > testSettings.MaxIDs || v.Stats.ForgottenIDs == 0 || counted != 250 {
		t.Errorf("%d ids are remembered, %d forgotten, %d answers counted", v.IDs, v.Stats.ForgottenIDs, counted)
	}
}

func TestPeriodsAreRetainedUntilTheyMayBeDropped(t *testing.T) {
	l := newLedger(t)
	l.SetMayDrop(func(p uint64) bool { return p < 2 })
	for p := range uint64(9) {
		applyAll(t, l, &ClosePeriod{Period: p + 1})
	}
	if first := l.Read(Query{}).Periods[0].ID; first != 2 {
		t.Errorf("the oldest retained period is %d, want 2, which may not be dropped", first)
	}
}

func TestCommandsThatDoNotDecodeAreRejected(t *testing.T) {
	l := newLedger(t)
	full := batch("a", 1, 1, 1, 2, 3).Encode()
	malformed := [][]byte{nil, {}, {'?'}, {'B'}, {'C', 0xc1}, {'F', 0x93, 1}}
	for n := 1; n < len(full); n++ {
		malformed = append(malformed, full[:n])
	}
	for _, b := range malformed {
		if r := l.Apply(l.AppliedIndex()+1, b); r.Status != StatusRejected {
			t.Errorf("command %x: result %v", b, r)
		}
	}
	if total(l, 1).Count != 0 || l.Read(Query{}).Stats.Rejected != int64(len(malformed)) {
		t.Errorf("state after malformed commands: %+v", l.Read(Query{}))
	}
}

func TestBatchWithMissingBytesIsNotDecoded(t *testing.T) {
	inconsistent := batch("a", 1, 1, 1, 2)
	inconsistent.Usage[0].BytesInByID = inconsistent.Usage[0].BytesInByID[:1]
	if _, err := DecodeBatch(inconsistent.Encode()); err == nil {
		t.Error("a batch with fewer byte counts than ids was decoded")
	}
}

func TestTruncatedSnapshotChangesNothing(t *testing.T) {
	l := newLedger(t)
	applyAll(t, l, batch("a", 1, 1, 1, 2, 3), &ClosePeriod{Period: 1}, batch("a", 1, 2, 4))
	full := l.Snapshot()
	for n := range len(full) {
		if l.Restore(full[:n]) == nil {
			t.Errorf("a snapshot truncated to %d bytes was restored", n)
		}
	}
	if total(l, 1).Count != 3 || l.OpenPeriod() != 2 || !bytes.Equal(l.Snapshot(), full) {
		t.Error("a snapshot that could not be restored changed the state")
	}
}

// TestSameLogGivesTheSameState applies the same random commands to two ledgers, one of which is replaced at
// random by one restored from its snapshot. Both have to end in the same state, in which every answer of a
// counted batch is in exactly one period.
func TestSameLogGivesTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{MaxPeriods: 1000, DedupPeriods: 2, MaxIDs: 50, MaxTenants: 3, MaxMembers: 100}
		uninterrupted, _ := New(settings)
		restored, _ := New(settings)
		var answers int64
		for i := range rapid.IntRange(1, 40).Draw(t, "commands") {
			var data []byte
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				data = (&ClosePeriod{Period: rapid.Uint64Range(1, 8).Draw(t, "period"), AtMS: int64(i)}).Encode()
			case 1:
				data = rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "garbage")
			default:
				b := batch(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "member"),
					rapid.Uint64Range(1, 2).Draw(t, "inc"), rapid.Uint64Range(1, 9).Draw(t, "seq"),
					rapid.SliceOfN(rapid.Uint64Range(1, 30), 0, 5).Draw(t, "ids")...)
				b.Usage[0].Usage = Usage{Count: 2}
				data = b.Encode()
				if result := uninterrupted.Apply(uint64(i+1), data); result.Status == StatusCounted {
					answers += 2 + int64(len(b.Usage[0].IDs))
				}
				restored.Apply(uint64(i+1), data)
				continue
			}
			uninterrupted.Apply(uint64(i+1), data)
			restored.Apply(uint64(i+1), data)
			if rapid.Bool().Draw(t, "snapshot") {
				next, _ := New(settings)
				if err := next.Restore(restored.Snapshot()); err != nil {
					t.Fatal(err)
				}
				restored = next
			}
		}
		if !bytes.Equal(uninterrupted.Snapshot(), restored.Snapshot()) {
			t.Fatal("the snapshots of the two ledgers differ")
		}
		var sum int64
		for _, p := range uninterrupted.Read(Query{}).Periods {
			sum += p.Total().Count
		}
		if sum != answers {
			t.Fatalf("the periods have %d answers, but the counted batches had %d", sum, answers)
		}
	})
}
