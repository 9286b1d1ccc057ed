package routerstandin

import "time"

// machineFault is something that the trial did to a machine of the fleet.
type machineFault struct {
	machine string // IP
	core    bool   // it serves control and has a disk
	planned bool   // a stop by SIGTERM
	at      time.Time
}

// RecordFault notes that the trial kills, starts or wipes a machine now. For a while after it the rules that
// have a time bound do not bind the machine, nor any machine if it is one of the core.
func (o *Observations) RecordFault(machine string, core bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = append(o.faults, machineFault{machine: machine, core: core, at: time.Now()})
	delete(o.observedVersions, machine) // what it followed is judged within one life of its process
}

// RecordTermination notes that the trial has sent SIGTERM to a machine.
func (o *Observations) RecordTermination(machine string, core bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = append(o.faults, machineFault{machine: machine, core: core, planned: true, at: time.Now()})
}

// RecordAllRestarted notes that all processes run again after all were lost.
func (o *Observations) RecordAllRestarted() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.allRestartedAt = time.Now()
}

// inTouch tells whether the rules with a time bound bind a machine in a span; the lock is held.
func (o *Observations) inTouch(machine string, from, to time.Time) bool {
	return !o.anyFault(from, to, func(t machineFault) bool { return t.core || t.machine == machine })
}

// coreStable tells whether nothing was done to the core in a span; the lock is held.
func (o *Observations) coreStable(from, to time.Time) bool {
	return !o.anyFault(from, to, func(t machineFault) bool { return t.core })
}

// anyFault looks at a span and at the touch bound before it.
func (o *Observations) anyFault(from, to time.Time, matters func(machineFault) bool) bool {
	from = from.Add(-o.bounds.Touch)
	for _, t := range o.faults {
		if !t.at.Before(from) && !t.at.After(to) && matters(t) {
			return true
		}
	}
	return false
}
