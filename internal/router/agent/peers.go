package agent

import (
	"maps"
	"time"

	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/transport"
)

// lastSeenRetention is how long it is remembered that a process called whose record has not come.
const lastSeenRetention = 10 * time.Second

// Handle takes a frame of another process.
func (n *Node) Handle(c *transport.Conn, frame peerproto.Frame) {
	n.recordContact(c.Peer())
	switch frame.Kind {
	case peerproto.KindPing:
		n.demand.record(c.Peer(), n.now(), frame.Body)
		c.Answer(frame, peerproto.KindPong, peerproto.Encode(n.status()))
	case peerproto.KindAnnounce:
		n.handleIntroduce(c, frame)
	case peerproto.KindUpsert:
		n.handleUpsert(c, frame)
	case peerproto.KindFollow:
		n.handleFollow(c, frame)
	case peerproto.KindCompare:
		n.handleCompare(c, frame)
	case peerproto.KindConfigFetch:
		c.Answer(frame, peerproto.KindResult, peerproto.Encode(n.configInForce()))
	case peerproto.KindPropose, peerproto.KindPatch, peerproto.KindRead:
		go n.serveConfigCall(c, frame)
	case peerproto.KindLoadReport:
		n.load.applyFollower(c, frame.Body)
	case peerproto.KindHubLoadReport:
		n.load.applyHub(c, frame.Body)
	case peerproto.KindChain:
		n.configStore.receive(c.Peer(), frame.Body)
	}
}

// Closed notes that the connection of another process has ended.
func (n *Node) Closed(c *transport.Conn) {
	n.load.removePeer(c)
	n.followersMu.Lock()
	defer n.followersMu.Unlock()
	if cancel := n.followers[c]; cancel != nil {
		close(cancel)
		delete(n.followers, c)
	}
}

func (n *Node) status() *peerproto.Status {
	v := n.state.currentView()
	return &peerproto.Status{ID: n.id, Version: n.state.version(), Epoch: v.epoch, Members: v.members,
		HasSnapshot: n.state.isSynced(), ReachesMajority: n.reachesFleet()}
}

// handleIntroduce learns the view of a process that sought this one out.
func (n *Node) handleIntroduce(c *transport.Conn, frame peerproto.Frame) {
	var status peerproto.Status
	if peerproto.Decode(frame.Body, &status) != nil {
		c.Close()
		return
	}
	n.learnStatusView(&status)
	c.Answer(frame, peerproto.KindPong, peerproto.Encode(n.status()))
}

func (n *Node) handleUpsert(c *transport.Conn, frame peerproto.Frame) {
	var upsert peerproto.Records
	if peerproto.Decode(frame.Body, &upsert) != nil {
		c.Close()
		return
	}
	n.mergeRemote(upsert.Records)
	n.markPredecessorsLost(c.Peer())
	c.Answer(frame, peerproto.KindAck, nil)
}

// markPredecessorsLost marks earlier processes of the same machine as lost, now that this one has called.
// That is a guess: what an earlier process sent may come after its successor is known, as when a cut held it
// up. So it marks them as something that they can contradict.
func (n *Node) markPredecessorsLost(peer string) {
	now := n.now()
	n.state.update(now, func(d *directory.Directory) {
		caller := d.Get(peer)
		if caller == nil || !caller.Live() {
			return
		}
		for _, other := range d.Proxies() {
			if other.Address == caller.Address && other.ID != caller.ID {
				n.markLost(now, d, other, "another process of its machine calls")
			}
		}
	})
}

func (n *Node) handleFollow(c *transport.Conn, frame peerproto.Frame) {
	var request peerproto.Follow
	if peerproto.Decode(frame.Body, &request) != nil {
		c.Close()
		return
	}
	cancel := make(chan struct{})
	n.followersMu.Lock()
	if earlier := n.followers[c]; earlier != nil {
		close(earlier)
	}
	n.followers[c] = cancel
	n.followersMu.Unlock()
	go n.serveFeed(c, &request, cancel)
	n.sendPrefixIndex(c)
}

// configInForce returns the configuration in force, packed.
func (n *Node) configInForce() *peerproto.Result {
	config := n.state.Config()
	if config == nil {
		return &peerproto.Result{Outcome: peerproto.OutcomeUnavailable, Reason: "no configuration is known here"}
	}
	return &peerproto.Result{Outcome: peerproto.OutcomeAccepted, Version: config.Version,
		Body: n.packed.of(config)}
}

// recordContact notes that a process has called.
func (n *Node) recordContact(peer string) {
	n.lastSeenMu.Lock()
	n.lastSeen[peer] = n.now()
	n.lastSeenMu.Unlock()
}

// pruneLastSeen forgets when processes called whose records the directory does not hold any more.
func (n *Node) pruneLastSeen() {
	n.lastSeenMu.Lock()
	stale := maps.Clone(n.lastSeen)
	n.lastSeenMu.Unlock()
	now := n.now()
	n.state.read(func(d *directory.Directory) {
		maps.DeleteFunc(stale, func(id string, at time.Duration) bool {
			return d.Get(id) != nil || now-at <= lastSeenRetention
		})
	})
	n.lastSeenMu.Lock()
	defer n.lastSeenMu.Unlock()
	for id := range stale {
		delete(n.lastSeen, id)
	}
}

func (n *Node) lastSeenAt(id string) (time.Duration, bool) {
	n.lastSeenMu.Lock()
	defer n.lastSeenMu.Unlock()
	at, ok := n.lastSeen[id]
	return at, ok
}
