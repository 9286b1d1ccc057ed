package scheduler

import "time"

const (
	peerLoadTTL     = time.Second // after the last report of the other proxies, theirs are ignored
	peerLoadDelayMs = 30.0        // usual age of a report when it arrives
	// minBacklogFraction is the part of the work in flight that counts until it has ended.
	minBacklogFraction = 0.25
)

// InFlightLoad is what one proxy, or several together, have in flight at a server.
type InFlightLoad struct {
	Server  string        // id
	Prefill time.Duration // work of prompts to be prefilled there, as the calls began
	Calls   int
}

// LoadScope is the servers that a report of in-flight load names.
type LoadScope int

const (
	// ChangedServers are those where the load has changed since the last report; elsewhere it is as it was.
	ChangedServers LoadScope = iota
	// AllServers are those with any load, and those where it has changed; elsewhere there is none.
	AllServers
)

// TakeInFlightLoads returns what this proxy has in flight at the servers in the scope, of which those changed
// that have changed since the last call. The order is random.
func (s *Scheduler) TakeInFlightLoads(scope LoadScope) []InFlightLoad {
	var loads []InFlightLoad
	for id, server := range s.servers {
		if server.changed || scope == AllServers && len(server.calls) > 0 {
			loads = append(loads, InFlightLoad{id, duration(server.ownPrefillMs), len(server.calls)})
			server.changed = false
		}
	}
	return loads
}

// SetPeerLoad records what all other proxies together have in flight at the servers in the scope. It must be
// called at least every peerLoadTTL: after a longer gap, and until prefixCatchUpTime has passed, this proxy
// may have missed prefixes.
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

// peerLoadAge returns the age in ms of the other proxies' reports, and whether they are in use.
func (s *Scheduler) peerLoadAge(now time.Duration) (ageMs float64, ok bool) {
	if s.peerLoadAt == 0 || now-s.peerLoadAt > peerLoadTTL {
		return 0, false
	}
	return peerLoadDelayMs, true
}

// backlog estimates how much remains of the prefill work that others have sent to a server. Prefills run one
// after the other, so that the work shrinks with time; minBacklogFraction of it stays until its end is
// reported.
type backlog struct {
	outstandingMs float64 // of work of the calls in flight, as they began
	remainingMs   float64 // of it at the time below
	at            time.Duration
}

// remainingAt returns the remaining work in ms.
func (b *backlog) remainingAt(now time.Duration) float64 {
	return max(b.remainingMs-ms(now-b.at), minBacklogFraction*b.outstandingMs)
}

// set records the work of all calls that are in flight now, as they began.
func (b *backlog) set(now time.Duration, outstandingMs float64) {
	remainingMs := b.remainingAt(now) + max(0, outstandingMs-b.outstandingMs)
	b.remainingMs, b.outstandingMs, b.at = min(remainingMs, outstandingMs), outstandingMs, now
}
