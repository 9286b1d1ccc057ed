package routertrial

import (
	"context"
	"fmt"
	"slices"
	"time"

	"cresshub/internal/childprocess"
	"cresshub/internal/testbed/faultinject"
)

// running returns the machine's process, nil while none runs.
func (m *Machine) running() *childprocess.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process
}

// send sends a command to the process, where one runs. One that has just ended gets none.
func (m *Machine) send(format string, args ...any) {
	if process := m.running(); process != nil {
		_ = process.Send(fmt.Sprintf(format, args...))
	}
}

// setFaults has commands hold from now on, in place of those that held, for the next process too.
func (m *Machine) setFaults(commands []string) {
	m.mu.Lock()
	m.faults = commands
	process := m.process
	m.mu.Unlock()
	if process == nil {
		return
	}
	replaceFaults(process, commands)
}

// replaceFaults has a process obey commands in place of all that it obeyed.
func replaceFaults(process *childprocess.Process, commands []string) {
	healed := []string{faultinject.CommandHear, diskCommand(faultinject.DiskOK)}
	for _, command := range append(healed, commands...) {
		_ = process.Send(command)
	}
}

// correctFaults tells a process that has just started what has changed since it was given its faults: nobody
// could tell it before.
func (m *Machine) correctFaults(process *childprocess.Process, given []string) {
	if current := m.currentFaults(); m.fleet.options.Faulty && !slices.Equal(given, current) {
		replaceFaults(process, current)
	}
}

func diskCommand(mode faultinject.DiskMode) string {
	return faultinject.CommandDisk + " " + string(mode)
}

// currentFaults returns the commands that the next process is to obey from its start.
func (m *Machine) currentFaults() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	commands := slices.Clone(m.faults)
	if m.endsItself != "" {
		commands = append(commands, m.endsItself)
	}
	return commands
}

// StartToEnd starts a process that kills itself at the numbered point, which may lie before it listens, and
// kills it where it does not get there.
func (m *Machine) StartToEnd(ctx context.Context, point int, patience time.Duration) (ended bool) {
	m.setEndsItself(fmt.Sprintf("%s %d", faultinject.CommandEnd, point))
	defer m.setEndsItself("")
	if m.Start(ctx, false) != nil {
		return true
	}
	process := m.running()
	return m.awaitOwnEnd(ctx, process, patience)
}

// setEndsItself has the next process obey a command by which it ends itself, "" for none.
func (m *Machine) setEndsItself(command string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endsItself = command
}

// EndAtPoint has the process kill itself at the numbered point, and kills it where it does not get there.
func (m *Machine) EndAtPoint(ctx context.Context, point int, patience time.Duration) (ended bool) {
	process := m.running()
	if process == nil {
		return false
	}
	m.mu.Lock()
	m.ending = true
	m.mu.Unlock()
	m.fleet.Observations.Troubled(m.IP, m.HasDisk)
	m.send("%s %d", faultinject.CommandEnd, point)
	return m.awaitOwnEnd(ctx, process, patience)
}

// keepTroubled notes that a machine is in trouble until ctx ends.
func (f *Fleet) keepTroubled(ctx context.Context, machines ...*Machine) {
	for {
		for _, m := range machines {
			f.Observations.Troubled(m.IP, m.HasDisk)
		}
		if !sleepFor(ctx, troubleInterval) {
			return
		}
	}
}

// troubleInterval is how often a trouble that goes on is noted.
const troubleInterval = 200 * time.Millisecond

// awaitOwnEnd waits until the process has ended by itself, kills it where it does not, and tells which.
func (m *Machine) awaitOwnEnd(ctx context.Context, process *childprocess.Process,
	patience time.Duration) bool {
	bounded, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	defer m.Kill()
	select {
	case <-process.Ended():
		return true
	case <-bounded.Done():
		return false
	}
}
