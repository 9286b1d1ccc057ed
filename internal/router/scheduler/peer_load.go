package scheduler

import "time"

const (
	peerLoadTTL     = time.Second // time after the last report from which the other proxies' load is ignored
	peerLoadDelayMs = 30.0        // usual age of a report when it arrives
	// minBacklogFraction is the fraction of the prefill work in flight that counts until its end is reported.
	minBacklogFraction = 0.25
)

// InFlightLoad is what one proxy, or several together, have in flight at one server.
type InFlightLoad struct {
	Server  string        // id
	Prefill time.Duration // prefill work of the calls, as estimated when they began
	Calls   int
}

// LoadScope determines which servers a report of in-flight load lists.
type LoadScope int

const (
	// ChangedServers are those whose load has changed since the last report; the load of others is unchanged.
	ChangedServers LoadScope = iota
	// AllServers are those with any load and those whose load has changed; others have none.
	AllServers
)

// TakeInFlightLoads returns what this proxy has in flight at the servers in the scope, in random order. A
// server counts as changed if its load has changed since the last call that returned it.
func (s *Scheduler) TakeInFlightLoads(scope LoadScope) []InFlightLoad {
	var loads []InFlightLoad
	for id, server := range s.servers {
		if server.ownLoadChanged || scope == AllServers && len(server.calls) > 0 {
			loads = append(loads, InFlightLoad{id, duration(server.ownPrefillMs), len(server.calls)})
			server.ownLoadChanged = false
		}
	}
	return loads
}

// SetPeerLoad records what all other proxies together have in flight at the servers in the scope. It must be
// called at least every peerLoadTTL. After a longer gap this proxy may have missed reports of prefixes, which
// is assumed until prefixCatchUpTime has passed.
func (s *Scheduler) SetPeerLoad(now time.Duration, peers []InFlightLoad, scope LoadScope) {
	if now-s.peerLoadAt > peerLoadTTL {
		s.assumeCachedUntil = now + prefixCatchUpTime
	}
	s.peerLoadAt = now
	if scope == AllServers {
		for _, server := range s.servers {
			server.peerBacklog.set(now, 0)
			server.peerCalls = 0
		}
	}
	for _, peer := range peers {
		if server := s.servers[peer.Server]; server != nil {
			server.peerBacklog.set(now, ms(peer.Prefill))
			server.peerCalls = float64(peer.Calls)
		}
	}
}

// peerLoadAge returns the assumed age in ms of the other proxies' reports, and whether these are in use.
func (s *Scheduler) peerLoadAge(now time.Duration) (ageMs float64, ok bool) {
	if s.peerLoadAt == 0 || now-s.peerLoadAt > peerLoadTTL {
		return 0, false
	}
	return peerLoadDelayMs, true
}

// backlog estimates how much remains of the prefill work that other proxies have sent to a server. Prefills
// run one after the other, so that the work decreases by the time that passes; minBacklogFraction of it
// remains until its end is reported.
type backlog struct {
	outstandingMs float64 // work in ms of all calls in flight, as estimated when they began
	remainingMs   float64 // remaining part of it, as of at
	at            time.Duration
}

// remainingAt returns the work in ms that remains at the given time.
func (b *backlog) remainingAt(now time.Duration) float64 {
	return max(b.remainingMs-ms(now-b.at), minBacklogFraction*b.outstandingMs)
}

// set records the work in ms of all calls that are in flight now, as estimated when they began.
func (b *backlog) set(now time.Duration, outstandingMs float64) {
	remainingMs := b.remainingAt(now) + max(0, outstandingMs-b.outstandingMs)
	b.remainingMs, b.outstandingMs, b.at = min(remainingMs, outstandingMs), outstandingMs, now
}
