package agent

import (
	"sync"

	"cresshub/internal/router/directory"
)

// selfRecord is this process's own record, which only this process may change: it announces changes under
// higher sequence numbers, and refutes that it is lost. Its methods are safe for concurrent use. The lock may
// be taken after that of the subscription and before that of the state. It orders the announcements, so it is
// held until the record is in the directory.
type selfRecord struct {
	*process
	state *state

	mu     sync.Mutex
	record directory.Record
}

func newSelfRecord(p *process, state *state) *selfRecord {
	return &selfRecord{process: p, state: state, record: directory.Record{
		Kind: directory.KindProxy, ID: p.id, State: directory.Ready, Address: p.settings.IP,
		Zone: p.settings.Zone, Name: p.settings.Name, Control: p.settings.Control,
	}}
}

// mergeRemote merges records of another process, and refutes them if they say that this one is lost.
func (r *selfRecord) mergeRemote(records []directory.Record) {
	if len(records) == 0 {
		return
	}
	r.state.merge(r.now(), records)
	r.refute()
}

// refute announces this process again if its record says that it is lost, as in SWIM.
func (r *selfRecord) refute() {
	var isLost bool
	r.state.read(func(d *directory.Directory) {
		known := d.Get(r.id)
		isLost = known != nil && known.State == directory.Lost
	})
	if isLost {
		r.announce(func(*directory.Record) {})
	}
}

// announce changes this process's own record, gives it the next sequence number and merges it into the
// directory, from where it is replicated to the hubs.
func (r *selfRecord) announce(change func(*directory.Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.read(func(d *directory.Directory) {
		if known := d.Get(r.id); known != nil {
			r.record.Sequence = max(r.record.Sequence, known.Sequence)
		}
	})
	r.record.Sequence++
	change(&r.record)
	r.state.merge(r.now(), []directory.Record{r.record})
}
