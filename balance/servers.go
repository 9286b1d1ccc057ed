package balance

import (
	"math"
	"slices"
	"time"
)

const (
	// followRetryDivisor divides the registry interval; the quotient is the base of the backoff before the
	// registry is asked again after a failure. It doubles with each consecutive failure, up to
	// maxFollowDoublings times.
	followRetryDivisor, maxFollowDoublings = 20, 2
	// firstFollowDivisor divides the registry interval; the quotient is the time over which balancers that
	// start with a cached list spread their first calls. If that list is empty, emptyListDivisor divides
	// this time again.
	firstFollowDivisor, emptyListDivisor = 5, 20
)

// List updates the servers with a list from the registry, or schedules a retry if the registry could not be
// asked or followed.
func (b *Balancer) List(now time.Duration, kind ListKind, entries []Server, actions []Action) []Action {
	if kind == ListFailed {
		b.listFailures++
		// Jitter and backoff keep balancers from asking an overloaded registry all at once. The backoff is short
		// because the time allowed after a drain or removal runs from when the registry reported it, even while
		// the registry can't be reached.
		backoff := time.Duration(1 << min(b.listFailures, maxFollowDoublings))
		wait := b.settings.RegistryInterval / followRetryDivisor * backoff
		return append(actions, b.timer(b.jitter(wait), timerFollow, 0))
	}
	if kind == ListCached && b.settings.MustFollow {
		spread := b.settings.RegistryInterval / firstFollowDivisor
		if len(entries) == 0 { // a balancer that knows no server can't serve any request
			spread /= emptyListDivisor
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

// updateServers adds, updates and removes servers according to entries. Unless entries are a delta, it also
// removes the servers that are not among them.
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
			// A new process with the same id is in slow start, and observations of the old process don't apply to it.
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
