package routertrial

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"cresshub/internal/testbed/routerstandin"
)

// The faults of a trial, by the words of the flag --trouble.
const (
	FaultKill           = "kill"   // a machine with a disk is killed and comes back
	FaultWipe           = "wipe"   // a machine with a disk is killed and comes back with an empty disk
	FaultDrain          = "drain"  // servers shut down gracefully and others start
	FaultRollingRestart = "roll"   // the machines are stopped with SIGTERM and started in turn
	FaultCrash          = "crash"  // servers crash, and others start at their addresses
	FaultKillAll        = "herd"   // all machines are killed at the same moment and come back
	FaultFreeze         = "freeze" // a machine with a disk and one without are stopped (SIGSTOP) for a while
	// FaultTurnover is the loss of all processes after the seeds in the settings files were replaced by machines
	// without a disk, which know nothing of the fleet when they come back.
	FaultTurnover = "turnover"
)

// Faults lists all of them.
var Faults = []string{FaultKill, FaultWipe, FaultDrain, FaultRollingRestart, FaultCrash, FaultKillAll,
	FaultFreeze, FaultTurnover}

const (
	// downTime is how long a machine or server is down.
	downTime = time.Second
	// workTimeout bounds the wait until a server works on a request that must run once, and workInterval is how
	// often that is checked.
	workTimeout  = 2 * time.Second
	workInterval = time.Millisecond
	// freezeTime is how long a machine is stopped.
	freezeTime = 2500 * time.Millisecond
	// killAllDownTime is how long all machines are down after the loss of all processes.
	killAllDownTime = 300 * time.Millisecond
)

// UnknownFaultError reports a word that names no fault.
type UnknownFaultError struct{ Word string }

func (e *UnknownFaultError) Error() string {
	return fmt.Sprintf("%q is no fault; name one of %s", e.Word, strings.Join(Faults, ", "))
}

// CheckFault returns an *UnknownFaultError for a word that names no fault; "" stands for none.
func CheckFault(word string) error {
	if word != "" && !slices.Contains(Faults, word) {
		return &UnknownFaultError{word}
	}
	return nil
}

// InjectFault injects a fault and returns when the fleet has recovered from it.
func (f *Fleet) InjectFault(ctx context.Context, word string) error {
	switch word {
	case FaultKill:
		return f.killMachine(ctx, f.WithDisk(true)[0], false)
	case FaultWipe:
		return f.killMachine(ctx, f.WithDisk(true)[1], true)
	case FaultDrain:
		return f.drainServers(ctx)
	case FaultRollingRestart:
		return f.rollingRestart(ctx)
	case FaultCrash:
		return f.crashServers(ctx)
	case FaultKillAll:
		return f.killAll(ctx)
	case FaultFreeze:
		return f.freezeMachines(ctx, f.WithDisk(true)[0], f.WithDisk(false)[0])
	case FaultTurnover:
		return f.turnOverSeeds(ctx)
	}
	return CheckFault(word)
}

// killMachine kills a machine, wipes its disk if so wanted, and restarts it.
func (f *Fleet) killMachine(ctx context.Context, m *Machine, wipe bool) error {
	f.logEvent("%s is killed", m.Name)
	m.Kill()
	if !routerstandin.Sleep(ctx, downTime) {
		return ctx.Err()
	}
	if wipe {
		f.logEvent("%s loses its disk", m.Name)
		if err := m.Wipe(); err != nil {
			return err
		}
	}
	return f.restartMachine(ctx, m)
}

func (f *Fleet) restartMachine(ctx context.Context, m *Machine) error {
	if err := m.Start(ctx, false); err != nil {
		return err
	}
	f.logEvent("%s runs again", m.Name)
	if err := f.AwaitMachine(ctx, m); err != nil {
		return err
	}
	f.logEvent("%s is ready", m.Name)
	return nil
}

// rollingRestart terminates and restarts every machine in turn. A machine with a disk counts as lost until it
// has caught up, and no other one may be terminated meanwhile.
func (f *Fleet) rollingRestart(ctx context.Context) error {
	for _, m := range f.Machines {
		f.logEvent("%s gets SIGTERM", m.Name)
		m.Terminate(ctx)
		f.logEvent("%s has ended", m.Name)
		if err := f.restartMachine(ctx, m); err != nil {
			return err
		}
		if m.HasDisk && !routerstandin.Sleep(ctx, catchUp) {
			return ctx.Err()
		}
	}
	return nil
}

// drainServers drains a server of each service; each is replaced before.
func (f *Fleet) drainServers(ctx context.Context) error {
	for _, server := range f.oneServerOfEach() {
		if err := f.drainServer(ctx, server); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// drainServer starts another server in place of one, and shuts that down gracefully. The end of ctx stops it.
func (f *Fleet) drainServer(ctx context.Context, server *routerstandin.Server) error {
	options := server.Options()
	if err := f.StartServer(options.AtAnyPort()); err != nil {
		return err
	}
	f.logEvent("server %s of %s leaves", server.ID(), options.Service)
	stopWatching := context.AfterFunc(ctx, server.Stop)
	defer stopWatching()
	acknowledged := server.Shutdown(bounds.Drain)
	f.retire(server)
	f.logEvent("server %s has left, acknowledged: %t", server.ID(), acknowledged)
	return nil
}

// crashServers crashes a server of each service, during a request that must run once where there is one, and
// starts another at its address.
func (f *Fleet) crashServers(ctx context.Context) error {
	for _, crashing := range f.oneServerOfEach() {
		options := crashing.Options()
		f.awaitWork(ctx, crashing)
		f.logEvent("server %s of %s crashes", crashing.ID(), options.Service)
		crashing.Crash()
		f.retire(crashing)
		if !routerstandin.Sleep(ctx, downTime) {
			return ctx.Err()
		}
		if err := f.StartServer(options); err != nil {
			return err
		}
		f.logEvent("a server starts at %s", options.Address)
	}
	return nil
}

// awaitWork waits, for workTimeout at most, until a server works on a request that must run once.
func (f *Fleet) awaitWork(ctx context.Context, server *routerstandin.Server) {
	for began := time.Now(); time.Since(began) < workTimeout && !server.RunsNonIdempotent(); {
		if !routerstandin.Sleep(ctx, workInterval) {
			return
		}
	}
}

// oneServerOfEach returns a decode server, a prefill server and a server of the lookups.
func (f *Fleet) oneServerOfEach() []*routerstandin.Server {
	all := []*routerstandin.Server{
		f.ServerOf(modelService, routerstandin.StageDecode), f.ServerOf(modelService, routerstandin.StagePrefill),
		f.ServerOf(lookupService, ""),
	}
	return slices.DeleteFunc(all, func(s *routerstandin.Server) bool { return s == nil })
}

// killAll kills all processes at the same moment and starts them again.
func (f *Fleet) killAll(ctx context.Context) error {
	f.logEvent("all machines are killed")
	for _, m := range f.Machines {
		m.Kill()
	}
	if !routerstandin.Sleep(ctx, killAllDownTime) {
		return ctx.Err()
	}
	if err := f.StartMachines(ctx, false); err != nil {
		return err
	}
	f.Observations.RecordAllRestarted()
	f.logEvent("all machines run again")
	if err := f.AwaitMachines(ctx); err != nil {
		return err
	}
	f.logEvent("all machines are ready")
	return nil
}

// turnOverSeeds replaces the seeds in the settings files by machines without a disk, and kills all processes.
func (f *Fleet) turnOverSeeds(ctx context.Context) error {
	f.seedMachines = f.WithDisk(false)
	f.logEvent("the settings name machines without a disk as seeds")
	return f.killAll(ctx)
}

// freezeMachines stops machines (SIGSTOP) for a while, one after the other.
func (f *Fleet) freezeMachines(ctx context.Context, machines ...*Machine) error {
	for _, m := range machines {
		f.logEvent("%s is stopped", m.Name)
		m.Freeze(ctx, freezeTime)
		f.logEvent("%s continues", m.Name)
		if err := f.AwaitMachine(ctx, m); err != nil {
			return err
		}
		f.logEvent("%s is ready", m.Name)
	}
	return ctx.Err()
}
