package agent

import (
	"time"

	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
)

// pushTimeout bounds one call that hands records over.
const pushTimeout = time.Second

// pushToHub sends the records that this process answers for whenever they change, until the hub has them.
func (a *Agent) pushToHub(h *hub) {
	for {
		changed := a.state.nextChange()
		if a.pushOnce(h) {
			select {
			case <-h.stop:
				return
			case <-changed:
			case <-time.After(pingInterval): // the connection may be a new one
			}
			continue
		}
		select {
		case <-h.stop:
			return
		case <-time.After(pingInterval / 8):
		}
	}
}

// pushOnce tells whether the hub has all records of this process.
func (a *Agent) pushOnce(h *hub) bool {
	replicatedTo := h.current().replicatedTo
	var records []directory.Record
	var number uint64
	a.state.read(func(d *directory.Directory) {
		number = d.Offset()
		for _, r := range d.Since(replicatedTo) {
			if r.ID == a.id || r.Watcher == a.id {
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
	if h.state.replicatedTo == replicatedTo { // else the connection was opened anew meanwhile
		h.state.replicatedTo = max(number, 1)
	}
	complete := h.state.replicatedTo >= number
	h.mu.Unlock()
	a.notifyReplicated()
	return complete
}
