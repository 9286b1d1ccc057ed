package leaseholder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"cresshub/internal/cluster/groupstate"
	"cresshub/internal/cluster/lease"
	"cresshub/internal/cluster/ledger"
	"cresshub/internal/testbed/proxystandin"
)

// memoryStore is a store of one copy in this process, which members may be cut off from.
type memoryStore struct {
	mu          sync.Mutex
	machine     *groupstate.Machine
	index       uint64
	partitioned map[string]bool
}

func newMemoryStore(t *testing.T) *memoryStore {
	m, err := groupstate.New(ledger.Settings{MaxPeriods: 100, DedupPeriods: 1, MaxIDs: 10, MaxTenants: 10,
		MaxMembers: 10})
	if err != nil {
		t.Fatal(err)
	}
	return &memoryStore{machine: m, partitioned: map[string]bool{}}
}

func (s *memoryStore) apply(b []byte) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	raw, _ := json.Marshal(s.machine.Apply(s.index, b))
	return raw
}

// period counts n answers of two tenants and closes the period.
func (s *memoryStore) period(n int64) {
	s.mu.Lock()
	p := s.machine.Ledger.OpenPeriod()
	s.mu.Unlock()
	b := &ledger.Batch{Member: "x", Incarnation: 1, Seq: p}
	for _, tenant := range []string{"ramen-kita", "soup-curry-chuo"} {
		b.Usage = append(b.Usage, ledger.KeyUsage{Key: ledger.Key{Tenant: tenant, Class: "zone-lookup",
			Answer: "passed"}, Usage: ledger.Usage{Count: n, BytesIn: 2 * n, BytesOut: 3 * n}})
	}
	s.apply(b.Encode())
	s.apply((&ledger.ClosePeriod{Period: p, AtMS: 1}).Encode())
}

func (s *memoryStore) view() groupstate.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.View()
}

// memberStore is the store as one member reaches it.
type memberStore struct {
	*memoryStore
	name string
}

var errUnreachable = errors.New("cut off")

func (s memberStore) unreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partitioned[s.name]
}

func (s memberStore) Propose(_ context.Context, b []byte) (json.RawMessage, error) {
	if s.unreachable() {
		return nil, errUnreachable
	}
	return s.apply(b), nil
}

func (s memberStore) Read(_ context.Context, q []byte) (json.RawMessage, error) {
	v, ok := s.Peek(q)
	if !ok {
		return nil, errUnreachable
	}
	return json.Marshal(v)
}

func (s memberStore) Peek(q []byte) (any, bool) {
	if s.unreachable() {
		return nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v, err := s.machine.Read(q)
	return v, err == nil
}

// fakeSource is a member's list of servers.
type fakeSource struct {
	mu    sync.Mutex
	feed  Feed
	feeds int
	index int64
	raw   string
	took  []string
}

func (s *fakeSource) Feed(f Feed) { s.mu.Lock(); defer s.mu.Unlock(); s.feed, s.feeds = f, s.feeds+1 }
func (s *fakeSource) LastSeen() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.feed.FromOwner {
		return time.Time{}
	}
	return time.Now()
}
func (s *fakeSource) Index() int64 { s.mu.Lock(); defer s.mu.Unlock(); return s.index }
func (s *fakeSource) Export() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return []byte(s.raw), nil
}
func (s *fakeSource) Replace(raw []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.raw, s.took = string(raw), append(s.took, string(raw))
	json.Unmarshal(raw, &s.index)
}
func (s *fakeSource) is() (Feed, []string) { s.mu.Lock(); defer s.mu.Unlock(); return s.feed, s.took }

var testLease = lease.Settings{TTL: 200 * time.Millisecond, Drift: 0.05,
	ElectionTimeout: 50 * time.Millisecond}

func start(t *testing.T, s *memoryStore, name, sink string, list *fakeSource) *Runner {
	t.Helper()
	o := Options{Name: name, Lease: testLease, Store: memberStore{s, name}, Log: slog.New(slog.DiscardHandler)}
	if sink != "" {
		o.Export = &Exporter{Sink: sink, CallTimeout: 100 * time.Millisecond, BatchSize: 1}
	}
	if list != nil {
		o.Endpoints = &EndpointSync{Source: list, MaxAge: 400 * time.Millisecond, Jitter: 50 * time.Millisecond,
			PollInterval: 10 * time.Millisecond, WatchTimeout: time.Second}
	}
	r, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	r.Run()
	t.Cleanup(r.Close)
	return r
}

func eventually(t *testing.T, what string, holds func() error) {
	t.Helper()
	var err error
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if err = holds(); err == nil {
			return
		}
	}
	t.Fatalf("%s: %v", what, err)
}

func ownsLease(r *Runner) func() error {
	return func() error {
		if _, _, ok := r.ActiveLease(); !ok {
			return errors.New("it does not act")
		}
		return nil
	}
}

// startExport is a sink, a store, and an owner "a" that exports the one to the other.
func startExport(t *testing.T) (*proxystandin.Sink, *memoryStore, *Runner) {
	t.Helper()
	sink, err := proxystandin.StartSink("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sink.Close)
	s := newMemoryStore(t)
	a := start(t, s, "a", sink.Address(), nil)
	eventually(t, "a owns", ownsLease(a))
	return sink, s, a
}

// An export goes on where the owner before left it, with the same bytes; corrections of what was sent go by
// themselves; and the lease is handed over at the end of a process.
func TestExportGoesOn(t *testing.T) {
	sink, s, a := startExport(t)
	s.period(5)
	eventually(t, "period 1", func() error { return exported(s, 1) })
	sink.Trouble(proxystandin.SinkTrouble{Reset: true}) // the sink stores and a does not hear of it
	s.period(7)
	eventually(t, "period 2 begun", func() error {
		if len(sink.Entries()) < 3 {
			return fmt.Errorf("%d entries", len(sink.Entries()))
		}
		return nil
	})
	s.apply((&ledger.Correction{ID: "late", Period: 2, Key: ledger.Key{Tenant: "ramen-kita",
		Class: "zone-lookup", Answer: "passed"}, Usage: ledger.Usage{Count: -1}, Reason: "asked for"}).Encode())
	a.Close()
	if v := s.view(); v.Grant.Holder != "" || v.Sending != 2 {
		t.Fatalf("after its end %+v", v)
	}
	sink.Trouble(proxystandin.SinkTrouble{})
	b := start(t, s, "b", sink.Address(), nil)
	eventually(t, "period 2", func() error { return exported(s, 2) })
	eventually(t, "the correction", func() error {
		if _, ok := sink.Entries()["2/correction/late"]; !ok || s.view().PendingCorrections > 0 {
			return fmt.Errorf("%+v", s.view())
		}
		return nil
	})
	e := sink.Entries()["2/ramen-kita"]
	if len(e.Lines) != 1 || e.Lines[0].N != 7 || e.Lines[0].In != 14 || len(sink.Entries()) != 5 {
		t.Errorf("%+v of %d", e, len(sink.Entries()))
	}
	if _, _, err := sink.Audit(); err != nil {
		t.Error(err)
	}
	if p := b.Page(); p.Stats.Resumed == 0 || p.Stats.Duplicates == 0 || p.Holder != "b" || !p.Owns {
		t.Errorf("%+v", p)
	}
}

func exported(s *memoryStore, period uint64) error {
	if v := s.view(); v.Exported < period {
		return fmt.Errorf("%+v", v)
	}
	return nil
}

// An owner that is cut off from the store stops by itself before its lease is over; a call of its that went
// out before is refused, and nothing it enters counts.
func TestCutOffOwner(t *testing.T) {
	sink, s, a := startExport(t)
	old, _, _ := a.ActiveLease()
	b := start(t, s, "b", sink.Address(), nil)
	s.mu.Lock()
	s.partitioned["a"] = true
	s.mu.Unlock()
	eventually(t, "b owns", ownsLease(b))
	if _, _, ok := a.ActiveLease(); ok {
		t.Error("two act")
	}
	s.period(1)
	eventually(t, "b exports", func() error { return exported(s, 1) })
	if err := a.opts.Export.send(old, nil); !errors.Is(err, ErrNotOwner) {
		t.Errorf("a sends: %v", err)
	}
	if r := string(s.apply((&groupstate.ExportDone{Member: "a", Token: old, Period: 1}).Encode())); r == "" ||
		s.view().Stats.Stale != 1 {
		t.Errorf("a's entry: %s", r)
	}
	// What answers of a sink come to.
	for _, c := range []struct {
		status int
		body   string
		sent   int
		stale  bool
		fails  bool
	}{
		{200, `{"stored":1,"repeated":2}`, 3, false, false},
		{200, `{"stored":0,"repeated":0}`, 0, false, false},
		{200, `{"stored":1,"repeated":1}`, 3, false, true},
		{200, `{"stored":4,"repeated":-1}`, 3, false, true},
		{200, `stored`, 0, false, true},
		{302, ``, 0, false, true},
		{409, "fencing token 1 is older than 2", 0, true, true},
		{500, "oh", 0, false, true},
	} {
		if err := a.opts.Export.checkReply(c.status, []byte(c.body), c.sent); (err != nil) != c.fails ||
			errors.Is(err, errStaleToken) != c.stale {
			t.Errorf("%d %s: %v", c.status, c.body, err)
		}
	}
}

// The owner's list reaches the others, who do not ask; without an owner they ask, and go back once there is
// one again.
func TestListsFromTheOwner(t *testing.T) {
	s := newMemoryStore(t)
	one, two := &fakeSource{index: 1, raw: "1"}, &fakeSource{}
	a := start(t, s, "a", "", one)
	eventually(t, "a owns", ownsLease(a))
	b := start(t, s, "b", "", two)
	eventually(t, "b has the list", func() error {
		if f, took := two.is(); !f.FromOwner || len(took) != 1 || took[0] != "1" {
			return fmt.Errorf("%+v %v", f, took)
		}
		return nil
	})
	if f, _ := one.is(); f.FromOwner || f.Token == 0 {
		t.Errorf("the owner is fed by %+v", f)
	}
	one.Replace([]byte("2"))
	eventually(t, "a change", func() error {
		if _, took := two.is(); took[len(took)-1] != "2" {
			return fmt.Errorf("%v", took)
		}
		return nil
	})
	s.mu.Lock()
	s.partitioned["a"], s.partitioned["b"] = true, true
	s.mu.Unlock()
	for _, m := range []*fakeSource{one, two} {
		eventually(t, "without an owner each asks", func() error {
			if f, _ := m.is(); f != (Feed{}) {
				return fmt.Errorf("%+v", f)
			}
			return nil
		})
	}
	two.Replace([]byte("3")) // b heard of a change by itself: a list from before is not taken
	s.mu.Lock()
	s.partitioned["a"] = false
	s.mu.Unlock()
	eventually(t, "a owns again", ownsLease(a))
	s.mu.Lock()
	s.partitioned["b"] = false
	s.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	if f, took := two.is(); f.FromOwner || took[len(took)-1] != "3" {
		t.Errorf("b, ahead of the owner, is fed by %+v and took %v", f, took)
	}
	one.Replace([]byte("4"))
	eventually(t, "b follows again", func() error {
		if f, took := two.is(); !f.FromOwner || took[len(took)-1] != "4" {
			return fmt.Errorf("%+v %v", f, took)
		}
		return nil
	})
	if p := b.Page(); p.Endpoints == nil || !p.Endpoints.FromOwner || p.Owns {
		t.Errorf("%+v", p)
	}
}
