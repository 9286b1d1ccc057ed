package routerstandin

import "time"

// trouble is something that the trial did to a machine of the fleet.
type trouble struct {
	machine string // IP
	core    bool   // it serves control and has a disk
	planned bool   // a stop by SIGTERM
	at      time.Time
}

// Troubled notes that the trial kills, starts or wipes a machine now. For a while after it the rules that
// have a time bound do not bind the machine, nor any machine if it is one of the core.
func (o *Observations) Troubled(machine string, core bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.troubles = append(o.troubles, trouble{machine: machine, core: core, at: time.Now()})
	delete(o.effects, machine) // what it followed is judged within one life of its process
}

// Terminated notes that the trial has sent SIGTERM to a machine.
func (o *Observations) Terminated(machine string, core bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.troubles = append(o.troubles, trouble{machine: machine, core: core, planned: true, at: time.Now()})
}

// AllBack notes that all processes run again after all were lost.
func (o *Observations) AllBack() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.backAt = time.Now()
}

// inTouch tells whether the rules with a time bound bind a machine in a span; the lock is held.
func (o *Observations) inTouch(machine string, from, to time.Time) bool {
	return !o.anyTrouble(from, to, func(t trouble) bool { return t.core || t.machine == machine })
}

// coreStable tells whether nothing was done to the core in a span; the lock is held.
func (o *Observations) coreStable(from, to time.Time) bool {
	return !o.anyTrouble(from, to, func(t trouble) bool { return t.core })
}

// anyTrouble looks at a span and at the touch bound before it.
func (o *Observations) anyTrouble(from, to time.Time, matters func(trouble) bool) bool {
	from = from.Add(-o.bounds.Touch)
	for _, t := range o.troubles {
		if !t.at.Before(from) && !t.at.After(to) && matters(t) {
			return true
		}
	}
	return false
}
