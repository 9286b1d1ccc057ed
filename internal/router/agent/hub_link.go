package agent

import (
	"sync"
	"time"

	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/transport"
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

// forgetConnection forgets what was known of the hub over the last connection.
func (h *hub) forgetConnection() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.replicatedTo, h.state.lastSeen = 0, 0
}

// isResponsive reports whether the hub has answered a ping within contactTimeout.
func (h *hub) isResponsive(now time.Duration) bool {
	lastSeen := h.current().lastSeen
	return lastSeen > 0 && now-lastSeen <= contactTimeout
}
