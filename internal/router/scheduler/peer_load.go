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

// InFlightChanges returns what this proxy has in flight at the servers where that has changed since the last
// call, and with all at each server where it has anything. The order is random.
func (s *Scheduler) InFlightChanges(all bool) []InFlightLoad {
	var changes []InFlightLoad
	for id, server := range s.servers {
		if server.changed || all && len(server.calls) > 0 {
			changes = append(changes, InFlightLoad{id, duration(server.ownPrefillMs), len(server.calls)})
			server.changed = false
		}
	}
	return changes
}

// SetPeerLoad records what all other proxies together have in flight at some servers. At the other servers
// nothing has changed, or with full, they have nothing in flight. It must be called at least every
// peerLoadTTL: after a longer gap, and until prefixCatchUpTime has passed, this proxy may have missed
// prefixes.
func (s *Scheduler) SetPeerLoad(now time.Duration, peers []InFlightLoad, full bool) {
	if now-s.peerLoadAt > peerLoadTTL {
		s.assumeCachedUntil = now + prefixCatchUpTime
	}
	s.peerLoadAt = now
	if full {
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
