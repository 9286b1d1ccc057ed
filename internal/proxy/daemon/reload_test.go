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

// Successors may join and exit while the configuration is reread; the race detector sees what both would
// touch.
func TestReloadWhileASuccessorJoins(t *testing.T) {
	t.Setenv("TMPDIR", "")
	// The shutdown lasts for long enough to get one more signal.
	const shutdown = 3 * time.Second
	cfg := platformConfig(t)
	cfg.Shutdown.AcceptFor, cfg.Shutdown.CloseAll = shutdown, shutdown
	p, err := New(cfg, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	signals, ended, read := make(chan os.Signal), make(chan bool), 0
	go func() {
		p.Run(signals, func() (*config.Config, error) {
			next, err := loadPlatformConfig()
			if err != nil {
				return nil, err
			}
			next.Shutdown = cfg.Shutdown
			next.Log.Level = []string{"error", "warn"}[read%2]
			read++
			return next, nil
		})
		close(ended)
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
	signals <- syscall.SIGHUP // also while it ends
	select {
	case signals <- syscall.SIGTERM:
	case <-ended:
	}
	<-ended
	if read != 21 || p.handover.limitFraction() != 1 {
		t.Errorf("read %d times; its part of the limits is %v", read, p.handover.limitFraction())
	}
}
