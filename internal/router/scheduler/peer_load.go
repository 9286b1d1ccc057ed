package scheduler

import "time"

const (
	// peerLoadTTL is how long what other proxies told holds without a word from them.
	peerLoadTTL = time.Second
	// peerLoadDelayMs is the usual age in ms of what they tell, when it comes.
	peerLoadDelayMs = 30.0
	// bootstrapGrace is how long proxies that start together may take to find each other.
	bootstrapGrace = 6 * time.Second
	// prefixCatchUpTime is how long a proxy that did not hear the others has not caught up with what servers
	// hold: by then most of the prompts that are in use have come up again.
	prefixCatchUpTime = 30 * time.Second
	// minBacklogFraction is the part of a work under way that counts until it has ended.
	minBacklogFraction = 0.25
)

// InFlightLoad is what one proxy, or several together, have under way at a server.
type InFlightLoad struct {
	Server  string
	Prefill time.Duration // work of prompts that are to be read there
	Calls   int
}

// CachedPrefixes names what prompts share that were sent to a server to be read for the first time.
type CachedPrefixes struct {
	Server string
	Hashes []uint64
}

// InFlightChanges returns what this proxy has under way at the servers where that has changed since the last
// call, or at all servers where it has anything.
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

// SetPeerLoad takes in what all other proxies together have under way at some servers, and that nothing else
// has changed. With whole, they have nothing under way at any other server.
func (s *Scheduler) SetPeerLoad(now time.Duration, peers []InFlightLoad, full bool) {
	if now-s.peerLoadAt > peerLoadTTL { // something may have been missed
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

// TakeNewPrefixes returns what this proxy has sent to servers for the first time since the last call.
func (s *Scheduler) TakeNewPrefixes() []CachedPrefixes {
	var all []CachedPrefixes
	for id, server := range s.servers {
		if len(server.newPrefixes) > 0 {
			all = append(all, CachedPrefixes{id, server.newPrefixes})
			server.newPrefixes = nil
		}
	}
	return all
}

// AddCachedPrefixes takes in what other proxies have sent to servers for the first time.
func (s *Scheduler) AddCachedPrefixes(all []CachedPrefixes) {
	for _, at := range all {
		hash := serverHash(at.Server)
		for _, name := range at.Hashes {
			s.prefixes.touch(prefixKey{hash, name})
		}
	}
}

// KnownPrefixes returns what is known of which listed servers hold what, the most recently used ones. A proxy
// that has made no decision yet tells what it was told itself.
func (s *Scheduler) KnownPrefixes(limit int) []CachedPrefixes {
	ids := map[uint64]string{}
	for server := range s.table.All() {
		ids[serverHash(server.ID)] = server.ID
	}
	names := map[string][]uint64{}
	for _, key := range s.prefixes.newest(limit) {
		if id := ids[key.server]; id != "" {
			names[id] = append(names[id], key.hash)
		}
	}
	all := make([]CachedPrefixes, 0, len(names))
	for id, prefixes := range names {
		all = append(all, CachedPrefixes{id, prefixes})
	}
	return all
}

// MarkPrefixesSynced notes that this proxy was told all that another one knows of what servers hold.
func (s *Scheduler) MarkPrefixesSynced(now time.Duration) { s.peerLoadAt, s.assumeCachedUntil = now, 0 }

// prefixesKnown tells whether this proxy has heard of all prompts that were sent to servers lately. Where it
// has not, it takes the first-ranked server to hold them.
func (s *Scheduler) prefixesKnown(now time.Duration) bool {
	_, ok := s.peerLoadAge(now)
	return ok && now >= s.assumeCachedUntil
}

// MarkFleetStart notes that nothing was sent to any server before this proxy started, together with all
// others: there is nothing to miss until they have found each other.
func (s *Scheduler) MarkFleetStart(now time.Duration) {
	s.peerLoadAt, s.assumeCachedUntil = now+bootstrapGrace, 0
}

// peerLoadAge is T in ms where other proxies tell what they have under way, and whether they do.
func (s *Scheduler) peerLoadAge(now time.Duration) (age float64, ok bool) {
	if s.peerLoadAt == 0 || now-s.peerLoadAt > peerLoadTTL {
		return 0, false
	}
	return peerLoadDelayMs, true
}

// backlog follows the work that others have brought to a server. Prompts are read one after the other, so
// that what was there is less by the time since; a part counts until its end is told.
type backlog struct {
	outstandingMs float64 // ms of work of the calls under way, as they were sent
	remainingMs   float64 // ms of it that was left at the time below
	at            time.Duration
}

func (b *backlog) remainingAt(now time.Duration) float64 {
	return max(b.remainingMs-ms(now-b.at), minBacklogFraction*b.outstandingMs)
}

// set takes in the work of all calls that are under way now.
func (b *backlog) set(now time.Duration, outstanding float64) {
	remaining := b.remainingAt(now) + max(0, outstanding-b.outstandingMs)
	b.remainingMs, b.outstandingMs, b.at = min(remaining, outstanding), outstanding, now
}
