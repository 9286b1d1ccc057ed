package clusterrig

import (
	"context"
	"fmt"
	"time"
)

// RestartStorm is the total load that independent proxies put on zone servers and discovery at a client load
// that doesn't grow with their number: over a quiet phase, and over one as long in which seven in ten are
// killed at once and restarted while discovery fails.
type RestartStorm struct {
	Members int         `json:"members"`
	Seconds float64     `json:"seconds"` // of each phase
	Quiet   StormTotals `json:"quiet"`
	Killed  StormTotals `json:"killed"`
	ReadyMS float64     `json:"ready_ms"` // from the kill until every member has a list of servers again
}

// StormTotals are totals over all proxies, counted by clients, zone servers and discovery.
type StormTotals struct {
	Requests int64 `json:"requests"` // final answers that clients got
	Lost     int64 `json:"lost"`     // requests without one, to members that were killed
	Probes   int   `json:"probes"`
	Opened   int   `json:"connections"` // opened
	Lists    int   `json:"list_calls"`
}

const (
	stormZones        = 12
	stormClients      = 8
	stormWarmup       = 5 * time.Second // connections are open and estimates stand
	stormPhase        = 15 * time.Second
	stormOutage       = 3 * time.Second // discovery fails for so long from the kill on
	stormReadyTimeout = time.Minute
)

// RunRestartStorm measures a restart storm of so many proxies.
func RunRestartStorm(ctx context.Context, o Options, members int) (*RestartStorm, error) {
	o.Members, o.Zones, o.Standalone = members, stormZones, true
	o.ExtraTOML = fmt.Sprintf("[policy]\ninstances = %d\nprobes = true\n", members)
	r, err := Start(ctx, o)
	if err != nil {
		return nil, err
	}
	defer r.discard()
	if err := r.waitReady(ctx, stormReadyTimeout); err != nil {
		return nil, err
	}
	clients := NewClients()
	defer clients.Start(ctx, r.Members, stormClients)()
	_ = sleep(ctx, stormWarmup)
	storm := &RestartStorm{Members: members, Seconds: stormPhase.Seconds()}
	before := r.stormTotals(clients)
	_ = sleep(ctx, stormPhase)
	storm.Quiet = r.stormTotals(clients).minus(before)
	before = r.stormTotals(clients)
	started := time.Now()
	if err := r.restartInOutage(ctx, r.Members[:members*7/10]); err != nil {
		return nil, err
	}
	storm.ReadyMS = milliseconds(time.Since(started))
	_ = sleep(ctx, stormPhase-time.Since(started))
	storm.Killed = r.stormTotals(clients).minus(before)
	return storm, ctx.Err() // also of an interrupted sleep
}

// restartInOutage kills members at once and restarts them while discovery fails, and waits until all members
// are ready after that.
func (r *Rig) restartInOutage(ctx context.Context, victims []*Member) error {
	started := time.Now()
	r.Discovery.Fail(true)
	r.Kill(victims...)
	if err := r.SpawnAll(ctx, victims); err != nil {
		return err
	}
	_ = sleep(ctx, stormOutage-time.Since(started)) // an interruption shows in waitReady
	r.Discovery.Fail(false)
	return r.waitReady(ctx, stormReadyTimeout)
}

// stormTotals returns the totals so far.
func (r *Rig) stormTotals(c *Clients) (s StormTotals) {
	s.Requests = c.TotalAnswers()
	s.Lost = c.Lost()
	for _, z := range r.Zones.Counts() {
		s.Probes += z.Probes
		s.Opened += z.Opened
	}
	s.Lists = r.Discovery.Calls()
	return s
}

func (s StormTotals) minus(o StormTotals) StormTotals {
	return StormTotals{s.Requests - o.Requests, s.Lost - o.Lost, s.Probes - o.Probes, s.Opened - o.Opened,
		s.Lists - o.Lists}
}
