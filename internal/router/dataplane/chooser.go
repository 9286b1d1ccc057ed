package dataplane

import (
	"math/rand/v2"
	"sync"
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/scheduler"
	"cresshub/internal/stallclock"
)

// chooser is the scheduler's interface to the data plane; *scheduler.Scheduler implements it. Times are
// measured on the Proxy's monotonic clock.
type chooser interface {
	callChooser
	peerExchange
}

// callChooser chooses a server for each call and is told about the progress of the calls.
type callChooser interface {
	// Update replaces the table of servers.
	Update(now time.Duration, table *catalog.Table)
	// Split reports whether the request's prompt is to be prefilled by one server for another.
	Split(now time.Duration, req *scheduler.Request) bool
	// Choose begins a call to the server that it chooses. It returns nil if no server may be called. Done must
	// be called exactly once for each call.
	Choose(now time.Duration, req *scheduler.Request, role scheduler.Role,
		prefillServer *catalog.Server) *scheduler.Call
	FirstEvent(now time.Duration, call *scheduler.Call)
	Done(now time.Duration, call *scheduler.Call, outcome scheduler.Outcome)
	ObserveLoad(now time.Duration, server string, load scheduler.Load)
	// RecordStall records that this process did not run for that long, up to now.
	RecordStall(length time.Duration)
	// Ejections returns how often servers were ejected.
	Ejections() int64
	// LastSuccess returns the most recent call that a server answered successfully.
	LastSuccess(server string) scheduler.LastSuccess
	// QueueDelay estimates how long a request would wait for a server slot.
	QueueDelay(now time.Duration, req *scheduler.Request) scheduler.SlotDelay
	// Alternative looks for a server for the request other than the one with that ID.
	Alternative(now time.Duration, req *scheduler.Request, serverID string) scheduler.Alternative
}

// lockedChooser makes a chooser safe for concurrent use, and passes it the newest table of servers.
type lockedChooser struct {
	state State
	// inFlightChanged holds a token if calls have begun or ended since the previous token was received.
	inFlightChanged chan struct{}
	now             func() time.Duration // the monotonic clock
	clock           *stallclock.Clock    // measures the stalls of this process
	demandMeter     *demandMeter         // of calls to model servers

	mu             sync.Mutex // guards the fields below
	inner          chooser
	table          *catalog.Table   // the last one passed to inner
	recordedStalls stallclock.Stats // the stalls that inner has been told of
}

func newLockedChooser(zone string, state State, clock *stallclock.Clock,
	now func() time.Duration) *lockedChooser {
	return &lockedChooser{state: state, now: now, clock: clock, demandMeter: newDemandMeter(),
		inFlightChanged: make(chan struct{}, 1),
		inner:           scheduler.New(zone, rand.Uint64())}
}

// lock locks mu, which the caller must unlock, and updates the chooser if there is a newer table of servers
// or this process has stalled. It returns the current time.
func (lc *lockedChooser) lock() time.Duration {
	lc.mu.Lock()
	lc.clock.Sample()
	if stalls := lc.clock.Stats(); stalls != lc.recordedStalls {
		lc.inner.RecordStall(stalls.Total - lc.recordedStalls.Total)
		lc.recordedStalls = stalls
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

// recordDemand adds delta to the calls in flight at model servers: 1 when a call begins, -1 when it ends.
// Calls to other servers are ignored.
func (lc *lockedChooser) recordDemand(now time.Duration, call *scheduler.Call, delta int) {
	if call.Server.Role != catalog.NoRole {
		lc.demandMeter.add(now, call.Server.Service, call.Role, delta)
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
