package routertrial

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"cresshub/internal/childprocess"
	"cresshub/internal/router/agentsettings"
	"cresshub/internal/testbed/routerstandin"
)

const (
	// startTimeout bounds how long a process may take until it listens.
	startTimeout = 15 * time.Second
	// unreadyWithin is how long after SIGTERM a process that runs on may still be given clients.
	unreadyWithin = 4 * time.Second
)

// Machine is a machine of the fleet: a loopback IP, a folder, and a process of the router.
type Machine struct {
	Name    string
	IP      string
	Zone    string
	HasDisk bool
	Front   string // addresses of its process
	Ready   string
	Control string

	fleet *Fleet
	dir   string

	mu           sync.Mutex
	process      *childprocess.Process // nil while none runs
	exitExpected bool                  // the trial ends the process, so its exit is no violation
	faults       []string              // commands in force now, for the next process too
	// exitCommand is the command by which the next process kills itself, "" for none.
	exitCommand string
}

func (m *Machine) dataDir() string { return filepath.Join(m.dir, "data") }

func (m *Machine) settingsPath() string { return filepath.Join(m.dir, "settings.json") }

// Start starts the machine's process and waits until it listens. Only the first start of the whole fleet is a
// first start.
func (m *Machine) Start(ctx context.Context, firstStart bool) error {
	if err := m.writeSettings(firstStart); err != nil {
		return fmt.Errorf("preparing %s: %w; check the room in %s", m.Name, err, os.TempDir())
	}
	bounded, cancel := m.fleet.stalls.WithTimeout(ctx, startTimeout)
	defer cancel()
	m.fleet.Observations.RecordFault(m.IP, m.HasDisk)
	given := m.currentFaults()
	process, err := childprocess.Run(bounded, m.command(given))
	if err != nil {
		return fmt.Errorf("starting %s at %s: %w", m.Name, m.IP, err)
	}
	m.mu.Lock()
	m.process, m.exitExpected = process, m.exitCommand != ""
	m.mu.Unlock()
	go m.watch(process)
	m.updateFaults(process, given)
	return nil
}

// faultyLogBuffer is the buffer of the pipe that takes the log of a process with fault injection, in bytes.
const faultyLogBuffer = 4096

// command returns how to start the machine's process, with commands of faults that it obeys from its start.
func (m *Machine) command(faults []string) childprocess.Command {
	options := &m.fleet.options
	command := childprocess.Command{
		Path: options.Program, Args: []string{"router"}, Ready: `: started"`,
		Env: []string{agentsettings.PathVariable + "=" + m.settingsPath()}, Log: m.fleet.logOf(m.Name),
	}
	if options.FaultInjection {
		command.Args, command.Input, command.LogBuffer = []string{"faulty-router"}, true, faultyLogBuffer
		for _, fault := range faults {
			command.Args = append(command.Args, "--fault", fault)
		}
	}
	if options.LogLevel != "" {
		command.Args = append(command.Args, "--log-level", options.LogLevel)
	}
	return command
}

func (m *Machine) writeSettings(firstStart bool) error {
	if err := os.MkdirAll(m.dataDir(), 0o700); err != nil {
		return err
	}
	settings, err := m.settingsFile(firstStart)
	if err != nil {
		return err
	}
	return os.WriteFile(m.settingsPath(), settings, 0o600)
}

// watch records a process that exits unexpectedly.
func (m *Machine) watch(process *childprocess.Process) {
	<-process.Ended()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == process && !m.exitExpected {
		m.fleet.Observations.RecordViolation(routerstandin.RuleFault,
			"the process of %s ended by itself; the end of its log: %s",
			m.Name, process.Tail())
	}
}

// releaseProcess returns the process, whose exit is expected from now on, and leaves the machine without one.
func (m *Machine) releaseProcess() *childprocess.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.exitExpected = true
	process := m.process
	m.process = nil
	return process
}

// Kill ends the process with SIGKILL.
func (m *Machine) Kill() {
	if process := m.releaseProcess(); process != nil {
		m.fleet.Observations.RecordFault(m.IP, m.HasDisk)
		process.Kill()
	}
}

// Terminate ends the process with SIGTERM, and reports one that does not end within the grace or ends badly.
// The end of ctx kills it.
func (m *Machine) Terminate(ctx context.Context) {
	process := m.releaseProcess()
	if process == nil {
		return
	}
	m.fleet.Observations.RecordTermination(m.IP, m.HasDisk)
	stopWatching := context.AfterFunc(ctx, process.Kill)
	defer stopWatching()
	readiness := time.AfterFunc(unreadyWithin, func() { m.checkUnready(process) })
	defer readiness.Stop()
	if err := process.Stop(bounds.Grace); err != nil && ctx.Err() == nil {
		m.fleet.Observations.RecordViolation(routerstandin.RuleFault, "%s after SIGTERM: %v", m.Name, err)
	}
}

// checkUnready records a violation if the entry still gives clients to a process that got SIGTERM
// unreadyWithin ago and has not ended.
func (m *Machine) checkUnready(process *childprocess.Process) {
	select {
	case <-process.Ended():
		return
	default:
	}
	if m.fleet.Entry != nil && slices.Contains(m.fleet.Entry.Ready(), m.proxy()) {
		m.fleet.Observations.RecordViolation(routerstandin.RuleDrain, "%s gets clients %v after SIGTERM", m.Name,
			unreadyWithin)
	}
}

// Reload sends SIGHUP to the process, so that it reads its settings again.
func (m *Machine) Reload() {
	if process := m.running(); process != nil {
		m.fleet.Observations.RecordReload(m.IP)
		_ = process.Signal(syscall.SIGHUP) // fails only where the process has just ended
	}
}

// Freeze stops the process (SIGSTOP) for a while.
func (m *Machine) Freeze(ctx context.Context, d time.Duration) {
	m.mu.Lock()
	process := m.process
	m.mu.Unlock()
	if process == nil {
		return
	}
	m.fleet.Observations.RecordFault(m.IP, m.HasDisk)
	_ = process.Signal(syscall.SIGSTOP) // fails only where the process has just ended
	routerstandin.Sleep(ctx, d)
	_ = process.Signal(syscall.SIGCONT)
	m.fleet.Observations.RecordFault(m.IP, m.HasDisk)
}

// Wipe empties the disk of a machine whose process does not run.
func (m *Machine) Wipe() error { return os.RemoveAll(m.dataDir()) }
