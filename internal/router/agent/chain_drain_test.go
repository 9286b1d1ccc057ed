package agent

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/chain"
	"cresshub/internal/segmentlog"
)

// hangingFS is a file system in which MakeDir hangs until resumed closes.
type hangingFS struct {
	segmentlog.OSFS
	resumed chan struct{}
}

func (f *hangingFS) MakeDir(dir string) error {
	<-f.resumed
	return f.OSFS.MakeDir(dir)
}

// TestDrainRequestIsNotLost checks that a call of drain takes effect although the member is not open yet, or
// drops events because its queue is full.
func TestDrainRequestIsNotLost(t *testing.T) {
	t.Run("while the disk is opened", drainWhileDiskOpens)
	t.Run("with a full queue", drainWithFullQueue)
}

// drainWhileDiskOpens checks that a process that shuts down while its disk hangs announces that to the other
// members once the disk responds again.
func drainWhileDiskOpens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		agent := newTestAgent(t)
		disk := &hangingFS{resumed: make(chan struct{})}
		agent.settings.DataDir, agent.files = t.TempDir(), disk
		store := agent.newDeferredStore()
		done := make(chan struct{})
		store.start(done)
		synctest.Wait()
		store.drain()
		close(disk.resumed)
		time.Sleep(2 * chainTickInterval)
		synctest.Wait()
		c.Check(isDrained(store.member.Load()), qt.IsTrue)
		close(done)
		synctest.Wait()
		store.close()
	})
}

// drainWithFullQueue checks that drain does not depend on the event queue. Events are dropped while the queue
// is full, which is harmless for messages, as they are resent, but drain is called only once.
func drainWithFullQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		agent := newTestAgent(t)
		agent.settings.DataDir = t.TempDir()
		member, err := agent.openChainMember()
		c.Assert(err, qt.IsNil)
		nothing := func(*chain.Node, time.Duration) chain.Effects { return chain.Effects{} }
		for member.post(nothing) {
		}
		member.drain()
		done := make(chan struct{})
		member.start(done)
		time.Sleep(2 * chainTickInterval)
		synctest.Wait()
		c.Check(isDrained(member), qt.IsTrue)
		close(done)
		synctest.Wait()
		member.close()
	})
}

// isDrained reports whether the drain of a member has completed, which without a view takes one step.
func isDrained(m *chainMember) bool {
	select {
	case <-m.drained():
		return true
	default:
		return false
	}
}
