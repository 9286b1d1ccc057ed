package raftgroup

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

const (
	minDiskBackoff    = 100 * time.Millisecond
	maxDiskBackoff    = time.Second
	slowSyncThreshold = 100 * time.Millisecond // writes that take longer are counted in GroupStats.SlowSyncs
)

// handleReady processes raft's Readies until there are no more. For each one it first writes to disk, then
// sends the messages, then applies the committed entries. It returns false if the group is stopped while disk
// writes fail. Called by the group's goroutine, like everything in this file.
func (g *group) handleReady() bool {
	for g.rawNode.HasReady() {
		ready := g.rawNode.Ready()
		switch {
		case mustPersist(&ready):
			if !g.persist(&ready) {
				return false
			}
		case !raft.IsEmptyHardState(ready.HardState):
			// Only the commit index rose. It is not stored, as the replica learns it again after a restart.
			g.setHardState(ready.HardState)
		}
		g.host.send(g.name, ready.Messages)
		g.applyReady(&ready)
		g.rawNode.Advance(ready)
		g.serveReads()
		g.updateLeader()
	}
	g.maybeCompact()
	return true
}

// mustPersist reports whether a Ready must be on disk before it is acted on. A membership change must be
// stored as committed: a replica that forgot the change would wait for the votes of former voters after a
// restart.
func mustPersist(ready *raft.Ready) bool {
	confChange := slices.ContainsFunc(ready.CommittedEntries, func(entry *raftpb.Entry) bool {
		return entry.GetType() != raftpb.EntryNormal
	})
	return ready.MustSync || confChange || len(ready.Entries) > 0 || !raft.IsEmptySnap(ready.Snapshot)
}

// applyReady applies the snapshot and the committed entries of a Ready, and records its confirmed read
// indexes.
func (g *group) applyReady(ready *raft.Ready) {
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := g.restoreSnapshot(ready.Snapshot); err != nil {
			panic(err) // stops this replica (run), which has no state to continue from
		}
		g.stats.SnapshotsInstalled++
		g.snapshotIndex = g.appliedIndex
		g.log.Info("ledger: snapshot of the leader installed", "index", g.appliedIndex)
	}
	for _, entry := range ready.CommittedEntries {
		g.applyEntry(entry)
	}
	for _, confirmed := range ready.ReadStates {
		id := binary.BigEndian.Uint64(confirmed.RequestCtx)
		if read, ok := g.pendingReads[id]; ok {
			read.index = max(confirmed.Index, 1)
			g.pendingReads[id] = read
		}
	}
}

// persist stores a Ready, retrying until it succeeds. Until then the group sends no messages: a leader sends
// no heartbeats, so that the others elect one whose disk works. It returns false if the group is stopped
// first.
func (g *group) persist(ready *raft.Ready) bool {
	for backoff := minDiskBackoff; ; backoff = min(2*backoff, maxDiskBackoff) {
		start := time.Now()
		logBytes, err := g.host.store.save(g.name, ready)
		if time.Since(start) > slowSyncThreshold {
			g.stats.SlowSyncs++
		}
		if err == nil {
			g.handlePersisted(ready, logBytes)
			return true
		}
		g.handleDiskError(err)
		if !g.waitBeforeDiskRetry(backoff) {
			return false
		}
	}
}

// handlePersisted updates raft's storage with a Ready that was stored and added logBytes to the log.
func (g *group) handlePersisted(ready *raft.Ready, logBytes int64) {
	if g.diskErr != nil {
		g.log.Info("ledger: disk writes succeed again")
		g.diskErr = nil
	}
	g.logBytes += logBytes
	if !raft.IsEmptySnap(ready.Snapshot) {
		_ = g.storage.ApplySnapshot(ready.Snapshot) // fails only for an old snapshot, which raft ignores
		g.logBytes = logBytes
	}
	if !raft.IsEmptyHardState(ready.HardState) {
		g.setHardState(ready.HardState)
	}
	_ = g.storage.Append(ready.Entries) // returns no error: it panics on a gap
}

func (g *group) setHardState(hardState *raftpb.HardState) {
	_ = g.storage.SetHardState(hardState) // never fails for a MemoryStorage
}

// handleDiskError counts a failed write. On the first failure it also ends the waiting calls: commands
// already proposed may or may not be committed.
func (g *group) handleDiskError(err error) {
	g.stats.DiskErrors++
	if g.diskErr != nil {
		return
	}
	g.log.Error("ledger: disk write failed; the replica acknowledges nothing until writes succeed",
		"file", g.host.store.path, "err", err)
	g.diskErr = fmt.Errorf("%w: %w", ErrDisk, err)
	g.failPending(ErrOutcomeUnknown)
}

// waitBeforeDiskRetry waits before a write is retried. Meanwhile it runs queued tasks, in which proposals and
// linearizable reads are rejected, and drops inbound messages. It returns false if the group is stopped.
func (g *group) waitBeforeDiskRetry(backoff time.Duration) bool {
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	for {
		select {
		case <-g.stop:
			return false
		case <-timer.C:
			return true
		case <-g.inbox:
		case task := <-g.tasks:
			task()
		}
	}
}

// updateLeader records changes of leadership. If this replica was deposed as the leader, its waiting calls
// fail.
func (g *group) updateLeader() {
	status := g.rawNode.BasicStatus()
	isLeader := status.RaftState == raft.StateLeader
	if g.isLeader && !isLeader {
		g.failPending(ErrOutcomeUnknown)
	}
	g.isLeader = isLeader
	if status.Lead == g.leaderID {
		return
	}
	g.leaderID = status.Lead
	term := status.HardState.GetTerm()
	if g.leaderID == raft.None {
		g.log.Warn("ledger: leader lost", "term", term)
		return
	}
	g.stats.Elections++
	g.log.Info("ledger: leader elected", "leader", g.memberNames[g.leaderID], "term", term, "here", isLeader)
}
