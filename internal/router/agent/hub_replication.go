package agent

import (
	"time"

	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
)

const (
	// pushTimeout bounds one call that sends records to a hub.
	pushTimeout = time.Second
	// pushRetryInterval is the interval between attempts until a hub has all records.
	pushRetryInterval = pingInterval / 8
)

// runPushes replicates the records that this process is responsible for to a hub whenever they change, until
// the link is closed. These are its own record and those of the processes whose watcher it is.
func (e *hubExchange) runPushes(h *hub) {
	for {
		changed := e.state.changed.next()
		if e.pushOnce(h) {
			select {
			case <-h.stop:
				return
			case <-changed:
			case <-time.After(pingInterval): // the connection may be new, which resets replicatedOffset
			}
			continue
		}
		select {
		case <-h.stop:
			return
		case <-time.After(pushRetryInterval):
		}
	}
}

// pushOnce sends a hub the records of this process that it lacks, and reports whether it then has all of
// them.
func (e *hubExchange) pushOnce(h *hub) bool {
	replicatedOffset := h.current().replicatedOffset
	var records []directory.Record
	var offset uint64
	e.state.read(func(d *directory.Directory) {
		offset = d.Offset()
		for _, r := range d.Since(replicatedOffset) {
			if r.ID == e.id || r.Watcher == e.id {
				records = append(records, *r)
			}
		}
	})
	if !h.link.Connected() {
		return false
	}
	if len(records) > 0 {
		body := peerproto.Encode(&peerproto.Records{Records: records})
		if _, err := h.link.Call(peerproto.KindUpsert, body, pushTimeout); err != nil {
			return false
		}
	}
	h.mu.Lock()
	if h.state.replicatedOffset == replicatedOffset { // otherwise the connection or its peer changed
		h.state.replicatedOffset = max(offset, 1)
	}
	complete := h.state.replicatedOffset >= offset
	h.mu.Unlock()
	e.quorum.replicated.notify()
	return complete
}
