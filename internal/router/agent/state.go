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

// proxyCountWindow is how long a higher count of live proxies counts, because those that are partitioned or
// restarting still spend their shares of common budgets.
const proxyCountWindow = time.Minute

// view is the newest view of the chain that this process knows: the machines that replicate the
// configuration.
type view struct {
	epoch   int64 // 0 for none
	members []peerproto.MemberInfo
}

// hasMember reports whether the machine with an IP is a member.
func (v *view) hasMember(ip string) bool {
	return slices.ContainsFunc(v.members, func(m peerproto.MemberInfo) bool { return m.Address == ip })
}

// state is what a process knows of the fleet: the directory, the configuration in force and the view. Its
// methods are safe for concurrent use. The path of requests reads immutable snapshots without a lock.
type state struct {
	config     atomic.Pointer[fleetconfig.Config]
	table      atomic.Pointer[catalog.Table]
	proxyCount atomic.Int32 // the highest number of live proxies within proxyCountWindow
	changed    *broadcast   // of the directory, the configuration, the view or synced

	mu           sync.Mutex
	directory    *directory.Directory
	patches      recentPatches
	view         view
	synced       bool          // this process knows the fleet well enough to take clients
	proxyCountAt time.Duration // when proxyCount was last reached
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

// Proxies returns how many proxies were live at the same time within proxyCountWindow, at least 1.
func (s *state) Proxies() int { return int(s.proxyCount.Load()) }

// version returns the version of the configuration in force, 0 for none.
func (s *state) version() int64 {
	if config := s.config.Load(); config != nil {
		return config.Version
	}
	return 0
}

// update runs f on the directory with the lock held, and publishes the changes. f must not call methods of
// the state.
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

func (s *state) updateProxyCount(now time.Duration) {
	count := int32(max(len(s.directory.Proxies()), 1))
	if count >= s.proxyCount.Load() || now-s.proxyCountAt > proxyCountWindow {
		s.proxyCount.Store(count)
		s.proxyCountAt = now
	}
}

// raiseProxyCount raises the number of proxies to a count that was live until now.
func (s *state) raiseProxyCount(now time.Duration, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if int32(count) > s.proxyCount.Load() {
		s.proxyCount.Store(int32(count))
		s.proxyCountAt = now
	}
}

// read runs f on the directory with the lock held. f must neither change the directory nor call methods of
// the state.
func (s *state) read(f func(*directory.Directory)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.directory)
}

// applyConfig puts a committed configuration in force and returns true, unless one at least as new is in
// force.
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

// patchesSince returns the patches that lead from a version to the one in force, none where they are not
// cached.
func (s *state) patchesSince(version int64) []peerproto.Patch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.patches.since(version)
}

// learnView takes a view in and returns true, unless one at least as new is known.
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

// feedPosition returns the position of a follower that has received everything.
func (s *state) feedPosition() feedPosition {
	s.mu.Lock()
	defer s.mu.Unlock()
	return feedPosition{offset: s.directory.Offset(), version: s.version(), epoch: s.view.epoch}
}

// feedSince returns the message of the feed of a process with the records that came after an offset, and with
// the view if its epoch is another one. An offset that the directory has not reached counts as none.
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

// setSynced records that this process knows the fleet well enough to take clients: it has received a snapshot
// of a feed, or is a hub that has reconciled with another one or has been up long enough.
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
