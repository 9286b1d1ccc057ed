package raftgroup

import (
	"encoding/binary"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// applyEntry applies one committed entry.
func (g *group) applyEntry(e *raftpb.Entry) {
	switch e.GetType() {
	case raftpb.EntryConfChange:
		g.applyConfChange(e)
	case raftpb.EntryNormal:
		g.appliedIndex = e.GetIndex()
		data := e.GetData()
		if len(data) < proposalHeaderSize {
			return // a new leader's first entry is empty
		}
		result := g.stateMachine.Apply(e.GetIndex(), data[proposalHeaderSize:])
		if binary.BigEndian.Uint64(data) != g.host.store.id {
			return
		}
		id := binary.BigEndian.Uint64(data[8:])
		if out, ok := g.proposals[id]; ok {
			delete(g.proposals, id)
			out <- outcome{result: result}
		}
	}
}

// applyConfChange applies a membership change, whose context is the member's name.
func (g *group) applyConfChange(e *raftpb.Entry) {
	change := &raftpb.ConfChange{}
	if err := proto.Unmarshal(e.GetData(), change); err != nil {
		panic(err)
	}
	// In ApplyConfChange raft may ask for a snapshot for a replica that is far behind. It gets the state before
	// this change, at the index before it: a replica restored from a snapshot at this index that did not list
	// the change would count another majority than the rest, for good.
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
	g.log.Info("ledger: membership changed", "change", change.GetType().String(), "member",
		string(change.GetContext()), "voters", g.namesOf(g.confState.GetVoters()),
		"learners", g.namesOf(g.confState.GetLearners()))
}

// namesOf are the members of the given replica IDs.
func (g *group) namesOf(ids []uint64) []string {
	out := make([]string, 0, len(ids))
	for _, id := range ids {
		out = append(out, g.memberNames[id])
	}
	return out
}
