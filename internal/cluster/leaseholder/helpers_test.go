package leaseholder

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"time"

	"cresshub/internal/cluster/groupstate"
	"cresshub/internal/cluster/lease"
	"cresshub/internal/cluster/ledger"
	"cresshub/internal/testbed/proxystandin"
)

// memoryStore is an in-memory substitute for the replicated state; members may be partitioned from it.
type memoryStore struct {
	mu          sync.Mutex
	machine     *groupstate.Machine
	index       uint64
	partitioned map[string]bool
	readOnly    map[string]bool // members whose commands are lost, so that they can't acquire the lease
}

func newMemoryStore(t *testing.T) *memoryStore {
	t.Helper()
	m, err := groupstate.New(ledger.Settings{MaxPeriods: 100, DedupPeriods: 1, MaxIDs: 10, MaxTenants: 10,
		MaxMembers: 10})
	if err != nil {
		t.Fatal(err)
	}
	return &memoryStore{machine: m, partitioned: map[string]bool{}, readOnly: map[string]bool{}}
}

func (s *memoryStore) apply(b []byte) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applyLocked(b)
}

// applyCountingStale applies a command and also returns by how much it raised the count of stale commands.
func (s *memoryStore) applyCountingStale(b []byte) (raw json.RawMessage, counted int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.machine.View().Stats.Stale
	raw = s.applyLocked(b)
	return raw, s.machine.View().Stats.Stale - before
}

func (s *memoryStore) applyLocked(b []byte) json.RawMessage {
	s.index++
	raw, _ := json.Marshal(s.machine.Apply(s.index, b))
	return raw
}

// addPeriod counts n answers for each of two tenants and closes the period.
func (s *memoryStore) addPeriod(n int64) {
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

// setPartitioned partitions members from the store, or ends their partition.
func (s *memoryStore) setPartitioned(on bool, members ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range members {
		s.partitioned[name] = on
	}
}

// setReadOnly makes all further commands of a member get lost, while its reads still succeed.
func (s *memoryStore) setReadOnly(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readOnly[name] = true
}

// memberStore is the store as one member reaches it.
type memberStore struct {
	*memoryStore
	name string
}

var errUnreachable = errors.New("partitioned from the store")

func (s memberStore) unreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partitioned[s.name]
}

func (s memberStore) isReadOnly() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readOnly[s.name]
}

func (s memberStore) Propose(_ context.Context, b []byte) (json.RawMessage, error) {
	if s.unreachable() || s.isReadOnly() {
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

// fakeSource is an EndpointSource whose watch on discovery is alive whenever the list comes from discovery.
type fakeSource struct {
	mu       sync.Mutex
	feed     Feed
	index    int64
	raw      string   // the current list
	replaced []string // lists given to Replace
}

func (s *fakeSource) Feed(f Feed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.feed = f
}

func (s *fakeSource) LastSeen() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.feed.FromOwner {
		return time.Time{}
	}
	return time.Now()
}

func (s *fakeSource) Index() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index
}

func (s *fakeSource) Export() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return []byte(s.raw), nil
}

func (s *fakeSource) Replace(raw []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.raw, s.replaced = string(raw), append(s.replaced, string(raw))
	if err := json.Unmarshal(raw, &s.index); err != nil {
		panic(err) // the lists of these tests are numbers
	}
}

func (s *fakeSource) state() (feed Feed, replaced []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.feed, s.replaced
}

// waitTimeout bounds every wait of a test; no test result depends on how much of it passes.
const waitTimeout = 20 * time.Second

var (
	// shortLease is for tests that wait until a lease expires. It also expires if the test process is stalled: a
	// test that uses it must accept that a member loses the lease and acquires it again.
	shortLease = lease.Settings{TTL: 200 * time.Millisecond, Drift: 0.05, ElectionTimeout: 50 * time.Millisecond}
	// longLease is for tests in which a member must keep the lease even if the test process is stalled for five
	// seconds: when a renewal becomes due, more than that remains of the lease.
	longLease = lease.Settings{TTL: 9 * time.Second, Drift: 0.05, ElectionTimeout: 50 * time.Millisecond}
)

// startRunner starts a member's Runner, with an Exporter if sink is not empty and an EndpointSync if list is
// not nil.
func startRunner(t *testing.T, s *memoryStore, settings lease.Settings, name, sink string,
	list *fakeSource) *Runner {
	t.Helper()
	opts := Options{Name: name, Lease: settings, Store: memberStore{s, name},
		Log: slog.New(slog.DiscardHandler)}
	if sink != "" {
		opts.Export = &Exporter{SinkAddress: sink, CallTimeout: waitTimeout, BatchSize: 1}
	}
	if list != nil {
		opts.Endpoints = &EndpointSync{Source: list, MaxAge: 400 * time.Millisecond, Jitter: 50 * time.Millisecond,
			PollInterval: 10 * time.Millisecond, WatchTimeout: time.Second}
	}
	r, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	r.Run()
	t.Cleanup(r.Close)
	return r
}

// eventually waits until check returns nil.
func eventually(t *testing.T, what string, check func() error) {
	t.Helper()
	var err error
	deadline := time.Now().Add(waitTimeout)
	for ; time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if err = check(); err == nil {
			return
		}
	}
	t.Fatalf("%s: %v", what, err)
}

// awaitLease waits until a member holds the lease, and returns that lease.
func awaitLease(t *testing.T, r *Runner) (owned ownedLease) {
	t.Helper()
	eventually(t, r.opts.Name+" acquires the lease", func() error {
		var owns bool
		if owned, owns = r.activeLease(); !owns {
			return errors.New("it does not hold the lease")
		}
		return nil
	})
	return owned
}

// exportSetup is a lease holder named "a" that exports a store's ledger to a sink.
type exportSetup struct {
	sink   *proxystandin.Sink
	store  *memoryStore
	holder *Runner
	lease  ownedLease // the holder's first lease
}

func startExportingHolder(t *testing.T, settings lease.Settings) exportSetup {
	t.Helper()
	sink, err := proxystandin.StartSink("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sink.Close)
	store := newMemoryStore(t)
	holder := startRunner(t, store, settings, "a", sink.Address(), nil)
	return exportSetup{sink, store, holder, awaitLease(t, holder)}
}
