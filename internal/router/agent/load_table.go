package agent

import (
	"maps"
	"sync"

	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/scheduler"
	"cresshub/internal/router/transport"
)

// loadByServer is the in-flight load of one process, or the sum over several, by server.
type loadByServer map[string]peerproto.ServerLoad

// apply applies a report of the processes whose load this is.
func (l loadByServer) apply(report *peerproto.LoadReport) {
	if report.Full {
		clear(l)
	}
	for _, load := range report.Servers {
		if load.Calls == 0 && load.PrefillMs == 0 {
			delete(l, load.Server)
			continue
		}
		l[load.Server] = load
	}
}

// add adds another load to this one.
func (l loadByServer) add(other loadByServer) {
	for server, load := range other {
		sum := l[server]
		l[server] = peerproto.ServerLoad{Server: server, PrefillMs: sum.PrefillMs + load.PrefillMs,
			Calls: sum.Calls + load.Calls}
	}
}

// peerLoads is the load of each process that reports to this one, by its connection.
type peerLoads map[*transport.Conn]loadByServer

// addedTo returns the sum of a load and the loads of all peers.
func (p peerLoads) addedTo(load loadByServer) loadByServer {
	sum := maps.Clone(load)
	for _, peer := range p {
		sum.add(peer)
	}
	return sum
}

// loadTable holds, on a hub, the in-flight load of this process and of those that report to it. Its methods
// are safe for concurrent use, except those whose comment says that the lock is held. While it is held, the
// lock of the hubs and those of the data plane may be taken.
type loadTable struct {
	*process
	state        *state
	hubs         *hubSet
	subscription *subscription
	workload     Workload

	mu            sync.Mutex
	own           loadByServer
	followerLoads peerLoads
	hubLoads      peerLoads
	changed       map[string]bool // servers whose load has changed since the last distribution
	// Prefixes received since the last distribution: those of this process and its followers, which are sent to
	// hubs and followers, and those of other hubs, which are sent to followers only.
	localPrefixes, hubPrefixes []peerproto.ServerPrefixes
}

func newLoadTable(p *process, state *state, hubs *hubSet, subscription *subscription,
	workload Workload) *loadTable {
	return &loadTable{process: p, state: state, hubs: hubs, subscription: subscription, workload: workload,
		own: loadByServer{}, followerLoads: peerLoads{}, hubLoads: peerLoads{}, changed: map[string]bool{}}
}

// applyOwn applies a report of this process.
func (t *loadTable) applyOwn(report *peerproto.LoadReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyTo(t.own, report)
	t.localPrefixes = append(t.localPrefixes, report.Prefixes...)
}

// applyFollower applies the report of a follower.
func (t *loadTable) applyFollower(c *transport.Conn, body []byte) {
	t.applyPeer(t.followerLoads, &t.localPrefixes, c, body)
}

// applyHub applies the report of another hub.
func (t *loadTable) applyHub(c *transport.Conn, body []byte) {
	t.applyPeer(t.hubLoads, &t.hubPrefixes, c, body)
}

// applyPeer applies the report of another process to its load and appends its prefixes.
func (t *loadTable) applyPeer(peers peerLoads, prefixes *[]peerproto.ServerPrefixes, c *transport.Conn,
	body []byte) {
	var report peerproto.LoadReport
	if !decodeOrClose(c, body, &report) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if peers[c] == nil {
		peers[c] = loadByServer{}
	}
	t.applyTo(peers[c], &report)
	*prefixes = append(*prefixes, report.Prefixes...)
}

// applyTo applies a report to a load and records which servers it changes; the lock is held.
func (t *loadTable) applyTo(load loadByServer, report *peerproto.LoadReport) {
	if report.Full {
		t.markChanged(load)
	}
	for _, reported := range report.Servers {
		t.changed[reported.Server] = true
	}
	load.apply(report)
}

// markChanged records that the load has changed at each server of a load; the lock is held.
func (t *loadTable) markChanged(load loadByServer) {
	for server := range load {
		t.changed[server] = true
	}
}

// removePeer removes the load of a process whose connection has ended.
func (t *loadTable) removePeer(c *transport.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, peers := range []peerLoads{t.followerLoads, t.hubLoads} {
		t.markChanged(peers[c])
		delete(peers, c)
	}
}

// distribute reports the load at the servers in the scope: to the other hubs that of this process and its
// followers, and to each follower, and to the data plane of this process, that of all other processes.
// Servers count as changed if their load has changed since the last distribution. With load at more than
// maxFullSyncServers servers, only changed servers are reported.
func (t *loadTable) distribute(scope scheduler.LoadScope) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.changed)+len(t.localPrefixes)+len(t.hubPrefixes) == 0 && scope == scheduler.ChangedServers {
		return
	}
	local := t.localLoad()
	total := t.hubLoads.addedTo(local)
	if len(total) > maxFullSyncServers {
		scope = scheduler.ChangedServers
	}
	full := scope == scheduler.AllServers
	prefixes := append(t.localPrefixes, t.hubPrefixes...)

	toHubs := peerproto.Encode(&peerproto.LoadReport{Full: full, Servers: t.loadExcept(local, nil, scope),
		Prefixes: t.localPrefixes})
	for _, h := range t.hubs.all() {
		h.link.Send(peerproto.KindHubLoadReport, toHubs)
	}
	for c, own := range t.followerLoads {
		report := peerproto.LoadReport{Full: full, Servers: t.loadExcept(total, own, scope), Prefixes: prefixes}
		c.Send(peerproto.Frame{Kind: peerproto.KindLoadReport, Body: peerproto.Encode(&report)})
	}
	others := decodeLoad(t.loadExcept(total, t.own, scope))
	t.workload.SetPeerLoad(others, scope, decodePrefixes(prefixes))

	clear(t.changed)
	t.localPrefixes, t.hubPrefixes = nil, nil
}

// localLoad returns the load of this process and its followers; the lock is held.
func (t *loadTable) localLoad() loadByServer { return t.followerLoads.addedTo(t.own) }

// loadExcept returns a total minus the part of one process, at the servers in the scope. The lock is held.
func (t *loadTable) loadExcept(total, part loadByServer, scope scheduler.LoadScope) []peerproto.ServerLoad {
	servers := []peerproto.ServerLoad{}
	add := func(server string) {
		sum, excluded := total[server], part[server]
		servers = append(servers, peerproto.ServerLoad{Server: server,
			PrefillMs: max(sum.PrefillMs-excluded.PrefillMs, 0), Calls: max(sum.Calls-excluded.Calls, 0)})
	}
	if scope == scheduler.AllServers {
		for server := range total {
			add(server)
		}
		return servers
	}
	for server := range t.changed {
		add(server)
	}
	return servers
}
