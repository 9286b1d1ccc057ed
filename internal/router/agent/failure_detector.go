package agent

import (
	"time"

	"cresshub/internal/router/directory"
)

const (
	failureCheckInterval = 250 * time.Millisecond
	// stallThreshold is a pause between two looks after which this process doubts itself: it was not running, so
	// that others fell silent proves nothing.
	stallThreshold = 800 * time.Millisecond
	// proxyTimeout is how long a proxy may be silent at the hub that watches it, hubTimeout a hub.
	proxyTimeout = 1600 * time.Millisecond
	hubTimeout   = 2500 * time.Millisecond
	// maxMissedHeartbeats is how many heartbeats of a server go missing until it counts as lost.
	maxMissedHeartbeats = 1.9
)

// watch notes silent processes until stopped.
func (a *Agent) detectFailures(stop <-chan struct{}) {
	ticker := time.NewTicker(failureCheckInterval)
	defer ticker.Stop()
	last, reached := a.now(), true
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		now := a.now()
		reaches := a.reachesFleet()
		if now-last > stallThreshold || !reaches {
			a.observingSince = now // a process that was frozen, or that sends servers elsewhere, hears of nobody
		}
		if reaches != reached {
			reached = reaches
			a.log.Info().Bool("reached", reaches).Msg("node: a majority of the members is reached, or is not")
		}
		if gap := now - last; gap > stallThreshold {
			a.metrics.stalls.Add(1)
			a.log.Warn().Dur("gap_ms", gap).Msg("node: this process stood still")
		}
		last = now
		a.markTimedOut(now)
	}
}

// markTimedOut marks the processes that this one is to watch and that have been silent for too long.
func (a *Agent) markTimedOut(now time.Duration) {
	isHub := a.isHub()
	a.state.update(now, func(d *directory.Directory) {
		for _, record := range d.WatchedBy(a.id) {
			if record.ID != a.id && a.isTimedOut(now, d, record, a.timeoutOf(record)) {
				a.markLost(now, d, record, "silent")
			}
		}
		if isHub {
			a.expireOrders(now, d)
			a.markTimedOutHubs(now, d)
		}
		d.Expire(now)
	})
	if isHub && a.reachesMajority() {
		a.checkUnwatched(now)
	}
	if now-a.lastSeenPruned > lastSeenRetention {
		a.lastSeenPruned = now
		a.pruneLastSeen()
	}
}

// isTimedOut tells whether a process has given no sign of life here for longer than a limit: no call, and no
// answer to a request either.
func (a *Agent) isTimedOut(now time.Duration, d *directory.Directory, record *directory.Record,
	limit time.Duration) bool {
	sign := max(a.observingSince, d.ModifiedAt(record.ID))
	if lastSeen, ok := a.lastSeen.of(record.ID); ok {
		sign = max(sign, lastSeen)
	}
	if now-sign <= limit {
		return false
	}
	return record.Kind != directory.KindServer || now-a.lastAnswerAt(record.ID) > limit
}

// lastAnswerAt is when a server last answered a request that this process had sent, 0 for never.
func (a *Agent) lastAnswerAt(server string) time.Duration {
	age, answered := a.workload.SinceLastSuccess(server)
	if !answered {
		return 0
	}
	return max(a.now()-age, 0)
}

func (a *Agent) timeoutOf(record *directory.Record) time.Duration {
	if record.Kind == directory.KindProxy {
		return proxyTimeout
	}
	return time.Duration(maxMissedHeartbeats * float64(a.settings.HeartbeatInterval))
}

// expireOrders ends orders that should have been carried out or refused long ago, so that their servers get
// requests again.
func (a *Agent) expireOrders(now time.Duration, d *directory.Directory) {
	for _, order := range d.Orders() {
		if now-d.ModifiedAt(order.ID) > orderExpiry {
			a.markLost(now, d, order, "an order took too long")
		}
	}
}

// markTimedOutHubs marks other hubs that have called nothing for long; hubs are watched by each other.
func (a *Agent) markTimedOutHubs(now time.Duration, d *directory.Directory) {
	for _, record := range d.Proxies() {
		if record.ID == a.id || record.Watcher != "" {
			continue
		}
		if lastSeen, ok := a.lastSeen.of(record.ID); ok && now-max(lastSeen, a.observingSince) > hubTimeout {
			a.markLost(now, d, record, "silent hub")
		}
	}
}

func (a *Agent) markLost(now time.Duration, d *directory.Directory, record *directory.Record, reason string) {
	lost := *record
	lost.State = directory.Lost
	d.Merge(now, lost)
	a.metrics.countLost(record, reason)
	a.log.Info().Str("id", record.ID).Str("address", record.Address).Str("reason", reason).Msg("watch: lost")
}
