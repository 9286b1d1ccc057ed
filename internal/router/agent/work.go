package agent

import (
	"sync"
	"time"

	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/scheduler"
	"cresshub/internal/router/transport"
)

// Proxies tell each other what they have under way at model servers, so that each one knows the servers'
// queues as they are now. A follower tells its hub, hubs tell each other their sums, and each hub tells its
// followers what all the others have.

const (
	// loadReportMinInterval is the least time between two messages to one process.
	loadReportMinInterval = 25 * time.Millisecond
	// fullSyncInterval is how often a message comes where nothing changes.
	fullSyncInterval = 400 * time.Millisecond
	// maxFullSyncServers is the most servers that are told whole with each of these.
	maxFullSyncServers = 64
)

// loadByServer is what processes have under way, by server.
type loadByServer map[string]peerproto.ServerLoad

// apply puts changes in.
func (s loadByServer) apply(work *peerproto.LoadReport) {
	if work.Full {
		clear(s)
	}
	for _, at := range work.Servers {
		if at.Calls == 0 && at.PrefillMs == 0 {
			delete(s, at.Server)
			continue
		}
		s[at.Server] = at
	}
}

// loadTable holds what this process and those that report to it have under way.
type loadTable struct {
	node *Node

	mu        sync.Mutex
	own       loadByServer
	followers map[*transport.Conn]loadByServer
	hubs      map[*transport.Conn]loadByServer
	changed   map[string]bool // servers of which something changed since the last distribution
	// localPrompts and hubPrompts are to be distributed: those of this process and its followers, and those
	// that other hubs told of.
	localPrompts, hubPrompts []peerproto.ServerPrefixes
}

func newLoadTable(n *Node) *loadTable {
	return &loadTable{node: n, own: loadByServer{}, followers: map[*transport.Conn]loadByServer{},
		hubs: map[*transport.Conn]loadByServer{}, changed: map[string]bool{}}
}

// report tells what this process has under way whenever that changes, until done closes.
func (t *loadTable) report(done <-chan struct{}) {
	n := t.node
	var last time.Duration
	for {
		select {
		case <-done:
			return
		case <-n.workload.InFlightChanged():
		case <-time.After(loadReportMinInterval):
		}
		full := n.now()-last > fullSyncInterval
		changes := n.workload.InFlightChanges(full)
		if full {
			last = n.now()
		}
		prompts := encodePrompts(n.workload.TakeNewPrefixes())
		work := &peerproto.LoadReport{Full: full, Servers: encodeLoad(changes), Prefixes: prompts}
		if n.isHub() {
			t.applyOwn(work)
			t.distribute(full)
		} else if full || len(changes) > 0 {
			n.sendToSource(peerproto.KindLoadReport, peerproto.Encode(work))
		}
		time.Sleep(loadReportMinInterval)
	}
}

func encodeLoad(changes []scheduler.InFlightLoad) []peerproto.ServerLoad {
	servers := make([]peerproto.ServerLoad, len(changes))
	for i, c := range changes {
		servers[i] = peerproto.ServerLoad{Server: c.Server, PrefillMs: int(c.Prefill.Milliseconds()),
			Calls: c.Calls}
	}
	return servers
}

func encodePrompts(all []scheduler.CachedPrefixes) []peerproto.ServerPrefixes {
	encoded := make([]peerproto.ServerPrefixes, len(all))
	for i, at := range all {
		encoded[i].Server = at.Server
		for _, name := range at.Hashes {
			encoded[i].Hashes = append(encoded[i].Hashes, int64(name))
		}
	}
	return encoded
}

func decodePrompts(all []peerproto.ServerPrefixes) []scheduler.CachedPrefixes {
	decoded := make([]scheduler.CachedPrefixes, len(all))
	for i, at := range all {
		decoded[i].Server = at.Server
		for _, name := range at.Hashes {
			decoded[i].Hashes = append(decoded[i].Hashes, uint64(name))
		}
	}
	return decoded
}

func decodeLoad(servers []peerproto.ServerLoad) []scheduler.InFlightLoad {
	changes := make([]scheduler.InFlightLoad, len(servers))
	for i, at := range servers {
		reading := time.Duration(at.PrefillMs) * time.Millisecond
		changes[i] = scheduler.InFlightLoad{Server: at.Server, Prefill: reading, Calls: at.Calls}
	}
	return changes
}

// sendToSource sends a frame to the hub that this process follows.
func (n *Node) sendToSource(kind peerproto.Kind, body []byte) {
	n.subscriptionMu.Lock()
	source := n.subscription.source
	n.subscriptionMu.Unlock()
	if source != nil {
		source.link.Send(kind, body)
	}
}

// handleLoad takes in what a hub told of all other proxies.
func (n *Node) handleLoad(h *hub, frame peerproto.Frame) {
	n.subscriptionMu.Lock()
	isSource := n.subscription.source == h
	n.subscriptionMu.Unlock()
	var work peerproto.LoadReport
	if !isSource || peerproto.Decode(frame.Body, &work) != nil {
		return
	}
	if work.FullIndex {
		n.workload.SyncPrefixes(decodePrompts(work.Prefixes))
		return
	}
	n.workload.SetPeerLoad(decodeLoad(work.Servers), work.Full, decodePrompts(work.Prefixes))
}

// sendPrefixIndex hands a new follower what is known of which servers hold what.
func (n *Node) sendPrefixIndex(c *transport.Conn) {
	if !n.state.isSynced() {
		return
	}
	work := &peerproto.LoadReport{FullIndex: true, Prefixes: encodePrompts(n.workload.KnownPrefixes())}
	c.Send(peerproto.Frame{Kind: peerproto.KindLoadReport, Body: peerproto.Encode(work)})
}

func (t *loadTable) applyOwn(work *peerproto.LoadReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordChanges(t.own, work)
	t.localPrompts = append(t.localPrompts, work.Prefixes...)
}

func (t *loadTable) applyFollower(c *transport.Conn, body []byte) {
	t.applyFrom(t.followers, &t.localPrompts, c, body)
}

func (t *loadTable) applyHub(c *transport.Conn, body []byte) {
	t.applyFrom(t.hubs, &t.hubPrompts, c, body)
}

func (t *loadTable) applyFrom(sums map[*transport.Conn]loadByServer, prompts *[]peerproto.ServerPrefixes,
	c *transport.Conn, body []byte) {
	var work peerproto.LoadReport
	if peerproto.Decode(body, &work) != nil {
		c.Close()
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if sums[c] == nil {
		sums[c] = loadByServer{}
	}
	t.recordChanges(sums[c], &work)
	*prompts = append(*prompts, work.Prefixes...)
}

// recordChanges puts changes into a sum and remembers what to distribute; the lock is held.
func (t *loadTable) recordChanges(sum loadByServer, work *peerproto.LoadReport) {
	if work.Full {
		for server := range sum {
			t.changed[server] = true
		}
	}
	for _, at := range work.Servers {
		t.changed[at.Server] = true
	}
	sum.apply(work)
}

// removePeer drops what a process had under way whose connection has ended.
func (t *loadTable) removePeer(c *transport.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, sums := range []map[*transport.Conn]loadByServer{t.followers, t.hubs} {
		for server := range sums[c] {
			t.changed[server] = true
		}
		delete(sums, c)
	}
}

// distribute tells followers, other hubs and this process itself what the others have under way.
func (t *loadTable) distribute(full bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.changed)+len(t.localPrompts)+len(t.hubPrompts) == 0 && !full {
		return
	}
	local := t.localLoad()
	total := t.totalLoad(local)
	full = full && len(total) <= maxFullSyncServers
	prompts := append(t.localPrompts, t.hubPrompts...)
	hubWork := peerproto.LoadReport{Full: full, Servers: t.loadExcept(local, nil, full),
		Prefixes: t.localPrompts}
	encoded := peerproto.Encode(&hubWork)
	for _, h := range t.node.currentHubs() {
		h.link.Send(peerproto.KindHubLoadReport, encoded)
	}
	for c, sum := range t.followers {
		work := peerproto.LoadReport{Full: full, Servers: t.loadExcept(total, sum, full), Prefixes: prompts}
		c.Send(peerproto.Frame{Kind: peerproto.KindLoadReport, Body: peerproto.Encode(&work)})
	}
	others := decodeLoad(t.loadExcept(total, t.own, full))
	t.node.workload.SetPeerLoad(others, full, decodePrompts(prompts))
	clear(t.changed)
	t.localPrompts, t.hubPrompts = nil, nil
}

// localLoad sums up what this process and its followers have under way.
func (t *loadTable) localLoad() loadByServer {
	sum := loadByServer{}
	sum.add(t.own)
	for _, follower := range t.followers {
		sum.add(follower)
	}
	return sum
}

// totalLoad adds to a sum what the other hubs told of theirs.
func (t *loadTable) totalLoad(local loadByServer) loadByServer {
	sum := loadByServer{}
	sum.add(local)
	for _, hub := range t.hubs {
		sum.add(hub)
	}
	return sum
}

func (s loadByServer) add(other loadByServer) {
	for server, at := range other {
		sum := s[server]
		s[server] = peerproto.ServerLoad{Server: server, PrefillMs: sum.PrefillMs + at.PrefillMs,
			Calls: sum.Calls + at.Calls}
	}
}

// loadExcept returns a sum less what one process has itself, at all servers or at those that have changed.
func (t *loadTable) loadExcept(sum, without loadByServer, full bool) []peerproto.ServerLoad {
	servers := []peerproto.ServerLoad{}
	add := func(server string) {
		at, less := sum[server], without[server]
		servers = append(servers, peerproto.ServerLoad{Server: server,
			PrefillMs: max(at.PrefillMs-less.PrefillMs, 0), Calls: max(at.Calls-less.Calls, 0)})
	}
	if full {
		for server := range sum {
			add(server)
		}
		return servers
	}
	for server := range t.changed {
		add(server)
	}
	return servers
}
