package agent

import (
	"maps"
	"time"

	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/transport"
)

// heardLife is how long it is remembered that a process called whose record has not come.
const heardLife = 10 * time.Second

// Handle takes a frame of another process.
func (n *Node) Handle(c *transport.Conn, frame peerproto.Frame) {
	n.noteHeard(c.Peer())
	switch frame.Kind {
	case peerproto.KindPing:
		n.demand.take(c.Peer(), n.now(), frame.Body)
		c.Answer(frame, peerproto.KindPong, peerproto.Encode(n.status()))
	case peerproto.KindAnnounce:
		n.takeIntroduction(c, frame)
	case peerproto.KindUpsert:
		n.takeUpsert(c, frame)
	case peerproto.KindFollow:
		n.takeFollow(c, frame)
	case peerproto.KindCompare:
		n.takeCompare(c, frame)
	case peerproto.KindConfigFetch:
		c.Answer(frame, peerproto.KindResult, peerproto.Encode(n.configInForce()))
	case peerproto.KindPropose, peerproto.KindPatch, peerproto.KindRead:
		go n.answerControl(c, frame)
	case peerproto.KindLoadReport:
		n.work.fromFollower(c, frame.Body)
	case peerproto.KindHubLoadReport:
		n.work.fromHub(c, frame.Body)
	case peerproto.KindChain:
		n.control.take(c.Peer(), frame.Body)
	}
}

// Closed notes that the connection of another process has ended.
func (n *Node) Closed(c *transport.Conn) {
	n.work.forget(c)
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

// takeIntroduction learns the view of a process that sought this one out.
func (n *Node) takeIntroduction(c *transport.Conn, frame peerproto.Frame) {
	var status peerproto.Status
	if peerproto.Decode(frame.Body, &status) != nil {
		c.Close()
		return
	}
	n.learnStatusView(&status)
	c.Answer(frame, peerproto.KindPong, peerproto.Encode(n.status()))
}

func (n *Node) takeUpsert(c *transport.Conn, frame peerproto.Frame) {
	var upsert peerproto.Records
	if peerproto.Decode(frame.Body, &upsert) != nil {
		c.Close()
		return
	}
	n.mergeHeard(upsert.Records)
	n.endPredecessors(c.Peer())
	c.Answer(frame, peerproto.KindAck, nil)
}

// endPredecessors marks earlier processes of the same machine as lost, now that this one has called. That is
// a guess: what an earlier process sent may come after its successor is known, as when a cut held it up. So
// it marks them as something that they can contradict.
func (n *Node) endPredecessors(peer string) {
	now := n.now()
	n.state.change(now, func(d *directory.Directory) {
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

func (n *Node) takeFollow(c *transport.Conn, frame peerproto.Frame) {
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
	n.tellKnown(c)
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

// noteHeard notes that a process has called.
func (n *Node) noteHeard(peer string) {
	n.heardMu.Lock()
	n.heard[peer] = n.now()
	n.heardMu.Unlock()
}

// forgetHeard forgets when processes called whose records the directory does not hold any more.
func (n *Node) forgetHeard() {
	n.heardMu.Lock()
	heard := maps.Clone(n.heard)
	n.heardMu.Unlock()
	now := n.now()
	n.state.read(func(d *directory.Directory) {
		maps.DeleteFunc(heard, func(id string, at time.Duration) bool {
			return d.Get(id) != nil || now-at <= heardLife
		})
	})
	n.heardMu.Lock()
	defer n.heardMu.Unlock()
	for id := range heard {
		delete(n.heard, id)
	}
}

func (n *Node) heardAt(id string) (time.Duration, bool) {
	n.heardMu.Lock()
	defer n.heardMu.Unlock()
	at, ok := n.heard[id]
	return at, ok
}
