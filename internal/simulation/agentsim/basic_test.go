package agentsim

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestFleetStartsAndRuns is the rig's own test: a fleet starts, takes a configuration, and runs a minute in
// which nobody is marked as lost.
func TestFleetStartsAndRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(t, Options{Disks: 3, Others: 7, Servers: 20, Seed: 1})
		history := &History{}
		operator := f.AddOperator(history)
		qt.Assert(t, operator.PutUntil(f.Machines, Change{0, 1, 0}, 4*time.Second, 0), qt.Equals, 200)
		f.Await("all know the configuration", time.Second, f.Converged)
		since := f.Now()
		time.Sleep(time.Minute)
		f.CheckNoneLost(since)
		qt.Assert(t, f.Converged(), qt.Equals, "")
		qt.Assert(t, history.Check(), qt.HasLen, 0)
	})
}
