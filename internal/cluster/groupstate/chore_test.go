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

var set = ledger.Settings{Keep: 3, Remember: 1, IDs: 100, Tenants: 10, Members: 10}

// log applies commands one after the other, each at the next index.
type log struct {
	t     testing.TB
	m     *Machine
	index uint64
	grant lease.Grant
}

func newLog(t testing.TB) *log {
	m, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	return &log{t: t, m: m}
}

func (l *log) apply(b []byte) any { l.index++; return l.m.Apply(l.index, b) }

// take has a member become the owner, and returns its token.
func (l *log) take(member string) uint64 {
	l.t.Helper()
	r := l.apply(Lease(lease.Command{Op: lease.Take, Chore: Owner, Member: member,
		Seen: l.m.leases.Get(Owner)})).(lease.Result)
	if !r.Done {
		l.t.Fatalf("%s did not become the owner: %+v", member, r)
	}
	return r.Grant.Token
}

func (l *log) status(b []byte) string { return l.apply(b).(Result).Status }

// period counts n answers of a tenant and closes the period.
func (l *log) period(n int64) {
	p := l.m.Ledger.Open()
	b := &ledger.Batch{Member: "x", Incarnation: 1, Seq: p, Answers: []ledger.Answers{{
		Key: ledger.Key{Tenant: "ramen-kita", Class: "zone-lookup", Answer: "passed"}, Sum: ledger.Sum{N: n}}}}
	l.apply(b.Encode())
	l.apply((&ledger.Close{Period: p, AtMS: 1}).Encode())
}

func (l *log) statement() Statement {
	l.t.Helper()
	v, err := l.m.Read(Query{Ask: AskStatement}.Encode())
	if err != nil {
		l.t.Fatal(err)
	}
	return v.(Statement)
}

// What each command does, and what becomes of it under a token that is not, or not any more, the grant's.
func TestExport(t *testing.T) {
	l := newLog(t)
	l.period(5)
	a := l.take("a")
	intent := func(member string, token, p uint64) []byte {
		return (&Intent{Member: member, Token: token, Period: p}).Encode()
	}
	done := func(member string, token, p uint64) []byte {
		return (&Done{Member: member, Token: token, Period: p}).Encode()
	}
	if s := l.statement(); s.Due != 1 || s.Period != 0 {
		t.Fatalf("%+v", s)
	}
	check := func(what string, got, want string) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %s, not %s", what, got, want)
		}
	}
	check("a period that does not exist", l.status(intent("a", a, 9)), Refused)
	check("no period", l.status(intent("a", a, 0)), Refused)
	check("the open period", l.status(intent("a", a, 2)), Refused)
	check("another's token", l.status(intent("b", a, 1)), Stale)
	check("no token", l.status(intent("a", 0, 1)), Stale)
	check("a token of the future", l.status(intent("a", a+1, 1)), Stale)
	check("done before begun", l.status(done("a", a, 1)), Refused)
	check("the next period", l.status(intent("a", a, 1)), Taken)
	check("the same again", l.status(intent("a", a, 1)), Taken)
	// A correction that comes now is not part of what is sent.
	fix := &ledger.Correction{ID: "x", Period: 1, Key: ledger.Key{Tenant: "ramen-kita", Class: "zone-lookup",
		Answer: "passed"}, Sum: ledger.Sum{N: -1}, Reason: "asked for"}
	if r := l.apply(fix.Encode()).(ledger.Result); r.Status != ledger.Corrected {
		t.Fatalf("%+v", r)
	}
	l.apply(fix.Encode()) // the same id counts once
	b := l.take("b")
	check("the old owner is done", l.status(done("a", a, 1)), Stale)
	if s := l.statement(); s.Period != 1 || s.Token != a || len(s.Rows) != 1 || s.Rows[0].N != 5 ||
		s.Rows[0].Corrections.N != 0 || len(s.Fixes) != 1 {
		t.Errorf("what the next owner sends is %+v", s)
	}
	l.period(7)
	check("a second intent", l.status(intent("b", b, 2)), Refused)
	check("the next owner is done", l.status(done("b", b, 1)), Taken)
	check("and again", l.status(done("b", b, 1)), Taken)
	check("corrections that are not", l.status((&Settled{"b", b, 2}).Encode()), Refused)
	check("corrections by the old owner", l.status((&Settled{"a", a, 1}).Encode()), Stale)
	check("corrections", l.status((&Settled{"b", b, 1}).Encode()), Taken)
	if s := l.statement(); s.Due != 2 || len(s.Fixes) != 0 {
		t.Errorf("%+v", s)
	}
	check("garbage", l.status([]byte{'I', 0xc1}), Refused)
	v := l.m.View()
	if v.Exported != 1 || v.Backlog != 1 || v.Figures.Periods != 1 || v.Figures.Fixes != 1 ||
		v.Figures.Stale != 5 || v.Figures.Refused != 7 || v.Figures.Grants != 2 {
		t.Errorf("%+v", v)
	}
}

// A period that was not exported is kept beyond the bound on periods, once exports have begun.
func TestPeriodsWaitForTheirExport(t *testing.T) {
	l := newLog(t)
	for range 10 {
		l.period(1)
	}
	if first := l.m.Ledger.First(); first != 8 {
		t.Errorf("without an export the oldest is %d", first)
	}
	a := l.take("a")
	if s := l.status((&Intent{"a", a, 8}).Encode()); s != Taken {
		t.Fatal(s)
	}
	for range 10 {
		l.period(1)
	}
	if first := l.m.Ledger.First(); first != 8 {
		t.Errorf("8 is being sent, and the oldest is %d", first)
	}
	l.apply((&Done{"a", a, 8}).Encode())
	l.period(1)
	if first := l.m.Ledger.First(); first != 9 {
		t.Errorf("8 is done and 9 is not; the oldest is %d", first)
	}
}

func TestList(t *testing.T) {
	l := newLog(t)
	a := l.take("a")
	tell := func(member string, token uint64, index int64, raw string) string {
		return l.status((&List{Member: member, Token: token, Index: index, Raw: []byte(raw)}).Encode())
	}
	for i, c := range []struct {
		member string
		token  uint64
		index  int64
		raw    string
		want   string
	}{
		{"a", a, 1, "", Refused}, // as it was, and it never was
		{"a", a, 1, `{"one":1}`, Taken},
		{"a", a, 1, "", Taken},
		{"a", a, 2, `{"cut`, Refused},
		{"a", a, 2, "", Refused}, // another index is another list
		{"b", a, 2, `{"two":2}`, Stale},
		{"a", a, 2, string(make([]byte, listMost+1)), Refused},
		{"a", a, 3, `{"three":3}`, Taken},
	} {
		if got := tell(c.member, c.token, c.index, c.raw); got != c.want {
			t.Errorf("%d: %s, not %s", i, got, c.want)
		}
	}
	read := func(after uint64) ListView {
		v, err := l.m.Read(Query{Ask: AskList, After: after}.Encode())
		if err != nil {
			t.Fatal(err)
		}
		return v.(ListView)
	}
	v := read(0)
	if string(v.Raw) != `{"three":3}` || v.Index != 3 || len(read(v.Changed).Raw) != 0 {
		t.Errorf("%+v", v)
	}
	tell("a", a, 3, "")
	if again := read(v.Changed); again.Version <= v.Version || again.Changed != v.Changed {
		t.Errorf("said again: %+v after %+v", again, v)
	}
	if _, err := l.m.Read([]byte(`{"ask":"what"}`)); err == nil {
		t.Error("an unknown question was answered")
	}
}

func TestFollower(t *testing.T) {
	f := NewFollower(0, 4*time.Second, time.Second)
	if !f.Held(5*time.Second) || f.Held(5*time.Second+1) {
		t.Error("the first list is not waited for as the next would be")
	}
	if !f.Learn(6*time.Second, ListView{Version: 5, Index: 7}, 7) || !f.Held(10*time.Second) {
		t.Error("a new list is not taken")
	}
	if f.Learn(9*time.Second, ListView{Version: 5, Index: 7}, 7) || f.Held(12*time.Second) {
		t.Error("the same list counts as new")
	}
	if f.Learn(12*time.Second, ListView{Version: 6, Index: 7}, 8) {
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
		a, _ := New(set)
		b, _ := New(set)
		last := uint64(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			member := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "member")
			token := a.leases.Get(Owner).Token
			if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
				token = rapid.Uint64Range(0, 60).Draw(t, "token")
			}
			p := rapid.Uint64Range(0, 6).Draw(t, "period")
			var data []byte
			switch rapid.IntRange(0, 8).Draw(t, "kind") {
			case 0, 1:
				data = (&ledger.Close{Period: a.Ledger.Open(), AtMS: 1}).Encode()
			case 2:
				data = Lease(lease.Command{Op: lease.Op(rapid.IntRange(1, 3).Draw(t, "op")), Chore: Owner,
					Member: member, Seen: a.leases.Get(Owner)})
			case 3, 4:
				data = (&Intent{member, token, max(p, a.due())}).Encode()
			case 5:
				data = (&Done{member, token, max(p, a.sealed())}).Encode()
			case 6:
				data = (&List{member, token, int64(p), []byte("{}")}).Encode()
			case 7:
				data = (&ledger.Correction{ID: string(rune('a' + p)), Period: p, Key: ledger.Key{Tenant: "t"},
					Sum: ledger.Sum{N: 1}}).Encode()
			default:
				data = rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "garbage")
			}
			g := a.leases.Get(Owner)
			a.Apply(uint64(i+1), data)
			b.Apply(uint64(i+1), data)
			if e := a.s.Exported; e != last {
				if e < last || g.Holder == "" {
					t.Fatalf("period %d is done after %d, the grant was %+v", e, last, g)
				}
				last = e
			}
			if rapid.IntRange(0, 5).Draw(t, "snapshot") == 0 {
				c, _ := New(set)
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
	l.period(5)
	l.take("a")
	old, _ := New(set)
	err := old.Restore(l.m.Ledger.Snapshot())
	if err != nil || old.Ledger.Open() != 2 || old.View().Grant.Token != 0 {
		t.Errorf("%v, %+v", err, old.View())
	}
	whole := l.m.Snapshot()
	before, _ := json.Marshal(old.View())
	for cut := range len(whole) {
		if old.Restore(whole[:cut]) == nil {
			t.Fatalf("a snapshot cut at %d was restored", cut)
		}
	}
	if now, _ := json.Marshal(old.View()); !bytes.Equal(now, before) {
		t.Errorf("%s became %s", before, now)
	}
	newer := *l.m
	if raw := newer.Snapshot(); raw[0] != kindSnapshot || raw[2] != format {
		t.Fatalf("% x", raw[:8])
	} else if raw[2] = format + 1; old.Restore(raw) == nil {
		t.Error("a newer format was read")
	}
}
