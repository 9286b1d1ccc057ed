package front

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cresshub/internal/catalog"
	"cresshub/internal/pairing"
)

// fakeChooser takes the first server in the table that was not tried, and notes what it is told. The
// decider's lock guards all but what tests read.
type fakeChooser struct {
	mu       sync.Mutex
	table    *catalog.Table
	noSplit  bool
	wait     time.Duration
	open     map[*pairing.Call]bool
	ended    []pairing.Outcome
	unpaired int // calls ended twice, or never begun
	begun    int // first events
	loads    []pairing.Load
	panics   atomic.Bool
	// panicsInCalls has it panic while a call is under way.
	panicsInCalls atomic.Bool
}

func newFakeChooser() *fakeChooser { return &fakeChooser{open: map[*pairing.Call]bool{}} }

func (f *fakeChooser) Update(_ time.Duration, table *catalog.Table) { f.table = table }

func (f *fakeChooser) Split(_ time.Duration, r *pairing.Request) bool {
	return !f.noSplit && f.first(r, catalog.Reading) != nil
}

func (f *fakeChooser) Choose(_ time.Duration, r *pairing.Request, role pairing.Role,
	reader *catalog.Server) *pairing.Call {
	if f.panics.Load() {
		panic("a mistake")
	}
	stage := catalog.NoStage
	if r.Service.Engine != nil {
		stage = catalog.Writing
	}
	if role == pairing.Read {
		stage = catalog.Reading
	}
	server := f.first(r, stage)
	if server == nil {
		return nil
	}
	call := &pairing.Call{Server: server, Role: role}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open[call] = true
	return call
}

// first returns the first server that may be sent to.
func (f *fakeChooser) first(r *pairing.Request, stage catalog.Stage) *catalog.Server {
	for _, s := range f.table.Service(r.Service.Name) {
		if s.Stage == stage && !slices.Contains(r.Tried, s.ID) {
			return s
		}
	}
	return nil
}

func (f *fakeChooser) Told(_ time.Duration, _ string, load pairing.Load) {
	if f.panicsInCalls.Load() {
		panic("a mistake")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads = append(f.loads, load)
}

func (f *fakeChooser) FirstEvent(time.Duration, *pairing.Call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begun++
}

func (f *fakeChooser) Done(_ time.Duration, call *pairing.Call, outcome pairing.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.open[call] {
		f.unpaired++
	}
	delete(f.open, call)
	f.ended = append(f.ended, outcome)
}

func (f *fakeChooser) Crowded(time.Duration, *pairing.Request) (time.Duration, bool) {
	return f.wait, f.wait == 0
}

func (f *fakeChooser) Alternative(_ time.Duration, r *pairing.Request, server string) (exists, free bool) {
	for _, s := range f.table.Service(r.Service.Name) {
		exists = exists || s.ID != server && s.Stage != catalog.Reading && !slices.Contains(r.Tried, s.ID)
	}
	return exists, exists && f.wait == 0
}

// outcomes returns how the calls have ended, in their order.
func (f *fakeChooser) outcomes() []pairing.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.ended)
}

// paired tells whether each call has ended once.
func (f *fakeChooser) paired() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.open) == 0 && f.unpaired == 0
}

func (f *fakeChooser) Changes(bool) []pairing.Contribution { return nil }

func (f *fakeChooser) Share(time.Duration, []pairing.Contribution, bool) {}

func (f *fakeChooser) KnowHolders(time.Duration) {}

func (f *fakeChooser) TakeNewPrompts() []pairing.NewPrompts { return nil }

func (f *fakeChooser) NoteNewPrompts([]pairing.NewPrompts) {}

func (f *fakeChooser) AnsweredAt(string) (time.Duration, bool) { return 0, false }

func (f *fakeChooser) KnownPrompts(int) []pairing.NewPrompts { return nil }

func (f *fakeChooser) CaughtUp(time.Duration) {}
