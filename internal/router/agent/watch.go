package agent

import (
	"time"

	"cresshub/internal/router/directory"
)

const (
	watchInterval = 250 * time.Millisecond
	// frozenGap is a pause between two looks after which this process doubts itself: it was not running, so
	// that others fell silent proves nothing.
	frozenGap = 800 * time.Millisecond
	// proxySilence is how long a proxy may be silent at the hub that watches it, hubSilence a hub.
	proxySilence = 1600 * time.Millisecond
	hubSilence   = 2500 * time.Millisecond
	// heartbeatsMissed is how many heartbeats of a server go missing until it counts as lost.
	heartbeatsMissed = 1.9
)

// watch notes silent processes until stopped.
func (n *Node) watch(stop <-chan struct{}) {
	ticker := time.NewTicker(watchInterval)
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
		if now-last > frozenGap || !reaches {
			n.trustSince = now // a process that was frozen, or that sends servers elsewhere, hears of nobody
		}
		if reaches != reached {
			reached = reaches
			n.log.Info().Bool("reached", reaches).Msg("node: a majority of the members is reached, or is not")
		}
		if gap := now - last; gap > frozenGap {
			n.figures.frozen.Add(1)
			n.log.Warn().Dur("gap_ms", gap).Msg("node: this process stood still")
		}
		last = now
		n.markSilent(now)
	}
}

// markSilent marks the processes that this one is to watch and that have been silent for too long.
func (n *Node) markSilent(now time.Duration) {
	isHub := n.isHub()
	n.state.change(now, func(d *directory.Directory) {
		for _, record := range d.WatchedBy(n.id) {
			if record.ID != n.id && n.isSilent(now, d, record, n.patience(record)) {
				n.markLost(now, d, record, "silent")
			}
		}
		if isHub {
			n.markOldOrders(now, d)
			n.markSilentHubs(now, d)
		}
		d.Expire(now)
	})
	if isHub && n.reachesMajority() {
		n.handleOrphans(now)
	}
	if now-n.heardForgotten > heardLife {
		n.heardForgotten = now
		n.forgetHeard()
	}
}

// isSilent tells whether a process has given no sign of life here for longer than a limit: no call, and no
// answer to a request either.
func (n *Node) isSilent(now time.Duration, d *directory.Directory, record *directory.Record,
	limit time.Duration) bool {
	sign := max(n.trustSince, d.ModifiedAt(record.ID))
	if heard, ok := n.heardAt(record.ID); ok {
		sign = max(sign, heard)
	}
	if now-sign <= limit {
		return false
	}
	return record.Kind != directory.KindServer || now-n.answeredAt(record.ID) > limit
}

// answeredAt is when a server last answered a request that this process had sent, 0 for never.
func (n *Node) answeredAt(server string) time.Duration {
	age, answered := n.workload.SinceAnswer(server)
	if !answered {
		return 0
	}
	return max(n.now()-age, 0)
}

func (n *Node) patience(record *directory.Record) time.Duration {
	if record.Kind == directory.KindProxy {
		return proxySilence
	}
	return time.Duration(heartbeatsMissed * float64(n.settings.Beat))
}

// markOldOrders ends orders that should have been carried out or refused long ago, so that their servers get
// requests again.
func (n *Node) markOldOrders(now time.Duration, d *directory.Directory) {
	for _, order := range d.Orders() {
		if now-d.ModifiedAt(order.ID) > orderLife {
			n.markLost(now, d, order, "an order took too long")
		}
	}
}

// markSilentHubs marks other hubs that have called nothing for long; hubs are watched by each other.
func (n *Node) markSilentHubs(now time.Duration, d *directory.Directory) {
	for _, record := range d.Proxies() {
		if record.ID == n.id || record.Watcher != "" {
			continue
		}
		if heard, ok := n.heardAt(record.ID); ok && now-max(heard, n.trustSince) > hubSilence {
			n.markLost(now, d, record, "silent hub")
		}
	}
}

func (n *Node) markLost(now time.Duration, d *directory.Directory, record *directory.Record, reason string) {
	lost := *record
	lost.State = directory.Lost
	d.Merge(now, lost)
	n.figures.lostProcess(record, reason)
	n.log.Info().Str("id", record.ID).Str("address", record.Address).Str("reason", reason).Msg("watch: lost")
}
