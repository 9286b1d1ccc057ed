package boltfile

import (
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	bolt "go.etcd.io/bbolt"
)

// TestOpenWaitsForTheLockOfAKilledProcess guards against a lock timeout that is too short: the kernel
// releases the lock some time after the process ended. With a timeout of one second, a start failed in
// TestLedgerSurvivesKills on a busy machine.
func TestOpenWaitsForTheLockOfAKilledProcess(t *testing.T) {
	for _, readOnly := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			path := filepath.Join(t.TempDir(), "file.db")
			holder, err := Open(path, bolt.Options{})
			c.Assert(err, qt.IsNil)
			const releaseAfter = 3 * time.Second
			release := time.AfterFunc(releaseAfter, func() { c.Check(holder.Close(), qt.IsNil) })
			defer release.Stop()
			start := time.Now()
			db, err := Open(path, bolt.Options{ReadOnly: readOnly})
			c.Assert(err, qt.IsNil)
			c.Check(time.Since(start) >= releaseAfter, qt.IsTrue)
			c.Check(db.Close(), qt.IsNil)
		})
	}
}

// TestOpenFailsWhileAnotherProcessRuns checks that the error names the file and the cause.
func TestOpenFailsWhileAnotherProcessRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		path := filepath.Join(t.TempDir(), "file.db")
		holder, err := Open(path, bolt.Options{})
		c.Assert(err, qt.IsNil)
		start := time.Now()
		_, err = Open(path, bolt.Options{})
		c.Check(err, qt.ErrorIs, ErrLocked)
		c.Check(err, qt.ErrorMatches, ".*/file.db is held by another process")
		c.Check(time.Since(start) < 2*LockTimeout, qt.IsTrue)
		c.Check(holder.Close(), qt.IsNil)
	})
}
