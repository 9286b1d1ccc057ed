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
func (a *Agent) checkUnwatched(now time.Duration) {
	var unwatched []*directory.Record
	a.state.read(func(d *directory.Directory) {
		for _, record := range slices.Concat(d.LiveServers(), d.Proxies()) {
			if a.isUnwatched(now, d, record) {
				unwatched = append(unwatched, record)
			}
		}
	})
	for _, record := range unwatched {
		switch {
		case record.Kind == directory.KindProxy:
			a.markUnwatchedLost(record, "its watcher is gone")
		case a.ranksFirst(record.ID):
			a.startProbe(record)
		}
	}
}

// isUnwatched tells whether a process has lost its watcher and has been silent here for so long that it
// should have found another one.
func (a *Agent) isUnwatched(now time.Duration, d *directory.Directory, record *directory.Record) bool {
	isHub := record.Kind == directory.KindProxy && record.Watcher == ""
	if record.ID == a.id || isHub {
		return false
	}
	watcher := d.Get(record.Watcher)
	if watcher != nil && watcher.Live() {
		return false
	}
	limit := unwatchedHeartbeats * a.settings.HeartbeatInterval
	if watcher != nil && now-d.ModifiedAt(watcher.ID) <= limit {
		return false
	}
	return a.isTimedOut(now, d, record, limit)
}

// ranksFirst tells whether this hub comes first for an id, by rendezvous hashing over the members that
// answer.
func (a *Agent) ranksFirst(id string) bool {
	now := a.now()
	own := probeRank(id, a.settings.IP)
	return !a.anyMember(func(member peerproto.MemberInfo, h *hub) bool {
		return h.isResponsive(now) && probeRank(id, member.Address) > own
	})
}

func probeRank(id, ip string) uint64 { return xxhash.Sum64String(id + "/" + ip) }

// startProbe asks a server whether it lives, unless that is under way, and notes the outcome.
func (a *Agent) startProbe(record *directory.Record) {
	a.probesMu.Lock()
	defer a.probesMu.Unlock()
	if a.probed[record.ID] || len(a.probed) >= maxConcurrentProbes {
		return
	}
	a.probed[record.ID] = true
	go func() {
		if a.probeServer(record) {
			a.recordContact(record.ID)
		} else {
			a.markUnwatchedLost(record, "its watcher is gone and it does not answer")
		}
		a.probesMu.Lock()
		defer a.probesMu.Unlock()
		delete(a.probed, record.ID)
	}()
}

// probeServer tells whether the incarnation that a record names answers at its address.
func (a *Agent) probeServer(record *directory.Record) bool {
	for range probeAttempts {
		id, err := a.probeServerID(record)
		if err == nil {
			return id == record.ID
		}
	}
	return false
}

// probeServerID returns the id of the server that answers a health check at a record's address.
func (a *Agent) probeServerID(record *directory.Record) (string, error) {
	path := "/"
	if config := a.state.Config(); config != nil && config.Services[record.Service] != nil {
		path = config.Services[record.Service].HealthPath
	}
	answer, err := a.callServer(record.Address, &http1.Request{Method: "GET", Target: path}, probeTimeout)
	if err != nil {
		return "", err
	}
	return answer.Header.Get(serverIDHeader), nil
}

// markUnwatchedLost marks a process lost, unless something was heard of it since its record was read.
func (a *Agent) markUnwatchedLost(record *directory.Record, reason string) {
	now := a.now()
	a.state.update(now, func(d *directory.Directory) {
		if d.Get(record.ID) == record && a.isUnwatched(now, d, record) {
			a.markLost(now, d, record, reason)
		}
	})
}
