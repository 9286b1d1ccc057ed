package groupstate

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cresshub/internal/cluster/lease"
	"cresshub/internal/cluster/ledger"
)

var testSettings = ledger.Settings{MaxPeriods: 3, DedupPeriods: 1, MaxIDs: 100, MaxTenants: 10,
	MaxMembers: 10}

// testLog applies commands one after the other, each at the next index.
type testLog struct {
	t       testing.TB
	machine *Machine
	index   uint64
	grant   lease.Grant
}

func newLog(t testing.TB) *testLog {
	m, err := New(testSettings)
	if err != nil {
		t.Fatal(err)
	}
	return &testLog{t: t, machine: m}
}

func (l *testLog) apply(b []byte) any { l.index++; return l.machine.Apply(l.index, b) }

// acquire has a member become the owner, and returns its token.
func (l *testLog) acquire(member string) uint64 {
	l.t.Helper()
	r := l.apply(EncodeLease(lease.Command{Op: lease.Acquire, Role: FleetRole, Member: member,
		Expected: l.machine.leases.Get(FleetRole)})).(lease.Result)
	if !r.Applied {
		l.t.Fatalf("%s did not become the owner: %+v", member, r)
	}
	return r.Grant.Token
}

func (l *testLog) status(b []byte) string { return l.apply(b).(Result).Status }

// addPeriod counts n answers of a tenant and closes the period.
func (l *testLog) addPeriod(n int64) {
	p := l.machine.Ledger.OpenPeriod()
	b := &ledger.Batch{Member: "x", Incarnation: 1, Seq: p, Usage: []ledger.KeyUsage{{
		Key:   ledger.Key{Tenant: "ramen-kita", Class: "zone-lookup", Answer: "passed"},
		Usage: ledger.Usage{Count: n}}}}
	l.apply(b.Encode())
	l.apply((&ledger.ClosePeriod{Period: p, AtMS: 1}).Encode())
}

func (l *testLog) pendingExport() PendingExport {
	l.t.Helper()
	v, err := l.machine.Read(Query{Kind: QueryPendingExport}.Encode())
	if err != nil {
		l.t.Fatal(err)
	}
	return v.(PendingExport)
}

// What each command does, and what becomes of it under a token that is not, or not any more, the grant's.
func TestExport(t *testing.T) {
	l := newLog(t)
	l.addPeriod(5)
	a := l.acquire("a")
	intent := func(member string, token, p uint64) []byte {
		return (&ExportIntent{Member: member, Token: token, Period: p}).Encode()
	}
	done := func(member string, token, p uint64) []byte {
		return (&ExportDone{Member: member, Token: token, Period: p}).Encode()
	}
	if s := l.pendingExport(); s.Due != 1 || s.Period != 0 {
		t.Fatalf("%+v", s)
	}
	check := func(what string, got, want string) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %s, not %s", what, got, want)
		}
	}
	check("a period that does not exist", l.status(intent("a", a, 9)), StatusRejected)
	check("no period", l.status(intent("a", a, 0)), StatusRejected)
	check("the open period", l.status(intent("a", a, 2)), StatusRejected)
	check("another's token", l.status(intent("b", a, 1)), StatusStale)
	check("no token", l.status(intent("a", 0, 1)), StatusStale)
	check("a token of the future", l.status(intent("a", a+1, 1)), StatusStale)
	check("done before begun", l.status(done("a", a, 1)), StatusRejected)
	check("the next period", l.status(intent("a", a, 1)), StatusAccepted)
	check("the same again", l.status(intent("a", a, 1)), StatusAccepted)
	// A correction that comes now is not part of what is sent.
	fix := &ledger.Correction{ID: "x", Period: 1, Key: ledger.Key{Tenant: "ramen-kita", Class: "zone-lookup",
		Answer: "passed"}, Usage: ledger.Usage{Count: -1}, Reason: "asked for"}
	if r := l.apply(fix.Encode()).(ledger.Result); r.Status != ledger.StatusCorrected {
		t.Fatalf("%+v", r)
	}
	l.apply(fix.Encode()) // the same id counts once
	b := l.acquire("b")
	check("the old owner is done", l.status(done("a", a, 1)), StatusStale)
	if s := l.pendingExport(); s.Period != 1 || s.IntentToken != a || len(s.Rows) != 1 || s.Rows[0].Count != 5 ||
		s.Rows[0].Corrections.Count != 0 || len(s.Corrections) != 1 {
		t.Errorf("what the next owner sends is %+v", s)
	}
	l.addPeriod(7)
	check("a second intent", l.status(intent("b", b, 2)), StatusRejected)
	check("the next owner is done", l.status(done("b", b, 1)), StatusAccepted)
	check("and again", l.status(done("b", b, 1)), StatusAccepted)
	check("corrections that are not", l.status((&CorrectionsSent{"b", b, 2}).Encode()), StatusRejected)
	check("corrections by the old owner", l.status((&CorrectionsSent{"a", a, 1}).Encode()), StatusStale)
	check("corrections", l.status((&CorrectionsSent{"b", b, 1}).Encode()), StatusAccepted)
	if s := l.pendingExport(); s.Due != 2 || len(s.Corrections) != 0 {
		t.Errorf("%+v", s)
	}
	check("garbage", l.status([]byte{'I', 0xc1}), StatusRejected)
	v := l.machine.View()
	if v.Exported != 1 || v.Backlog != 1 || v.Stats.Periods != 1 || v.Stats.Corrections != 1 ||
		v.Stats.Stale != 5 || v.Stats.Rejected != 7 || v.Stats.Grants != 2 {
		t.Errorf("%+v", v)
	}
}

// A period that was not exported is kept beyond the bound on periods, once exports have begun.
func TestPeriodsWaitForTheirExport(t *testing.T) {
	l := newLog(t)
	for range 10 {
		l.addPeriod(1)
	}
	if first := l.machine.Ledger.FirstPeriod(); first != 8 {
		t.Errorf("without an export the oldest is %d", first)
	}
	a := l.acquire("a")
	if s := l.status((&ExportIntent{"a", a, 8}).Encode()); s != StatusAccepted {
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

func TestList(t *testing.T) {
	l := newLog(t)
	a := l.acquire("a")
	tell := func(member string, token uint64, index int64, raw string) string {
		return l.status((&EndpointList{Member: member, Token: token, Index: index, Raw: []byte(raw)}).Encode())
	}
	for i, c := range []struct {
		member string
		token  uint64
		index  int64
		raw    string
		want   string
	}{
		{"a", a, 1, "", StatusRejected}, // as it was, and it never was
		{"a", a, 1, `{"one":1}`, StatusAccepted},
		{"a", a, 1, "", StatusAccepted},
		{"a", a, 2, `{"cut`, StatusRejected},
		{"a", a, 2, "", StatusRejected}, // another index is another list
		{"b", a, 2, `{"two":2}`, StatusStale},
		{"a", a, 2, string(make([]byte, maxEndpointListBytes+1)), StatusRejected},
		{"a", a, 3, `{"three":3}`, StatusAccepted},
	} {
		if got := tell(c.member, c.token, c.index, c.raw); got != c.want {
			t.Errorf("%d: %s, not %s", i, got, c.want)
		}
	}
	read := func(after uint64) EndpointView {
		v, err := l.machine.Read(Query{Kind: QueryEndpoints, After: after}.Encode())
		if err != nil {
			t.Fatal(err)
		}
		return v.(EndpointView)
	}
	v := read(0)
	if string(v.Raw) != `{"three":3}` || v.Index != 3 || len(read(v.Changed).Raw) != 0 {
		t.Errorf("%+v", v)
	}
	tell("a", a, 3, "")
	if again := read(v.Changed); again.Version <= v.Version || again.Changed != v.Changed {
		t.Errorf("said again: %+v after %+v", again, v)
	}
	if _, err := l.machine.Read([]byte(`{"ask":"what"}`)); err == nil {
		t.Error("an unknown question was answered")
	}
}

func TestFollower(t *testing.T) {
	f := NewFollower(0, 4*time.Second, time.Second)
	if !f.Fresh(5*time.Second) || f.Fresh(5*time.Second+1) {
		t.Error("the first list is not waited for as the next would be")
	}
	if !f.Observe(6*time.Second, EndpointView{Version: 5, Index: 7}, 7) || !f.Fresh(10*time.Second) {
		t.Error("a new list is not taken")
	}
	if f.Observe(9*time.Second, EndpointView{Version: 5, Index: 7}, 7) || f.Fresh(12*time.Second) {
		t.Error("the same list counts as new")
	}
	if f.Observe(12*time.Second, EndpointView{Version: 6, Index: 7}, 8) {
		t.Error("a list behind this member's own was taken")
	}
	if f.Version() != 5 || f.Age(8*time.Second) != 2*time.Second {
		t.Errorf("version %d, age %v", f.Version(), f.Age(8*time.Second))
	}
}

// The same log gives the same state, through a snapshot anywhere on the way; and whatever comes in whatever
// order, periods are done in their order, each under the grant that stood.
func TestStateIsOfTheLogAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, _ := New(testSettings)
		b, _ := New(testSettings)
		last := uint64(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			member := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "member")
			token := a.leases.Get(FleetRole).Token
			if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
				token = rapid.Uint64Range(0, 60).Draw(t, "token")
			}
			p := rapid.Uint64Range(0, 6).Draw(t, "period")
			var data []byte
			switch rapid.IntRange(0, 8).Draw(t, "kind") {
			case 0, 1:
				data = (&ledger.ClosePeriod{Period: a.Ledger.OpenPeriod(), AtMS: 1}).Encode()
			case 2:
				data = EncodeLease(lease.Command{Op: lease.Op(rapid.IntRange(1, 3).Draw(t, "op")), Role: FleetRole,
					Member: member, Expected: a.leases.Get(FleetRole)})
			case 3, 4:
				data = (&ExportIntent{member, token, max(p, a.nextDue())}).Encode()
			case 5:
				data = (&ExportDone{member, token, max(p, a.lastSealed())}).Encode()
			case 6:
				data = (&EndpointList{member, token, int64(p), []byte("{}")}).Encode()
			case 7:
				data = (&ledger.Correction{ID: string(rune('a' + p)), Period: p, Key: ledger.Key{Tenant: "t"},
					Usage: ledger.Usage{Count: 1}}).Encode()
			default:
				data = rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "garbage")
			}
			g := a.leases.Get(FleetRole)
			a.Apply(uint64(i+1), data)
			b.Apply(uint64(i+1), data)
			if e := a.state.Exported; e != last {
				if e < last || g.Holder == "" {
					t.Fatalf("period %d is done after %d, the grant was %+v", e, last, g)
				}
				last = e
			}
			if rapid.IntRange(0, 5).Draw(t, "snapshot") == 0 {
				c, _ := New(testSettings)
				if err := c.Restore(b.Snapshot()); err != nil {
					t.Fatal(err)
				}
				b = c
			}
		}
		if !bytes.Equal(a.Snapshot(), b.Snapshot()) {
			t.Fatal("the states differ")
		}
	})
}

// A snapshot of the ledger alone, as it was before there were chores, is read; what is cut or newer is not,
// and changes nothing.
func TestSnapshots(t *testing.T) {
	l := newLog(t)
	l.addPeriod(5)
	l.acquire("a")
	old, _ := New(testSettings)
	err := old.Restore(l.machine.Ledger.Snapshot())
	if err != nil || old.Ledger.OpenPeriod() != 2 || old.View().Grant.Token != 0 {
		t.Errorf("%v, %+v", err, old.View())
	}
	whole := l.machine.Snapshot()
	before, _ := json.Marshal(old.View())
	for cut := range len(whole) {
		if old.Restore(whole[:cut]) == nil {
			t.Fatalf("a snapshot cut at %d was restored", cut)
		}
	}
	if now, _ := json.Marshal(old.View()); !bytes.Equal(now, before) {
		t.Errorf("%s became %s", before, now)
	}
	newer := *l.machine
	if raw := newer.Snapshot(); raw[0] != kindSnapshot || raw[2] != snapshotFormat {
		t.Fatalf("% x", raw[:8])
	} else if raw[2] = snapshotFormat + 1; old.Restore(raw) == nil {
		t.Error("a newer format was read")
	}
}
