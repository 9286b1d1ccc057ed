package dataplane

import (
	"math/rand/v2"
	"sync"
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/scheduler"
)

// chooser is what the data plane asks of the decisions; *pairing.Chooser in the program.
type chooser interface {
	Update(now time.Duration, table *catalog.Table)
	Split(now time.Duration, r *scheduler.Request) bool
	Choose(now time.Duration, r *scheduler.Request, role scheduler.Role, reader *catalog.Server) *scheduler.Call
	ObserveLoad(now time.Duration, server string, load scheduler.Load)
	LastSuccess(server string) (time.Duration, bool)
	FirstEvent(now time.Duration, call *scheduler.Call)
	Done(now time.Duration, call *scheduler.Call, outcome scheduler.Outcome)
	QueueDelay(now time.Duration, r *scheduler.Request) (wait time.Duration, free bool)
	Alternative(now time.Duration, r *scheduler.Request, server string) (exists, free bool)
	InFlightChanges(all bool) []scheduler.InFlightLoad
	SetPeerLoad(now time.Duration, others []scheduler.InFlightLoad, whole bool)
	MarkFleetStart(now time.Duration)
	TakeNewPrefixes() []scheduler.CachedPrefixes
	AddCachedPrefixes(all []scheduler.CachedPrefixes)
	KnownPrefixes(most int) []scheduler.CachedPrefixes
	MarkPrefixesSynced(now time.Duration)
}

// decider lets many goroutines use one chooser, and keeps it at the newest table of servers.
type decider struct {
	state State
	// changed holds a token when calls began or ended since the last one was taken.
	changed chan struct{}
	now     func() time.Duration

	demand *demandMeter

	mu      sync.Mutex
	chooser chooser
	table   *catalog.Table
}

func newDecider(zone string, state State, now func() time.Duration) *decider {
	return &decider{state: state, now: now, demand: newDemandMeter(), changed: make(chan struct{}, 1),
		chooser: scheduler.New(zone, rand.Uint64())}
}

// lock takes the lock and hands the chooser a newer table where there is one.
func (d *decider) lock() (now time.Duration, unlock func()) {
	d.mu.Lock()
	now = d.now()
	if table := servers(d.state); table != d.table {
		d.table = table
		d.chooser.Update(now, table)
	}
	return now, d.mu.Unlock
}

func (d *decider) split(r *scheduler.Request) bool {
	now, unlock := d.lock()
	defer unlock()
	return d.chooser.Split(now, r)
}

func (d *decider) choose(r *scheduler.Request, role scheduler.Role, reader *catalog.Server) *scheduler.Call {
	now, unlock := d.lock()
	defer unlock()
	call := d.chooser.Choose(now, r, role, reader)
	if call != nil {
		d.meter(now, call, 1)
	}
	return call
}

func (d *decider) told(server string, load scheduler.Load) {
	now, unlock := d.lock()
	defer unlock()
	d.chooser.ObserveLoad(now, server, load)
}

func (d *decider) firstEvent(call *scheduler.Call) {
	now, unlock := d.lock()
	defer unlock()
	d.chooser.FirstEvent(now, call)
}

func (d *decider) done(call *scheduler.Call, outcome scheduler.Outcome) {
	now, unlock := d.lock()
	defer unlock()
	d.chooser.Done(now, call, outcome)
	d.meter(now, call, -1)
}

// meter counts a call to a model server as begun, or as ended where change is -1.
func (d *decider) meter(now time.Duration, call *scheduler.Call, change int) {
	if call.Server.Stage != catalog.NoStage {
		d.demand.add(now, call.Server.Service, call.Role, change)
		d.noteChange()
	}
}

func (d *decider) noteChange() {
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

func (d *decider) crowded(r *scheduler.Request) (wait time.Duration, free bool) {
	now, unlock := d.lock()
	defer unlock()
	return d.chooser.QueueDelay(now, r)
}

func (d *decider) alternative(r *scheduler.Request, server string) (exists, free bool) {
	now, unlock := d.lock()
	defer unlock()
	return d.chooser.Alternative(now, r, server)
}
