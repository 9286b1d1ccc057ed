package agent

import (
	"errors"
	"sync"
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

// hub is the link to one hub, with the goroutines that ping it and send it the records of this process.
type hub struct {
	ip   string
	link *transport.Link
	stop chan struct{} // ends the goroutines

	mu    sync.Mutex
	state hubState
}

// hubState is the last known state of a hub.
type hubState struct {
	id              string        // of the process that answers there
	replicatedTo    uint64        // offset of this process's directory up to which it has the records
	lastSeen        time.Duration // when it last answered a ping, 0 for never on this connection
	hasSnapshot     bool          // it is synced, so that its feed may be followed
	reachesMajority bool          // more than half of the members answer it
}

func (h *hub) close() {
	close(h.stop)
	h.link.Stop()
}

func (h *hub) current() hubState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

func (h *hub) record(status *peerproto.Status, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state.id != "" && h.state.id != status.ID {
		h.state.replicatedTo = 0 // another process, which has none of the records yet
	}
	h.state.id, h.state.lastSeen = status.ID, now
	h.state.hasSnapshot, h.state.reachesMajority = status.HasSnapshot, status.ReachesMajority
}

// isResponsive reports whether the hub has answered a ping within contactTimeout.
func (h *hub) isResponsive(now time.Duration) bool {
	lastSeen := h.current().lastSeen
	return lastSeen > 0 && now-lastSeen <= contactTimeout
}

// open opens the link to a hub and starts its goroutines; the lock is held.
func (s *hubSet) open(ip string) *hub {
	a := s.agent
	h := &hub{ip: ip, stop: make(chan struct{})}
	handle := func(frame peerproto.Frame) { s.handleFrame(h, frame) }
	up := make(chan struct{}, 1)
	h.link = a.endpoint.NewLink(a.peerAddress(ip), a.hello, handle, func(bool) {
		h.mu.Lock()
		h.state.replicatedTo, h.state.lastSeen = 0, 0
		h.mu.Unlock()
		select {
		case up <- struct{}{}:
		default:
		}
	})
	go s.runPings(h, up)
	go s.runPushes(h)
	return h
}

// runPings pings a hub until its link is closed. A ping carries the demand of this process, its answer the
// state of the hub.
func (s *hubSet) runPings(h *hub, up <-chan struct{}) {
	for {
		frame, err := h.link.Call(peerproto.KindPing, peerproto.Encode(s.agent.demand.own()), pingTimeout)
		switch {
		case err == nil:
			s.handleStatus(h, frame)
		case errors.Is(err, transport.ErrTimeout):
			h.link.Reset()
		}
		select {
		case <-h.stop:
			return
		case <-up:
		case <-time.After(s.untilPing()):
		}
	}
}

// untilPing returns the interval until the next ping.
func (s *hubSet) untilPing() time.Duration {
	a := s.agent
	established := a.subscription.isActive()
	if a.isHub() {
		established = a.quorum.reachesFleet()
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
func (s *hubSet) handleFrame(h *hub, frame peerproto.Frame) {
	switch frame.Kind {
	case peerproto.KindLoadReport:
		s.agent.load.handleReport(h, frame)
	case peerproto.KindFeed:
		var feed peerproto.Feed
		if decodeOrReset(h, frame.Body, &feed) {
			s.agent.subscription.handleFeed(h, &feed)
		}
	}
}

// handleStatus records the state of a hub that has answered a ping.
func (s *hubSet) handleStatus(h *hub, frame peerproto.Frame) {
	a := s.agent
	var status peerproto.Status
	if !decodeOrReset(h, frame.Body, &status) {
		return
	}
	now := a.now()
	h.record(&status, now)
	s.mu.Lock()
	s.lastContact = now
	s.mu.Unlock()
	s.learnView(&status)
	if !a.subscription.isActive() {
		a.subscription.updateSource() // at once, instead of with the next check
	}
	if status.Version > a.state.version() {
		go a.configSync.fetch(h)
	}
}
