package agent

import (
	"maps"
	"time"

	"cresshub/internal/router/directory"
)

// Each process monitors the servers that send it heartbeats and the proxies that follow its feed: it is their
// watcher, and their records name it as such. Hubs monitor each other. A process that has not called its
// watcher within its timeout is marked lost, which it can refute. This detector only decides which processes
// the directory lists as lost; the members of the chain detect each other's failures by heartbeats of their
// own (chain/peers.go).

const (
	// failureCheckInterval is how often the monitored processes are checked.
	failureCheckInterval = 250 * time.Millisecond
	// proxyTimeout is how long after its last call a proxy counts as lost, and hubTimeout a hub. These timeouts
	// leave out the time in which this process stalled: messages that arrived meanwhile are not read yet.
	proxyTimeout = 1600 * time.Millisecond
	hubTimeout   = 2500 * time.Millisecond
	// maxMissedHeartbeats is the timeout of a server, in heartbeat intervals.
	maxMissedHeartbeats = 1.9
	// minFailoverStall is the shortest stall of this process after which servers may have failed over to other
	// proxies. A server does so if a heartbeat is not acknowledged within a second. A shorter stall suffices,
	// because a heartbeat may have been in flight for a while when the stall began.
	minFailoverStall = 500 * time.Millisecond
)

// failureDetector marks processes lost that have stopped calling (this file), and probes servers whose
// watcher is lost or unknown (unwatched.go). Its methods belong to the goroutine of run, with two exceptions:
// a probe has a goroutine of its own, which calls probeServer and markUnwatchedLost; the goroutines of
// connections call markPredecessorsLost. Methods that take the directory as a parameter are called with the
// lock of the state held.
type failureDetector struct {
	*process
	state    *state
	hubs     *hubSet
	quorum   *quorum
	lastSeen *lastSeen
	workload Workload
	probes   probeSet

	// State of the goroutine of run.
	reachesFleet bool
	lastPruneAt  time.Duration

	// observingSince is when this process last began to accept the heartbeats of servers. Not having received
	// any before then is no sign of a failure. It is guarded by the lock of the state, because probes read it
	// too.
	observingSince time.Duration
}

// run marks processes lost until done closes.
func (f *failureDetector) run(done <-chan struct{}) {
	f.reachesFleet = true
	runEvery(failureCheckInterval, done, f.check)
}

// check marks the processes lost whose timeout has expired. While this process does not reach the fleet, and
// so redirects servers to other proxies, the timeouts restart.
func (f *failureDetector) check() {
	reaches := f.quorum.reachesFleet()
	if reaches != f.reachesFleet {
		f.reachesFleet = reaches
		f.log.Info().Bool("reached", reaches).Msg("agent: majority of the members reached or lost")
	}
	f.markTimedOut(f.now(), !reaches)
}

// markTimedOut marks the monitored processes lost whose timeout has expired. With restartTimeouts, all
// timeouts restart first.
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
	if now-f.lastPruneAt > lastSeenRetention {
		f.lastPruneAt = now
		f.pruneLastSeen()
	}
}

// pruneLastSeen removes the last contacts with processes whose records are no longer in the directory, once
// they are older than lastSeenRetention.
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

// isTimedOut reports whether, for a timeout, a process has neither called this one nor answered a request of
// it, and its record has not changed. The timeout starts at observingSince at the earliest, and leaves out
// the time in which this process stalled.
func (f *failureDetector) isTimedOut(d *directory.Directory, record *directory.Record,
	timeout time.Duration) bool {
	modifiedAt, ok := d.ModifiedAt(record.ID)
	if !ok {
		return false // the record has expired
	}
	lastActivity := max(f.observingSince, modifiedAt)
	if lastSeen, ok := f.lastSeen.get(record.ID); ok {
		lastActivity = max(lastActivity, lastSeen)
	}
	if f.remaining(lastActivity, timeout) > 0 {
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

// timeoutOf returns how long after its last call the watcher of a process considers it lost. A server that
// may have failed over to another proxy gets the longer timeout of an unwatched one, so that it can find
// another watcher.
func (f *failureDetector) timeoutOf(record *directory.Record) time.Duration {
	switch {
	case record.Kind == directory.KindProxy:
		return proxyTimeout
	case f.lastSeen.wasRedirected(record.ID), f.mayHaveCausedFailover():
		return f.unwatchedTimeout()
	}
	return time.Duration(maxMissedHeartbeats * float64(f.settings.HeartbeatInterval))
}

// mayHaveCausedFailover reports whether servers may have failed over to other proxies, because this process
// has stalled for minFailoverStall or longer within the last unwatchedTimeout plus minFailoverStall. Those
// proxies may have stalled too.
func (f *failureDetector) mayHaveCausedFailover() bool {
	from := time.Now().Add(-f.unwatchedTimeout() - minFailoverStall)
	return f.clock.StalledSince(from) >= minFailoverStall
}

// unwatchedTimeout is how long an unwatched process has to find another watcher.
func (f *failureDetector) unwatchedTimeout() time.Duration {
	return unwatchedHeartbeats * f.settings.HeartbeatInterval
}

// expireOrders marks orders lost that have been in force for longer than their lifetime, so that their
// servers get requests again.
func (f *failureDetector) expireOrders(now time.Duration, d *directory.Directory) {
	for _, order := range d.Orders() {
		if announcedAt, ok := d.ModifiedAt(order.ID); ok && now-announcedAt > f.orderLifetime(order.Service) {
			markLost(f.process, now, d, order, "an order took too long")
		}
	}
}

// orderLifetime returns how long an order to a server of a service may stay in force.
func (f *failureDetector) orderLifetime(service string) time.Duration {
	config := f.state.Config()
	if config == nil || config.Services[service] == nil || config.Services[service].Engine == nil {
		return minOrderLifetime
	}
	return max(minOrderLifetime, roleSwitchDrainTimeout+config.Services[service].Engine.RoleSwitchTime)
}

// markTimedOutHubs marks the other hubs lost that have not called this process for hubTimeout.
func (f *failureDetector) markTimedOutHubs(now time.Duration, d *directory.Directory) {
	for _, record := range d.Proxies() {
		if record.ID == f.id || record.Watcher != "" {
			continue
		}
		lastSeen, ok := f.lastSeen.get(record.ID)
		if ok && f.remaining(max(lastSeen, f.observingSince), hubTimeout) <= 0 {
			markLost(f.process, now, d, record, "hub timed out")
		}
	}
}

// markPredecessorsLost marks the other processes at the caller's address lost, because the caller has
// probably replaced them. This may be wrong: a message of an earlier process may arrive after its successor
// is known, for example when a partition has delayed it. So they are marked lost, which a running process
// refutes, and not ended, which is final.
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

// markLost marks a process or an order lost. It is called by several goroutines, with the lock of the state
// held. The reason goes to the metrics and the log of this process.
func markLost(p *process, now time.Duration, d *directory.Directory, record *directory.Record,
	reason string) {
	d.Merge(now, asLost(record))
	p.metrics.countLost(record, reason)
	p.log.Info().Str("id", record.ID).Str("address", record.Address).Str("reason", reason).
		Msg("directory: marked lost")
}

// asLost returns a copy of a record with the state Lost.
func asLost(record *directory.Record) directory.Record {
	lost := *record
	lost.State = directory.Lost
	return lost
}
