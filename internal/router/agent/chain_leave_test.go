package agent

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/chain"
	"cresshub/internal/segmentlog"
)

// hangingFiles is a disk that answers nothing while its gate is closed.
type hangingFiles struct {
	segmentlog.OSFS
	gate chan struct{} // closed once the disk answers
}

func (f *hangingFiles) MakeDir(dir string) error {
	<-f.gate
	return f.OSFS.MakeDir(dir)
}

// TestLeaveIsNotLost whatever the disk does when a process shuts down.
func TestLeaveIsNotLost(t *testing.T) {
	t.Run("while the disk is opened", leaveWhileTheDiskOpens)
	t.Run("in a full queue", leaveInAFullQueue)
}

// leaveWhileTheDiskOpens: a process that shuts down while its disk hangs tells the other members once the
// disk answers.
func leaveWhileTheDiskOpens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		agent := newTestAgent(t)
		disk := &hangingFiles{gate: make(chan struct{})}
		agent.settings.DataDir, agent.files = t.TempDir(), disk
		control := agent.newDeferredStore()
		done := make(chan struct{})
		control.start(done)
		synctest.Wait()
		control.drain()
		close(disk.gate)
		time.Sleep(2 * chainTick)
		synctest.Wait()
		c.Check(hasLeft(control.member.Load()), qt.IsTrue)
		close(done)
		synctest.Wait()
		control.close()
	})
}

// leaveInAFullQueue: events of the chain may be dropped where too many wait, as messages are sent again. What
// is said once must not be.
func leaveInAFullQueue(t *testing.T) {
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
		time.Sleep(2 * chainTick)
		synctest.Wait()
		c.Check(hasLeft(member), qt.IsTrue)
		close(done)
		synctest.Wait()
		member.close()
	})
}

// hasLeft reports whether a member without a view has left: it may stop at once then.
func hasLeft(m *chainMember) bool {
	select {
	case <-m.drained():
		return true
	default:
		return false
	}
}
