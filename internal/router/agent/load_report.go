package agent

import (
	"time"

	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/scheduler"
	"cresshub/internal/router/transport"
)

// Proxies report their in-flight load to each other, so that each knows the current queues of the model
// servers. A follower reports its own load to its hub, hubs report to each other the sum over themselves and
// their followers, and each hub reports to each of its followers the sum over all other proxies. The same
// messages name the prefixes that have been sent to servers and are now in their prefix caches.

const (
	// loadReportMinInterval is the minimum interval between two reports.
	loadReportMinInterval = 25 * time.Millisecond
	// fullSyncInterval is how often a report names all servers, and not only those whose load has changed.
	fullSyncInterval = 400 * time.Millisecond
	// maxFullSyncServers bounds the servers of a full report of a hub. With load at more servers than that, the
	// hub reports only changes.
	maxFullSyncServers = 64
)

// report reports the load of this process whenever it changes, and in full once in each fullSyncInterval,
// until done closes.
func (t *loadTable) report(done <-chan struct{}) {
	var lastFullSync time.Duration
	for {
		select {
		case <-done:
			return
		case <-t.workload.InFlightChanged():
		case <-time.After(loadReportMinInterval):
		}
		scope := scheduler.ChangedServers
		if t.now()-lastFullSync > fullSyncInterval {
			scope = scheduler.AllServers
		}
		loads := t.workload.TakeInFlightLoads(scope)
		if scope == scheduler.AllServers {
			lastFullSync = t.now()
		}
		prefixes := encodePrefixes(t.workload.TakeNewPrefixes())
		report := &peerproto.LoadReport{Full: scope == scheduler.AllServers, Servers: encodeLoad(loads),
			Prefixes: prefixes}
		if t.hubs.includesSelf() {
			t.applyOwn(report)
			t.distribute(scope)
		} else if report.Full || len(loads) > 0 {
			t.subscription.sendToSource(peerproto.KindLoadReport, peerproto.Encode(report))
		}
		time.Sleep(loadReportMinInterval)
	}
}

// handleReport passes a load report to the data plane if it comes from the hub that this process follows.
func (t *loadTable) handleReport(h *hub, frame peerproto.Frame) {
	var report peerproto.LoadReport
	if t.subscription.followedHub() != h || peerproto.Decode(frame.Body, &report) != nil {
		return
	}
	if report.FullIndex {
		t.workload.SyncPrefixes(decodePrefixes(report.Prefixes))
		return
	}
	t.workload.SetPeerLoad(decodeLoad(report.Servers), scopeOf(&report), decodePrefixes(report.Prefixes))
}

// scopeOf returns whether a report names all servers or only those whose load has changed.
func scopeOf(report *peerproto.LoadReport) scheduler.LoadScope {
	if report.Full {
		return scheduler.AllServers
	}
	return scheduler.ChangedServers
}

// sendPrefixIndex sends a new follower the prefix index: which prefixes are known to be cached at which
// servers.
func (t *loadTable) sendPrefixIndex(c *transport.Conn) {
	if !t.state.isSynced() {
		return
	}
	report := &peerproto.LoadReport{FullIndex: true,
		Prefixes: encodePrefixes(t.workload.KnownPrefixes())}
	c.Send(peerproto.Frame{Kind: peerproto.KindLoadReport, Body: peerproto.Encode(report)})
}

func encodeLoad(loads []scheduler.InFlightLoad) []peerproto.ServerLoad {
	servers := make([]peerproto.ServerLoad, len(loads))
	for i, load := range loads {
		servers[i] = peerproto.ServerLoad{Server: load.Server, PrefillMs: int(load.Prefill.Milliseconds()),
			Calls: load.Calls}
	}
	return servers
}

func decodeLoad(servers []peerproto.ServerLoad) []scheduler.InFlightLoad {
	loads := make([]scheduler.InFlightLoad, len(servers))
	for i, server := range servers {
		loads[i] = scheduler.InFlightLoad{Server: server.Server, Calls: server.Calls,
			Prefill: time.Duration(server.PrefillMs) * time.Millisecond}
	}
	return loads
}

func encodePrefixes(index []scheduler.CachedPrefixes) []peerproto.ServerPrefixes {
	encoded := make([]peerproto.ServerPrefixes, len(index))
	for i, cached := range index {
		encoded[i] = peerproto.ServerPrefixes{Server: cached.Server, Hashes: convertHashes[int64](cached.Hashes)}
	}
	return encoded
}

func decodePrefixes(encoded []peerproto.ServerPrefixes) []scheduler.CachedPrefixes {
	index := make([]scheduler.CachedPrefixes, len(encoded))
	for i, cached := range encoded {
		index[i] = scheduler.CachedPrefixes{Server: cached.Server, Hashes: convertHashes[uint64](cached.Hashes)}
	}
	return index
}

// convertHashes converts hashes between uint64 and the int64 of the Avro schema, which has no unsigned
// numbers.
func convertHashes[To, From int64 | uint64](hashes []From) []To {
	var converted []To
	for _, hash := range hashes {
		converted = append(converted, To(hash))
	}
	return converted
}
