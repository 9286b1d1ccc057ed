package routerstandin

import "time"

// machineFault is something that the trial did to a machine of the fleet.
type machineFault struct {
	machine string // IP
	core    bool   // it has a disk, and a replica of the control state
	planned bool   // a stop by SIGTERM
	at      time.Time
}

// RecordFault records that the trial kills, starts or wipes a machine now. For the touch bound after it the
// rules with a time bound do not apply to the machine, nor to any machine if it is one of the core.
func (o *Observations) RecordFault(machine string, core bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = append(o.faults, machineFault{machine: machine, core: core, at: time.Now()})
	delete(o.observedVersions, machine) // judged within one incarnation of the process
}

// RecordTermination records that the trial has sent SIGTERM to a machine.
func (o *Observations) RecordTermination(machine string, core bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = append(o.faults, machineFault{machine: machine, core: core, planned: true, at: time.Now()})
}

// RecordAllRestarted records that all processes run again after all were lost.
func (o *Observations) RecordAllRestarted() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.allRestartedAt = time.Now()
}

// inTouch reports whether the rules with a time bound apply to a machine in an interval, that is whether no
// fault of its own or of the core came in it or shortly before; the lock is held.
func (o *Observations) inTouch(machine string, from, to time.Time) bool {
	return !o.anyFault(from, to, func(t machineFault) bool { return t.core || t.machine == machine })
}

// coreStable reports whether nothing was done to the core in an interval; the lock is held.
func (o *Observations) coreStable(from, to time.Time) bool {
	return !o.anyFault(from, to, func(t machineFault) bool { return t.core })
}

// anyFault reports whether a fault that matters came in an interval, extended by the touch bound before it;
// the lock is held.
func (o *Observations) anyFault(from, to time.Time, matters func(machineFault) bool) bool {
	from = from.Add(-o.bounds.Touch)
	for _, t := range o.faults {
		if !t.at.Before(from) && !t.at.After(to) && matters(t) {
			return true
		}
	}
	return false
}
