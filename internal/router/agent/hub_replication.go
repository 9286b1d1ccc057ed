package agent

import (
	"time"

	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
)

const (
	// pushTimeout bounds one call that sends records to a hub.
	pushTimeout = time.Second
	// pushRetryInterval is the interval of attempts until a hub has the records.
	pushRetryInterval = pingInterval / 8
)

// runPushes replicates the records that this process answers for to a hub whenever they change, until the
// link is closed.
func (e *hubExchange) runPushes(h *hub) {
	for {
		changed := e.state.changed.next()
		if e.pushOnce(h) {
			select {
			case <-h.stop:
				return
			case <-changed:
			case <-time.After(pingInterval): // the connection may be a new one, on which nothing was sent
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

// pushOnce sends the records of this process that the hub lacks, and reports whether it then has all.
func (e *hubExchange) pushOnce(h *hub) bool {
	replicatedTo := h.current().replicatedTo
	var records []directory.Record
	var offset uint64
	e.state.read(func(d *directory.Directory) {
		offset = d.Offset()
		for _, r := range d.Since(replicatedTo) {
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
	if h.state.replicatedTo == replicatedTo { // else the connection was reopened meanwhile
		h.state.replicatedTo = max(offset, 1)
	}
	complete := h.state.replicatedTo >= offset
	h.mu.Unlock()
	e.quorum.replicated.notify()
	return complete
}
