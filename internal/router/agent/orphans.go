package agent

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cresshub/internal/http1"
	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
)

// A process whose watcher is gone is an orphan. A server calls another proxy after its next heartbeat has
// failed, and a proxy follows another hub, so that orphans are soon watched again. One that is not is either
// gone too, or it calls proxies that no hub has heard of. That its watcher is gone does not tell which: a hub
// that has just started would lose all servers in one stroke. So the hub that ranks first for a server asks
// the server itself, and only one that does not answer is marked lost.

const (
	// unwatchedHeartbeats is how many heartbeats an orphan has to find another watcher.
	unwatchedHeartbeats = 4
	probeTimeout        = 500 * time.Millisecond
	// probeAttempts is how often a server is asked until its silence counts.
	probeAttempts = 2
	// maxConcurrentProbes bounds the servers that are asked at the same time.
	maxConcurrentProbes = 8
	serverIDHeader      = "Cresshub-Server-Id"
)

// checkUnwatched marks the orphans that are proxies, and asks those that are servers.
func (n *Node) checkUnwatched(now time.Duration) {
	var unwatched []*directory.Record
	n.state.read(func(d *directory.Directory) {
		for _, record := range slices.Concat(d.LiveServers(), d.Proxies()) {
			if n.isUnwatched(now, d, record) {
				unwatched = append(unwatched, record)
			}
		}
	})
	for _, record := range unwatched {
		switch {
		case record.Kind == directory.KindProxy:
			n.markUnwatchedLost(record, "its watcher is gone")
		case n.ranksFirst(record.ID):
			n.startProbe(record)
		}
	}
}

// isUnwatched tells whether a process has lost its watcher and has been silent here for so long that it
// should have found another one.
func (n *Node) isUnwatched(now time.Duration, d *directory.Directory, record *directory.Record) bool {
	isHub := record.Kind == directory.KindProxy && record.Watcher == ""
	if record.ID == n.id || isHub {
		return false
	}
	watcher := d.Get(record.Watcher)
	if watcher != nil && watcher.Live() {
		return false
	}
	limit := unwatchedHeartbeats * n.settings.HeartbeatInterval
	if watcher != nil && now-d.ModifiedAt(watcher.ID) <= limit {
		return false
	}
	return n.isTimedOut(now, d, record, limit)
}

// ranksFirst tells whether this hub comes first for an id, by rendezvous hashing over the members that
// answer.
func (n *Node) ranksFirst(id string) bool {
	now := n.now()
	own := probeRank(id, n.settings.IP)
	return !n.anyMember(func(member peerproto.MemberInfo, h *hub) bool {
		return h.isResponsive(now) && probeRank(id, member.Address) > own
	})
}

func probeRank(id, ip string) uint64 { return xxhash.Sum64String(id + "/" + ip) }

// startProbe asks a server whether it lives, unless that is under way, and notes the outcome.
func (n *Node) startProbe(record *directory.Record) {
	n.probesMu.Lock()
	defer n.probesMu.Unlock()
	if n.probed[record.ID] || len(n.probed) >= maxConcurrentProbes {
		return
	}
	n.probed[record.ID] = true
	go func() {
		if n.probeServer(record) {
			n.recordContact(record.ID)
		} else {
			n.markUnwatchedLost(record, "its watcher is gone and it does not answer")
		}
		n.probesMu.Lock()
		defer n.probesMu.Unlock()
		delete(n.probed, record.ID)
	}()
}

// probeServer tells whether the incarnation that a record names answers at its address.
func (n *Node) probeServer(record *directory.Record) bool {
	for range probeAttempts {
		id, err := n.probeServerID(record)
		if err == nil {
			return id == record.ID
		}
	}
	return false
}

// probeServerID returns the id of the server that answers a health check at a record's address.
func (n *Node) probeServerID(record *directory.Record) (string, error) {
	path := "/"
	if config := n.state.Config(); config != nil && config.Services[record.Service] != nil {
		path = config.Services[record.Service].HealthPath
	}
	answer, err := n.callServer(record.Address, &http1.Request{Method: "GET", Target: path}, probeTimeout)
	if err != nil {
		return "", err
	}
	return answer.Header.Get(serverIDHeader), nil
}

// markUnwatchedLost marks a process lost, unless something was heard of it since its record was read.
func (n *Node) markUnwatchedLost(record *directory.Record, reason string) {
	now := n.now()
	n.state.update(now, func(d *directory.Directory) {
		if d.Get(record.ID) == record && n.isUnwatched(now, d, record) {
			n.markLost(now, d, record, reason)
		}
	})
}
