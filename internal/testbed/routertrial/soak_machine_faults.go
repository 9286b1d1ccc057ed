package routertrial

import (
	"context"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"cresshub/internal/testbed/faultinject"
	"cresshub/internal/testbed/routerstandin"
)

// maxExitPoint is the last numbered point at which a process exits, maxStartExitPoint the last one during its
// start.
const (
	maxExitPoint      = 120
	maxStartExitPoint = 40
)

// restart starts a machine whose process has ended.
func (s *soak) restart(ctx context.Context, m *Machine) error {
	if err := m.Start(ctx, false); err != nil {
		return err
	}
	s.logEvent("%s runs again", m.Name)
	return nil
}

func injectKill(ctx context.Context, s *soak, rng *rand.Rand, m *Machine) error {
	s.logEvent("%s is killed", m.Name)
	m.Kill()
	routerstandin.Sleep(ctx, between(rng, 50*time.Millisecond, 2*time.Second))
	return s.restart(ctx, m)
}

func injectExitAtPoint(ctx context.Context, s *soak, rng *rand.Rand, m *Machine) error {
	point := 1 + rng.IntN(maxExitPoint)
	ended := m.ExitAtPoint(ctx, point, 1500*time.Millisecond)
	s.logEvent("%s ended at point %d: %t", m.Name, point, ended)
	routerstandin.Sleep(ctx, between(rng, 50*time.Millisecond, time.Second))
	for range rng.IntN(3) { // and again while it starts
		point = 1 + rng.IntN(maxStartExitPoint)
		ended = m.StartUntilPoint(ctx, point, time.Second)
		s.logEvent("%s started and ended at point %d: %t", m.Name, point, ended)
	}
	return s.restart(ctx, m)
}

func injectTermination(ctx context.Context, s *soak, rng *rand.Rand, m *Machine) error {
	s.logEvent("%s gets SIGTERM", m.Name)
	m.Terminate(ctx)
	s.logEvent("%s has ended", m.Name)
	return s.restart(ctx, m)
}

func injectFreeze(ctx context.Context, s *soak, rng *rand.Rand, m *Machine) error {
	s.logEvent("%s is stopped", m.Name)
	m.Freeze(ctx, between(rng, 200*time.Millisecond, 4*time.Second))
	s.logEvent("%s continues", m.Name)
	return nil
}

// injectStalls stops half of the machines again and again for a short while, as machines do that have too
// little of their processor.
func injectStalls(ctx context.Context, s *soak, rng *rand.Rand) error {
	machines := s.reserveHalf(rng)
	defer s.release(machines...)
	end := time.Now().Add(stallsTime)
	var stalling sync.WaitGroup
	for _, m := range machines {
		s.logEvent("%s stalls again and again", m.Name)
		own := rand.New(rand.NewPCG(rng.Uint64(), 1))
		stalling.Go(func() {
			for time.Now().Before(end) && routerstandin.Sleep(ctx, between(own, minStall, maxBetweenStalls)) {
				m.Freeze(ctx, between(own, minStall, maxStall))
			}
		})
	}
	stalling.Wait()
	s.logEvent("nobody stalls any more")
	return nil
}

// Stalls last from minStall to maxStall, as long as injectStalls does, which is stallsTime.
const (
	minStall         = 100 * time.Millisecond
	maxStall         = 2 * time.Second
	maxBetweenStalls = 1500 * time.Millisecond
	stallsTime       = 8 * time.Second
)

// injectDiskLoss wipes the disk of a machine, unless another machine has not caught up since its own loss.
func injectDiskLoss(ctx context.Context, s *soak, rng *rand.Rand) error {
	if !s.reserveWipe() {
		return nil
	}
	defer s.releaseWipe()
	m := s.reserveOne(rng, hasDisk)
	if m == nil {
		return nil
	}
	defer s.release(m)
	s.logEvent("%s is killed and loses its disk", m.Name)
	m.Kill()
	routerstandin.Sleep(ctx, between(rng, 50*time.Millisecond, time.Second))
	if err := m.Wipe(); err != nil {
		return err
	}
	return s.restart(ctx, m)
}

func (s *soak) reserveWipe() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wiping || time.Since(s.wipedAt) < 2*catchUp {
		return false
	}
	s.wiping = true
	return true
}

func (s *soak) releaseWipe() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wiping, s.wipedAt = false, time.Now()
}

func injectKillAll(ctx context.Context, s *soak, rng *rand.Rand) error {
	if !s.reserveAll() {
		return nil
	}
	defer s.release(s.Machines...)
	return s.killAndRestartAll(ctx, rng)
}

func (s *soak) killAndRestartAll(ctx context.Context, rng *rand.Rand) error {
	s.logEvent("all machines are killed")
	for _, m := range s.Machines {
		m.Kill()
	}
	routerstandin.Sleep(ctx, between(rng, 50*time.Millisecond, time.Second))
	err := s.StartMachines(ctx, false)
	s.logEvent("all machines run again")
	return err
}

// injectKillAllAfterAck kills all processes right after a change was acknowledged, and may wipe one disk.
func injectKillAllAfterAck(ctx context.Context, s *soak, rng *rand.Rand) error {
	if !s.reserveAll() {
		return nil
	}
	defer s.release(s.Machines...)
	bounded, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	if err := s.changeConfig(bounded); err != nil {
		s.logEvent("a change got no clear answer: %v", err)
	}
	routerstandin.Sleep(ctx, time.Duration(rng.Int64N(int64(15*time.Millisecond))))
	for _, m := range s.Machines {
		m.Kill()
	}
	s.logEvent("all machines are killed after a change")
	if rng.IntN(2) == 0 && s.reserveWipe() {
		defer s.releaseWipe()
		lost := drawMachine(rng, s.WithDisk(true))
		s.logEvent("%s loses its disk", lost.Name)
		if err := lost.Wipe(); err != nil {
			return err
		}
	}
	routerstandin.Sleep(ctx, between(rng, 50*time.Millisecond, time.Second))
	return s.StartMachines(ctx, false)
}

// injectDiskFault makes a disk full, hanging or slow; sometimes its process is killed or terminated
// meanwhile.
func injectDiskFault(ctx context.Context, s *soak, rng *rand.Rand, m *Machine) error {
	modes := []faultinject.DiskMode{faultinject.DiskFull, faultinject.DiskHang, faultinject.DiskSlow}
	mode := modes[rng.IntN(len(modes))]
	faultCtx, end := context.WithCancel(ctx)
	defer end()
	go s.recordFaultUntil(faultCtx, m)
	s.logEvent("%s: disk %s", m.Name, mode)
	s.active.setDisk(m, mode)
	routerstandin.Sleep(ctx, between(rng, 300*time.Millisecond, 4*time.Second))
	var err error
	switch rng.IntN(4) {
	case 0:
		s.logEvent("%s is killed, its disk is still %s", m.Name, mode)
		m.Kill()
		err = s.restart(ctx, m)
	case 1:
		s.logEvent("%s gets SIGTERM, its disk is still %s", m.Name, mode)
		m.Terminate(ctx)
		err = s.restart(ctx, m)
	}
	routerstandin.Sleep(ctx, between(rng, 100*time.Millisecond, 2*time.Second))
	s.active.setDisk(m, faultinject.DiskOK)
	s.logEvent("%s: disk ok", m.Name)
	return err
}

// injectAcceptFailure makes a process fail to accept connections, as it does without descriptors.
func injectAcceptFailure(ctx context.Context, s *soak, rng *rand.Rand) error {
	m := s.Machines[rng.IntN(len(s.Machines))]
	faultCtx, end := context.WithCancel(ctx)
	defer end()
	go s.recordFaultUntil(faultCtx, m)
	count := 1 + rng.IntN(6)
	s.logEvent("%s fails to accept %d connections", m.Name, count)
	m.send("%s %d", faultinject.CommandRefuse, count)
	routerstandin.Sleep(ctx, between(rng, 200*time.Millisecond, time.Second))
	m.send("%s 0", faultinject.CommandRefuse)
	return nil
}

// injectReload writes the settings file in two steps and sends SIGHUP at any moment.
func injectReload(ctx context.Context, s *soak, rng *rand.Rand) error {
	m := s.Machines[rng.IntN(len(s.Machines))]
	s.logEvent("%s: settings change", m.Name)
	raw, err := m.settingsFile(false)
	if err != nil {
		return err
	}
	half := rng.IntN(len(raw))
	for _, content := range [][]byte{raw[:half], raw} {
		if err := os.WriteFile(m.settingsPath(), content, 0o600); err != nil {
			return err
		}
		for range rng.IntN(3) {
			m.Reload()
			routerstandin.Sleep(ctx, between(rng, time.Millisecond, 30*time.Millisecond))
		}
	}
	return nil
}

// injectStalledLog stops reading the log of a process for a while.
func injectStalledLog(ctx context.Context, s *soak, rng *rand.Rand, m *Machine) error {
	process := m.running()
	if process == nil {
		return nil
	}
	s.logEvent("nobody reads the log of %s", m.Name)
	process.PauseLog()
	routerstandin.Sleep(ctx, between(rng, time.Second, 4*time.Second))
	process.ResumeLog()
	s.logEvent("the log of %s is read", m.Name)
	return nil
}
