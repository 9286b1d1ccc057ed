package agent

import (
	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/transport"
)

// peerHandler handles the frames that other processes send on connections that they have opened, and passes
// each to the part of the agent that it concerns. It has no state of its own. The frames of one connection
// are handled sequentially, on its goroutine; those of different connections concurrently.
type peerHandler struct {
	*process
	lastSeen    *lastSeen
	status      func() *peerproto.Status // of this process, the answer to pings and announcements
	hubs        *hubSet
	self        *selfRecord
	feeds       *feedServer
	antiEntropy *antiEntropy
	failures    *failureDetector
	demand      *demandTable
	load        *loadTable
	configSync  *configSync
	configStore configStore
}

var _ transport.Handler = (*peerHandler)(nil)

// Handle handles a frame of another process. It implements transport.Handler and runs on the goroutine of the
// connection. Only calls on the configuration, which may take long, get a goroutine of their own.
func (p *peerHandler) Handle(c *transport.Conn, frame peerproto.Frame) {
	p.lastSeen.record(c.Peer(), p.now())
	switch frame.Kind {
	case peerproto.KindPing:
		p.demand.record(c.Peer(), p.now(), frame.Body)
		c.Answer(frame, peerproto.KindPong, peerproto.Encode(p.status()))
	case peerproto.KindAnnounce:
		p.handleAnnounce(c, frame)
	case peerproto.KindUpsert:
		p.handleUpsert(c, frame)
	case peerproto.KindFollow:
		p.feeds.handleFollow(c, frame)
	case peerproto.KindCompare:
		p.antiEntropy.handleCompare(c, frame)
	case peerproto.KindConfigFetch:
		c.Answer(frame, peerproto.KindResult, peerproto.Encode(p.configSync.fetchResult()))
	case peerproto.KindPropose, peerproto.KindPatch, peerproto.KindRead:
		go p.serveConfigCall(c, frame)
	case peerproto.KindLoadReport:
		p.load.applyFollower(c, frame.Body)
	case peerproto.KindHubLoadReport:
		p.load.applyHub(c, frame.Body)
	case peerproto.KindChain:
		p.configStore.receive(frame.Body)
	}
}

// Closed removes the load that was reported on a connection and ends its feed. It implements
// transport.Handler.
func (p *peerHandler) Closed(c *transport.Conn) {
	p.load.removePeer(c)
	p.feeds.end(c)
}

// decodeOrClose decodes a message of another process and reports whether it could. If the message is
// malformed, it closes the connection.
func decodeOrClose(c *transport.Conn, body []byte, message peerproto.Message) bool {
	if peerproto.Decode(body, message) != nil {
		c.Close()
		return false
	}
	return true
}

// handleAnnounce adopts the view that another process announces, if it is newer than the known one.
func (p *peerHandler) handleAnnounce(c *transport.Conn, frame peerproto.Frame) {
	var status peerproto.Status
	if !decodeOrClose(c, frame.Body, &status) {
		return
	}
	p.hubs.learnView(&status)
	c.Answer(frame, peerproto.KindPong, peerproto.Encode(p.status()))
}

// handleUpsert merges the records that a process replicates to this one, or that it sends because
// anti-entropy found differences.
func (p *peerHandler) handleUpsert(c *transport.Conn, frame peerproto.Frame) {
	var upsert peerproto.Records
	if !decodeOrClose(c, frame.Body, &upsert) {
		return
	}
	p.self.mergeRemote(upsert.Records)
	p.failures.markPredecessorsLost(c.Peer())
	c.Answer(frame, peerproto.KindAck, nil)
}

// serveConfigCall runs another process's read or change of the configuration, if this process is a member of
// the chain.
func (p *peerHandler) serveConfigCall(c *transport.Conn, frame peerproto.Frame) {
	result := unavailableResult("this machine does not keep the configuration")
	var proposal peerproto.Proposal
	switch {
	case !p.configStore.isMember():
	case frame.Kind != peerproto.KindRead && peerproto.Decode(frame.Body, &proposal) != nil:
	default:
		result = runLocally(p.configStore, frame.Kind, &proposal)
	}
	c.Answer(frame, peerproto.KindResult, peerproto.Encode(result))
}
