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
	// workSpan is the least time between two messages to one process.
	workSpan = 25 * time.Millisecond
	// workSilence is how often a message comes where nothing changes.
	workSilence = 400 * time.Millisecond
	// wholeMost is the most servers that are told whole with each of these.
	wholeMost = 64
)

// workSum is what processes have under way, by server.
type workSum map[string]peerproto.ServerLoad

// take puts changes in.
func (s workSum) take(work *peerproto.LoadReport) {
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

// workTable holds what this process and those that report to it have under way.
type workTable struct {
	node *Node

	mu        sync.Mutex
	own       workSum
	followers map[*transport.Conn]workSum
	hubs      map[*transport.Conn]workSum
	changed   map[string]bool // servers of which something changed since the last distribution
	// localPrompts and hubPrompts are to be distributed: those of this process and its followers, and those
	// that other hubs told of.
	localPrompts, hubPrompts []peerproto.ServerPrefixes
}

func newWorkTable(n *Node) *workTable {
	return &workTable{node: n, own: workSum{}, followers: map[*transport.Conn]workSum{},
		hubs: map[*transport.Conn]workSum{}, changed: map[string]bool{}}
}

// report tells what this process has under way whenever that changes, until done closes.
func (b *workTable) report(done <-chan struct{}) {
	n := b.node
	var last time.Duration
	for {
		select {
		case <-done:
			return
		case <-n.workload.WorkChanged():
		case <-time.After(workSpan):
		}
		whole := n.now()-last > workSilence
		changes := n.workload.WorkChanges(whole)
		if whole {
			last = n.now()
		}
		prompts := encodePrompts(n.workload.NewPrompts())
		work := &peerproto.LoadReport{Full: whole, Servers: encodeWork(changes), Prefixes: prompts}
		if n.isHub() {
			b.takeOwn(work)
			b.distribute(whole)
		} else if whole || len(changes) > 0 {
			n.sendToSource(peerproto.KindLoadReport, peerproto.Encode(work))
		}
		time.Sleep(workSpan)
	}
}

func encodeWork(changes []scheduler.InFlightLoad) []peerproto.ServerLoad {
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

func decodeWork(servers []peerproto.ServerLoad) []scheduler.InFlightLoad {
	changes := make([]scheduler.InFlightLoad, len(servers))
	for i, at := range servers {
		reading := time.Duration(at.PrefillMs) * time.Millisecond
		changes[i] = scheduler.InFlightLoad{Server: at.Server, Prefill: reading, Calls: at.Calls}
	}
	return changes
}

// sendToSource sends a frame to the hub that this process follows.
func (n *Node) sendToSource(kind peerproto.Kind, body []byte) {
	n.followMu.Lock()
	source := n.following.source
	n.followMu.Unlock()
	if source != nil {
		source.link.Send(kind, body)
	}
}

// takeWork takes in what a hub told of all other proxies.
func (n *Node) takeWork(h *hub, frame peerproto.Frame) {
	n.followMu.Lock()
	isSource := n.following.source == h
	n.followMu.Unlock()
	var work peerproto.LoadReport
	if !isSource || peerproto.Decode(frame.Body, &work) != nil {
		return
	}
	if work.FullIndex {
		n.workload.CatchUp(decodePrompts(work.Prefixes))
		return
	}
	n.workload.ShareWork(decodeWork(work.Servers), work.Full, decodePrompts(work.Prefixes))
}

// tellKnown hands a new follower what is known of which servers hold what.
func (n *Node) tellKnown(c *transport.Conn) {
	if !n.state.isSynced() {
		return
	}
	work := &peerproto.LoadReport{FullIndex: true, Prefixes: encodePrompts(n.workload.KnownPrompts())}
	c.Send(peerproto.Frame{Kind: peerproto.KindLoadReport, Body: peerproto.Encode(work)})
}

func (b *workTable) takeOwn(work *peerproto.LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.note(b.own, work)
	b.localPrompts = append(b.localPrompts, work.Prefixes...)
}

func (b *workTable) fromFollower(c *transport.Conn, body []byte) {
	b.takeFrom(b.followers, &b.localPrompts, c, body)
}

func (b *workTable) fromHub(c *transport.Conn, body []byte) {
	b.takeFrom(b.hubs, &b.hubPrompts, c, body)
}

func (b *workTable) takeFrom(sums map[*transport.Conn]workSum, prompts *[]peerproto.ServerPrefixes,
	c *transport.Conn, body []byte) {
	var work peerproto.LoadReport
	if peerproto.Decode(body, &work) != nil {
		c.Close()
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if sums[c] == nil {
		sums[c] = workSum{}
	}
	b.note(sums[c], &work)
	*prompts = append(*prompts, work.Prefixes...)
}

// note puts changes into a sum and remembers what to distribute; the lock is held.
func (b *workTable) note(sum workSum, work *peerproto.LoadReport) {
	if work.Full {
		for server := range sum {
			b.changed[server] = true
		}
	}
	for _, at := range work.Servers {
		b.changed[at.Server] = true
	}
	sum.take(work)
}

// forget drops what a process had under way whose connection has ended.
func (b *workTable) forget(c *transport.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, sums := range []map[*transport.Conn]workSum{b.followers, b.hubs} {
		for server := range sums[c] {
			b.changed[server] = true
		}
		delete(sums, c)
	}
}

// distribute tells followers, other hubs and this process itself what the others have under way.
func (b *workTable) distribute(whole bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.changed)+len(b.localPrompts)+len(b.hubPrompts) == 0 && !whole {
		return
	}
	local := b.sumLocal()
	total := b.sumHubs(local)
	whole = whole && len(total) <= wholeMost
	prompts := append(b.localPrompts, b.hubPrompts...)
	hubWork := peerproto.LoadReport{Full: whole, Servers: b.selected(local, nil, whole),
		Prefixes: b.localPrompts}
	encoded := peerproto.Encode(&hubWork)
	for _, h := range b.node.currentHubs() {
		h.link.Send(peerproto.KindHubLoadReport, encoded)
	}
	for c, sum := range b.followers {
		work := peerproto.LoadReport{Full: whole, Servers: b.selected(total, sum, whole), Prefixes: prompts}
		c.Send(peerproto.Frame{Kind: peerproto.KindLoadReport, Body: peerproto.Encode(&work)})
	}
	others := decodeWork(b.selected(total, b.own, whole))
	b.node.workload.ShareWork(others, whole, decodePrompts(prompts))
	clear(b.changed)
	b.localPrompts, b.hubPrompts = nil, nil
}

// sumLocal sums up what this process and its followers have under way.
func (b *workTable) sumLocal() workSum {
	sum := workSum{}
	sum.add(b.own)
	for _, follower := range b.followers {
		sum.add(follower)
	}
	return sum
}

// sumHubs adds to a sum what the other hubs told of theirs.
func (b *workTable) sumHubs(local workSum) workSum {
	sum := workSum{}
	sum.add(local)
	for _, hub := range b.hubs {
		sum.add(hub)
	}
	return sum
}

func (s workSum) add(other workSum) {
	for server, at := range other {
		sum := s[server]
		s[server] = peerproto.ServerLoad{Server: server, PrefillMs: sum.PrefillMs + at.PrefillMs,
			Calls: sum.Calls + at.Calls}
	}
}

// selected returns a sum less what one process has itself, at all servers or at those that have changed.
func (b *workTable) selected(sum, without workSum, whole bool) []peerproto.ServerLoad {
	servers := []peerproto.ServerLoad{}
	add := func(server string) {
		at, less := sum[server], without[server]
		servers = append(servers, peerproto.ServerLoad{Server: server,
			PrefillMs: max(at.PrefillMs-less.PrefillMs, 0), Calls: max(at.Calls-less.Calls, 0)})
	}
	if whole {
		for server := range sum {
			add(server)
		}
		return servers
	}
	for server := range b.changed {
		add(server)
	}
	return servers
}
