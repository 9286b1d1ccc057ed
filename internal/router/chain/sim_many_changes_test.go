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
	manyChangesCount    = 1000
	manyChangesBodySize = 4 << 10 // bytes
	// largestBodySize is the size of the largest configuration, in bytes. slowestMemberRate is the bandwidth
	// of the slowest link between members, in bytes per second (100 Mbit/s).
	largestBodySize   = 4 << 20
	slowestMemberRate = 100_000_000 / 8
	slowSyncDelay     = 60 * time.Millisecond
)

// manyChangesWorld is a world in which a long sequence of changes is committed.
type manyChangesWorld struct {
	*simWorld
	c *qt.C
	// version is the latest committed version.
	version int64
}

// body returns the body that is written as a version.
func (w *manyChangesWorld) body(version int64) string {
	return fmt.Sprint("body ", version, " ", string(bytes.Repeat([]byte("x"), manyChangesBodySize)))
}

// mustCommit writes a body as the next version and retries while the outcome is unknown, for up to 5 s. The
// write has to be applied.
func (w *manyChangesWorld) mustCommit(body string) {
	for startedAt := w.now; ; {
		outcome := w.writeAt("10.0.0.9", w.version, w.version+1, body)
		for *outcome == 0 {
			w.run(simTick)
		}
		if *outcome == Applied {
			break
		}
		w.c.Assert(*outcome, qt.Equals, Unavailable)
		w.c.Assert(w.now-startedAt < 5*time.Second, qt.IsTrue, qt.Commentf("version %d", w.version+1))
		w.run(100 * time.Millisecond)
	}
	w.version++
	w.c.Assert(w.failure, qt.Equals, "")
}

// mustCommitNext commits a number of versions with their bodies.
func (w *manyChangesWorld) mustCommitNext(count int) {
	for range count {
		w.mustCommit(w.body(w.version + 1))
	}
}

// mustCatchUp boots a machine if it is down, and checks that it catches up within a time limit, that it was
// sent at most one body and one history for that, and that its log has a bounded size. situation says why
// it has to catch up.
func (w *manyChangesWorld) mustCatchUp(machine *simMachine, situation string, limit time.Duration) {
	startedAt, bytesBefore := w.now, w.catchUpBytes[machine.address]
	if !machine.up() {
		machine.boot()
	}
	for !w.hasLatestEntry(machine) {
		w.run(simTick)
		w.c.Assert(w.now-startedAt < limit, qt.IsTrue, qt.Commentf("%s after %d changes", situation, w.version))
	}
	sent := w.catchUpBytes[machine.address] - bytesBefore
	accepted := &machine.node.state.accepted
	fullSize := messageSize(&Message{Body: accepted.Body, History: accepted.history})
	w.c.Logf("%s after %d changes: caught up after %v and %d bytes",
		situation, w.version, w.now-startedAt, sent)
	w.c.Assert(sent <= fullSize, qt.IsTrue,
		qt.Commentf("%s: %d bytes sent for an entry of %d", situation, sent, fullSize))
	// A log consists of a snapshot, records of at most segmentGrowth bytes, and one more record, after which it
	// begins a new segment.
	maxLogSize := w.segmentGrowth + 2*int64(fullSize)
	w.c.Assert(machine.log.Size() <= maxLogSize, qt.IsTrue,
		qt.Commentf("%s: the log has %d bytes", situation, machine.log.Size()))
}

// hasLatestEntry reports whether a machine is a replica in the latest view and has accepted the latest
// version.
func (w *manyChangesWorld) hasLatestEntry(machine *simMachine) bool {
	latest := w.machines["10.0.0.9"].node.View().Epoch
	state := &machine.node.state
	return machine.node.InChain() && state.view.Epoch == latest && state.accepted.Epoch == latest &&
		state.accepted.Version == w.version
}

// TestThousandChanges commits a thousand changes while members are down, wiped, replaced or slow. A member
// that rejoins has to catch up with at most one body and one history. Retries of earlier changes have to be
// acknowledged, and other writes of the same versions rejected.
func TestThousandChanges(t *testing.T) {
	world := &manyChangesWorld{simWorld: newWorld(1), c: qt.New(t)}
	world.segmentGrowth = 16 * manyChangesBodySize
	bootstrapWithCandidates(world.simWorld, 0)
	first, second, third := world.machines["10.0.0.1"], world.machines["10.0.0.2"], world.machines["10.0.0.3"]

	world.mustCommitNext(150)
	second.crash(faultfs.LoseAll)
	world.mustCommitNext(200)
	world.mustCatchUp(second, "down for 200 changes", 2*time.Second)

	first.crash(faultfs.LoseAll) // the head
	first.disk.Wipe()
	first.allowBootstrap = false
	world.mustCommitNext(100)
	world.mustCatchUp(first, "wiped", 2*time.Second)

	third.syncDelay = slowSyncDelay
	world.mustCommitNext(100)
	third.syncDelay = simSyncDelay
	world.c.Assert(world.hasLatestEntry(third), qt.IsTrue)

	third.crash(faultfs.LoseAll)
	third.removed = true
	world.mustCommitNext(50)
	world.mustCatchUp(world.addMachine("10.0.0.5", true, false), "replaces another", 4*time.Second)

	world.mustCommitNext(int(manyChangesCount - world.version))
	world.crashAllExcept(nil)
	world.run(time.Second)
	for _, machine := range []*simMachine{first, second, world.machines["10.0.0.5"]} {
		world.mustCatchUp(machine, "power lost by all", 2*time.Second)
	}
	world.mustCatchUpWithLargestBody(second)
	for version := int64(1); version <= manyChangesCount; version += 111 {
		again := world.writeAt("10.0.0.9", version-1, version, world.body(version))
		other := world.writeAt("10.0.0.1", version-1, version, "another")
		world.run(2 * time.Second)
		world.c.Assert([]Outcome{*again, *other}, qt.DeepEquals, []Outcome{Applied, Conflict})
	}
	world.c.Assert(world.failure, qt.Equals, "")
}

// mustCatchUpWithLargestBody commits the largest body over the slowest links, then wipes a machine, which
// has to catch up. The failure detector must not mistake the slow transmission for failures: the write
// causes no view change, and the wiped disk at most two.
func (w *manyChangesWorld) mustCatchUpWithLargestBody(machine *simMachine) {
	w.linkRate = slowestMemberRate
	epoch := func() uint64 { return w.machines["10.0.0.9"].node.View().Epoch }
	epochBefore, startedAt := epoch(), w.now
	w.mustCommit(string(bytes.Repeat([]byte("y"), largestBodySize)))
	w.c.Logf("the largest body was committed after %v", w.now-startedAt)
	w.run(2 * time.Second)
	w.c.Assert(epoch(), qt.Equals, epochBefore)
	machine.crash(faultfs.LoseAll)
	machine.disk.Wipe()
	w.mustCatchUp(machine, "wiped, the largest body at 100 Mbit/s", 3*time.Second)
	w.run(2 * time.Second)
	w.c.Assert(epoch() <= epochBefore+2, qt.IsTrue, qt.Commentf("%d views", epoch()-epochBefore))
}
