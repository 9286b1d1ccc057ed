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

// detectFailures notes silent processes until stopped.
func (n *Node) detectFailures(stop <-chan struct{}) {
	ticker := time.NewTicker(failureCheckInterval)
	defer ticker.Stop()
	last, reached := n.now(), true
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		now := n.now()
		reaches := n.reachesFleet()
		if now-last > stallThreshold || !reaches {
			n.observingSince = now // a process that was frozen, or that sends servers elsewhere, hears of nobody
		}
		if reaches != reached {
			reached = reaches
			n.log.Info().Bool("reached", reaches).Msg("node: a majority of the members is reached, or is not")
		}
		if gap := now - last; gap > stallThreshold {
			n.metrics.stalls.Add(1)
			n.log.Warn().Dur("gap_ms", gap).Msg("node: this process stood still")
		}
		last = now
		n.markTimedOut(now)
	}
}

// markTimedOut marks the processes that this one is to watch and that have been silent for too long.
func (n *Node) markTimedOut(now time.Duration) {
	isHub := n.isHub()
	n.state.update(now, func(d *directory.Directory) {
		for _, record := range d.WatchedBy(n.id) {
			if record.ID != n.id && n.isTimedOut(now, d, record, n.timeoutOf(record)) {
				n.markLost(now, d, record, "silent")
			}
		}
		if isHub {
			n.expireOrders(now, d)
			n.markTimedOutHubs(now, d)
		}
		d.Expire(now)
	})
	if isHub && n.reachesMajority() {
		n.checkUnwatched(now)
	}
	if now-n.lastSeenPruned > lastSeenRetention {
		n.lastSeenPruned = now
		n.pruneLastSeen()
	}
}

// isTimedOut tells whether a process has given no sign of life here for longer than a limit: no call, and no
// answer to a request either.
func (n *Node) isTimedOut(now time.Duration, d *directory.Directory, record *directory.Record,
	limit time.Duration) bool {
	sign := max(n.observingSince, d.ModifiedAt(record.ID))
	if lastSeen, ok := n.lastSeenAt(record.ID); ok {
		sign = max(sign, lastSeen)
	}
	if now-sign <= limit {
		return false
	}
	return record.Kind != directory.KindServer || now-n.lastAnswerAt(record.ID) > limit
}

// lastAnswerAt is when a server last answered a request that this process had sent, 0 for never.
func (n *Node) lastAnswerAt(server string) time.Duration {
	age, answered := n.workload.SinceLastSuccess(server)
	if !answered {
		return 0
	}
	return max(n.now()-age, 0)
}

func (n *Node) timeoutOf(record *directory.Record) time.Duration {
	if record.Kind == directory.KindProxy {
		return proxyTimeout
	}
	return time.Duration(maxMissedHeartbeats * float64(n.settings.HeartbeatInterval))
}

// expireOrders ends orders that should have been carried out or refused long ago, so that their servers get
// requests again.
func (n *Node) expireOrders(now time.Duration, d *directory.Directory) {
	for _, order := range d.Orders() {
		if now-d.ModifiedAt(order.ID) > orderExpiry {
			n.markLost(now, d, order, "an order took too long")
		}
	}
}

// markTimedOutHubs marks other hubs that have called nothing for long; hubs are watched by each other.
func (n *Node) markTimedOutHubs(now time.Duration, d *directory.Directory) {
	for _, record := range d.Proxies() {
		if record.ID == n.id || record.Watcher != "" {
			continue
		}
		if lastSeen, ok := n.lastSeenAt(record.ID); ok && now-max(lastSeen, n.observingSince) > hubTimeout {
			n.markLost(now, d, record, "silent hub")
		}
	}
}

func (n *Node) markLost(now time.Duration, d *directory.Directory, record *directory.Record, reason string) {
	lost := *record
	lost.State = directory.Lost
	d.Merge(now, lost)
	n.metrics.countLost(record, reason)
	n.log.Info().Str("id", record.ID).Str("address", record.Address).Str("reason", reason).Msg("watch: lost")
}
