package agent

import (
	"sync"

	"cresshub/internal/router/directory"
)

// selfRecord is this process's own record. Other processes may only mark it lost; all other changes are made
// here. It announces them under increasing sequence numbers, and refutes that this process is lost. Its
// methods are safe for concurrent use. The lock may be taken after that of the subscription and before that
// of the state. It serializes the announcements, so it is held until the record is in the directory.
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

// mergeRemote merges records from another process, and refutes that this process is lost if they say so.
func (r *selfRecord) mergeRemote(records []directory.Record) {
	if len(records) == 0 {
		return
	}
	r.state.merge(r.now(), records)
	r.refute()
}

// refute announces this process again, under a higher sequence number, if its record in the directory is
// marked lost, as in SWIM.
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

// announce applies a change to this process's own record, increments its sequence number and merges it into
// the directory, from where it is replicated to the hubs.
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
