package balance

import (
	"math"
	"slices"
	"time"
)

// List updates the servers from a list of the registry, or records that following the list failed.
func (b *Balancer) List(now time.Duration, kind ListKind, entries []Server, actions []Action) []Action {
	if kind == ListFailed {
		b.listFailures++
		// Spread and back off: a registry that is short of time must not be asked by all at once.
		// But not for long: what it has to report binds also while it is out of reach.
		wait := b.settings.RegistryInterval / 20 * time.Duration(1<<min(b.listFailures, 2))
		return append(actions, b.timer(b.jitter(wait), timerFollow, 0))
	}
	if kind == ListCached && b.settings.MustFollow {
		spread := b.settings.RegistryInterval / 5
		if len(entries) == 0 { // a balancer that knows no server can serve nobody
			spread /= 20
		}
		actions = append(actions, b.timer(time.Duration(b.rng.Float64()*float64(spread)), timerFollow, 0))
	} else {
		b.listFailures = 0
	}
	b.updateServers(entries, kind == ListDelta)
	b.meanRating = 0
	for _, s := range b.servers {
		if !(s.Rating > 0) || math.IsInf(s.Rating, 0) {
			s.Rating = 1
		}
		b.meanRating += s.Rating / float64(len(b.servers))
	}
	return actions
}

// updateServers adds, updates and removes the servers of entries, and those missing unless it is a delta.
func (b *Balancer) updateServers(entries []Server, delta bool) {
	listed := make(map[ServerID]bool, len(entries))
	for _, s := range entries {
		listed[s.ID] = true
		old := b.byID[s.ID]
		switch {
		case s.State != Up:
			b.removeServer(s.ID)
		case old == nil:
			b.byID[s.ID] = b.newServer(s)
			b.servers = append(b.servers, b.byID[s.ID])
		case old.Started != s.Started:
			// A new process under the old id starts slowly, and no observation of the old one holds for it.
			b.byID[s.ID] = b.newServer(s)
			b.servers[slices.Index(b.servers, old)] = b.byID[s.ID]
		default:
			old.Server = s
		}
	}
	if delta {
		return
	}
	for _, s := range slices.Clone(b.servers) {
		if !listed[s.ID] {
			b.removeServer(s.ID)
		}
	}
}
