package scheduler

import (
	"maps"
	"slices"
	"time"
)

const (
	// bootstrapGrace is the time within which proxies that start together must discover each other.
	bootstrapGrace = 6 * time.Second
	// prefixCatchUpTime is how long, after a gap in the other proxies' reports, this proxy is assumed to lack
	// prefixes that they sent to servers. After this time most prefixes in use have been reported again.
	prefixCatchUpTime = 30 * time.Second
)

// CachedPrefixes lists shared prefixes that a server has cached or was sent to prefill for the first time.
type CachedPrefixes struct {
	Server string // id
	Hashes []uint64
}

// recordNewPrefix queues the shared prefix of a call for the report to the other proxies, if the call's
// server prefills the prefix for the first time.
func (s *Scheduler) recordNewPrefix(call *Call) {
	shared, ok := call.chain.shared()
	if ok && call.Role == Prefill && call.cachedBefore < call.chain.length-1 {
		id := call.Server.ID
		s.newPrefixes[id] = append(s.newPrefixes[id], shared.hash)
	}
}

// TakeNewPrefixes returns, for the report to the other proxies, the shared prefixes that this proxy has sent
// to servers for the first time since the last call. It includes those of servers that have left the table
// since then, as these may return soon. The order of servers is random.
func (s *Scheduler) TakeNewPrefixes() []CachedPrefixes {
	taken := make([]CachedPrefixes, 0, len(s.newPrefixes))
	for id, hashes := range s.newPrefixes {
		taken = append(taken, CachedPrefixes{id, hashes})
	}
	clear(s.newPrefixes)
	return taken
}

// AddCachedPrefixes records prefixes that other proxies have sent to servers. Those of each server must be in
// the order of their use, the oldest first.
func (s *Scheduler) AddCachedPrefixes(added []CachedPrefixes) {
	for _, cached := range added {
		server := serverHash(cached.Server)
		for _, prefix := range cached.Hashes {
			s.prefixes.touch(prefixKey{server, prefix})
		}
	}
}

// KnownPrefixes returns the prefixes that listed servers are known to have cached, including those that other
// proxies reported. Only the limit most recently used prefixes of all servers are considered. Servers are
// sorted by id, and the prefixes of each by their last use, the oldest first, so that AddCachedPrefixes
// restores that order.
func (s *Scheduler) KnownPrefixes(limit int) []CachedPrefixes {
	ids := map[uint64]string{}
	for server := range s.table.All() {
		ids[serverHash(server.ID)] = server.ID
	}
	hashes := map[string][]uint64{}
	for _, key := range slices.Backward(s.prefixes.newest(limit)) {
		if id := ids[key.server]; id != "" {
			hashes[id] = append(hashes[id], key.prefix)
		}
	}
	known := make([]CachedPrefixes, 0, len(hashes))
	for _, id := range slices.Sorted(maps.Keys(hashes)) {
		known = append(known, CachedPrefixes{id, hashes[id]})
	}
	return known
}

// MarkPrefixesSynced records that this proxy has received all prefixes that another proxy knows.
func (s *Scheduler) MarkPrefixesSynced(now time.Duration) { s.peerLoadAt, s.assumeCachedUntil = now, 0 }

// MarkFleetStart records that this proxy starts together with all others. No prefix was sent to any server
// before, so that this proxy has missed none until the proxies have discovered each other.
func (s *Scheduler) MarkFleetStart(now time.Duration) {
	s.peerLoadAt, s.assumeCachedUntil = now+bootstrapGrace, 0
}

// prefixesKnown reports whether this proxy knows all prefixes that were recently sent to servers.
func (s *Scheduler) prefixesKnown(now time.Duration) bool {
	_, ok := s.peerLoadAge(now)
	return ok && now >= s.assumeCachedUntil
}
