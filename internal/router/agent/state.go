package agent

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cresshub/internal/invariant"
	"cresshub/internal/router/catalog"
	"cresshub/internal/router/directory"
	"cresshub/internal/router/fleetconfig"
	"cresshub/internal/router/peerproto"
)

// proxyCountWindow is how long a higher number of live proxies stays in effect after it has fallen. Proxies
// that are partitioned or restarting still spend their shares of the budgets that all proxies divide up.
const proxyCountWindow = time.Minute

// view is the newest view of the chain that this process knows. Its members are the machines that replicate
// the configuration.
type view struct {
	epoch   int64 // 0 for none
	members []peerproto.MemberInfo
}

// hasMember reports whether the machine with an IP is a member.
func (v *view) hasMember(ip string) bool {
	return slices.ContainsFunc(v.members, func(m peerproto.MemberInfo) bool { return m.Address == ip })
}

// state is what a process knows of the fleet: the directory, the configuration in force and the view. Its
// methods are safe for concurrent use. The request path reads immutable snapshots without a lock.
type state struct {
	config     atomic.Pointer[fleetconfig.Config]
	table      atomic.Pointer[catalog.Table]
	proxyCount atomic.Int32 // the highest number of live proxies within proxyCountWindow
	changed    *broadcast   // notified of changes of the directory, the configuration, the view and synced

	mu           sync.Mutex
	directory    *directory.Directory
	patches      recentPatches
	view         view
	synced       bool          // this process knows the fleet well enough to serve clients
	proxyCountAt time.Duration // when proxyCount was last set or reached
}

func newState() *state {
	s := &state{directory: directory.New(), changed: newBroadcast()}
	s.table.Store(s.directory.Servers())
	s.proxyCount.Store(1)
	return s
}

// Config returns the configuration in force, nil until one is known.
func (s *state) Config() *fleetconfig.Config { return s.config.Load() }

// Servers returns the servers that may get new requests.
func (s *state) Servers() *catalog.Table { return s.table.Load() }

// Proxies returns the highest number of live proxies within proxyCountWindow, at least 1.
func (s *state) Proxies() int { return int(s.proxyCount.Load()) }

// version returns the version of the configuration in force, 0 for none.
func (s *state) version() int64 {
	if config := s.config.Load(); config != nil {
		return config.Version
	}
	return 0
}

// update runs f on the directory with the lock held, and publishes the changes that f makes. f must not call
// methods of the state that take its lock.
func (s *state) update(now time.Duration, f func(*directory.Directory)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.directory.Offset()
	f(s.directory)
	if s.directory.Offset() == before {
		return
	}
	s.table.Store(s.directory.Servers())
	s.updateProxyCount(now)
	s.changed.notify()
}

// merge merges records into the directory.
func (s *state) merge(now time.Duration, records []directory.Record) {
	s.update(now, func(d *directory.Directory) {
		for _, r := range records {
			d.Merge(now, r)
		}
	})
}

// updateProxyCount sets the number of proxies to that of the live ones, unless a higher one was reached
// within proxyCountWindow; the lock is held.
func (s *state) updateProxyCount(now time.Duration) {
	count := int32(max(len(s.directory.Proxies()), 1))
	if count >= s.proxyCount.Load() || now-s.proxyCountAt > proxyCountWindow {
		s.proxyCount.Store(count)
		s.proxyCountAt = now
	}
}

// raiseProxyCount raises the number of proxies to a count that was live until now, as saved on disk.
func (s *state) raiseProxyCount(now time.Duration, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if int32(count) > s.proxyCount.Load() {
		s.proxyCount.Store(int32(count))
		s.proxyCountAt = now
	}
}

// read runs f on the directory with the lock held. f must neither change the directory nor call methods of
// the state that take its lock.
func (s *state) read(f func(*directory.Directory)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.directory)
}

// applyConfig puts a committed configuration in force and returns true, unless one of the same or a newer
// version is in force.
func (s *state) applyConfig(config *fleetconfig.Config) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if config.Version <= s.version() {
		return false
	}
	before := s.config.Swap(config)
	invariant.Assert(before == nil || before.Version < config.Version, invariant.ConfigVersionRises,
		"version %d replaces a later one", config.Version)
	s.patches.record(before, config)
	s.changed.notify()
	return true
}

// patchesSince returns the patches that lead from a version to the one in force, none if they are not cached.
func (s *state) patchesSince(version int64) []peerproto.Patch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.patches.since(version)
}

// learnView adopts a view and returns true, unless it has no members or one of the same or a newer epoch is
// known.
func (s *state) learnView(epoch int64, members []peerproto.MemberInfo) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch <= s.view.epoch || len(members) == 0 {
		return false
	}
	s.view = view{epoch, members}
	s.changed.notify()
	return true
}

func (s *state) currentView() view {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// feedPosition returns the position of a follower that has received all changes.
func (s *state) feedPosition() feedPosition {
	s.mu.Lock()
	defer s.mu.Unlock()
	return feedPosition{offset: s.directory.Offset(), version: s.version(), epoch: s.view.epoch}
}

// feedSince returns a message of the feed of a process, with the records that have changed after an offset,
// and with the members of the view if its epoch differs from the follower's. An offset that the directory
// has not reached counts as 0, so that the message is a snapshot.
func (s *state) feedSince(feedID string, offset uint64, epoch int64) *peerproto.Feed {
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset > s.directory.Offset() {
		offset = 0
	}
	feed := &peerproto.Feed{
		Feed: feedID, From: int64(offset), To: int64(s.directory.Offset()), Epoch: s.view.epoch,
		Records: copyRecords(s.directory.Since(offset)), Version: s.version(),
	}
	if epoch != s.view.epoch {
		feed.Members = s.view.members
	}
	return feed
}

// setSynced records that this process knows the fleet well enough to serve clients: it has received a
// snapshot of a feed, or is a hub that has compared its directory with that of a synced hub, has been up for
// long enough or took part in the first start of the fleet.
func (s *state) setSynced() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.synced {
		s.synced = true
		s.changed.notify()
	}
}

func (s *state) isSynced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.synced
}
