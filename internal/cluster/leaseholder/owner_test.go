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

// memory is a store of one copy in this process, which members may be cut off from.
type memory struct {
	mu    sync.Mutex
	m     *groupstate.Machine
	index uint64
	cut   map[string]bool
}

func newMemory(t *testing.T) *memory {
	m, err := groupstate.New(ledger.Settings{Keep: 100, Remember: 1, IDs: 10, Tenants: 10, Members: 10})
	if err != nil {
		t.Fatal(err)
	}
	return &memory{m: m, cut: map[string]bool{}}
}

func (s *memory) apply(b []byte) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	raw, _ := json.Marshal(s.m.Apply(s.index, b))
	return raw
}

// period counts n answers of two tenants and closes the period.
func (s *memory) period(n int64) {
	s.mu.Lock()
	p := s.m.Ledger.Open()
	s.mu.Unlock()
	b := &ledger.Batch{Member: "x", Incarnation: 1, Seq: p}
	for _, tenant := range []string{"ramen-kita", "soup-curry-chuo"} {
		b.Answers = append(b.Answers, ledger.Answers{Key: ledger.Key{Tenant: tenant, Class: "zone-lookup",
			Answer: "passed"}, Sum: ledger.Sum{N: n, In: 2 * n, Out: 3 * n}})
	}
	s.apply(b.Encode())
	s.apply((&ledger.Close{Period: p, AtMS: 1}).Encode())
}

func (s *memory) view() groupstate.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m.View()
}

// of is the store as one member reaches it.
type of struct {
	*memory
	name string
}

var errAway = errors.New("cut off")

func (s of) away() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut[s.name]
}

func (s of) Propose(_ context.Context, b []byte) (json.RawMessage, error) {
	if s.away() {
		return nil, errAway
	}
	return s.apply(b), nil
}

func (s of) Read(_ context.Context, q []byte) (json.RawMessage, error) {
	v, ok := s.Peek(q)
	if !ok {
		return nil, errAway
	}
	return json.Marshal(v)
}

func (s of) Peek(q []byte) (any, bool) {
	if s.away() {
		return nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v, err := s.m.Read(q)
	return v, err == nil
}

// servers is a member's list of servers.
type servers struct {
	mu    sync.Mutex
	feed  Feed
	feeds int
	index int64
	raw   string
	took  []string
}

func (s *servers) Feed(f Feed) { s.mu.Lock(); defer s.mu.Unlock(); s.feed, s.feeds = f, s.feeds+1 }
func (s *servers) Heard() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.feed.Held {
		return time.Time{}
	}
	return time.Now()
}
func (s *servers) Index() int64 { s.mu.Lock(); defer s.mu.Unlock(); return s.index }
func (s *servers) Export() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return []byte(s.raw), nil
}
func (s *servers) Replace(raw []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.raw, s.took = string(raw), append(s.took, string(raw))
	json.Unmarshal(raw, &s.index)
}
func (s *servers) is() (Feed, []string) { s.mu.Lock(); defer s.mu.Unlock(); return s.feed, s.took }

var short = lease.Settings{Lease: 200 * time.Millisecond, Drift: 0.05, Election: 50 * time.Millisecond}

func start(t *testing.T, s *memory, name, sink string, list *servers) *Owner {
	t.Helper()
	o := Options{Name: name, Lease: short, Store: of{s, name}, Log: slog.New(slog.DiscardHandler)}
	if sink != "" {
		o.Export = &Export{Sink: sink, Within: 100 * time.Millisecond, AtOnce: 1}
	}
	if list != nil {
		o.List = &List{Source: list, MaxAge: 400 * time.Millisecond, Spread: 50 * time.Millisecond,
			Poll: 10 * time.Millisecond, Silence: time.Second}
	}
	w, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	w.Run()
	t.Cleanup(w.Close)
	return w
}

func until(t *testing.T, what string, holds func() error) {
	t.Helper()
	var err error
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if err = holds(); err == nil {
			return
		}
	}
	t.Fatalf("%s: %v", what, err)
}

func acts(w *Owner) func() error {
	return func() error {
		if _, _, ok := w.Acting(); !ok {
			return errors.New("it does not act")
		}
		return nil
	}
}

// exporting is a sink, a store, and an owner "a" that exports the one to the other.
func exporting(t *testing.T) (*proxystandin.Sink, *memory, *Owner) {
	t.Helper()
	sink, err := proxystandin.StartSink("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sink.Close)
	s := newMemory(t)
	a := start(t, s, "a", sink.Address(), nil)
	until(t, "a owns", acts(a))
	return sink, s, a
}

// An export goes on where the owner before left it, with the same bytes; corrections of what was sent go by
// themselves; and the lease is handed over at the end of a process.
func TestExportGoesOn(t *testing.T) {
	sink, s, a := exporting(t)
	s.period(5)
	until(t, "period 1", func() error { return exported(s, 1) })
	sink.Trouble(proxystandin.SinkTrouble{Reset: true}) // the sink stores and a does not hear of it
	s.period(7)
	until(t, "period 2 begun", func() error {
		if len(sink.Entries()) < 3 {
			return fmt.Errorf("%d entries", len(sink.Entries()))
		}
		return nil
	})
	s.apply((&ledger.Correction{ID: "late", Period: 2, Key: ledger.Key{Tenant: "ramen-kita",
		Class: "zone-lookup", Answer: "passed"}, Sum: ledger.Sum{N: -1}, Reason: "asked for"}).Encode())
	a.Close()
	if v := s.view(); v.Grant.Holder != "" || v.Sending != 2 {
		t.Fatalf("after its end %+v", v)
	}
	sink.Trouble(proxystandin.SinkTrouble{})
	b := start(t, s, "b", sink.Address(), nil)
	until(t, "period 2", func() error { return exported(s, 2) })
	until(t, "the correction", func() error {
		if _, ok := sink.Entries()["2/correction/late"]; !ok || s.view().Fixes > 0 {
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
	if p := b.Page(); p.Figures.Resumed == 0 || p.Figures.Repeated == 0 || p.Holder != "b" || !p.Here {
		t.Errorf("%+v", p)
	}
}

func exported(s *memory, period uint64) error {
	if v := s.view(); v.Exported < period {
		return fmt.Errorf("%+v", v)
	}
	return nil
}

// An owner that is cut off from the store stops by itself before its lease is over; a call of its that went
// out before is refused, and nothing it enters counts.
func TestCutOffOwner(t *testing.T) {
	sink, s, a := exporting(t)
	old, _, _ := a.Acting()
	b := start(t, s, "b", sink.Address(), nil)
	s.mu.Lock()
	s.cut["a"] = true
	s.mu.Unlock()
	until(t, "b owns", acts(b))
	if _, _, ok := a.Acting(); ok {
		t.Error("two act")
	}
	s.period(1)
	until(t, "b exports", func() error { return exported(s, 1) })
	if err := a.o.Export.send(old, nil); !errors.Is(err, ErrNotOwner) {
		t.Errorf("a sends: %v", err)
	}
	if r := string(s.apply((&groupstate.Done{Member: "a", Token: old, Period: 1}).Encode())); r == "" ||
		s.view().Figures.Stale != 1 {
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
		if err := a.o.Export.answered(c.status, []byte(c.body), c.sent); (err != nil) != c.fails ||
			errors.Is(err, errStale) != c.stale {
			t.Errorf("%d %s: %v", c.status, c.body, err)
		}
	}
}

// The owner's list reaches the others, who do not ask; without an owner they ask, and go back once there is
// one again.
func TestListsFromTheOwner(t *testing.T) {
	s := newMemory(t)
	one, two := &servers{index: 1, raw: "1"}, &servers{}
	a := start(t, s, "a", "", one)
	until(t, "a owns", acts(a))
	b := start(t, s, "b", "", two)
	until(t, "b has the list", func() error {
		if f, took := two.is(); !f.Held || len(took) != 1 || took[0] != "1" {
			return fmt.Errorf("%+v %v", f, took)
		}
		return nil
	})
	if f, _ := one.is(); f.Held || f.Token == 0 {
		t.Errorf("the owner is fed by %+v", f)
	}
	one.Replace([]byte("2"))
	until(t, "a change", func() error {
		if _, took := two.is(); took[len(took)-1] != "2" {
			return fmt.Errorf("%v", took)
		}
		return nil
	})
	s.mu.Lock()
	s.cut["a"], s.cut["b"] = true, true
	s.mu.Unlock()
	for _, m := range []*servers{one, two} {
		until(t, "without an owner each asks", func() error {
			if f, _ := m.is(); f != (Feed{}) {
				return fmt.Errorf("%+v", f)
			}
			return nil
		})
	}
	two.Replace([]byte("3")) // b heard of a change by itself: a list from before is not taken
	s.mu.Lock()
	s.cut["a"] = false
	s.mu.Unlock()
	until(t, "a owns again", acts(a))
	s.mu.Lock()
	s.cut["b"] = false
	s.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	if f, took := two.is(); f.Held || took[len(took)-1] != "3" {
		t.Errorf("b, ahead of the owner, is fed by %+v and took %v", f, took)
	}
	one.Replace([]byte("4"))
	until(t, "b follows again", func() error {
		if f, took := two.is(); !f.Held || took[len(took)-1] != "4" {
			return fmt.Errorf("%+v %v", f, took)
		}
		return nil
	})
	if p := b.Page(); p.List == nil || !p.List.Held || p.Here {
		t.Errorf("%+v", p)
	}
}
