package dataplane

import (
	"time"

	"cresshub/internal/router/scheduler"
)

// maxKnownPrefixes bounds how many prefixes KnownPrefixes returns.
const maxKnownPrefixes = 4096

// peerExchange exchanges load and cached prefixes with the other proxies.
type peerExchange interface {
	InFlightChanges(all bool) []scheduler.InFlightLoad
	SetPeerLoad(now time.Duration, peers []scheduler.InFlightLoad, full bool)
	MarkFleetStart(now time.Duration)
	TakeNewPrefixes() []scheduler.CachedPrefixes
	AddCachedPrefixes(all []scheduler.CachedPrefixes)
	KnownPrefixes(limit int) []scheduler.CachedPrefixes
	MarkPrefixesSynced(now time.Duration)
}

// InFlightChanged returns a channel that holds a token when calls to model servers have begun or ended.
func (p *Proxy) InFlightChanged() <-chan struct{} { return p.chooser.inFlightChanged }

// InFlightChanges returns this proxy's calls in flight at the servers where that has changed since the last
// call, or with all wherever it has any.
func (p *Proxy) InFlightChanges(all bool) []scheduler.InFlightLoad {
	lc := p.chooser
	lc.mu.Lock()
	defer lc.mu.Unlock()
	return lc.inner.InFlightChanges(all)
}

// TakeNewPrefixes returns the prefixes that this proxy has sent to servers for the first time since the
// last call.
func (p *Proxy) TakeNewPrefixes() []scheduler.CachedPrefixes {
	lc := p.chooser
	lc.mu.Lock()
	defer lc.mu.Unlock()
	return lc.inner.TakeNewPrefixes()
}

// SetPeerLoad sets the calls that all other proxies together have in flight at some servers; with
// full, they have none elsewhere. It also adds the prefixes that they have sent to servers for the first
// time.
func (p *Proxy) SetPeerLoad(peers []scheduler.InFlightLoad, full bool, prefixes []scheduler.CachedPrefixes) {
	now := p.chooser.lock()
	defer p.chooser.mu.Unlock()
	p.chooser.inner.SetPeerLoad(now, peers, full)
	p.chooser.inner.AddCachedPrefixes(prefixes)
}

// MarkFleetStart records that no proxy has sent anything to a server before this one started.
func (p *Proxy) MarkFleetStart() {
	now := p.chooser.lock()
	defer p.chooser.mu.Unlock()
	p.chooser.inner.MarkFleetStart(now)
}

// SinceLastSuccess returns how long ago a server last answered a request of this proxy with success, and
// whether it has.
func (p *Proxy) SinceLastSuccess(server string) (time.Duration, bool) {
	now := p.chooser.lock()
	defer p.chooser.mu.Unlock()
	last := p.chooser.inner.LastSuccess(server)
	return now - last.At, last.Exists
}

// KnownPrefixes returns which prefixes are known to be cached at which servers, at most maxKnownPrefixes.
func (p *Proxy) KnownPrefixes() []scheduler.CachedPrefixes {
	lc := p.chooser
	lc.mu.Lock()
	defer lc.mu.Unlock()
	return lc.inner.KnownPrefixes(maxKnownPrefixes)
}

// SyncPrefixes adds what another proxy, or this one before it was restarted, knew of the prefixes cached at
// servers.
func (p *Proxy) SyncPrefixes(known []scheduler.CachedPrefixes) {
	now := p.chooser.lock()
	defer p.chooser.mu.Unlock()
	p.chooser.inner.AddCachedPrefixes(known)
	p.chooser.inner.MarkPrefixesSynced(now)
}
