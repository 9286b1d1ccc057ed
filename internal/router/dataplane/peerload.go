package dataplane

import (
	"time"

	"cresshub/internal/router/scheduler"
)

// maxKnownPrefixes bounds how many prefixes KnownPrefixes returns.
const maxKnownPrefixes = 4096

// peerExchange exchanges load and cached prefixes with the other proxies.
type peerExchange interface {
	TakeInFlightLoads(scope scheduler.LoadScope) []scheduler.InFlightLoad
	SetPeerLoad(now time.Duration, peers []scheduler.InFlightLoad, scope scheduler.LoadScope)
	MarkFleetStart(now time.Duration)
	TakeNewPrefixes() []scheduler.CachedPrefixes
	AddCachedPrefixes(all []scheduler.CachedPrefixes)
	KnownPrefixes(limit int) []scheduler.CachedPrefixes
	MarkPrefixesSynced(now time.Duration)
}

// InFlightChanged returns a channel that holds a token when calls to model servers have begun or ended.
func (p *Proxy) InFlightChanged() <-chan struct{} { return p.chooser.inFlightChanged }

// TakeInFlightLoads returns what this proxy has in flight at the servers in the scope; changes are those
// since the last call.
func (p *Proxy) TakeInFlightLoads(scope scheduler.LoadScope) []scheduler.InFlightLoad {
	lc := p.chooser
	lc.mu.Lock()
	defer lc.mu.Unlock()
	return lc.inner.TakeInFlightLoads(scope)
}

// TakeNewPrefixes returns the prefixes that this proxy has sent to servers for the first time since the
// last call.
func (p *Proxy) TakeNewPrefixes() []scheduler.CachedPrefixes {
	lc := p.chooser
	lc.mu.Lock()
	defer lc.mu.Unlock()
	return lc.inner.TakeNewPrefixes()
}

// SetPeerLoad sets what all other proxies together have in flight at the servers in the scope. It also adds
// the prefixes that they have sent to servers for the first time.
func (p *Proxy) SetPeerLoad(peers []scheduler.InFlightLoad, scope scheduler.LoadScope,
	prefixes []scheduler.CachedPrefixes) {
	now := p.chooser.lock()
	defer p.chooser.mu.Unlock()
	p.chooser.inner.SetPeerLoad(now, peers, scope)
	p.chooser.inner.AddCachedPrefixes(prefixes)
}

// MarkFleetStart records that no proxy has sent anything to a server before this one started.
func (p *Proxy) MarkFleetStart() {
	now := p.chooser.lock()
	defer p.chooser.mu.Unlock()
	p.chooser.inner.MarkFleetStart(now)
}

// LastSuccess is the newest request of this proxy that a server answered with success.
type LastSuccess struct {
	Exists bool          // the server has answered one
	Age    time.Duration // how long ago
}

// LastSuccess returns the newest request that a server, named by its id, answered with success.
func (p *Proxy) LastSuccess(server string) LastSuccess {
	now := p.chooser.lock()
	defer p.chooser.mu.Unlock()
	last := p.chooser.inner.LastSuccess(server)
	if !last.Exists {
		return LastSuccess{}
	}
	return LastSuccess{Exists: true, Age: now - last.At}
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
