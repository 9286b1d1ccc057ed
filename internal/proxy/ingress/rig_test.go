package ingress

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cresshub/balance"
	"cresshub/internal/bodybudget"
	"cresshub/internal/proxy/config"
	"cresshub/internal/proxy/descriptors"
	"cresshub/internal/proxy/dispatch"
	"cresshub/internal/proxy/drain"
	"cresshub/internal/proxy/stats"
	"cresshub/internal/proxy/upstream"
	"cresshub/internal/stallclock"
	"cresshub/internal/testbed/nettest"
)

// testRig is a proxy on loopback without discovery: the test sets the list and decides when a look-up
// returns.
type testRig struct {
	*Server
	address    string
	listener   net.Listener
	ended      chan struct{} // closed when Shutdown has returned
	drainTimes atomic.Pointer[drain.Times]

	mu       sync.Mutex
	listed   map[dispatch.ServerID]string // addresses
	onLookup func(n int)                  // called on each look-up of an address with its number from 1 on
	lookups  int
}

func (r *testRig) Address(s dispatch.ServerID) (string, bool) {
	r.mu.Lock()
	r.lookups++
	n, looked, a := r.lookups, r.onLookup, r.listed[s]
	r.mu.Unlock()
	if looked != nil {
		looked(n)
	}
	return a, a != ""
}

func (r *testRig) Probe(dispatch.ServerID) {}
func (r *testRig) Follow()                 {}

// list gives the proxy its list of servers, with ids from 1 on.
func (r *testRig) list(addresses ...string) {
	var list []dispatch.Server
	r.mu.Lock()
	for i, a := range addresses {
		id := dispatch.ServerID(i + 1)
		r.listed[id] = a
		list = append(list, dispatch.Server{ID: id, Rating: 1})
	}
	r.mu.Unlock()
	r.Decider.UpdateList(true, list)
}

// newRig starts a proxy with an empty list. Its class "lookup" is idempotent, "assign" must not run twice;
// change may alter the settings.
func newRig(tb testing.TB, change func(*balance.Settings)) *testRig {
	tb.Helper()
	settings := balance.Settings{
		Tick: time.Millisecond, MaxAttempts: 3, MayCancel: true, MayHedge: true,
		Classes: []balance.Class{
			{LatencyTarget: time.Minute, Deadline: time.Minute, Effect: balance.Idempotent, Value: 1},
			{LatencyTarget: time.Minute, Deadline: time.Minute, Effect: balance.AtMostOnce, Value: 8},
		},
	}
	if change != nil {
		change(&settings)
	}
	rig := &testRig{listed: map[dispatch.ServerID]string{}, ended: make(chan struct{})}
	rig.drainTimes.Store(&drain.Times{CloseIdle: 50 * time.Millisecond, AcceptFor: 80 * time.Millisecond,
		CloseAll: 120 * time.Millisecond, ClosePartial: 300 * time.Millisecond})
	decider, err := dispatch.New(settings, 20*time.Millisecond, rig)
	if err != nil {
		tb.Fatal(err)
	}
	budget, room, count := descriptors.NewBudget(200, 0.6, 0.9), bodybudget.NewBudget(1<<20), stats.New(
		[]string{"lookup", "assign"})
	wait := nettest.Patience
	limits := upstream.Limits{DialTimeout: wait, MaxIdle: wait, ProbeTimeout: wait,
		BufferTime: time.Second, StallTimeout: wait}
	clock, done := stallclock.New(nil), make(chan struct{})
	go clock.Run(done)
	tb.Cleanup(func() { close(done) })
	pool := upstream.New(rig, clock, limits, nil, budget, room, count)
	rig.Server = New(Options{
		Decider: decider, Pool: pool, Name: func(dispatch.ServerID) string { return "s" },
		Classes: []string{"lookup", "assign"}, Tenants: []string{"acme"},
		Limits: config.Clients{FirstRequestTimeout: wait, HeadTimeout: wait, StallTimeout: wait, IdleTimeout: wait,
			WriteTimeout: wait, ReclaimPartial: wait, ReclaimUnused: wait, ReclaimIdle: wait, RejectTimeout: wait,
			MaxRejecting: 8,
			Linger:       time.Second, DiscardTimeout: time.Second},
		Drain:  func() drain.Times { return *rig.drainTimes.Load() },
		Budget: budget, Bodies: room, Stats: count, Clock: clock, Log: slog.New(slog.DiscardHandler),
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	rig.address, rig.listener = listener.Addr().String(), listener
	stop := make(chan struct{})
	go decider.Run(stop)
	go rig.Serve(listener)
	tb.Cleanup(func() { listener.Close(); close(stop) })
	return rig
}
