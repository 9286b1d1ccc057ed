package routerstandin

import "time"

// machineFault is something that the trial did to a machine of the fleet.
type machineFault struct {
	machine string // IP
	replica bool   // it has a disk, and with it a replica of the control state
	planned plannedWork
	at      time.Time
}

// plannedWork is what an operator does to a machine without a fault.
type plannedWork int

const (
	notPlanned         plannedWork = iota
	plannedTermination             // SIGTERM
	plannedReload                  // SIGHUP
)

// RecordFault records that the trial kills, starts, stops, wipes or partitions a machine now. Until the bound
// Touch has passed, the rules with a time bound do not apply to the machine, and to no machine at all if it
// holds a replica of the control state.
func (o *Observations) RecordFault(machine string, replica bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = append(o.faults, machineFault{machine: machine, replica: replica, at: time.Now()})
	delete(o.observedVersions, machine) // judged within one incarnation of the process
}

// RecordTermination records that the trial has sent SIGTERM to a machine.
func (o *Observations) RecordTermination(machine string, replica bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = append(o.faults, machineFault{machine: machine, replica: replica, planned: plannedTermination,
		at: time.Now()})
}

// RecordReload records that the trial is about to send SIGHUP to a machine. That excuses nothing.
func (o *Observations) RecordReload(machine string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = append(o.faults, machineFault{machine: machine, planned: plannedReload, at: time.Now()})
}

// RecordAllRestarted records that all processes run again after all were lost.
func (o *Observations) RecordAllRestarted() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.allRestartedAt = time.Now()
}

// inTouch reports whether the rules with a time bound apply to a machine in an interval: whether no fault of
// its own or of a replica came in it or within the bound Touch before it; the lock is held.
func (o *Observations) inTouch(machine string, from, to time.Time) bool {
	return !o.anyFault(from, to, func(fault machineFault) bool {
		return fault.planned != plannedReload && (fault.replica || fault.machine == machine)
	})
}

// replicasStable reports whether no fault of a replica came in an interval or within the bound Touch before
// it; the lock is held.
func (o *Observations) replicasStable(from, to time.Time) bool {
	return !o.anyFault(from, to, func(fault machineFault) bool { return fault.replica })
}

// anyFault reports whether a fault that matters came in an interval or within the bound Touch before it; the
// lock is held.
func (o *Observations) anyFault(from, to time.Time, matters func(machineFault) bool) bool {
	from = from.Add(-o.bounds.Touch)
	for _, fault := range o.faults {
		if !fault.at.Before(from) && !fault.at.After(to) && matters(fault) {
			return true
		}
	}
	return false
}
