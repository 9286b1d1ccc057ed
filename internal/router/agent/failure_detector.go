package agent

import (
	"maps"
	"time"

	"cresshub/internal/router/directory"
)

// Each process monitors the servers that call it and the proxies that follow it: it is their watcher, as the
// records name it. Hubs monitor each other. A process that has not called within its timeout is marked lost,
// which it can refute. This detector decides what the directory has; the members of the chain detect each
// other's failures by heartbeats of their own (chain/peers.go).

const (
	// failureCheckInterval is how often the monitored processes are checked.
	failureCheckInterval = 250 * time.Millisecond
	// proxyTimeout is how long after its last call a proxy counts as lost, hubTimeout a hub. These timeouts
	// count the time in which this process runs: what was sent while it stalled is still to be read.
	proxyTimeout = 1600 * time.Millisecond
	hubTimeout   = 2500 * time.Millisecond
	// maxMissedHeartbeats is the same for a server, in intervals of heartbeats.
	maxMissedHeartbeats = 1.9
	// divertingStall is how long this process has to stall for servers to call other proxies: a heartbeat that
	// is not acknowledged within a second goes elsewhere, and one may have been under way for a while.
	divertingStall = 500 * time.Millisecond
)

// failureDetector marks processes lost that do not call any more (this file), and probes servers whose
// watcher is gone (unwatched.go). Its methods belong to the goroutine of run, with two exceptions: a probe
// has a goroutine of its own, which calls probeServer and markUnwatchedLost; the goroutines of connections
// call markPredecessorsLost. Methods that have the directory as a parameter are called with the lock of the
// state held.
type failureDetector struct {
	*process
	state    *state
	hubs     *hubSet
	quorum   *quorum
	lastSeen *lastSeen
	workload Workload
	probes   probeSet

	// State of the goroutine of run.
	reachesFleet  bool
	lastSeenPrune time.Duration

	// observingSince is since when this process takes the calls of servers: silence before it proves nothing. It
	// is guarded by the lock of the state, because probes read it too.
	observingSince time.Duration
}

// run marks processes lost until done closes.
func (f *failureDetector) run(done <-chan struct{}) {
	f.reachesFleet = true
	runEvery(failureCheckInterval, done, f.check)
}

// check marks the processes lost whose timeout is over. Timeouts begin anew while this process sends servers
// elsewhere because it does not reach the fleet.
func (f *failureDetector) check() {
	reaches := f.quorum.reachesFleet()
	if reaches != f.reachesFleet {
		f.reachesFleet = reaches
		f.log.Info().Bool("reached", reaches).Msg("agent: majority of the members reached or lost")
	}
	f.markTimedOut(f.now(), !reaches)
}

// markTimedOut marks the monitored processes lost whose timeout is over. With restartTimeouts, all timeouts
// begin anew.
func (f *failureDetector) markTimedOut(now time.Duration, restartTimeouts bool) {
	isHub := f.hubs.includesSelf()
	f.state.update(now, func(d *directory.Directory) {
		if restartTimeouts {
			f.observingSince = now
		}
		for _, record := range d.WatchedBy(f.id) {
			if record.ID != f.id && f.isTimedOut(d, record, f.timeoutOf(record)) {
				markLost(f.process, now, d, record, "timed out")
			}
		}
		if isHub {
			f.expireOrders(now, d)
			f.markTimedOutHubs(now, d)
		}
		d.Expire(now)
	})
	if isHub && f.quorum.reachesMajority() {
		f.checkUnwatched()
	}
	if now-f.lastSeenPrune > lastSeenRetention {
		f.lastSeenPrune = now
		f.pruneLastSeen()
	}
}

// pruneLastSeen forgets the contacts with processes whose records the directory does not have any more.
func (f *failureDetector) pruneLastSeen() {
	stale := f.lastSeen.snapshot()
	now := f.now()
	f.state.read(func(d *directory.Directory) {
		maps.DeleteFunc(stale, func(id string, at time.Duration) bool {
			return d.Get(id) != nil || now-at <= lastSeenRetention
		})
	})
	f.lastSeen.remove(stale)
}

// isTimedOut reports whether a process has neither called this one nor answered its requests for a timeout in
// which this process ran.
func (f *failureDetector) isTimedOut(d *directory.Directory, record *directory.Record,
	timeout time.Duration) bool {
	modifiedAt, ok := d.ModifiedAt(record.ID)
	if !ok {
		return false // it has expired
	}
	lastSign := max(f.observingSince, modifiedAt)
	if lastSeen, ok := f.lastSeen.of(record.ID); ok {
		lastSign = max(lastSign, lastSeen)
	}
	if f.remaining(lastSign, timeout) > 0 {
		return false
	}
	return record.Kind != directory.KindServer || f.remaining(f.lastAnswerAt(record.ID), timeout) <= 0
}

// lastAnswerAt returns when a server last answered a request of this process, 0 for never.
func (f *failureDetector) lastAnswerAt(server string) time.Duration {
	success := f.workload.LastSuccess(server)
	if !success.Exists {
		return 0
	}
	return max(f.now()-success.Age, 0)
}

// timeoutOf returns how long after its last call a process counts as lost at its watcher. A server that calls
// other proxies has the time of one without a watcher, which is what it needs to find the next.
func (f *failureDetector) timeoutOf(record *directory.Record) time.Duration {
	switch {
	case record.Kind == directory.KindProxy:
		return proxyTimeout
	case f.lastSeen.wasRedirected(record.ID), f.divertedServers():
		return f.unwatchedTimeout()
	}
	return time.Duration(maxMissedHeartbeats * float64(f.settings.HeartbeatInterval))
}

// divertedServers reports whether a stall of this process that ended less than unwatchedTimeout ago has made
// servers call other proxies. Those may have stalled too.
func (f *failureDetector) divertedServers() bool {
	from := time.Now().Add(-f.unwatchedTimeout() - divertingStall)
	return f.clock.StalledSince(from) >= divertingStall
}

// unwatchedTimeout is how long an unwatched process has to find another watcher.
func (f *failureDetector) unwatchedTimeout() time.Duration {
	return unwatchedHeartbeats * f.settings.HeartbeatInterval
}

// expireOrders ends orders that should have been carried out or rejected long ago, so that their servers get
// requests again.
func (f *failureDetector) expireOrders(now time.Duration, d *directory.Directory) {
	for _, order := range d.Orders() {
		if given, ok := d.ModifiedAt(order.ID); ok && now-given > f.orderExpiry(order.Service) {
			markLost(f.process, now, d, order, "an order took too long")
		}
	}
}

// orderExpiry is how long an order to a server of a service may be under way.
func (f *failureDetector) orderExpiry(service string) time.Duration {
	config := f.state.Config()
	if config == nil || config.Services[service] == nil || config.Services[service].Engine == nil {
		return minOrderExpiry
	}
	return max(minOrderExpiry, beforeSwitch+config.Services[service].Engine.RoleSwitchTime)
}

// markTimedOutHubs marks the other hubs lost that have not called for hubTimeout.
func (f *failureDetector) markTimedOutHubs(now time.Duration, d *directory.Directory) {
	for _, record := range d.Proxies() {
		if record.ID == f.id || record.Watcher != "" {
			continue
		}
		lastSeen, ok := f.lastSeen.of(record.ID)
		if ok && f.remaining(max(lastSeen, f.observingSince), hubTimeout) <= 0 {
			markLost(f.process, now, d, record, "hub timed out")
		}
	}
}

// markPredecessorsLost marks earlier processes of the same machine as lost, now that this one has called.
// That is a guess: a message of an earlier process may arrive after its successor is known, as when a
// partition delayed it. So they are marked lost, which they can refute, and not ended.
func (f *failureDetector) markPredecessorsLost(peer string) {
	now := f.now()
	f.state.update(now, func(d *directory.Directory) {
		caller := d.Get(peer)
		if caller == nil || !caller.Live() {
			return
		}
		for _, other := range d.Proxies() {
			if other.Address == caller.Address && other.ID != caller.ID {
				markLost(f.process, now, d, other, "another process of its machine calls")
			}
		}
	})
}

// markLost marks a process lost. The lock of the state is held, by any goroutine. The reason goes to the
// metrics and the log of this process.
func markLost(p *process, now time.Duration, d *directory.Directory, record *directory.Record,
	reason string) {
	d.Merge(now, asLost(record))
	p.metrics.countLost(record, reason)
	p.log.Info().Str("id", record.ID).Str("address", record.Address).Str("reason", reason).
		Msg("directory: marked lost")
}

// asLost returns a record with the state Lost.
func asLost(record *directory.Record) directory.Record {
	lost := *record
	lost.State = directory.Lost
	return lost
}
