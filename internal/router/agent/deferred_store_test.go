package agent

import (
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestProcessServesWhileItsDiskCannotBeOpened checks that the process runs like one without a disk until the
// disk can be opened, and then announces its disk.
func TestProcessServesWhileItsDiskCannotBeOpened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		agent := newTestAgent(t)
		agent.settings.DataDir = t.TempDir()
		blockingFile := filepath.Join(agent.settings.DataDir, "chain") // in the place of the directory
		c.Assert(os.WriteFile(blockingFile, nil, 0o600), qt.IsNil)
		store := agent.newConfigStore()
		done := make(chan struct{})
		store.start(done)
		time.Sleep(10 * diskRetryInterval)
		c.Check(store.isMember(), qt.IsFalse)
		c.Check(ownMember(agent), qt.Equals, "")
		c.Check(store.read(0).Reason, qt.Matches, ".*no disk.*")

		c.Assert(os.Remove(blockingFile), qt.IsNil)
		time.Sleep(2 * diskRetryInterval)
		synctest.Wait()
		c.Check(ownMember(agent), qt.Not(qt.Equals), "")
		close(done)
		synctest.Wait()
		store.close()
	})
}

// ownMember returns the identity of its disk that a process announces, "" for none.
func ownMember(agent *Agent) string {
	agent.self.mu.Lock()
	defer agent.self.mu.Unlock()
	return agent.self.record.Member
}
