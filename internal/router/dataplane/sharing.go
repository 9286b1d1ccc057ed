package dataplane

import (
	"time"

	"cresshub/internal/router/scheduler"
)

// mostKnown bounds how many prompts and their holders are handed on.
const mostKnown = 4096

// WorkChanged returns a channel that holds a token when calls to model servers have begun or ended.
func (f *Front) WorkChanged() <-chan struct{} { return f.decider.changed }

// WorkChanges returns what this proxy has under way at the servers where that has changed since the last
// call, or wherever it has anything.
func (f *Front) WorkChanges(all bool) []scheduler.InFlightLoad {
	d := f.decider
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.chooser.InFlightChanges(all)
}

// NewPrompts returns what this proxy has sent to servers to be read for the first time since the last call.
func (f *Front) NewPrompts() []scheduler.CachedPrefixes {
	d := f.decider
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.chooser.TakeNewPrefixes()
}

// ShareWork takes in what all other proxies together have under way at some servers; with whole, they have
// nothing under way elsewhere. It also takes in what they have sent to servers for the first time.
func (f *Front) ShareWork(others []scheduler.InFlightLoad, whole bool, prompts []scheduler.CachedPrefixes) {
	now, unlock := f.decider.lock()
	defer unlock()
	f.decider.chooser.SetPeerLoad(now, others, whole)
	f.decider.chooser.AddCachedPrefixes(prompts)
}

// AloneAtStart notes that no other proxy has sent anything to a server before this one started.
func (f *Front) AloneAtStart() {
	now, unlock := f.decider.lock()
	defer unlock()
	f.decider.chooser.MarkFleetStart(now)
}

// SinceAnswer returns how long ago a server last answered a request of this proxy well, and whether it has.
func (f *Front) SinceAnswer(server string) (time.Duration, bool) {
	now, unlock := f.decider.lock()
	defer unlock()
	at, answered := f.decider.chooser.LastSuccess(server)
	return now - at, answered
}

// KnownPrefixes returns what is known of which servers hold what.
func (f *Front) KnownPrompts() []scheduler.CachedPrefixes {
	d := f.decider
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.chooser.KnownPrefixes(mostKnown)
}

// CatchUp takes in all that another proxy, or this one before its last end, knew of which servers hold what.
func (f *Front) CatchUp(known []scheduler.CachedPrefixes) {
	now, unlock := f.decider.lock()
	defer unlock()
	f.decider.chooser.AddCachedPrefixes(known)
	f.decider.chooser.MarkPrefixesSynced(now)
}
