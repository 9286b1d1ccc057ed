package dataplane

import (
	"math/rand/v2"
	"sync"
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/scheduler"
)

// chooser is what the data plane asks of the scheduler; *scheduler.Scheduler in the program.
type chooser interface {
	Update(now time.Duration, table *catalog.Table)
	Split(now time.Duration, r *scheduler.Request) bool
	Choose(now time.Duration, r *scheduler.Request, role scheduler.Role,
		prefillServer *catalog.Server) *scheduler.Call
	ObserveLoad(now time.Duration, server string, load scheduler.Load)
	LastSuccess(server string) (time.Duration, bool)
	FirstEvent(now time.Duration, call *scheduler.Call)
	Done(now time.Duration, call *scheduler.Call, outcome scheduler.Outcome)
	QueueDelay(now time.Duration, r *scheduler.Request) (wait time.Duration, free bool)
	Alternative(now time.Duration, r *scheduler.Request, server string) (exists, free bool)
	InFlightChanges(all bool) []scheduler.InFlightLoad
	SetPeerLoad(now time.Duration, peers []scheduler.InFlightLoad, full bool)
	MarkFleetStart(now time.Duration)
	TakeNewPrefixes() []scheduler.CachedPrefixes
	AddCachedPrefixes(all []scheduler.CachedPrefixes)
	KnownPrefixes(limit int) []scheduler.CachedPrefixes
	MarkPrefixesSynced(now time.Duration)
}

// lockedChooser lets many goroutines use one chooser, and keeps it at the newest table of servers.
type lockedChooser struct {
	state State
	// inFlightChanged holds a token when calls began or ended since the last one was taken.
	inFlightChanged chan struct{}
	now             func() time.Duration

	demandMeter *demandMeter

	mu      sync.Mutex
	chooser chooser
	table   *catalog.Table
}

func newLockedChooser(zone string, state State, now func() time.Duration) *lockedChooser {
	return &lockedChooser{state: state, now: now, demandMeter: newDemandMeter(),
		inFlightChanged: make(chan struct{}, 1),
		chooser:         scheduler.New(zone, rand.Uint64())}
}

// lock takes the lock and gives the chooser a newer table where there is one.
func (lc *lockedChooser) lock() (now time.Duration, unlock func()) {
	lc.mu.Lock()
	now = lc.now()
	if table := servers(lc.state); table != lc.table {
		lc.table = table
		lc.chooser.Update(now, table)
	}
	return now, lc.mu.Unlock
}

func (lc *lockedChooser) split(r *scheduler.Request) bool {
	now, unlock := lc.lock()
	defer unlock()
	return lc.chooser.Split(now, r)
}

func (lc *lockedChooser) choose(r *scheduler.Request, role scheduler.Role,
	prefillServer *catalog.Server) *scheduler.Call {
	now, unlock := lc.lock()
	defer unlock()
	call := lc.chooser.Choose(now, r, role, prefillServer)
	if call != nil {
		lc.recordDemand(now, call, 1)
	}
	return call
}

func (lc *lockedChooser) observeLoad(server string, load scheduler.Load) {
	now, unlock := lc.lock()
	defer unlock()
	lc.chooser.ObserveLoad(now, server, load)
}

func (lc *lockedChooser) firstEvent(call *scheduler.Call) {
	now, unlock := lc.lock()
	defer unlock()
	lc.chooser.FirstEvent(now, call)
}

func (lc *lockedChooser) done(call *scheduler.Call, outcome scheduler.Outcome) {
	now, unlock := lc.lock()
	defer unlock()
	lc.chooser.Done(now, call, outcome)
	lc.recordDemand(now, call, -1)
}

// recordDemand counts a call to a model server as begun, or as ended where change is -1.
func (lc *lockedChooser) recordDemand(now time.Duration, call *scheduler.Call, change int) {
	if call.Server.Role != catalog.NoRole {
		lc.demandMeter.add(now, call.Server.Service, call.Role, change)
		lc.signalChange()
	}
}

func (lc *lockedChooser) signalChange() {
	select {
	case lc.inFlightChanged <- struct{}{}:
	default:
	}
}

func (lc *lockedChooser) queueDelay(r *scheduler.Request) (wait time.Duration, free bool) {
	now, unlock := lc.lock()
	defer unlock()
	return lc.chooser.QueueDelay(now, r)
}

func (lc *lockedChooser) alternative(r *scheduler.Request, server string) (exists, free bool) {
	now, unlock := lc.lock()
	defer unlock()
	return lc.chooser.Alternative(now, r, server)
}
