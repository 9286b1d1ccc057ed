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
	minDiskBackoff = 100 * time.Millisecond
	maxDiskBackoff = time.Second
	slowSync       = 100 * time.Millisecond // longer ones are counted
)

// handleReady carries out what raft wants, until it wants nothing more: for each Ready first the writes to
// disk, then the messages, then the entries to the state machine. It returns false if the group is stopped
// while the disk takes no writes. Called by the group's goroutine, as is all in this file.
func (g *group) handleReady() bool {
	for g.rawNode.HasReady() {
		ready := g.rawNode.Ready()
		switch {
		case mustPersist(&ready):
			if !g.persist(&ready) {
				return false
			}
		case !raft.IsEmptyHardState(ready.HardState):
			// A higher commit index alone, which a restart learns again.
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

// mustPersist reports whether a Ready has to be on disk before it is acted on. A membership change has to be
// there as committed: a replica that forgot it would, after a restart, wait for votes of former voters.
func mustPersist(ready *raft.Ready) bool {
	confChange := slices.ContainsFunc(ready.CommittedEntries, func(entry *raftpb.Entry) bool {
		return entry.GetType() != raftpb.EntryNormal
	})
	return ready.MustSync || confChange || len(ready.Entries) > 0 || !raft.IsEmptySnap(ready.Snapshot)
}

// applyReady applies a Ready's snapshot and committed entries, and notes confirmed read indexes.
func (g *group) applyReady(ready *raft.Ready) {
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := g.restoreSnapshot(ready.Snapshot); err != nil {
			panic(err) // stops this replica (run): there is no state to go on from
		}
		g.stats.Restored++
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

// persist stores a Ready, again until it succeeds. Meanwhile the group answers nobody: as a leader it sends
// no heartbeats, so that the others elect one whose disk works. False where the group is stopped first.
func (g *group) persist(ready *raft.Ready) bool {
	for backoff := minDiskBackoff; ; backoff = min(2*backoff, maxDiskBackoff) {
		start := time.Now()
		logBytes, err := g.host.store.save(g.name, ready)
		if time.Since(start) > slowSync {
			g.stats.SlowSyncs++
		}
		if err == nil {
			g.persisted(ready, logBytes)
			return true
		}
		g.diskFailed(err)
		if !g.waitForDisk(backoff) {
			return false
		}
	}
}

// persisted takes a stored Ready, of so many bytes of log, over into raft's storage.
func (g *group) persisted(ready *raft.Ready, logBytes int64) {
	if g.diskErr != nil {
		g.log.Info("ledger: disk writes succeed again")
		g.diskErr = nil
	}
	g.logBytes += logBytes
	if !raft.IsEmptySnap(ready.Snapshot) {
		_ = g.storage.ApplySnapshot(ready.Snapshot) // fails for an old snapshot alone, which raft ignores itself
		g.logBytes = logBytes
	}
	if !raft.IsEmptyHardState(ready.HardState) {
		g.setHardState(ready.HardState)
	}
	_ = g.storage.Append(ready.Entries) // never fails: it panics on a gap
}

func (g *group) setHardState(hardState *raftpb.HardState) {
	_ = g.storage.SetHardState(hardState) // never fails
}

// diskFailed notes a failed write. At the first one calls fail: those proposed may or may not be committed.
func (g *group) diskFailed(err error) {
	g.stats.DiskErrors++
	if g.diskErr != nil {
		return
	}
	g.log.Error("ledger: disk write failed; the replica acknowledges nothing until writes succeed",
		"file", g.host.store.path, "err", err)
	g.diskErr = fmt.Errorf("%w: %w", ErrDisk, err)
	g.failPending(ErrOutcomeUnknown)
}

// waitForDisk waits before a write is attempted again: calls are rejected, messages dropped. False where the
// group is stopped.
func (g *group) waitForDisk(backoff time.Duration) bool {
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

// updateLeader follows changes of leadership. Calls to a leader that was deposed fail.
func (g *group) updateLeader() {
	status := g.rawNode.BasicStatus()
	isLeader := status.RaftState == raft.StateLeader
	if g.isLeader && !isLeader {
		g.failPending(ErrOutcomeUnknown)
	}
	g.isLeader = isLeader
	if status.Lead == g.lead {
		return
	}
	g.lead = status.Lead
	term := status.HardState.GetTerm()
	if g.lead == raft.None {
		g.log.Warn("ledger: leader lost", "term", term)
		return
	}
	g.stats.Elections++
	g.log.Info("ledger: leader elected", "leader", g.memberNames[g.lead], "term", term, "here", isLeader)
}
