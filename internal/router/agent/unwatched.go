package agent

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cresshub/internal/http1"
	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
)

// A process whose watcher is lost or unknown is unwatched. A server then fails over to another proxy once
// its next heartbeat has failed, and a proxy follows another hub, so that both soon have a watcher again. A
// process that stays unwatched either no longer runs, or calls proxies that no hub knows. That it has no
// watcher does not tell which of the two holds; by that alone, a hub that has just started would mark all
// servers lost. So the hub that ranks first for an unwatched server probes it, and marks it lost only if it
// does not answer.

const (
	// unwatchedHeartbeats is how many heartbeat intervals an unwatched process has to find another watcher.
	unwatchedHeartbeats = 4
	probeTimeout        = 500 * time.Millisecond
	// probeAttempts is how many probes a server must leave unanswered before it is marked lost.
	probeAttempts = 2
	// maxConcurrentProbes bounds the servers that are probed at the same time.
	maxConcurrentProbes = 8
	// serverIDHeader names the server incarnation that answers a health check.
	serverIDHeader = "Cresshub-Server-Id"
)

// checkUnwatched marks unwatched proxies lost, and probes the unwatched servers for which this hub ranks
// first.
func (f *failureDetector) checkUnwatched() {
	var unwatched []*directory.Record
	f.state.read(func(d *directory.Directory) {
		for _, record := range slices.Concat(d.LiveServers(), d.Proxies()) {
			if f.isUnwatched(d, record) {
				unwatched = append(unwatched, record)
			}
		}
	})
	for _, record := range unwatched {
		switch {
		case record.Kind == directory.KindProxy:
			f.markUnwatchedLost(record, "its watcher is gone")
		case f.ranksFirst(record.ID):
			f.startProbe(record)
		}
	}
}

// isUnwatched reports whether a process has had no live watcher, and has not called this process either, for
// so long that it should have found another watcher.
func (f *failureDetector) isUnwatched(d *directory.Directory, record *directory.Record) bool {
	isHub := record.Kind == directory.KindProxy && record.Watcher == ""
	if record.ID == f.id || isHub {
		return false
	}
	watcher := d.Get(record.Watcher)
	if watcher != nil && watcher.Live() {
		return false
	}
	if lostAt, ok := d.ModifiedAt(record.Watcher); ok && f.remaining(lostAt, f.unwatchedTimeout()) > 0 {
		return false
	}
	return f.isTimedOut(d, record, f.unwatchedTimeout())
}

// ranksFirst reports whether this hub ranks first for an id, by rendezvous hashing over the members that
// respond.
func (f *failureDetector) ranksFirst(id string) bool {
	now := f.now()
	own := probeRank(id, f.settings.IP)
	return !f.quorum.anyMember(func(member peerproto.MemberInfo, h *hub) bool {
		return h.isResponsive(now) && probeRank(id, member.Address) > own
	})
}

// probeRank returns the rank of the hub with an IP for probing the server with an id.
func probeRank(id, ip string) uint64 { return xxhash.Sum64String(id + "/" + ip) }

// probeSet holds the servers that are being probed. It is safe for concurrent use.
type probeSet struct {
	mu  sync.Mutex
	ids map[string]bool
}

func newProbeSet() probeSet { return probeSet{ids: map[string]bool{}} }

// begin adds a probe and returns true, unless the server is already being probed or maxConcurrentProbes
// others are.
func (p *probeSet) begin(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ids[id] || len(p.ids) >= maxConcurrentProbes {
		return false
	}
	p.ids[id] = true
	return true
}

func (p *probeSet) end(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.ids, id)
}

// startProbe probes a server on a goroutine of its own, unless a probe of it or maxConcurrentProbes others
// are in flight. It marks the server lost if it does not answer.
func (f *failureDetector) startProbe(record *directory.Record) {
	if !f.probes.begin(record.ID) {
		return
	}
	go func() {
		defer f.probes.end(record.ID)
		started := time.Now()
		switch {
		case f.probeServer(record):
			f.lastSeen.record(record.ID, f.now())
		case f.clock.StalledSince(started) == 0: // else an answer may be unread; the next check retries
			f.markUnwatchedLost(record, "its watcher is gone and it does not answer")
		}
	}()
}

// probeServer reports whether the server incarnation that a record describes answers at its address.
func (f *failureDetector) probeServer(record *directory.Record) bool {
	for range probeAttempts {
		id, err := f.probeServerID(record)
		if err == nil {
			return id == record.ID
		}
	}
	return false
}

// probeServerID returns the id of the server that answers a health check at a record's address.
func (f *failureDetector) probeServerID(record *directory.Record) (string, error) {
	path := "/"
	if config := f.state.Config(); config != nil && config.Services[record.Service] != nil {
		path = config.Services[record.Service].HealthPath
	}
	request := &http1.Request{Method: "GET", Target: path}
	answer, err := callServer(f.network, record.Address, request, probeTimeout)
	if err != nil {
		return "", err
	}
	return answer.Header.Get(serverIDHeader), nil
}

// markUnwatchedLost marks a process lost, unless its record has changed since it was read, or the process is
// no longer unwatched.
func (f *failureDetector) markUnwatchedLost(record *directory.Record, reason string) {
	now := f.now()
	f.state.update(now, func(d *directory.Directory) {
		if d.Get(record.ID) == record && f.isUnwatched(d, record) {
			markLost(f.process, now, d, record, reason)
		}
	})
}
