package agent

import (
	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/transport"
)

// peerHandler handles the frames that other processes send on connections that they have opened, and hands
// each to the part of the agent that it concerns, which may be almost any. It has no state of its own. The
// frames of one connection are handled one after the other, on its goroutine; those of different connections
// at the same time.
type peerHandler struct{ agent *Agent }

var _ transport.Handler = (*peerHandler)(nil)

// Handle handles a frame of another process. It implements transport.Handler and runs on the goroutine of the
// connection, so that only calls that may take long are given a goroutine of their own.
func (p *peerHandler) Handle(c *transport.Conn, frame peerproto.Frame) {
	a := p.agent
	a.lastSeen.record(c.Peer(), a.now())
	switch frame.Kind {
	case peerproto.KindPing:
		a.demand.record(c.Peer(), a.now(), frame.Body)
		c.Answer(frame, peerproto.KindPong, peerproto.Encode(a.status()))
	case peerproto.KindAnnounce:
		p.handleAnnounce(c, frame)
	case peerproto.KindUpsert:
		p.handleUpsert(c, frame)
	case peerproto.KindFollow:
		a.feeds.handleFollow(c, frame)
	case peerproto.KindCompare:
		a.antiEntropy.handleCompare(c, frame)
	case peerproto.KindConfigFetch:
		c.Answer(frame, peerproto.KindResult, peerproto.Encode(a.configSync.inForce()))
	case peerproto.KindPropose, peerproto.KindPatch, peerproto.KindRead:
		go p.serveConfigCall(c, frame)
	case peerproto.KindLoadReport:
		a.load.applyFollower(c, frame.Body)
	case peerproto.KindHubLoadReport:
		a.load.applyHub(c, frame.Body)
	case peerproto.KindChain:
		a.configStore.receive(frame.Body)
	}
}

// Closed ends what depends on the connection of another process. It implements transport.Handler.
func (p *peerHandler) Closed(c *transport.Conn) {
	p.agent.load.removePeer(c)
	p.agent.feeds.end(c)
}

// decodeOrClose decodes a message of another process. A connection that carries a malformed one is closed.
func decodeOrClose(c *transport.Conn, body []byte, message peerproto.Message) bool {
	if peerproto.Decode(body, message) != nil {
		c.Close()
		return false
	}
	return true
}

// handleAnnounce learns the view from a process that announces it.
func (p *peerHandler) handleAnnounce(c *transport.Conn, frame peerproto.Frame) {
	var status peerproto.Status
	if !decodeOrClose(c, frame.Body, &status) {
		return
	}
	p.agent.hubs.learnView(&status)
	c.Answer(frame, peerproto.KindPong, peerproto.Encode(p.agent.status()))
}

// handleUpsert merges the records that a process answers for, or that anti-entropy found to be newer there.
func (p *peerHandler) handleUpsert(c *transport.Conn, frame peerproto.Frame) {
	var upsert peerproto.Records
	if !decodeOrClose(c, frame.Body, &upsert) {
		return
	}
	p.agent.self.mergeRemote(upsert.Records)
	p.agent.failures.markPredecessorsLost(c.Peer())
	c.Answer(frame, peerproto.KindAck, nil)
}

// serveConfigCall runs another process's call on the configuration in this member.
func (p *peerHandler) serveConfigCall(c *transport.Conn, frame peerproto.Frame) {
	result := unavailableResult("this machine does not keep the configuration")
	var proposal peerproto.Proposal
	switch {
	case !p.agent.configStore.isMember():
	case frame.Kind != peerproto.KindRead && peerproto.Decode(frame.Body, &proposal) != nil:
	default:
		result = runLocally(p.agent.configStore, frame.Kind, &proposal)
	}
	c.Answer(frame, peerproto.KindResult, peerproto.Encode(result))
}
