package dataplane

import (
	"time"

	"cresshub/internal/router/scheduler"
)

// maxKnownPrefixes bounds how many prompts and their holders are handed on.
const maxKnownPrefixes = 4096

// InFlightChanged returns a channel that holds a token when calls to model servers have begun or ended.
func (p *Proxy) InFlightChanged() <-chan struct{} { return p.chooser.inFlightChanged }

// InFlightChanges returns what this proxy has under way at the servers where that has changed since the last
// call, or wherever it has anything.
func (p *Proxy) InFlightChanges(all bool) []scheduler.InFlightLoad {
	lc := p.chooser
	lc.mu.Lock()
	defer lc.mu.Unlock()
	return lc.chooser.InFlightChanges(all)
}

// TakeNewPrefixes returns what this proxy has sent to servers to be read for the first time since the last call.
func (p *Proxy) TakeNewPrefixes() []scheduler.CachedPrefixes {
	lc := p.chooser
	lc.mu.Lock()
	defer lc.mu.Unlock()
	return lc.chooser.TakeNewPrefixes()
}

// SetPeerLoad takes in what all other proxies together have under way at some servers; with whole, they have
// nothing under way elsewhere. It also takes in what they have sent to servers for the first time.
func (p *Proxy) SetPeerLoad(peers []scheduler.InFlightLoad, full bool, prefixes []scheduler.CachedPrefixes) {
	now, unlock := p.chooser.lock()
	defer unlock()
	p.chooser.chooser.SetPeerLoad(now, peers, full)
	p.chooser.chooser.AddCachedPrefixes(prefixes)
}

// MarkFleetStart notes that no other proxy has sent anything to a server before this one started.
func (p *Proxy) MarkFleetStart() {
	now, unlock := p.chooser.lock()
	defer unlock()
	p.chooser.chooser.MarkFleetStart(now)
}

// SinceLastSuccess returns how long ago a server last answered a request of this proxy well, and whether it has.
func (p *Proxy) SinceLastSuccess(server string) (time.Duration, bool) {
	now, unlock := p.chooser.lock()
	defer unlock()
	at, answered := p.chooser.chooser.LastSuccess(server)
	return now - at, answered
}

// KnownPrefixes returns what is known of which servers hold what.
func (p *Proxy) KnownPrefixes() []scheduler.CachedPrefixes {
	lc := p.chooser
	lc.mu.Lock()
	defer lc.mu.Unlock()
	return lc.chooser.KnownPrefixes(maxKnownPrefixes)
}

// SyncPrefixes takes in all that another proxy, or this one before its last end, knew of which servers hold what.
func (p *Proxy) SyncPrefixes(known []scheduler.CachedPrefixes) {
	now, unlock := p.chooser.lock()
	defer unlock()
	p.chooser.chooser.AddCachedPrefixes(known)
	p.chooser.chooser.MarkPrefixesSynced(now)
}
