package daemon

import (
	"io"
	"os"
	"sync"
	"syscall"
	"testing"

	"cresshub/internal/proxy/config"
)

// A new process may join, leave and be counted while the configuration is read again. The race detector sees
// what both would touch.
func TestReloadWhileANewProcessJoins(t *testing.T) {
	t.Setenv("TMPDIR", "")
	p, err := New(platform(t), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	signals, over, read := make(chan os.Signal), make(chan bool), 0
	go func() {
		p.Run(signals, func() (*config.Config, error) {
			next := platform(t)
			next.Log.Level = []string{"error", "warn"}[read%2]
			read++
			return next, nil
		})
		close(over)
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
	signals <- syscall.SIGTERM
	<-over
	if read != 21 || p.handover.limitFraction() != 1 {
		t.Errorf("read %d times; its part of the limits is %v", read, p.handover.limitFraction())
	}
}
