package chain

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/segmentlog/faultfs"
)

const (
	manyChanges     = 1000
	manyChangesBody = 4 << 10
	// largestBody is the largest configuration, memberRate the slowest link of members in bytes per second.
	largestBody = 4 << 20
	memberRate  = 100_000_000 / 8
	slowSync    = 60 * time.Millisecond
)

// manyChangesWorld is a world with a long sequence of changes.
type manyChangesWorld struct {
	*simWorld
	c       *qt.C
	version int64
}

// body returns the body of a version.
func (w *manyChangesWorld) body(version int64) string {
	return fmt.Sprint("body ", version, " ", string(bytes.Repeat([]byte("x"), manyChangesBody)))
}

// change makes one change and retries it until it is acknowledged.
func (w *manyChangesWorld) change(body string) {
	for began := w.now; ; {
		outcome := w.writeAt("10.0.0.9", w.version, w.version+1, body)
		for *outcome == 0 {
			w.run(simTick)
		}
		if *outcome == Applied {
			break
		}
		w.c.Assert(*outcome, qt.Equals, Unavailable)
		w.c.Assert(w.now-began < 5*time.Second, qt.IsTrue, qt.Commentf("version %d", w.version+1))
		w.run(100 * time.Millisecond)
	}
	w.version++
	w.c.Assert(w.failure, qt.Equals, "")
}

// changes makes a number of changes.
func (w *manyChangesWorld) changes(count int) {
	for range count {
		w.change(w.body(w.version + 1))
	}
}

// catchUp starts a machine and checks how long and how many bytes it takes to have the state.
func (w *manyChangesWorld) catchUp(machine *simMachine, name string, atMost time.Duration) {
	began, before := w.now, w.catchUpBytes[machine.address]
	if !machine.up() {
		machine.boot()
	}
	for !w.hasNewest(machine) {
		w.run(simTick)
		w.c.Assert(w.now-began < atMost, qt.IsTrue, qt.Commentf("%s after %d changes", name, w.version))
	}
	sent := w.catchUpBytes[machine.address] - before
	accepted := &machine.node.state.accepted
	full := messageSize(&Message{Body: accepted.Body, History: accepted.history})
	w.c.Logf("%s after %d changes: %v, %d bytes", name, w.version, w.now-began, sent)
	w.c.Assert(sent <= full, qt.IsTrue, qt.Commentf("%s: %d bytes for %d", name, sent, full))
	// a snapshot, what follows it, and a record that ends the segment
	records := w.segmentGrowth + 2*int64(full)
	w.c.Assert(machine.log.Size() <= records, qt.IsTrue,
		qt.Commentf("%s: the log has %d bytes", name, machine.log.Size()))
}

// hasNewest reports whether a machine is a replica that has the newest entry.
func (w *manyChangesWorld) hasNewest(machine *simMachine) bool {
	latest := w.machines["10.0.0.9"].node.View().Epoch
	state := &machine.node.state
	return machine.node.InChain() && state.view.Epoch == latest && state.accepted.Epoch == latest &&
		state.accepted.Version == w.version
}

// TestThousandChanges makes changes while members are down, wiped, replaced and slow. A member that rejoins
// catches up with one body and one history at most, and earlier changes are still acknowledged.
func TestThousandChanges(t *testing.T) {
	world := &manyChangesWorld{simWorld: newWorld(1), c: qt.New(t)}
	world.segmentGrowth = 16 * manyChangesBody
	bootstrapWithCandidates(world.simWorld, 0)
	first, second, third := world.machines["10.0.0.1"], world.machines["10.0.0.2"], world.machines["10.0.0.3"]

	world.changes(150)
	second.crash(faultfs.LoseAll)
	world.changes(200)
	world.catchUp(second, "down for 200 changes", 2*time.Second)

	first.crash(faultfs.LoseAll) // the head
	first.disk.Wipe()
	first.firstStart = false
	world.changes(100)
	world.catchUp(first, "wiped", 2*time.Second)

	third.syncDelay = slowSync
	world.changes(100)
	third.syncDelay = simSync
	world.c.Assert(world.hasNewest(third), qt.IsTrue)

	third.crash(faultfs.LoseAll)
	third.removed = true
	world.changes(50)
	world.catchUp(world.addMachine("10.0.0.5", true, false), "replaces another", 4*time.Second)

	world.changes(int(manyChanges - world.version))
	world.othersDown(nil)
	world.run(time.Second)
	for _, machine := range []*simMachine{first, second, world.machines["10.0.0.5"]} {
		world.catchUp(machine, "power lost by all", 2*time.Second)
	}
	world.catchUpWithTheLargest(second)
	for version := int64(1); version <= manyChanges; version += 111 {
		again := world.writeAt("10.0.0.9", version-1, version, world.body(version))
		other := world.writeAt("10.0.0.1", version-1, version, "another")
		world.run(2 * time.Second)
		world.c.Assert([]Outcome{*again, *other}, qt.DeepEquals, []Outcome{Applied, Conflict})
	}
	world.c.Assert(world.failure, qt.Equals, "")
}

// catchUpWithTheLargest lets the links be as slow as they may be and the body as large: a write and an
// emptied disk cost no views that are not theirs.
func (w *manyChangesWorld) catchUpWithTheLargest(machine *simMachine) {
	w.rate = memberRate
	epoch := func() uint64 { return w.machines["10.0.0.9"].node.View().Epoch }
	before, began := epoch(), w.now
	w.change(string(bytes.Repeat([]byte("y"), largestBody)))
	w.c.Logf("the largest body is written after %v", w.now-began)
	w.run(2 * time.Second)
	w.c.Assert(epoch(), qt.Equals, before)
	machine.crash(faultfs.LoseAll)
	machine.disk.Wipe()
	w.catchUp(machine, "wiped, the largest body at 100 Mbit/s", 3*time.Second)
	w.run(2 * time.Second)
	w.c.Assert(epoch() <= before+2, qt.IsTrue, qt.Commentf("%d views", epoch()-before))
}
