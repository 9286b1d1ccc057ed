package dataplane

import (
	"math/rand/v2"
	"sync"
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/scheduler"
	"cresshub/internal/stallclock"
)

// chooser is what the data plane asks of the scheduler; *scheduler.Scheduler in the program. Times are on the
// steady clock of the Proxy.
type chooser interface {
	callChooser
	peerExchange
}

// callChooser chooses the servers of calls and observes how the calls go.
type callChooser interface {
	// Update replaces the table of servers.
	Update(now time.Duration, table *catalog.Table)
	// Split reports whether the request's prompt is to be prefilled by one server for another.
	Split(now time.Duration, req *scheduler.Request) bool
	// Choose begins a call, nil if no server may be asked. Done has to end each call once.
	Choose(now time.Duration, req *scheduler.Request, role scheduler.Role,
		prefillServer *catalog.Server) *scheduler.Call
	FirstEvent(now time.Duration, call *scheduler.Call)
	Done(now time.Duration, call *scheduler.Call, outcome scheduler.Outcome)
	ObserveLoad(now time.Duration, server string, load scheduler.Load)
	// RecordStall records that this process has not run for that long until now.
	RecordStall(length time.Duration)
	// Ejections returns how often servers were ejected.
	Ejections() int64
	// LastSuccess returns the newest call that a server answered with success.
	LastSuccess(server string) scheduler.LastSuccess
	// QueueDelay estimates how long a request would wait for a slot.
	QueueDelay(now time.Duration, req *scheduler.Request) scheduler.SlotDelay
	// Alternative looks for a server for the request other than the one of an id.
	Alternative(now time.Duration, req *scheduler.Request, serverID string) scheduler.Alternative
}

// lockedChooser lets many goroutines use one chooser, and keeps it at the newest table of servers.
type lockedChooser struct {
	state State
	// inFlightChanged holds a token when calls began or ended since the last one was taken.
	inFlightChanged chan struct{}
	now             func() time.Duration // the steady clock
	clock           *stallclock.Clock    // of this process's stalls
	demandMeter     *demandMeter         // of model servers

	mu    sync.Mutex // guards what follows
	inner chooser
	table *catalog.Table   // that inner has
	known stallclock.Stats // the stalls that inner knows
}

func newLockedChooser(zone string, state State, clock *stallclock.Clock,
	now func() time.Duration) *lockedChooser {
	return &lockedChooser{state: state, now: now, clock: clock, demandMeter: newDemandMeter(),
		inFlightChanged: make(chan struct{}, 1),
		inner:           scheduler.New(zone, rand.Uint64())}
}

// lock locks mu, which the caller unlocks, and updates the chooser if there is a newer table of servers or
// this process has stalled. It returns the time.
func (lc *lockedChooser) lock() time.Duration {
	lc.mu.Lock()
	lc.clock.Sample()
	if stalls := lc.clock.Stats(); stalls != lc.known {
		lc.inner.RecordStall(stalls.Total - lc.known.Total)
		lc.known = stalls
	}
	now := lc.now()
	if table := servers(lc.state); table != lc.table {
		lc.table = table
		lc.inner.Update(now, table)
	}
	return now
}

func (lc *lockedChooser) split(req *scheduler.Request) bool {
	now := lc.lock()
	defer lc.mu.Unlock()
	return lc.inner.Split(now, req)
}

func (lc *lockedChooser) choose(req *scheduler.Request, role scheduler.Role,
	prefillServer *catalog.Server) *scheduler.Call {
	now := lc.lock()
	defer lc.mu.Unlock()
	call := lc.inner.Choose(now, req, role, prefillServer)
	if call != nil {
		lc.recordDemand(now, call, 1)
	}
	return call
}

func (lc *lockedChooser) observeLoad(server string, load scheduler.Load) {
	now := lc.lock()
	defer lc.mu.Unlock()
	lc.inner.ObserveLoad(now, server, load)
}

func (lc *lockedChooser) firstEvent(call *scheduler.Call) {
	now := lc.lock()
	defer lc.mu.Unlock()
	lc.inner.FirstEvent(now, call)
}

func (lc *lockedChooser) done(call *scheduler.Call, outcome scheduler.Outcome) {
	now := lc.lock()
	defer lc.mu.Unlock()
	lc.inner.Done(now, call, outcome)
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

func (lc *lockedChooser) ejections() int64 {
	lc.lock()
	defer lc.mu.Unlock()
	return lc.inner.Ejections()
}

func (lc *lockedChooser) queueDelay(req *scheduler.Request) scheduler.SlotDelay {
	now := lc.lock()
	defer lc.mu.Unlock()
	return lc.inner.QueueDelay(now, req)
}

func (lc *lockedChooser) alternative(req *scheduler.Request, serverID string) scheduler.Alternative {
	now := lc.lock()
	defer lc.mu.Unlock()
	return lc.inner.Alternative(now, req, serverID)
}
