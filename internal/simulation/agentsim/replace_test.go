package agentsim

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// catchUpTime is after what time of its start a new machine with a disk counts in full.
var catchUpTime = Bounds().CatchUp

// TestReplacedDiskMachine replaces a machine with a disk by an empty one at another address and then has
// another one lose its disk; nothing that was acknowledged is lost, and changes go on.
func TestReplacedDiskMachine(t *testing.T) {
	for _, planned := range []bool{true, false} {
		for member := range 3 {
			t.Run(fmt.Sprintf("planned=%t/%d", planned, member), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runReplacement(t, member, planned) })
			})
		}
	}
}

func runReplacement(t *testing.T, member int, planned bool) {
	t.Helper()
	f := New(t, Options{Disks: 3, Others: 7, Servers: 6, Seed: int64(member)})
	history := &History{}
	operator := f.AddOperator(history)
	version := int64(0)
	change := func() {
		t.Helper()
		began := f.Now()
		status := operator.PutUntil(f.Running(), Change{version, version + 1, 0}, 2*Bounds().Ack, 0)
		if took := f.Now() - began; status != 200 || took > Bounds().Ack {
			t.Errorf("at %v a change got %d after %v", began, status, took)
		}
		version++
	}
	change()
	old, other := f.Machines[member], f.Machines[(member+1)%3]
	fresh := f.Replace()
	if planned {
		fresh.Start(false)
		f.Await("the new machine knows all", catchUpTime, f.Converged)
		change()
		ended := old.Terminate()
		change()
		<-ended
		time.Sleep(catchUpTime)
	} else {
		old.PowerOff()
		change()
		fresh.Start(false)
		time.Sleep(catchUpTime)
		f.Await("the new machine knows all", time.Second, f.Converged)
	}
	change() // acknowledged right before the next loss
	other.PowerOff()
	other.Wipe()
	change()
	time.Sleep(downTime)
	other.Start(false)
	f.Await("all agree", catchUpTime, f.Converged)
	change()
	for _, m := range f.Running() {
		read, status := operator.Get(m)
		qt.Check(t, status, qt.Equals, 200)
		qt.Check(t, read, qt.Equals, version)
	}
	// As many as are tolerated lose their disks while all others lose power.
	time.Sleep(catchUpTime)
	change()
	f.PowerOffAll(f.Machines)
	fresh.Wipe()
	time.Sleep(downTime)
	f.StartTogether(f.Except(old), false)
	f.Await("all agree after the loss of all", recoverTime+startSpread, f.Converged)
	read := int64(0)
	f.Await("the configuration is read back", Bounds().Ack, func() string {
		var status int
		if read, status = operator.Get(f.Machines[len(f.Machines)-1]); status != 200 {
			return fmt.Sprintf("%d", status)
		}
		return ""
	})
	qt.Check(t, read, qt.Equals, version)
	change()
	qt.Check(t, strings.Join(history.Check(), "\n"), qt.Equals, "")
}

const (
	manyChanges = 400
	// catchUpBytes bounds what a member that comes back takes in until it knows the newest of many changes, and
	// a second of the fleet's ordinary talk besides.
	catchUpBytes = 8 << 10
	backTime     = 600 * time.Millisecond
)

// TestMemberCatchesUpAfterManyChanges restarts a member after 400 changes that it has missed: it gets one
// entry, not all of them.
func TestMemberCatchesUpAfterManyChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(t, Options{Disks: 3, Others: 2, Servers: 3, Seed: 1})
		history := &History{}
		operator := f.AddOperator(history)
		qt.Assert(t, operator.PutUntil(f.Machines, Change{0, 1, 0}, 4*time.Second, 0), qt.Equals, 200)
		back := f.Machines[1]
		back.PowerOff()
		time.Sleep(downTime)
		for version := range int64(manyChanges) {
			status := operator.PutUntil(f.Running(), Change{version + 1, version + 2, 0}, Bounds().Ack, 0)
			qt.Assert(t, status, qt.Equals, 200)
		}
		back.Start(false)
		took := f.Await("it knows the newest", backTime, f.Converged)
		bytes := int64(0)
		for _, volume := range back.Node().Traffic().Received {
			bytes += volume.Bytes
		}
		t.Logf("caught up in %v with %d bytes received", took, bytes)
		qt.Check(t, bytes < catchUpBytes, qt.IsTrue)
		qt.Check(t, strings.Join(history.Check(), "\n"), qt.Equals, "")
	})
}
