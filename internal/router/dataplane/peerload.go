package dataplane

import (
	"time"

	"cresshub/internal/router/scheduler"
)

// maxKnownPrefixes bounds how many prefixes KnownPrefixes returns.
const maxKnownPrefixes = 4096

// peerExchange is the part of the scheduler that exchanges load and cached prefixes with the other proxies.
type peerExchange interface {
	TakeInFlightLoads(scope scheduler.LoadScope) []scheduler.InFlightLoad
	SetPeerLoad(now time.Duration, peers []scheduler.InFlightLoad, scope scheduler.LoadScope)
	MarkFleetStart(now time.Duration)
	TakeNewPrefixes() []scheduler.CachedPrefixes
	AddCachedPrefixes(all []scheduler.CachedPrefixes)
	KnownPrefixes(limit int) []scheduler.CachedPrefixes
	MarkPrefixesSynced(now time.Duration)
}

// InFlightChanged returns a channel that holds a token if calls to model servers have begun or ended since
// the previous token was received.
func (p *Proxy) InFlightChanged() <-chan struct{} { return p.chooser.inFlightChanged }

// TakeInFlightLoads returns what this proxy has in flight at the servers in the scope. ChangedServers are
// those whose load has changed since the previous call.
func (p *Proxy) TakeInFlightLoads(scope scheduler.LoadScope) []scheduler.InFlightLoad {
	lc := p.chooser
	lc.mu.Lock()
	defer lc.mu.Unlock()
	return lc.inner.TakeInFlightLoads(scope)
}

// TakeNewPrefixes returns the prefixes that this proxy has sent to servers for the first time since the
// previous call.
func (p *Proxy) TakeNewPrefixes() []scheduler.CachedPrefixes {
	lc := p.chooser
	lc.mu.Lock()
	defer lc.mu.Unlock()
	return lc.inner.TakeNewPrefixes()
}

// SetPeerLoad sets the sum of what the other proxies have in flight at the servers in the scope. It also adds
// the prefixes that they have sent to servers for the first time.
func (p *Proxy) SetPeerLoad(peers []scheduler.InFlightLoad, scope scheduler.LoadScope,
	prefixes []scheduler.CachedPrefixes) {
	now := p.chooser.lock()
	defer p.chooser.mu.Unlock()
	p.chooser.inner.SetPeerLoad(now, peers, scope)
	p.chooser.inner.AddCachedPrefixes(prefixes)
}

// MarkFleetStart records that no proxy had sent anything to a server before this one started.
func (p *Proxy) MarkFleetStart() {
	now := p.chooser.lock()
	defer p.chooser.mu.Unlock()
	p.chooser.inner.MarkFleetStart(now)
}

// LastSuccess is the most recent request of this proxy that a server answered successfully.
type LastSuccess struct {
	Exists bool          // the server has answered such a request
	Age    time.Duration // time since then
}

// LastSuccess returns the most recent request that the server with that ID answered successfully.
func (p *Proxy) LastSuccess(server string) LastSuccess {
	now := p.chooser.lock()
	defer p.chooser.mu.Unlock()
	last := p.chooser.inner.LastSuccess(server)
	if !last.Exists {
		return LastSuccess{}
	}
	return LastSuccess{Exists: true, Age: now - last.At}
}

// KnownPrefixes returns the prefixes that are known to be cached, by server. It returns at most
// maxKnownPrefixes of them.
func (p *Proxy) KnownPrefixes() []scheduler.CachedPrefixes {
	lc := p.chooser
	lc.mu.Lock()
	defer lc.mu.Unlock()
	return lc.inner.KnownPrefixes(maxKnownPrefixes)
}

// SyncPrefixes adds the cached prefixes that another proxy knows, or that this one knew before it was
// restarted.
func (p *Proxy) SyncPrefixes(known []scheduler.CachedPrefixes) {
	now := p.chooser.lock()
	defer p.chooser.mu.Unlock()
	p.chooser.inner.AddCachedPrefixes(known)
	p.chooser.inner.MarkPrefixesSynced(now)
}
