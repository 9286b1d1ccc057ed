package raftgroup

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// snapshotState is a snapshot's data.
type snapshotState struct {
	Names   map[uint64]string
	Machine []byte
}

var stateCodec = &codec.MsgpackHandle{}

// onDemandSnapshots is raft's storage with a snapshot of now where one is wanted for a member that is far
// behind: the one on disk may be from before that member was added, and a replica takes none that does not
// list it.
type onDemandSnapshots struct {
	*raft.MemoryStorage
	g *group
}

// Snapshot is called by raft in the group's goroutine.
func (f onDemandSnapshots) Snapshot() (*raftpb.Snapshot, error) {
	snap, err := f.g.createSnapshot()
	if err != nil {
		f.g.log.Warn("ledger: no snapshot was made for a member", "err", err)
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	return snap, nil
}

// createSnapshot is the state as it is now, in raft's storage too.
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

// restoreSnapshot takes a snapshot's state.
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
	if err := g.stateMachine.Restore(state.Machine); err != nil {
		return err
	}
	g.memberNames = state.Names
	return nil
}

// applyEntry applies one committed entry.
func (g *group) applyEntry(e *raftpb.Entry) {
	switch e.GetType() {
	case raftpb.EntryConfChange:
		change := &raftpb.ConfChange{}
		if err := proto.Unmarshal(e.GetData(), change); err != nil {
			panic(err)
		}
		// Raft may ask for a snapshot in here, for a member that is far behind. It gets the state before this
		// change, at the index before it: a snapshot at this index that did not list the change would have its
		// taker count another majority than the rest, for good.
		g.confState = g.rawNode.ApplyConfChange(change)
		g.appliedIndex = e.GetIndex()
		g.confChangeProposed = time.Time{}
		g.stats.ConfChanges++
		if change.GetType() == raftpb.ConfChangeRemoveNode {
			delete(g.memberNames, change.GetNodeId())
			g.removed = g.removed || change.GetNodeId() == g.host.store.id
		} else if name := string(change.GetContext()); name != "" {
			g.memberNames[change.GetNodeId()] = name
		}
		g.log.Info("ledger: the group changed", "change", change.GetType().String(), "member",
			string(change.GetContext()), "voters", g.namesOf(g.confState.GetVoters()),
			"learners", g.namesOf(g.confState.GetLearners()))
	case raftpb.EntryNormal:
		g.appliedIndex = e.GetIndex()
		data := e.GetData()
		if len(data) < 16 {
			return // a new leader's first entry
		}
		result := g.stateMachine.Apply(e.GetIndex(), data[16:])
		if binary.BigEndian.Uint64(data) == g.host.store.id {
			key := binary.BigEndian.Uint64(data[8:])
			if out, ok := g.proposals[key]; ok {
				delete(g.proposals, key)
				out <- outcome{result: result}
			}
		}
	}
}

func (g *group) namesOf(ids []uint64) []string {
	out := make([]string, 0, len(ids))
	for _, id := range ids {
		out = append(out, g.memberNames[id])
	}
	return out
}

// maybeCompact takes a snapshot where the log behind the last has grown.
func (g *group) maybeCompact() {
	o := &g.host.opts
	due := g.appliedIndex-g.snapshotIndex >= uint64(o.SnapshotEntries) || g.logBytes >= o.SnapshotBytes
	if !due || g.appliedIndex == g.snapshotIndex {
		return
	}
	snap, err := g.createSnapshot()
	keep := uint64(snapshotCatchUpEntries)
	if g.logBytes >= o.SnapshotBytes {
		keep = uint64(snapshotCatchUpEntries / 10) // entries are large: what is kept behind must not fill the disk
	}
	before := uint64(1)
	if g.appliedIndex > keep {
		before = g.appliedIndex - keep
	}
	if err == nil {
		err = g.host.store.compact(g.name, snap, before)
	}
	if err != nil {
		g.log.Warn("ledger: no snapshot was taken", "err", err)
		g.logBytes = o.SnapshotBytes / 2 // tried again later, not at once
		return
	}
	if first, _ := g.storage.FirstIndex(); before > first {
		g.storage.Compact(before - 1)
	}
	g.stats.Snapshots++
	g.snapshotIndex, g.logBytes = g.appliedIndex, 0
	g.log.Info("ledger: took a snapshot", "index", g.appliedIndex, "bytes", len(snap.GetData()))
}
