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

// lockedChooser lets many goroutines use one chooser, and keeps it at the newest table of servers.
type lockedChooser struct {
	state State
	// workChanged holds a token when calls began or ended since the last one was taken.
	workChanged chan struct{}
	now         func() time.Duration

	demandMeter *demandMeter

	mu      sync.Mutex
	chooser chooser
	table   *catalog.Table
}

func newLockedChooser(zone string, state State, now func() time.Duration) *lockedChooser {
	return &lockedChooser{state: state, now: now, demandMeter: newDemandMeter(),
		workChanged: make(chan struct{}, 1),
		chooser:     scheduler.New(zone, rand.Uint64())}
}

// lock takes the lock and hands the chooser a newer table where there is one.
func (d *lockedChooser) lock() (now time.Duration, unlock func()) {
	d.mu.Lock()
	now = d.now()
	if table := servers(d.state); table != d.table {
		d.table = table
		d.chooser.Update(now, table)
	}
	return now, d.mu.Unlock
}

func (d *lockedChooser) split(r *scheduler.Request) bool {
	now, unlock := d.lock()
	defer unlock()
	return d.chooser.Split(now, r)
}

func (d *lockedChooser) choose(r *scheduler.Request, role scheduler.Role,
	reader *catalog.Server) *scheduler.Call {
	now, unlock := d.lock()
	defer unlock()
	call := d.chooser.Choose(now, r, role, reader)
	if call != nil {
		d.recordDemand(now, call, 1)
	}
	return call
}

func (d *lockedChooser) observeLoad(server string, load scheduler.Load) {
	now, unlock := d.lock()
	defer unlock()
	d.chooser.ObserveLoad(now, server, load)
}

func (d *lockedChooser) firstEvent(call *scheduler.Call) {
	now, unlock := d.lock()
	defer unlock()
	d.chooser.FirstEvent(now, call)
}

func (d *lockedChooser) done(call *scheduler.Call, outcome scheduler.Outcome) {
	now, unlock := d.lock()
	defer unlock()
	d.chooser.Done(now, call, outcome)
	d.recordDemand(now, call, -1)
}

// recordDemand counts a call to a model server as begun, or as ended where change is -1.
func (d *lockedChooser) recordDemand(now time.Duration, call *scheduler.Call, change int) {
	if call.Server.Role != catalog.NoRole {
		d.demandMeter.add(now, call.Server.Service, call.Role, change)
		d.signalChange()
	}
}

func (d *lockedChooser) signalChange() {
	select {
	case d.workChanged <- struct{}{}:
	default:
	}
}

func (d *lockedChooser) crowded(r *scheduler.Request) (wait time.Duration, free bool) {
	now, unlock := d.lock()
	defer unlock()
	return d.chooser.QueueDelay(now, r)
}

func (d *lockedChooser) alternative(r *scheduler.Request, server string) (exists, free bool) {
	now, unlock := d.lock()
	defer unlock()
	return d.chooser.Alternative(now, r, server)
}
