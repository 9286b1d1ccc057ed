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

// testRig is a proxy on loopback without discovery: the test sets the server list, and may delay the look-ups
// of server addresses. A testRig is the upstream.Directory and the dispatch.Network of its proxy.
type testRig struct {
	*Server
	address      string
	listener     net.Listener
	shutdownDone chan struct{} // closed once startShutdown's call of Shutdown has returned
	drainTimes   atomic.Pointer[drain.Times]

	mu        sync.Mutex
	addresses map[dispatch.ServerID]string // of listed servers
	onLookup  func(n int)                  // called during the n-th look-up of an address, counted from 1
	lookups   int
}

func (r *testRig) Address(s dispatch.ServerID) (string, bool) {
	r.mu.Lock()
	r.lookups++
	n, onLookup, address := r.lookups, r.onLookup, r.addresses[s]
	r.mu.Unlock()
	if onLookup != nil {
		onLookup(n)
	}
	return address, address != ""
}

func (r *testRig) Probe(dispatch.ServerID) {}
func (r *testRig) Follow()                 {}

// setServers sets the proxy's server list to servers at these addresses, with ids from 1 on.
func (r *testRig) setServers(addresses ...string) {
	var servers []dispatch.Server
	r.mu.Lock()
	for i, a := range addresses {
		id := dispatch.ServerID(i + 1)
		r.addresses[id] = a
		servers = append(servers, dispatch.Server{ID: id, Rating: 1})
	}
	r.mu.Unlock()
	r.Decider.UpdateList(true, servers)
}

// newRig starts a proxy with an empty server list. Requests of class "lookup" are idempotent, those of class
// "assign" must be executed at most once. change may modify the settings; it may be nil.
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
	rig := &testRig{addresses: map[dispatch.ServerID]string{}, shutdownDone: make(chan struct{})}
	rig.drainTimes.Store(&drain.Times{CloseIdle: 50 * time.Millisecond, AcceptFor: 80 * time.Millisecond,
		CloseAll: 120 * time.Millisecond, ClosePartial: 300 * time.Millisecond})
	decider, err := dispatch.New(settings, 20*time.Millisecond, rig)
	if err != nil {
		tb.Fatal(err)
	}
	budget, bodies, counters := descriptors.NewBudget(200, 0.6, 0.9), bodybudget.NewBudget(1<<20), stats.New(
		[]string{"lookup", "assign"})
	timeout := nettest.Patience
	limits := upstream.Limits{DialTimeout: timeout, MaxIdle: timeout, ProbeTimeout: timeout,
		BufferTime: time.Second, StallTimeout: timeout}
	clock, done := stallclock.New(nil), make(chan struct{})
	go clock.Run(done)
	tb.Cleanup(func() { close(done) })
	pool := upstream.New(rig, clock, limits, nil, budget, bodies, counters)
	rig.Server = New(Options{
		Decider: decider, Pool: pool, ServerName: func(dispatch.ServerID) string { return "s" },
		Classes: []string{"lookup", "assign"}, Tenants: []string{"acme"},
		Limits: config.Clients{FirstRequestTimeout: timeout, HeadTimeout: timeout, StallTimeout: timeout,
			IdleTimeout: timeout, WriteTimeout: timeout, ReclaimPartial: timeout, ReclaimUnused: timeout,
			ReclaimIdle: timeout, RejectTimeout: timeout,
			MaxRejecting: 8,
			Linger:       time.Second, DiscardTimeout: time.Second},
		DrainTimes:  func() drain.Times { return *rig.drainTimes.Load() },
		Descriptors: budget, Bodies: bodies, Stats: counters, Clock: clock, Log: slog.New(slog.DiscardHandler),
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
