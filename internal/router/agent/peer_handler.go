package agent

import (
	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/transport"
)

var _ transport.Handler = (*Agent)(nil)

// hello returns the first message of a connection to another process.
func (a *Agent) hello() []byte { return peerproto.Encode(&peerproto.Hello{ID: a.id}) }

// Handle handles a frame of another process. It implements transport.Handler and runs on the goroutine of the
// connection, so that only calls that may take long are given a goroutine of their own.
func (a *Agent) Handle(c *transport.Conn, frame peerproto.Frame) {
	a.recordContact(c.Peer())
	switch frame.Kind {
	case peerproto.KindPing:
		a.demand.record(c.Peer(), a.now(), frame.Body)
		c.Answer(frame, peerproto.KindPong, peerproto.Encode(a.status()))
	case peerproto.KindAnnounce:
		a.handleAnnounce(c, frame)
	case peerproto.KindUpsert:
		a.handleUpsert(c, frame)
	case peerproto.KindFollow:
		a.feeds.handleFollow(c, frame)
	case peerproto.KindCompare:
		a.antiEntropy.handleCompare(c, frame)
	case peerproto.KindConfigFetch:
		c.Answer(frame, peerproto.KindResult, peerproto.Encode(a.configSync.inForce()))
	case peerproto.KindPropose, peerproto.KindPatch, peerproto.KindRead:
		go a.serveConfigCall(c, frame)
	case peerproto.KindLoadReport:
		a.load.applyFollower(c, frame.Body)
	case peerproto.KindHubLoadReport:
		a.load.applyHub(c, frame.Body)
	case peerproto.KindChain:
		a.configStore.receive(frame.Body)
	}
}

// Closed ends what depends on the connection of another process. It implements transport.Handler.
func (a *Agent) Closed(c *transport.Conn) {
	a.load.removePeer(c)
	a.feeds.end(c)
}

// decodeOrClose decodes a message of another process. A connection that carries a malformed one is closed.
func decodeOrClose(c *transport.Conn, body []byte, message peerproto.Message) bool {
	if peerproto.Decode(body, message) != nil {
		c.Close()
		return false
	}
	return true
}

// status returns what this process answers to pings and announcements.
func (a *Agent) status() *peerproto.Status {
	v := a.state.currentView()
	return &peerproto.Status{ID: a.id, Version: a.state.version(), Epoch: v.epoch, Members: v.members,
		HasSnapshot: a.state.isSynced(), ReachesMajority: a.quorum.reachesFleet()}
}

// handleAnnounce learns the view from a process that announces it.
func (a *Agent) handleAnnounce(c *transport.Conn, frame peerproto.Frame) {
	var status peerproto.Status
	if !decodeOrClose(c, frame.Body, &status) {
		return
	}
	a.hubs.learnView(&status)
	c.Answer(frame, peerproto.KindPong, peerproto.Encode(a.status()))
}

// handleUpsert merges the records that a process answers for, or that anti-entropy found to be newer there.
func (a *Agent) handleUpsert(c *transport.Conn, frame peerproto.Frame) {
	var upsert peerproto.Records
	if !decodeOrClose(c, frame.Body, &upsert) {
		return
	}
	a.mergeRemote(upsert.Records)
	a.markPredecessorsLost(c.Peer())
	c.Answer(frame, peerproto.KindAck, nil)
}

// markPredecessorsLost marks earlier processes of the same machine as lost, now that this one has called.
// That is a guess: a message of an earlier process may arrive after its successor is known, as when a
// partition delayed it. So they are marked lost, which they can refute, and not ended.
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

// serveConfigCall runs another process's call on the configuration in this member.
func (a *Agent) serveConfigCall(c *transport.Conn, frame peerproto.Frame) {
	result := unavailableResult("this machine does not keep the configuration")
	var proposal peerproto.Proposal
	switch {
	case !a.configStore.isMember():
	case frame.Kind != peerproto.KindRead && peerproto.Decode(frame.Body, &proposal) != nil:
	default:
		result = runLocally(a.configStore, frame.Kind, &proposal)
	}
	c.Answer(frame, peerproto.KindResult, peerproto.Encode(result))
}
