package agent

import "cresshub/internal/router/directory"

// mergeRemote merges records of another process, and refutes them if they say that this one is lost.
func (a *Agent) mergeRemote(records []directory.Record) {
	if len(records) == 0 {
		return
	}
	a.state.merge(a.now(), records)
	a.refute()
}

// refute announces this process again if its record says that it is lost, as in SWIM.
func (a *Agent) refute() {
	var isLost bool
	a.state.read(func(d *directory.Directory) {
		known := d.Get(a.id)
		isLost = known != nil && known.State == directory.Lost
	})
	if isLost {
		a.announceSelf(func(*directory.Record) {})
	}
}

// announceSelf changes this process's own record, gives it the next sequence number and merges it into the
// directory, from where it is replicated to the hubs.
func (a *Agent) announceSelf(change func(*directory.Record)) {
	a.selfMu.Lock()
	defer a.selfMu.Unlock()
	a.state.read(func(d *directory.Directory) {
		if known := d.Get(a.id); known != nil {
			a.self.Sequence = max(a.self.Sequence, known.Sequence)
		}
	})
	a.self.Sequence++
	change(&a.self)
	a.state.merge(a.now(), []directory.Record{a.self})
}
