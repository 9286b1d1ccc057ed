package raftgroup

import (
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cresshub/internal/cluster/placement"
)

// reconcilePlacement makes the next change that placement wants, on the leader.
func (g *group) reconcilePlacement() {
	st := g.rawNode.Status()
	if st.RaftState != raft.StateLeader || g.host.view == nil {
		return
	}
	if !g.confChangeProposed.IsZero() && time.Since(g.confChangeProposed) < 10*g.host.opts.ElectionTimeout {
		return
	}
	current := g.placementGroup(&st)
	change := placement.Next(current, g.host.placementMembers(current), placement.Settings{
		Replicas: g.host.opts.Replicas, MaxLearnerLag: uint64(g.host.opts.MaxLearnerLag)})
	if change.Kind == placement.None {
		return
	}
	kinds := map[placement.ChangeKind]raftpb.ConfChangeType{
		placement.AddLearner: raftpb.ConfChangeAddLearnerNode,
		placement.Promote:    raftpb.ConfChangeAddNode,
		placement.Remove:     raftpb.ConfChangeRemoveNode,
	}
	if change.Kind == placement.Remove && change.ID == g.host.store.id {
		g.transferLeadership() // a leader hands over before it is removed
		return
	}
	g.log.Info("ledger: changing the group", "change", change.Kind.String(), "member", change.Name,
		"why", change.Reason)
	kind := kinds[change.Kind]
	cc := &raftpb.ConfChange{Type: &kind, NodeId: proto.Uint64(change.ID), Context: []byte(change.Name)}
	if err := g.rawNode.ProposeConfChange(cc); err != nil {
		g.log.Debug("ledger: the change was not proposed", "err", err)
		return
	}
	g.confChangeProposed = time.Now()
}

// placementGroup is the group as placement reads it.
func (g *group) placementGroup(st *raft.Status) placement.Group {
	last, _ := g.storage.LastIndex()
	out := placement.Group{Name: g.name, Leader: g.host.store.id, LastIndex: last}
	for id, p := range st.Progress {
		out.Replicas = append(out.Replicas, placement.Replica{ID: id, Name: g.memberNames[id], Learner: p.IsLearner,
			Match: p.Match})
	}
	sortReplicas(out.Replicas)
	return out
}

// transferLeadership hands leadership to the voter that is furthest.
func (g *group) transferLeadership() bool {
	st := g.rawNode.Status()
	if st.RaftState != raft.StateLeader {
		return false
	}
	best, bestMatch := uint64(0), uint64(0)
	for id, p := range st.Progress {
		if id != g.host.store.id && !p.IsLearner && p.RecentActive && p.Match >= bestMatch {
			best, bestMatch = id, p.Match
		}
	}
	if best != 0 {
		g.rawNode.TransferLeader(best)
	}
	return best != 0
}
