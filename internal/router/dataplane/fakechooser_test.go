package dataplane

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/scheduler"
)

// fakeChooser chooses the first server in the table that is not excluded, and records what is reported to it.
// The lock of lockedChooser guards all fields except those that tests read, which mu guards.
type fakeChooser struct {
	mu                  sync.Mutex
	table               *catalog.Table
	noSplit             bool          // Split returns false
	queueDelay          time.Duration // returned by QueueDelay
	inFlight            map[*scheduler.Call]bool
	endedOutcomes       []scheduler.Outcome // of the calls, in the order in which they ended
	unmatchedDones      int                 // Done was called for a call that is not in flight
	firstEvents         int                 // number of calls of FirstEvent
	loads               []scheduler.Load
	panicsInChoose      atomic.Bool // Choose panics, before the call begins
	panicsInObserveLoad atomic.Bool // ObserveLoad panics, while a call is in flight
}

func newFakeChooser() *fakeChooser { return &fakeChooser{inFlight: map[*scheduler.Call]bool{}} }

func (f *fakeChooser) Update(_ time.Duration, table *catalog.Table) { f.table = table }

func (f *fakeChooser) Split(_ time.Duration, req *scheduler.Request) bool {
	return !f.noSplit && f.first(req, catalog.Prefill) != nil
}

func (f *fakeChooser) Choose(_ time.Duration, req *scheduler.Request, role scheduler.Role,
	prefillServer *catalog.Server) *scheduler.Call {
	if f.panicsInChoose.Load() {
		panic("injected by the test")
	}
	stage := catalog.NoRole
	if req.Service.Engine != nil {
		stage = catalog.Decode
	}
	if role == scheduler.Prefill {
		stage = catalog.Prefill
	}
	server := f.first(req, stage)
	if server == nil {
		return nil
	}
	call := &scheduler.Call{Server: server, Role: role}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight[call] = true
	return call
}

// first returns the first server of a role that is not excluded, nil if there is none.
func (f *fakeChooser) first(req *scheduler.Request, role catalog.Role) *catalog.Server {
	for _, s := range f.table.Service(req.Service.Name) {
		if s.Role == role && !slices.Contains(req.Excluded, s.ID) {
			return s
		}
	}
	return nil
}

func (f *fakeChooser) ObserveLoad(_ time.Duration, _ string, load scheduler.Load) {
	if f.panicsInObserveLoad.Load() {
		panic("injected by the test")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads = append(f.loads, load)
}

func (f *fakeChooser) RecordStall(time.Duration) {}

func (f *fakeChooser) Ejections() int64 { return 0 }

func (f *fakeChooser) FirstEvent(time.Duration, *scheduler.Call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.firstEvents++
}

func (f *fakeChooser) Done(_ time.Duration, call *scheduler.Call, outcome scheduler.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.inFlight[call] {
		f.unmatchedDones++
	}
	delete(f.inFlight, call)
	f.endedOutcomes = append(f.endedOutcomes, outcome)
}

func (f *fakeChooser) QueueDelay(time.Duration, *scheduler.Request) scheduler.SlotDelay {
	return scheduler.SlotDelay{Wait: f.queueDelay, HasFreeSlot: f.queueDelay == 0}
}

func (f *fakeChooser) Alternative(
	_ time.Duration, req *scheduler.Request, serverID string,
) scheduler.Alternative {
	exists := false
	for _, s := range f.table.Service(req.Service.Name) {
		exists = exists || s.ID != serverID && s.Role != catalog.Prefill && !slices.Contains(req.Excluded, s.ID)
	}
	return scheduler.Alternative{Exists: exists, HasFreeSlot: exists && f.queueDelay == 0}
}

// outcomes returns the outcomes of the calls, in the order in which they ended.
func (f *fakeChooser) outcomes() []scheduler.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.endedOutcomes)
}

// callsBegun returns how many calls have begun so far.
func (f *fakeChooser) callsBegun() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.inFlight) + len(f.endedOutcomes) - f.unmatchedDones
}

// allCallsEndedOnce reports whether each call has ended exactly once.
func (f *fakeChooser) allCallsEndedOnce() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.inFlight) == 0 && f.unmatchedDones == 0
}

func (f *fakeChooser) TakeInFlightLoads(scheduler.LoadScope) []scheduler.InFlightLoad { return nil }

func (f *fakeChooser) SetPeerLoad(time.Duration, []scheduler.InFlightLoad, scheduler.LoadScope) {}

func (f *fakeChooser) MarkFleetStart(time.Duration) {}

func (f *fakeChooser) TakeNewPrefixes() []scheduler.CachedPrefixes { return nil }

func (f *fakeChooser) AddCachedPrefixes([]scheduler.CachedPrefixes) {}

func (f *fakeChooser) LastSuccess(string) scheduler.LastSuccess { return scheduler.LastSuccess{} }

func (f *fakeChooser) KnownPrefixes(int) []scheduler.CachedPrefixes { return nil }

func (f *fakeChooser) MarkPrefixesSynced(time.Duration) {}
