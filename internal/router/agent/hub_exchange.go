package agent

import (
	"errors"
	"time"

	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/transport"
)

const (
	pingInterval = 400 * time.Millisecond
	// eagerPingInterval is the interval while this process follows no hub, or is a hub that does not reach a
	// majority.
	eagerPingInterval = 100 * time.Millisecond
	pingTimeout       = time.Second
)

// hubExchange runs the exchange of messages on the link to a hub: pings, which carry the demand of this
// process and which the hub answers with its status; the replication of records to the hub
// (hub_replication.go); and the frames that the hub sends without a request. It has no state of its own. The
// goroutines of each link run its methods.
type hubExchange struct {
	*process
	state        *state
	hubs         *hubSet
	quorum       *quorum
	subscription *subscription
	configSync   *configSync
	demand       *demandTable
	load         *loadTable
}

// runPings pings a hub until its link is closed. A ping carries the demand of this process, and its answer
// the status of the hub. A ping is also sent as soon as the connection has been opened or has ended.
func (e *hubExchange) runPings(h *hub, stateChanged <-chan struct{}) {
	for {
		frame, err := h.link.Call(peerproto.KindPing, peerproto.Encode(e.demand.own()), pingTimeout)
		switch {
		case err == nil:
			e.handleStatus(h, frame)
		case errors.Is(err, transport.ErrTimeout):
			h.link.Reset()
		}
		select {
		case <-h.stop:
			return
		case <-stateChanged:
		case <-time.After(e.untilPing()):
		}
	}
}

// untilPing returns the interval until the next ping of a hub.
func (e *hubExchange) untilPing() time.Duration {
	established := e.subscription.isActive()
	if e.hubs.includesSelf() {
		established = e.quorum.reachesFleet()
	}
	if established {
		return pingInterval
	}
	return eagerPingInterval
}

// decodeOrReset decodes a message of a hub and reports whether it could. If the message is malformed, it
// resets the connection.
func decodeOrReset(h *hub, body []byte, message peerproto.Message) bool {
	if peerproto.Decode(body, message) != nil {
		h.link.Reset()
		return false
	}
	return true
}

// handleFrame handles a frame that a hub sends without a request: a message of the feed, or a load report.
func (e *hubExchange) handleFrame(h *hub, frame peerproto.Frame) {
	switch frame.Kind {
	case peerproto.KindLoadReport:
		e.load.handleReport(h, frame)
	case peerproto.KindFeed:
		var feed peerproto.Feed
		if decodeOrReset(h, frame.Body, &feed) {
			e.subscription.handleFeed(h, &feed)
		}
	}
}

// handleStatus handles the status with which a hub has answered a ping.
func (e *hubExchange) handleStatus(h *hub, frame peerproto.Frame) {
	var status peerproto.Status
	if !decodeOrReset(h, frame.Body, &status) {
		return
	}
	now := e.now()
	h.recordStatus(&status, now)
	e.hubs.recordAnswer(now)
	e.hubs.learnView(&status)
	if !e.subscription.isActive() {
		e.subscription.updateSource() // do not wait for the next check
	}
	if status.Version > e.state.version() {
		go e.configSync.fetch(h)
	}
}
