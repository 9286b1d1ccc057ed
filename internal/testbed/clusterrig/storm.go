package clusterrig

import (
	"context"
	"fmt"
	"time"
)

// RestartStorm is what a fleet of proxies that know nothing of each other asks for, all proxies added up, at
// a load that does not grow with them: over a quiet while, and over one as long in which seven in ten are
// killed at once and started again while discovery answers nothing.
type RestartStorm struct {
	Members int         `json:"members"`
	Seconds float64     `json:"seconds"` // of each while
	Quiet   StormTotals `json:"quiet"`
	Killed  StormTotals `json:"killed"`
	ReadyMS float64     `json:"ready_ms"` // from the kill until every member has a list again
}

// StormTotals are sums over all proxies, as the zone servers and discovery saw them.
type StormTotals struct {
	Requests int64 `json:"requests"` // final answers that clients got
	Lost     int64 `json:"lost"`     // requests without one, to members that were killed
	Probes   int   `json:"probes"`
	Opened   int   `json:"connections"` // opened
	Lists    int   `json:"list_calls"`
}

const (
	stormZones   = 12
	stormClients = 8
	stormPhase   = 15 * time.Second
	stormOutage  = 3 * time.Second // discovery answers nothing for so long from the kill on
)

// RunRestartStorm plays it with so many proxies.
func RunRestartStorm(ctx context.Context, o Options, members int) (*RestartStorm, error) {
	o.Members, o.Zones, o.Standalone = members, stormZones, true
	o.ExtraTOML = fmt.Sprintf("[policy]\ninstances = %d\nprobes = true\n", members)
	r, err := Start(ctx, o)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	if err := r.waitReady(ctx, time.Minute); err != nil {
		return nil, err
	}
	c, stop := context.WithCancel(ctx)
	l := NewClients()
	done := make(chan struct{})
	go func() { defer close(done); l.Run(c, r.Members, stormClients) }()
	defer func() { stop(); <-done }()
	rest := func(d time.Duration) {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	rest(5 * time.Second) // connections stand, estimates are there
	h := &RestartStorm{Members: members, Seconds: stormPhase.Seconds()}
	before := r.stormTotals(l)
	rest(stormPhase)
	h.Quiet = r.stormTotals(l).minus(before)
	before = r.stormTotals(l)
	begun := time.Now()
	dead := r.Members[:members*7/10]
	r.Discovery.Fail(true)
	r.Kill(dead...)
	if err := r.SpawnAll(ctx, dead); err != nil {
		return nil, err
	}
	rest(stormOutage - time.Since(begun))
	r.Discovery.Fail(false)
	if err := r.waitReady(ctx, time.Minute); err != nil {
		return nil, err
	}
	h.ReadyMS = ms(time.Since(begun))
	rest(stormPhase - time.Since(begun))
	h.Killed = r.stormTotals(l).minus(before)
	return h, ctx.Err()
}

func (r *Rig) stormTotals(l *Clients) (s StormTotals) {
	_, s.Requests = l.Answers()
	s.Lost = l.Lost()
	for _, c := range r.Zones.Counts() {
		s.Probes += c.Probes
		s.Opened += c.Opened
	}
	s.Lists = r.Discovery.Calls()
	return s
}

func (s StormTotals) minus(o StormTotals) StormTotals {
	return StormTotals{s.Requests - o.Requests, s.Lost - o.Lost, s.Probes - o.Probes, s.Opened - o.Opened,
		s.Lists - o.Lists}
}
