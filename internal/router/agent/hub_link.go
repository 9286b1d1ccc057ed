package agent

import (
	"sync"
	"time"

	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/transport"
)

// hub is the link to one hub. Its goroutines ping the hub and replicate this process's records to it.
type hub struct {
	ip   string
	link *transport.Link
	stop chan struct{} // ends the goroutines

	mu    sync.Mutex
	state hubState
}

// hubState is the last known state of a hub.
type hubState struct {
	id               string        // of the process that answers there
	replicatedOffset uint64        // offset of this process's directory up to which the hub has its records
	lastSeen         time.Duration // when it last answered a ping, 0 for never on this connection
	hasSnapshot      bool          // the hub is synced, so that its feed may be followed
	reachesMajority  bool          // more than half of the members of the view answer the hub
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

// recordStatus records the status with which the hub has answered a ping.
func (h *hub) recordStatus(status *peerproto.Status, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state.id != "" && h.state.id != status.ID {
		h.state.replicatedOffset = 0 // a new process, which has none of the records yet
	}
	h.state.id, h.state.lastSeen = status.ID, now
	h.state.hasSnapshot, h.state.reachesMajority = status.HasSnapshot, status.ReachesMajority
}

// resetConnectionState resets the state that holds only for one connection, when it has opened or ended.
func (h *hub) resetConnectionState() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.replicatedOffset, h.state.lastSeen = 0, 0
}

// isResponsive reports whether the hub has answered a ping within contactTimeout.
func (h *hub) isResponsive(now time.Duration) bool {
	lastSeen := h.current().lastSeen
	return lastSeen > 0 && now-lastSeen <= contactTimeout
}
