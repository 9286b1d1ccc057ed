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

// savedState is a snapshot's data.
type savedState struct {
	Names   map[uint64]string
	Machine []byte
}

var stateCodec = &codec.MsgpackHandle{}

// freshSnapshots is raft's storage with a snapshot of now where one is wanted for a member that is far
// behind: the one on disk may be from before that member was added, and a replica takes none that does not
// list it.
type freshSnapshots struct {
	*raft.MemoryStorage
	g *group
}

// Snapshot is called by raft in the group's goroutine.
func (f freshSnapshots) Snapshot() (*raftpb.Snapshot, error) {
	snap, err := f.g.snapshot()
	if err != nil {
		f.g.log.Warn("ledger: no snapshot was made for a member", "err", err)
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	return snap, nil
}

// snapshot is the state as it is now, in raft's storage too.
func (g *group) snapshot() (*raftpb.Snapshot, error) {
	raw, err := g.encodeState(g.names)
	if err != nil {
		return nil, err
	}
	snap, err := g.ms.CreateSnapshot(g.applied, g.conf, raw)
	if errors.Is(err, raft.ErrSnapOutOfDate) {
		return g.ms.Snapshot() // nothing was applied since
	}
	return snap, err
}

func (g *group) encodeState(names map[uint64]string) ([]byte, error) {
	var b []byte
	err := codec.NewEncoderBytes(&b, stateCodec).Encode(savedState{names, g.machine.Snapshot()})
	return b, err
}

// restore takes a snapshot's state.
func (g *group) restore(snap *raftpb.Snapshot) error {
	g.conf = snap.GetMetadata().GetConfState()
	if g.conf == nil {
		g.conf = &raftpb.ConfState{}
	}
	g.applied = snap.GetMetadata().GetIndex()
	if raft.IsEmptySnap(snap) {
		return nil
	}
	var st savedState
	if err := codec.NewDecoderBytes(snap.GetData(), stateCodec).Decode(&st); err != nil {
		return fmt.Errorf("its snapshot does not decode: %w", err)
	}
	if err := g.machine.Restore(st.Machine); err != nil {
		return err
	}
	g.names = st.Names
	return nil
}

// apply applies one committed entry.
func (g *group) apply(e *raftpb.Entry) {
	switch e.GetType() {
	case raftpb.EntryConfChange:
		cc := &raftpb.ConfChange{}
		if err := proto.Unmarshal(e.GetData(), cc); err != nil {
			panic(err)
		}
		// Raft may ask for a snapshot in here, for a member that is far behind. It gets the state before this
		// change, at the index before it: a snapshot at this index that did not list the change would have its
		// taker count another majority than the rest, for good.
		g.conf = g.rn.ApplyConfChange(cc)
		g.applied = e.GetIndex()
		g.changing = time.Time{}
		g.figures.Changes++
		if cc.GetType() == raftpb.ConfChangeRemoveNode {
			delete(g.names, cc.GetNodeId())
			g.removed = g.removed || cc.GetNodeId() == g.host.store.id
		} else if name := string(cc.GetContext()); name != "" {
			g.names[cc.GetNodeId()] = name
		}
		g.log.Info("ledger: the group changed", "change", cc.GetType().String(), "member",
			string(cc.GetContext()), "voters", g.named(g.conf.GetVoters()), "learners", g.named(g.conf.GetLearners()))
	case raftpb.EntryNormal:
		g.applied = e.GetIndex()
		data := e.GetData()
		if len(data) < 16 {
			return // a new leader's first entry
		}
		result := g.machine.Apply(e.GetIndex(), data[16:])
		if binary.BigEndian.Uint64(data) == g.host.store.id {
			key := binary.BigEndian.Uint64(data[8:])
			if out, ok := g.waiting[key]; ok {
				delete(g.waiting, key)
				out <- outcome{result: result}
			}
		}
	}
}

func (g *group) named(ids []uint64) []string {
	out := make([]string, 0, len(ids))
	for _, id := range ids {
		out = append(out, g.names[id])
	}
	return out
}

// compact takes a snapshot where the log behind the last has grown.
func (g *group) compact() {
	o := &g.host.opt
	grown := g.applied-g.snapped >= uint64(o.SnapshotEntries) || g.logBytes >= o.SnapshotBytes
	if !grown || g.applied == g.snapped {
		return
	}
	snap, err := g.snapshot()
	keep := uint64(keepBehind)
	if g.logBytes >= o.SnapshotBytes {
		keep = uint64(keepBehind / 10) // entries are large: what is kept behind must not fill the disk
	}
	before := uint64(1)
	if g.applied > keep {
		before = g.applied - keep
	}
	if err == nil {
		err = g.host.store.compact(g.name, snap, before)
	}
	if err != nil {
		g.log.Warn("ledger: no snapshot was taken", "err", err)
		g.logBytes = o.SnapshotBytes / 2 // tried again later, not at once
		return
	}
	if first, _ := g.ms.FirstIndex(); before > first {
		g.ms.Compact(before - 1)
	}
	g.figures.Snapshots++
	g.snapped, g.logBytes = g.applied, 0
	g.log.Info("ledger: took a snapshot", "index", g.applied, "bytes", len(snap.GetData()))
}
