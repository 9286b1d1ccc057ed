package agent

import (
	"errors"
	"time"

	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/transport"
)

const (
	pingInterval = 400 * time.Millisecond
	// eagerPingInterval is the interval while this process follows no hub, or is a hub without a majority.
	eagerPingInterval = 100 * time.Millisecond
	pingTimeout       = time.Second
)

// hubExchange is what this process and a hub exchange on the link between them: pings with the demand of this
// process, answered by the state of the hub; the records of this process (hub_replication.go); and what the
// hub sends unasked. It has no state of its own. The goroutines of each link run its methods.
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

// runPings pings a hub until its link is closed. A ping carries the demand of this process, its answer the
// state of the hub. It is sent at once whenever the connection has opened or ended.
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

// untilPing returns the interval until the next ping.
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

// decodeOrReset decodes a message of a hub. A connection that carries a malformed one is reset.
func decodeOrReset(h *hub, body []byte, message peerproto.Message) bool {
	if peerproto.Decode(body, message) != nil {
		h.link.Reset()
		return false
	}
	return true
}

// handleFrame handles a frame of a hub that answers no call: a message of the feed, or a load report.
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

// handleStatus records the state of a hub that has answered a ping.
func (e *hubExchange) handleStatus(h *hub, frame peerproto.Frame) {
	var status peerproto.Status
	if !decodeOrReset(h, frame.Body, &status) {
		return
	}
	now := e.now()
	h.record(&status, now)
	e.hubs.recordAnswer(now)
	e.hubs.learnView(&status)
	if !e.subscription.isActive() {
		e.subscription.updateSource() // at once, instead of with the next check
	}
	if status.Version > e.state.version() {
		go e.configSync.fetch(h)
	}
}
