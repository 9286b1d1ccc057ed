package agent

import (
	"sync"
	"time"

	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/transport"
)

const (
	pingInterval = 400 * time.Millisecond
	// eagerPingInterval is the same while this process waits for an answer to take its part.
	eagerPingInterval = 100 * time.Millisecond
	pingTimeout       = time.Second
)

// hub is the link to one hub.
type hub struct {
	ip   string
	link *transport.Link
	stop chan struct{}

	mu    sync.Mutex
	state hubState
}

// hubState is what is known of a hub.
type hubState struct {
	id              string        // of the process that answers there
	replicatedTo    uint64        // the place up to which it has the records of this process
	lastSeen        time.Duration // when it last answered a ping, 0 since the connection opened
	hasSnapshot     bool          // it may be followed
	reachesMajority bool          // more than half of the members answer it
}

func (h *hub) current() hubState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

// isResponsive tells whether the hub has answered lately.
func (h *hub) isResponsive(now time.Duration) bool {
	lastSeen := h.current().lastSeen
	return lastSeen > 0 && now-lastSeen <= contactTimeout
}

func (n *Node) newHub(ip string) *hub {
	h := &hub{ip: ip, stop: make(chan struct{})}
	hello := func() []byte { return peerproto.Encode(&peerproto.Hello{ID: n.id}) }
	handle := func(frame peerproto.Frame) { n.handleHubFrame(h, frame) }
	up := make(chan struct{}, 1)
	h.link = n.endpoint.NewLink(n.peerAddress(ip), hello, handle, func(isUp bool) {
		h.mu.Lock()
		h.state.replicatedTo, h.state.lastSeen = 0, 0
		h.mu.Unlock()
		select {
		case up <- struct{}{}:
		default:
		}
	})
	go n.pingHub(h, up)
	go n.pushToHub(h)
	return h
}

// pingHub keeps the link known to be alive and learns from the answers.
func (n *Node) pingHub(h *hub, up <-chan struct{}) {
	for {
		frame, err := h.link.Call(peerproto.KindPing, peerproto.Encode(n.demand.own()), pingTimeout)
		switch err {
		case nil:
			n.handleStatus(h, frame)
		case transport.ErrTimeout:
			h.link.Reset()
		}
		select {
		case <-h.stop:
			return
		case <-up:
		case <-time.After(n.untilPing()):
		}
	}
}

// untilPing is the pause before the next ping: a short one while this process follows nobody, or is a member
// that does not reach a majority.
func (n *Node) untilPing() time.Duration {
	established := n.isSubscribed()
	if n.isHub() {
		established = n.reachesFleet()
	}
	if established {
		return pingInterval
	}
	return eagerPingInterval
}

func (n *Node) handleStatus(h *hub, frame peerproto.Frame) {
	var status peerproto.Status
	if peerproto.Decode(frame.Body, &status) != nil {
		h.link.Reset()
		return
	}
	now := n.now()
	h.mu.Lock()
	if h.state.id != "" && h.state.id != status.ID {
		h.state.replicatedTo = 0 // another process: it knows nothing yet
	}
	h.state.id, h.state.lastSeen = status.ID, now
	h.state.hasSnapshot, h.state.reachesMajority = status.HasSnapshot, status.ReachesMajority
	h.mu.Unlock()
	n.hubsMu.Lock()
	n.lastHubContact = now
	n.hubsMu.Unlock()
	n.learnStatusView(&status)
	if !n.isSubscribed() {
		n.updateSource() // need not wait for its turn
	}
	if status.Version > n.state.version() {
		go n.fetchConfig(h)
	}
}
