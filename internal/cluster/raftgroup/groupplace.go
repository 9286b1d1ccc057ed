package raftgroup

import (
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cresshub/internal/cluster/placement"
)

// place makes the next change that placement wants, on the leader.
func (g *group) place() {
	st := g.rn.Status()
	if st.RaftState != raft.StateLeader || g.host.view == nil {
		return
	}
	if !g.changing.IsZero() && time.Since(g.changing) < 10*g.host.opt.Election {
		return
	}
	pg := g.placed(&st)
	c := placement.Next(pg, g.host.members(pg), placement.Settings{Replicas: g.host.opt.Replicas,
		CatchUp: uint64(g.host.opt.CatchUp)})
	if c.Kind == placement.None {
		return
	}
	kinds := map[placement.Kind]raftpb.ConfChangeType{placement.AddLearner: raftpb.ConfChangeAddLearnerNode,
		placement.Promote: raftpb.ConfChangeAddNode, placement.Remove: raftpb.ConfChangeRemoveNode}
	if c.Kind == placement.Remove && c.ID == g.host.store.id {
		g.transfer() // a leader hands over before it is removed
		return
	}
	g.log.Info("ledger: changing the group", "change", c.Kind.String(), "member", c.Name, "why", c.Why)
	kind := kinds[c.Kind]
	cc := &raftpb.ConfChange{Type: &kind, NodeId: proto.Uint64(c.ID), Context: []byte(c.Name)}
	if err := g.rn.ProposeConfChange(cc); err != nil {
		g.log.Debug("ledger: the change was not proposed", "err", err)
		return
	}
	g.changing = time.Now()
}

// placed is the group as placement reads it.
func (g *group) placed(st *raft.Status) placement.Group {
	last, _ := g.ms.LastIndex()
	pg := placement.Group{Name: g.name, Leader: g.host.store.id, Last: last}
	for id, p := range st.Progress {
		pg.Replicas = append(pg.Replicas, placement.Replica{ID: id, Name: g.names[id], Learner: p.IsLearner,
			Match: p.Match})
	}
	placementOrder(pg.Replicas)
	return pg
}

// transfer hands leadership to the voter that is furthest.
func (g *group) transfer() bool {
	st := g.rn.Status()
	if st.RaftState != raft.StateLeader {
		return false
	}
	best, most := uint64(0), uint64(0)
	for id, p := range st.Progress {
		if id != g.host.store.id && !p.IsLearner && p.RecentActive && p.Match >= most {
			best, most = id, p.Match
		}
	}
	if best != 0 {
		g.rn.TransferLeader(best)
	}
	return best != 0
}
