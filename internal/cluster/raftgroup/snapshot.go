package raftgroup

import (
	"errors"
	"fmt"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// snapshotCatchUpEntries is the number of log entries before a snapshot that compaction keeps, so that
// followers that are only slow can catch up from the log.
const snapshotCatchUpEntries = 1000

// snapshotState is the data of a snapshot, encoded in msgpack.
type snapshotState struct {
	MemberNames  map[uint64]string `codec:"Names"` // by replica ID
	StateMachine []byte            `codec:"Machine"`
}

var stateCodec = &codec.MsgpackHandle{}

// onDemandSnapshots is a raft storage that takes a snapshot of the current state when raft needs one for a
// replica that lags far behind. The last snapshot on disk may be older than the addition of that replica, and
// a replica does not accept a snapshot that does not list it.
type onDemandSnapshots struct {
	*raft.MemoryStorage
	group *group
}

// Snapshot is called by raft in the group's goroutine.
func (s onDemandSnapshots) Snapshot() (*raftpb.Snapshot, error) {
	snap, err := s.group.createSnapshot()
	if err != nil {
		s.group.log.Warn("ledger: snapshot for a follower failed", "err", err)
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	return snap, nil
}

// createSnapshot takes a snapshot of the current state and puts it into raft's storage.
func (g *group) createSnapshot() (*raftpb.Snapshot, error) {
	raw, err := g.encodeState(g.memberNames)
	if err != nil {
		return nil, err
	}
	snap, err := g.storage.CreateSnapshot(g.appliedIndex, g.confState, raw)
	if errors.Is(err, raft.ErrSnapOutOfDate) {
		return g.storage.Snapshot() // nothing was applied since the last one
	}
	return snap, err
}

// encodeState encodes the state machine's state and the names of the replicas' members as the data of a
// snapshot.
func (g *group) encodeState(names map[uint64]string) ([]byte, error) {
	var raw []byte
	err := codec.NewEncoderBytes(&raw, stateCodec).Encode(snapshotState{names, g.stateMachine.Snapshot()})
	return raw, err
}

// restoreSnapshot replaces the group's state by that of a snapshot.
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
		return fmt.Errorf("decode snapshot: %w", err)
	}
	if err := g.stateMachine.Restore(state.StateMachine); err != nil {
		return err
	}
	g.memberNames = state.MemberNames
	return nil
}

// maybeCompact takes a snapshot and deletes older log entries if SnapshotEntries entries were applied or the
// log grew by SnapshotBytes since the last snapshot. Called by the group's goroutine after it has handled all
// Readies.
func (g *group) maybeCompact() {
	opts := &g.host.opts
	due := g.appliedIndex-g.snapshotIndex >= uint64(opts.SnapshotEntries) || g.logBytes >= opts.SnapshotBytes
	if !due || g.appliedIndex == g.snapshotIndex {
		return
	}
	firstIndex := g.firstIndexAfterCompaction()
	snap, err := g.createSnapshot()
	if err == nil {
		err = g.host.store.compact(g.name, snap, firstIndex)
	}
	if err != nil {
		g.log.Warn("ledger: snapshot failed", "err", err)
		g.logBytes = opts.SnapshotBytes / 2 // if the log's size was the trigger, delays the next attempt
		return
	}
	if current, _ := g.storage.FirstIndex(); firstIndex > current {
		_ = g.storage.Compact(firstIndex - 1) // fails only if already compacted further
	}
	g.stats.SnapshotsTaken++
	g.snapshotIndex, g.logBytes = g.appliedIndex, 0
	g.log.Info("ledger: snapshot taken", "index", g.appliedIndex, "bytes", len(snap.GetData()))
}

// firstIndexAfterCompaction returns the index of the first log entry to keep before a snapshot of the current
// state. Fewer entries are kept if the log reached SnapshotBytes, so that large entries don't fill the disk.
func (g *group) firstIndexAfterCompaction() uint64 {
	catchUpEntries := uint64(snapshotCatchUpEntries)
	if g.logBytes >= g.host.opts.SnapshotBytes {
		catchUpEntries = snapshotCatchUpEntries / 10
	}
	if g.appliedIndex > catchUpEntries {
		return g.appliedIndex - catchUpEntries
	}
	return 1
}
