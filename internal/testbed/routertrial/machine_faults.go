package routertrial

import (
	"context"
	"fmt"
	"slices"
	"time"

	"cresshub/internal/childprocess"
	"cresshub/internal/testbed/faultinject"
	"cresshub/internal/testbed/routerstandin"
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

// setFaults replaces the commands in force, for this process and the next.
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

// replaceFaults heals all faults of a process and sends it commands.
func replaceFaults(process *childprocess.Process, commands []string) {
	healed := []string{faultinject.CommandHeal, diskCommand(faultinject.DiskOK)}
	for _, command := range append(healed, commands...) {
		_ = process.Send(command)
	}
}

// updateFaults sends a process that has just started the faults that changed since its command line was
// built; it could not be reached before.
func (m *Machine) updateFaults(process *childprocess.Process, given []string) {
	if current := m.currentFaults(); m.fleet.options.FaultInjection && !slices.Equal(given, current) {
		replaceFaults(process, current)
	}
}

func diskCommand(mode faultinject.DiskMode) string {
	return faultinject.CommandDisk + " " + string(mode)
}

// currentFaults returns the commands that the next process obeys from its start.
func (m *Machine) currentFaults() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	commands := slices.Clone(m.faults)
	if m.exitCommand != "" {
		commands = append(commands, m.exitCommand)
	}
	return commands
}

// StartUntilPoint starts a process that kills itself at the numbered point, which may lie before it listens,
// and kills it where it does not get there.
func (m *Machine) StartUntilPoint(ctx context.Context, point int, timeout time.Duration) (exited bool) {
	m.setExitCommand(fmt.Sprintf("%s %d", faultinject.CommandEnd, point))
	defer m.setExitCommand("")
	if m.Start(ctx, false) != nil {
		return true
	}
	process := m.running()
	return m.awaitExit(ctx, process, timeout)
}

// setExitCommand sets the command by which the next process kills itself, "" for none.
func (m *Machine) setExitCommand(command string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.exitCommand = command
}

// ExitAtPoint has the process kill itself at the numbered point, and kills it where it does not get there.
func (m *Machine) ExitAtPoint(ctx context.Context, point int, timeout time.Duration) (exited bool) {
	process := m.running()
	if process == nil {
		return false
	}
	m.mu.Lock()
	m.exitExpected = true
	m.mu.Unlock()
	m.fleet.Observations.RecordFault(m.IP, m.HasDisk)
	m.send("%s %d", faultinject.CommandEnd, point)
	return m.awaitExit(ctx, process, timeout)
}

// recordFaultUntil records again and again that machines are faulty, until ctx ends.
func (f *Fleet) recordFaultUntil(ctx context.Context, machines ...*Machine) {
	for {
		for _, m := range machines {
			f.Observations.RecordFault(m.IP, m.HasDisk)
		}
		if !routerstandin.Sleep(ctx, faultRecordInterval) {
			return
		}
	}
}

// faultRecordInterval is how often a lasting fault is recorded.
const faultRecordInterval = 200 * time.Millisecond

// awaitExit waits until the process has ended by itself, kills it after the timeout, and reports whether it
// had ended.
func (m *Machine) awaitExit(ctx context.Context, process *childprocess.Process,
	timeout time.Duration) bool {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	defer m.Kill()
	select {
	case <-process.Ended():
		return true
	case <-bounded.Done():
		return false
	}
}
