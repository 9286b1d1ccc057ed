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
func (a *Agent) Handle(c *transport.Conn, frame peerproto.Frame) {
	a.recordContact(c.Peer())
	switch frame.Kind {
	case peerproto.KindPing:
		a.demand.record(c.Peer(), a.now(), frame.Body)
		c.Answer(frame, peerproto.KindPong, peerproto.Encode(a.status()))
	case peerproto.KindAnnounce:
		a.handleIntroduce(c, frame)
	case peerproto.KindUpsert:
		a.handleUpsert(c, frame)
	case peerproto.KindFollow:
		a.handleFollow(c, frame)
	case peerproto.KindCompare:
		a.handleCompare(c, frame)
	case peerproto.KindConfigFetch:
		c.Answer(frame, peerproto.KindResult, peerproto.Encode(a.configInForce()))
	case peerproto.KindPropose, peerproto.KindPatch, peerproto.KindRead:
		go a.serveConfigCall(c, frame)
	case peerproto.KindLoadReport:
		a.load.applyFollower(c, frame.Body)
	case peerproto.KindHubLoadReport:
		a.load.applyHub(c, frame.Body)
	case peerproto.KindChain:
		a.configStore.receive(c.Peer(), frame.Body)
	}
}

// Closed notes that the connection of another process has ended.
func (a *Agent) Closed(c *transport.Conn) {
	a.load.removePeer(c)
	a.followersMu.Lock()
	defer a.followersMu.Unlock()
	if cancel := a.followers[c]; cancel != nil {
		close(cancel)
		delete(a.followers, c)
	}
}

func (a *Agent) status() *peerproto.Status {
	v := a.state.currentView()
	return &peerproto.Status{ID: a.id, Version: a.state.version(), Epoch: v.epoch, Members: v.members,
		HasSnapshot: a.state.isSynced(), ReachesMajority: a.reachesFleet()}
}

// handleIntroduce learns the view of a process that sought this one out.
func (a *Agent) handleIntroduce(c *transport.Conn, frame peerproto.Frame) {
	var status peerproto.Status
	if peerproto.Decode(frame.Body, &status) != nil {
		c.Close()
		return
	}
	a.learnStatusView(&status)
	c.Answer(frame, peerproto.KindPong, peerproto.Encode(a.status()))
}

func (a *Agent) handleUpsert(c *transport.Conn, frame peerproto.Frame) {
	var upsert peerproto.Records
	if peerproto.Decode(frame.Body, &upsert) != nil {
		c.Close()
		return
	}
	a.mergeRemote(upsert.Records)
	a.markPredecessorsLost(c.Peer())
	c.Answer(frame, peerproto.KindAck, nil)
}

// markPredecessorsLost marks earlier processes of the same machine as lost, now that this one has called.
// That is a guess: what an earlier process sent may come after its successor is known, as when a cut held it
// up. So it marks them as something that they can contradict.
func (a *Agent) markPredecessorsLost(peer string) {
	now := a.now()
	a.state.update(now, func(d *directory.Directory) {
		caller := d.Get(peer)
		if caller == nil || !caller.Live() {
			return
		}
		for _, other := range d.Proxies() {
			if other.Address == caller.Address && other.ID != caller.ID {
				a.markLost(now, d, other, "another process of its machine calls")
			}
		}
	})
}

func (a *Agent) handleFollow(c *transport.Conn, frame peerproto.Frame) {
	var request peerproto.Follow
	if peerproto.Decode(frame.Body, &request) != nil {
		c.Close()
		return
	}
	cancel := make(chan struct{})
	a.followersMu.Lock()
	if earlier := a.followers[c]; earlier != nil {
		close(earlier)
	}
	a.followers[c] = cancel
	a.followersMu.Unlock()
	go a.serveFeed(c, &request, cancel)
	a.sendPrefixIndex(c)
}

// configInForce returns the configuration in force, packed.
func (a *Agent) configInForce() *peerproto.Result {
	config := a.state.Config()
	if config == nil {
		return &peerproto.Result{Outcome: peerproto.OutcomeUnavailable, Reason: "no configuration is known here"}
	}
	return &peerproto.Result{Outcome: peerproto.OutcomeAccepted, Version: config.Version,
		Body: a.packed.of(config)}
}

// recordContact notes that a process has called.
func (a *Agent) recordContact(peer string) {
	a.lastSeenMu.Lock()
	a.lastSeen[peer] = a.now()
	a.lastSeenMu.Unlock()
}

// pruneLastSeen forgets when processes called whose records the directory does not hold any more.
func (a *Agent) pruneLastSeen() {
	a.lastSeenMu.Lock()
	stale := maps.Clone(a.lastSeen)
	a.lastSeenMu.Unlock()
	now := a.now()
	a.state.read(func(d *directory.Directory) {
		maps.DeleteFunc(stale, func(id string, at time.Duration) bool {
			return d.Get(id) != nil || now-at <= lastSeenRetention
		})
	})
	a.lastSeenMu.Lock()
	defer a.lastSeenMu.Unlock()
	for id := range stale {
		delete(a.lastSeen, id)
	}
}

func (a *Agent) lastSeenAt(id string) (time.Duration, bool) {
	a.lastSeenMu.Lock()
	defer a.lastSeenMu.Unlock()
	at, ok := a.lastSeen[id]
	return at, ok
}
