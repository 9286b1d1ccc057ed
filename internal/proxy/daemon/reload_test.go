package daemon

import (
	"io"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"cresshub/internal/proxy/config"
)

// Successors may join and exit while the configuration is reread; the race detector reports variables that
// both access without synchronization.
func TestReloadWhileASuccessorJoins(t *testing.T) {
	t.Setenv("TMPDIR", "")
	// The shutdown lasts long enough to receive one more signal.
	const shutdown = 3 * time.Second
	cfg := platformConfig(t)
	cfg.Shutdown.AcceptFor, cfg.Shutdown.CloseAll = shutdown, shutdown
	p, err := New(cfg, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	signals, exited, rereads := make(chan os.Signal), make(chan bool), 0
	go func() {
		p.Run(signals, func() (*config.Config, error) {
			next, err := loadPlatformConfig()
			if err != nil {
				return nil, err
			}
			next.Shutdown = cfg.Shutdown
			next.Log.Level = []string{"error", "warn"}[rereads%2]
			rereads++
			return next, nil
		})
		close(exited)
	}()
	var joins sync.WaitGroup
	for range 4 {
		joins.Go(func() {
			for range 50 {
				if _, _, err := p.SuccessorJoined(); err != nil {
					t.Error(err)
				}
				p.SuccessorReady()
				p.SuccessorExited()
			}
		})
	}
	for range 20 {
		signals <- syscall.SIGHUP
	}
	joins.Wait()
	signals <- syscall.SIGTERM
	signals <- syscall.SIGHUP // also during the shutdown
	select {
	case signals <- syscall.SIGTERM:
	case <-exited:
	}
	<-exited
	if rereads != 21 || p.handover.limitFraction() != 1 {
		t.Errorf("configuration reread %d times, fraction of the limits %v; want 21 and 1", rereads,
			p.handover.limitFraction())
	}
}
