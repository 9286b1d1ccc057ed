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
	// orphanHeartbeats is how many heartbeats an orphan has to find another watcher.
	orphanHeartbeats = 4
	orphanTimeout    = 500 * time.Millisecond
	// orphanTries is how often a server is asked until its silence counts.
	orphanTries = 2
	// orphansAtOnce bounds the servers that are asked at the same time.
	orphansAtOnce  = 8
	serverIDHeader = "Cresshub-Server-Id"
)

// handleOrphans marks the orphans that are proxies, and asks those that are servers.
func (n *Node) handleOrphans(now time.Duration) {
	var orphans []*directory.Record
	n.state.read(func(d *directory.Directory) {
		for _, record := range slices.Concat(d.LiveServers(), d.Proxies()) {
			if n.isOrphan(now, d, record) {
				orphans = append(orphans, record)
			}
		}
	})
	for _, record := range orphans {
		switch {
		case record.Kind == directory.KindProxy:
			n.loseUnchanged(record, "its watcher is gone")
		case n.ranksFirst(record.ID):
			n.askOrphan(record)
		}
	}
}

// isOrphan tells whether a process has lost its watcher and has been silent here for so long that it should
// have found another one.
func (n *Node) isOrphan(now time.Duration, d *directory.Directory, record *directory.Record) bool {
	isHub := record.Kind == directory.KindProxy && record.Watcher == ""
	if record.ID == n.id || isHub {
		return false
	}
	watcher := d.Get(record.Watcher)
	if watcher != nil && watcher.Live() {
		return false
	}
	limit := orphanHeartbeats * n.settings.Beat
	if watcher != nil && now-d.ModifiedAt(watcher.ID) <= limit {
		return false
	}
	return n.isSilent(now, d, record, limit)
}

// ranksFirst tells whether this hub comes first for an id, by rendezvous hashing over the members that
// answer.
func (n *Node) ranksFirst(id string) bool {
	now := n.now()
	own := orphanRank(id, n.settings.IP)
	return !n.anyMember(func(member peerproto.MemberInfo, h *hub) bool {
		return h.answers(now) && orphanRank(id, member.Address) > own
	})
}

func orphanRank(id, ip string) uint64 { return xxhash.Sum64String(id + "/" + ip) }

// askOrphan asks a server whether it lives, unless that is under way, and notes the outcome.
func (n *Node) askOrphan(record *directory.Record) {
	n.orphansMu.Lock()
	defer n.orphansMu.Unlock()
	if n.askedOrphans[record.ID] || len(n.askedOrphans) >= orphansAtOnce {
		return
	}
	n.askedOrphans[record.ID] = true
	go func() {
		if n.serverAnswers(record) {
			n.noteHeard(record.ID)
		} else {
			n.loseUnchanged(record, "its watcher is gone and it does not answer")
		}
		n.orphansMu.Lock()
		defer n.orphansMu.Unlock()
		delete(n.askedOrphans, record.ID)
	}()
}

// serverAnswers tells whether the incarnation that a record names answers at its address.
func (n *Node) serverAnswers(record *directory.Record) bool {
	for range orphanTries {
		id, err := n.askServerID(record)
		if err == nil {
			return id == record.ID
		}
	}
	return false
}

// askServerID returns the id of the server that answers a health check at a record's address.
func (n *Node) askServerID(record *directory.Record) (string, error) {
	path := "/"
	if config := n.state.Config(); config != nil && config.Services[record.Service] != nil {
		path = config.Services[record.Service].HealthPath
	}
	answer, err := n.callServer(record.Address, &http1.Request{Method: "GET", Target: path}, orphanTimeout)
	if err != nil {
		return "", err
	}
	return answer.Header.Get(serverIDHeader), nil
}

// loseUnchanged marks a process lost, unless something was heard of it since its record was read.
func (n *Node) loseUnchanged(record *directory.Record, reason string) {
	now := n.now()
	n.state.change(now, func(d *directory.Directory) {
		if d.Get(record.ID) == record && n.isOrphan(now, d, record) {
			n.markLost(now, d, record, reason)
		}
	})
}
