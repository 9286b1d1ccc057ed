package raftgroup

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// handleReady carries out what raft wants: writes to disk, then messages, then entries to the state machine.
// False where the group stops.
func (g *group) handleReady() bool {
	for g.rawNode.HasReady() {
		rd := g.rawNode.Ready()
		switch {
		case mustPersist(&rd):
			if !g.persist(&rd) {
				return false
			}
		case !raft.IsEmptyHardState(rd.HardState):
			// A higher commit index alone, which a restart learns again.
			g.setHardState(rd.HardState)
		}
		g.host.send(g.name, rd.Messages)
		g.applyReady(&rd)
		g.rawNode.Advance(rd)
		g.serveReads()
		g.updateLeader()
	}
	g.maybeCompact()
	return true
}

// mustPersist reports whether a Ready has to be on disk before it is acted on. A membership change has to be
// there as committed: a replica that forgot it would, after a restart, wait for votes of former voters.
func mustPersist(rd *raft.Ready) bool {
	confChange := slices.ContainsFunc(rd.CommittedEntries, func(e *raftpb.Entry) bool {
		return e.GetType() != raftpb.EntryNormal
	})
	return rd.MustSync || confChange || len(rd.Entries) > 0 || !raft.IsEmptySnap(rd.Snapshot)
}

// applyReady applies a Ready's snapshot and committed entries, and notes confirmed read indexes.
func (g *group) applyReady(rd *raft.Ready) {
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := g.restoreSnapshot(rd.Snapshot); err != nil {
			panic(err)
		}
		g.stats.Restored++
		g.snapshotIndex = g.appliedIndex
		g.log.Info("ledger: snapshot of the leader installed", "index", g.appliedIndex)
	}
	for _, e := range rd.CommittedEntries {
		g.applyEntry(e)
	}
	for _, r := range rd.ReadStates {
		id := binary.BigEndian.Uint64(r.RequestCtx)
		if read, ok := g.pendingReads[id]; ok {
			read.index = max(r.Index, 1)
			g.pendingReads[id] = read
		}
	}
}

// persist stores a Ready, again until it succeeds. Meanwhile the group answers nobody: as a leader it sends
// no heartbeats, so that the others elect one whose disk works. False where the group is stopped first.
func (g *group) persist(rd *raft.Ready) bool {
	for backoff := minDiskBackoff; ; backoff = min(2*backoff, maxDiskBackoff) {
		start := time.Now()
		size, err := g.host.store.save(g.name, rd)
		if time.Since(start) > slowSync {
			g.stats.SlowSyncs++
		}
		if err == nil {
			g.persisted(rd, size)
			return true
		}
		g.diskFailed(err)
		if !g.waitForDisk(backoff) {
			return false
		}
	}
}

// persisted takes a stored Ready, of so many bytes of log, over into raft's storage.
func (g *group) persisted(rd *raft.Ready, size int64) {
	if g.diskErr != nil {
		g.log.Info("ledger: disk writes succeed again")
		g.diskErr = nil
	}
	g.logBytes += size
	if !raft.IsEmptySnap(rd.Snapshot) {
		_ = g.storage.ApplySnapshot(rd.Snapshot) // fails for an old snapshot alone, which raft ignores itself
		g.logBytes = size
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		g.setHardState(rd.HardState)
	}
	_ = g.storage.Append(rd.Entries) // never fails: it panics on a gap
}

func (g *group) setHardState(hs *raftpb.HardState) {
	_ = g.storage.SetHardState(hs) // never fails
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
	g.failPending(ErrUnknown)
}

// waitForDisk waits before a write is attempted again: calls are rejected, messages dropped. False where the
// group is stopped.
func (g *group) waitForDisk(backoff time.Duration) bool {
	t := time.NewTimer(backoff)
	defer t.Stop()
	for {
		select {
		case <-g.stop:
			return false
		case <-t.C:
			return true
		case <-g.inbox:
		case f := <-g.tasks:
			f()
		}
	}
}

// updateLeader follows changes of leadership. Calls to a leader that was deposed fail.
func (g *group) updateLeader() {
	st := g.rawNode.BasicStatus()
	isLeader := st.RaftState == raft.StateLeader
	if g.isLeader && !isLeader {
		g.failPending(ErrUnknown)
	}
	g.isLeader = isLeader
	if st.Lead == g.lead {
		return
	}
	g.lead = st.Lead
	if st.Lead == raft.None {
		g.log.Warn("ledger: leader lost", "term", st.HardState.GetTerm())
		return
	}
	g.stats.Elections++
	g.log.Info("ledger: leader elected", "leader", g.memberNames[st.Lead], "term", st.HardState.GetTerm(),
		"here", isLeader)
}
