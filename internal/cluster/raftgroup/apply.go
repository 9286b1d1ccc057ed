package raftgroup

import (
	"encoding/binary"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// applyEntry applies one committed entry. Entries are applied once each, in the order of their indexes.
func (g *group) applyEntry(entry *raftpb.Entry) {
	switch entry.GetType() {
	case raftpb.EntryConfChange:
		g.applyConfChange(entry)
	case raftpb.EntryNormal:
		g.applyCommand(entry)
	}
}

// applyCommand applies an entry that holds a command. If this replica proposed it, the waiting call receives
// the result.
func (g *group) applyCommand(entry *raftpb.Entry) {
	g.appliedIndex = entry.GetIndex()
	data := entry.GetData()
	if len(data) < proposalHeaderSize {
		return // a new leader's first entry is empty
	}
	result := g.stateMachine.Apply(entry.GetIndex(), data[proposalHeaderSize:])
	replicaID, requestID := binary.BigEndian.Uint64(data), binary.BigEndian.Uint64(data[8:])
	if replicaID != g.host.store.id {
		return
	}
	if out, ok := g.proposals[requestID]; ok {
		delete(g.proposals, requestID)
		out <- outcome{result: result}
	}
}

// applyConfChange applies a membership change. The change's context is the name of the member that it
// concerns.
func (g *group) applyConfChange(entry *raftpb.Entry) {
	change := &raftpb.ConfChange{}
	if err := proto.Unmarshal(entry.GetData(), change); err != nil {
		panic(err) // stops this replica (run), as the others have applied the entry
	}
	// During ApplyConfChange raft may ask for a snapshot for a replica that lags far behind. appliedIndex is
	// updated after it, so that this snapshot holds the state and the index before the change. A replica
	// restored from a snapshot at the index of the change that did not include the change would compute a
	// different majority than the others, permanently.
	g.confState = g.rawNode.ApplyConfChange(change)
	g.appliedIndex = entry.GetIndex()
	g.confChangeProposedAt = time.Time{}
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

// namesOf returns the names of the members that have the given replica IDs.
func (g *group) namesOf(ids []uint64) []string {
	names := make([]string, 0, len(ids))
	for _, id := range ids {
		names = append(names, g.memberNames[id])
	}
	return names
}
