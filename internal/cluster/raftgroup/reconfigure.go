package raftgroup

import (
	"cmp"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cresshub/internal/cluster/placement"
)

// confChangeTypes are raft's types of placement's changes.
var confChangeTypes = map[placement.ChangeKind]raftpb.ConfChangeType{
	placement.AddLearner: raftpb.ConfChangeAddLearnerNode,
	placement.Promote:    raftpb.ConfChangeAddNode,
	placement.Remove:     raftpb.ConfChangeRemoveNode,
}

// reconcilePlacement proposes, on the leader, the next membership change that package placement wants. One is
// under way at a time; a proposal that was lost is made again after ten election timeouts.
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
	if change.Kind == placement.Remove && change.ID == g.host.store.id {
		g.transferLeadership() // the next leader removes this replica
		return
	}
	g.log.Info("ledger: proposing a membership change", "change", change.Kind.String(), "member", change.Name,
		"why", change.Reason)
	kind := confChangeTypes[change.Kind]
	cc := &raftpb.ConfChange{Type: &kind, NodeId: proto.Uint64(change.ID), Context: []byte(change.Name)}
	if err := g.rawNode.ProposeConfChange(cc); err != nil {
		g.log.Debug("ledger: membership change not proposed", "err", err)
		return
	}
	g.confChangeProposed = time.Now()
}

// placementGroup is the group as package placement reads it.
func (g *group) placementGroup(st *raft.Status) placement.Group {
	last, _ := g.storage.LastIndex() // never fails in memory
	out := placement.Group{Name: g.name, Leader: g.host.store.id, LastIndex: last}
	for id, p := range st.Progress {
		out.Replicas = append(out.Replicas, placement.Replica{ID: id, Name: g.memberNames[id],
			Learner: p.IsLearner, Match: p.Match})
	}
	// An order that does not depend on the map's.
	slices.SortFunc(out.Replicas, func(a, b placement.Replica) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// transferLeadership hands leadership to the live voter whose log is the longest; false if this replica
// does not lead or there is no such voter.
func (g *group) transferLeadership() bool {
	st := g.rawNode.Status()
	if st.RaftState != raft.StateLeader {
		return false
	}
	best, bestMatch := raft.None, uint64(0)
	for id, p := range st.Progress {
		if id != g.host.store.id && !p.IsLearner && p.RecentActive && p.Match >= bestMatch {
			best, bestMatch = id, p.Match
		}
	}
	if best != raft.None {
		g.rawNode.TransferLeader(best)
	}
	return best != raft.None
}

// handOverLeadership transfers leadership, where this replica has it, and waits until it has not, for no
// longer than timeout.
func (g *group) handOverLeadership(timeout time.Duration) {
	started := make(chan bool, 1)
	if g.enqueue(func() { started <- g.diskErr == nil && g.transferLeadership() }) != nil {
		return
	}
	select {
	case <-g.done:
		return
	case <-time.After(timeout):
		return
	case ok := <-started:
		if !ok {
			return
		}
	}
	const pollInterval = 10 * time.Millisecond
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		leads := make(chan bool, 1)
		if g.enqueue(func() { leads <- g.isLeader }) != nil {
			return
		}
		select {
		case isLeader := <-leads:
			if !isLeader {
				return
			}
		case <-g.done:
			return
		}
	}
}
