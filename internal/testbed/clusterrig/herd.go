package clusterrig

import (
	"context"
	"fmt"
	"time"
)

// Herd is what a fleet of proxies that know nothing of each other asks for, all proxies added up, at a load
// that does not grow with them: over a quiet while, and over one as long in which seven in ten are killed at
// once and started again while discovery answers nothing.
type Herd struct {
	Members int      `json:"members"`
	Seconds float64  `json:"seconds"` // of each while
	Quiet   HerdSums `json:"quiet"`
	Killed  HerdSums `json:"killed"`
	ReadyMS float64  `json:"ready_ms"` // from the kill until every member has a list again
}

// HerdSums are sums over all proxies, as the zone servers and discovery saw them.
type HerdSums struct {
	Requests int64 `json:"requests"` // final answers that clients got
	Lost     int64 `json:"lost"`     // requests without one, to members that were killed
	Probes   int   `json:"probes"`
	Opened   int   `json:"connections"` // opened
	Lists    int   `json:"list_calls"`
}

const (
	herdZones   = 12
	herdClients = 8
	herdFor     = 15 * time.Second
	herdOutage  = 3 * time.Second // discovery answers nothing for so long from the kill on
)

// TryHerd plays it with so many proxies.
func TryHerd(ctx context.Context, o Options, members int) (*Herd, error) {
	o.Members, o.Zones, o.Alone = members, herdZones, true
	o.Extra = fmt.Sprintf("[policy]\ninstances = %d\nprobes = true\n", members)
	r, err := Start(ctx, o)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	if err := r.listed(ctx, time.Minute); err != nil {
		return nil, err
	}
	c, stop := context.WithCancel(ctx)
	l := NewClients()
	done := make(chan struct{})
	go func() { defer close(done); l.Run(c, r.Members, herdClients) }()
	defer func() { stop(); <-done }()
	rest := func(d time.Duration) {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	rest(5 * time.Second) // connections stand, estimates are there
	h := &Herd{Members: members, Seconds: herdFor.Seconds()}
	before := r.sums(l)
	rest(herdFor)
	h.Quiet = r.sums(l).less(before)
	before = r.sums(l)
	begun := time.Now()
	dead := r.Members[:members*7/10]
	r.Discovery.Fail(true)
	r.Kill(dead...)
	if err := r.SpawnAll(ctx, dead); err != nil {
		return nil, err
	}
	rest(herdOutage - time.Since(begun))
	r.Discovery.Fail(false)
	if err := r.listed(ctx, time.Minute); err != nil {
		return nil, err
	}
	h.ReadyMS = ms(time.Since(begun))
	rest(herdFor - time.Since(begun))
	h.Killed = r.sums(l).less(before)
	return h, ctx.Err()
}

func (r *Rig) sums(l *Clients) (s HerdSums) {
	_, s.Requests = l.Answers()
	s.Lost = l.Lost()
	for _, c := range r.Zones.Counts() {
		s.Probes += c.Probes
		s.Opened += c.Opened
	}
	s.Lists = r.Discovery.Asked()
	return s
}

func (s HerdSums) less(o HerdSums) HerdSums {
	return HerdSums{s.Requests - o.Requests, s.Lost - o.Lost, s.Probes - o.Probes, s.Opened - o.Opened,
		s.Lists - o.Lists}
}
