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

// confChangeTypes maps the changes of package placement to raft's types.
var confChangeTypes = map[placement.ChangeKind]raftpb.ConfChangeType{
	placement.AddLearner: raftpb.ConfChangeAddLearnerNode,
	placement.Promote:    raftpb.ConfChangeAddNode,
	placement.Remove:     raftpb.ConfChangeRemoveNode,
}

// confChangeTimeoutFactor is the number of election timeouts after which a proposed membership change that
// was not applied counts as lost.
const confChangeTimeoutFactor = 10

// transferPollInterval is how often transferLeadership checks whether this replica still leads.
const transferPollInterval = 10 * time.Millisecond

// reconcilePlacement proposes, on the leader, the next membership change that package placement asks for. At
// most one change is pending at a time; a lost proposal is made again. Called by the group's goroutine.
func (g *group) reconcilePlacement() {
	status := g.rawNode.Status()
	if status.RaftState != raft.StateLeader || g.host.view == nil {
		return
	}
	retryAfter := confChangeTimeoutFactor * g.host.opts.ElectionTimeout
	if !g.confChangeProposedAt.IsZero() && time.Since(g.confChangeProposedAt) < retryAfter {
		return
	}
	current := g.placementGroup(&status)
	change := placement.Next(current, g.host.placementMembers(current), placement.Settings{
		Replicas: g.host.opts.Replicas, MaxLearnerLag: uint64(g.host.opts.MaxLearnerLag)})
	if change.Kind == placement.None {
		return
	}
	if change.Kind == placement.Remove && change.ID == g.host.store.id {
		g.startLeaderTransfer() // the next leader removes this replica
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
	g.confChangeProposedAt = time.Now()
}

// placementGroup returns the group in the form in which package placement takes it.
func (g *group) placementGroup(status *raft.Status) placement.Group {
	last, _ := g.storage.LastIndex() // never fails for a MemoryStorage
	current := placement.Group{Name: g.name, Leader: g.host.store.id, LastIndex: last}
	for id, progress := range status.Progress {
		current.Replicas = append(current.Replicas, placement.Replica{ID: id, Name: g.memberNames[id],
			Learner: progress.IsLearner, Match: progress.Match})
	}
	// Sorted, so that the order does not depend on the map's.
	slices.SortFunc(current.Replicas, func(a, b placement.Replica) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.ID, b.ID))
	})
	return current
}

// startLeaderTransfer starts a leadership transfer to the recently active voter with the longest log. It
// returns false if this replica is not the leader or there is no such voter. Called by the group's goroutine.
func (g *group) startLeaderTransfer() bool {
	status := g.rawNode.Status()
	if status.RaftState != raft.StateLeader {
		return false
	}
	best, bestMatch := raft.None, uint64(0)
	for id, progress := range status.Progress {
		eligible := id != g.host.store.id && !progress.IsLearner && progress.RecentActive
		if eligible && progress.Match >= bestMatch {
			best, bestMatch = id, progress.Match
		}
	}
	if best != raft.None {
		g.rawNode.TransferLeader(best)
	}
	return best != raft.None
}

// transferLeadership transfers leadership to another replica, if this one has it, and waits until it has lost
// it, for at most about twice timeout. It may be called from any goroutine but the group's.
func (g *group) transferLeadership(timeout time.Duration) {
	started := make(chan bool, 1)
	if g.enqueue(func() { started <- g.diskErr == nil && g.startLeaderTransfer() }) != nil {
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
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(transferPollInterval) {
		if !g.leads() {
			return
		}
	}
}

// leads reports whether this replica is the leader; false if the group has stopped or can't queue the
// question.
func (g *group) leads() bool {
	answer := make(chan bool, 1)
	if g.enqueue(func() { answer <- g.isLeader }) != nil {
		return false
	}
	select {
	case isLeader := <-answer:
		return isLeader
	case <-g.done:
		return false
	}
}
