package raftgroup

import (
	"errors"
	"fmt"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// snapshotState is a snapshot's data, in msgpack.
type snapshotState struct {
	MemberNames  map[uint64]string `codec:"Names"` // by replica ID
	StateMachine []byte            `codec:"Machine"`
}

var stateCodec = &codec.MsgpackHandle{}

// onDemandSnapshots is a raft storage that takes a snapshot of the present state when raft needs one for a
// replica that lags far. The last one on disk may be older than that replica, and a replica accepts no
// snapshot that does not list it.
type onDemandSnapshots struct {
	*raft.MemoryStorage
	g *group
}

// Snapshot is called by raft in the group's goroutine.
func (s onDemandSnapshots) Snapshot() (*raftpb.Snapshot, error) {
	snap, err := s.g.createSnapshot()
	if err != nil {
		s.g.log.Warn("ledger: snapshot for a follower failed", "err", err)
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	return snap, nil
}

// createSnapshot takes a snapshot of the present state into raft's storage.
func (g *group) createSnapshot() (*raftpb.Snapshot, error) {
	raw, err := g.encodeState(g.memberNames)
	if err != nil {
		return nil, err
	}
	snap, err := g.storage.CreateSnapshot(g.appliedIndex, g.confState, raw)
	if errors.Is(err, raft.ErrSnapOutOfDate) {
		return g.storage.Snapshot() // nothing was applied since
	}
	return snap, err
}

func (g *group) encodeState(names map[uint64]string) ([]byte, error) {
	var b []byte
	err := codec.NewEncoderBytes(&b, stateCodec).Encode(snapshotState{names, g.stateMachine.Snapshot()})
	return b, err
}

// restoreSnapshot replaces the group's state by a snapshot's.
func (g *group) restoreSnapshot(snap *raftpb.Snapshot) error {
	g.confState = snap.GetMetadata().GetConfState()
	if g.confState == nil {
		g.confState = &raftpb.ConfState{}
	}
	g.appliedIndex = snap.GetMetadata().GetIndex()
	if raft.IsEmptySnap(snap) {
		return nil
	}
	var state snapshotState
	if err := codec.NewDecoderBytes(snap.GetData(), stateCodec).Decode(&state); err != nil {
		return fmt.Errorf("its snapshot does not decode: %w", err)
	}
	if err := g.stateMachine.Restore(state.StateMachine); err != nil {
		return err
	}
	g.memberNames = state.MemberNames
	return nil
}

// maybeCompact takes a snapshot and drops log before it where the log has grown by SnapshotEntries or
// SnapshotBytes since the last.
func (g *group) maybeCompact() {
	o := &g.host.opts
	due := g.appliedIndex-g.snapshotIndex >= uint64(o.SnapshotEntries) || g.logBytes >= o.SnapshotBytes
	if !due || g.appliedIndex == g.snapshotIndex {
		return
	}
	firstKept := g.firstKeptIndex()
	snap, err := g.createSnapshot()
	if err == nil {
		err = g.host.store.compact(g.name, snap, firstKept)
	}
	if err != nil {
		g.log.Warn("ledger: snapshot failed", "err", err)
		g.logBytes = o.SnapshotBytes / 2 // attempted again later, not at once
		return
	}
	if first, _ := g.storage.FirstIndex(); firstKept > first {
		_ = g.storage.Compact(firstKept - 1) // fails where compacted further already
	}
	g.stats.Snapshots++
	g.snapshotIndex, g.logBytes = g.appliedIndex, 0
	g.log.Info("ledger: snapshot taken", "index", g.appliedIndex, "bytes", len(snap.GetData()))
}

// firstKeptIndex is the first log entry to keep before a snapshot of the present state. Fewer are kept where
// entries are large, so that they don't fill the disk.
func (g *group) firstKeptIndex() uint64 {
	kept := uint64(snapshotCatchUpEntries)
	if g.logBytes >= g.host.opts.SnapshotBytes {
		kept = snapshotCatchUpEntries / 10
	}
	if g.appliedIndex > kept {
		return g.appliedIndex - kept
	}
	return 1
}
