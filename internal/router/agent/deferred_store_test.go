package agent

import (
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestAProcessServesWhileItsDiskCanNotBeOpened: the process runs like one without a disk, and becomes a
// replica once the disk can be opened.
func TestAProcessServesWhileItsDiskCanNotBeOpened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		agent := newTestAgent(t)
		agent.settings.DataDir = t.TempDir()
		blocking := filepath.Join(agent.settings.DataDir, "chain")
		c.Assert(os.WriteFile(blocking, nil, 0o600), qt.IsNil)
		control := agent.newConfigStore()
		done := make(chan struct{})
		control.start(done)
		time.Sleep(10 * diskRetryInterval)
		c.Check(control.isMember(), qt.IsFalse)
		c.Check(ownMember(agent), qt.Equals, "")
		c.Check(control.read(0).Reason, qt.Matches, ".*no disk.*")

		c.Assert(os.Remove(blocking), qt.IsNil)
		time.Sleep(2 * diskRetryInterval)
		synctest.Wait()
		c.Check(ownMember(agent), qt.Not(qt.Equals), "")
		close(done)
		synctest.Wait()
		control.close()
	})
}

// ownMember returns the identity of its disk that a process tells the others.
func ownMember(agent *Agent) string {
	agent.self.mu.Lock()
	defer agent.self.mu.Unlock()
	return agent.self.record.Member
}
