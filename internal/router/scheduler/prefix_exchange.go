package scheduler

import (
	"maps"
	"slices"
	"time"
)

const (
	// bootstrapGrace is how long proxies that start together may take to discover each other.
	bootstrapGrace = 6 * time.Second
	// prefixCatchUpTime is how long after a gap in the other proxies' reports this one may lack prefixes that
	// they sent to servers. After that most prompts in use have been reported again.
	prefixCatchUpTime = 30 * time.Second
)

// CachedPrefixes are shared prefixes that a server has cached, or has been sent to prefill for the first
// time.
type CachedPrefixes struct {
	Server string // id
	Hashes []uint64
}

// recordNewPrefix remembers the shared prefix of a call to report it to the peers, where its server prefills
// it for the first time.
func (s *Scheduler) recordNewPrefix(call *Call) {
	shared, ok := call.chain.shared()
	if ok && call.Role == Prefill && call.cachedBefore < call.chain.length-1 {
		id := call.Server.ID
		s.newPrefixes[id] = append(s.newPrefixes[id], shared.hash)
	}
}

// TakeNewPrefixes returns the shared prefixes that this proxy has sent to servers for the first time since
// the last call, for the other proxies: also those of servers that have left the table since, as they may be
// missing for a moment only. The order of servers is random.
func (s *Scheduler) TakeNewPrefixes() []CachedPrefixes {
	taken := make([]CachedPrefixes, 0, len(s.newPrefixes))
	for id, hashes := range s.newPrefixes {
		taken = append(taken, CachedPrefixes{id, hashes})
	}
	clear(s.newPrefixes)
	return taken
}

// AddCachedPrefixes records prefixes that other proxies have sent to servers, those of each server with the
// oldest first.
func (s *Scheduler) AddCachedPrefixes(added []CachedPrefixes) {
	for _, cached := range added {
		server := serverHash(cached.Server)
		for _, prefix := range cached.Hashes {
			s.prefixes.touch(prefixKey{server, prefix})
		}
	}
}

// KnownPrefixes returns the prefixes that listed servers are known to have cached: the most recent ones, at
// most limit. It includes those that other proxies reported. Servers are in the order of their ids, and the
// prefixes of each in that of their use, the oldest first, so that AddCachedPrefixes restores it.
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

// MarkPrefixesSynced records that this proxy has received all prefixes that another one knows.
func (s *Scheduler) MarkPrefixesSynced(now time.Duration) { s.peerLoadAt, s.assumeCachedUntil = now, 0 }

// MarkFleetStart records that this proxy starts together with all others. No prefix was sent to any server
// before, so until the proxies have discovered each other this one has missed none.
func (s *Scheduler) MarkFleetStart(now time.Duration) {
	s.peerLoadAt, s.assumeCachedUntil = now+bootstrapGrace, 0
}

// prefixesKnown reports whether this proxy knows all prefixes that were sent to servers lately.
func (s *Scheduler) prefixesKnown(now time.Duration) bool {
	_, ok := s.peerLoadAge(now)
	return ok && now >= s.assumeCachedUntil
}
