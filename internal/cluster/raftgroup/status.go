package raftgroup

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
)

// Status is the state of this member's replica of a group, as it is shown on the operators' pages.
type Status struct {
	Group      string          `json:"group"`
	Role       Role            `json:"role"`
	Leader     string          `json:"leader,omitempty"`
	Term       uint64          `json:"term"`
	Commit     uint64          `json:"commit_index"`
	Applied    uint64          `json:"applied_index"`
	Snapshot   uint64          `json:"snapshot_index"`
	LogBytes   int64           `json:"log_bytes"` // size of the log since the last snapshot
	Voters     []string        `json:"voters"`
	Learners   []string        `json:"learners,omitempty"`
	Replicas   []ReplicaStatus `json:"replicas,omitempty"` // only on the leader
	Disk       string          `json:"disk"`               // ID of this member's replicas
	Leaderless bool            `json:"silent"`             // neither leads nor lately heard from a leader
	Stalled    string          `json:"stalled,omitempty"`  // why writes fail or the replica doesn't answer
	Stats      GroupStats      `json:"figures"`
}

// ReplicaStatus is the state of one replica as known to the leader.
type ReplicaStatus struct {
	Member     string `json:"member"`
	Disk       string `json:"disk"` // replica ID
	Learner    bool   `json:"learner,omitempty"`
	LagEntries uint64 `json:"behind"` // entries of the leader's log not known to be on its disk
	Active     bool   `json:"active"` // it responded to the leader lately
}

// Role is the role of this member's replica in its group, as pages and JSON name it.
type Role string

// The roles.
const (
	RoleLeader    Role = "leader"
	RoleFollower  Role = "follower"  // or learner
	RoleCandidate Role = "candidate" // or pre-candidate
	RoleNone      Role = "none"      // no replica on this member, or it does not answer
)

// formatDiskID formats a replica ID as pages and the store show it: 16 hexadecimal digits.
func formatDiskID(id uint64) string { return fmt.Sprintf("%016x", id) }

// statusTimeout bounds how long Status and ReadStale wait for a group's goroutine.
const statusTimeout = 300 * time.Millisecond

// Status returns the state of this member's replica of a group. If the replica does not answer in time or has
// stopped, its role is RoleNone and Stalled says why.
func (h *Host) Status(group string) Status {
	none := Status{Group: group, Role: RoleNone, Leader: h.leaderHint(group), Disk: formatDiskID(h.store.id)}
	g := h.group(group)
	if g == nil {
		return none
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	status, err := g.call(ctx, func(out chan outcome) { out <- outcome{result: g.status()} })
	if err != nil {
		none.Stalled = err.Error()
		return none
	}
	return status.(Status)
}

// status is called by the group's goroutine.
func (g *group) status() Status {
	raftStatus := g.rawNode.Status()
	status := Status{
		Group:      g.name,
		Role:       RoleFollower,
		Leader:     g.memberNames[raftStatus.Lead],
		Term:       raftStatus.HardState.GetTerm(),
		Commit:     raftStatus.HardState.GetCommit(),
		Applied:    g.appliedIndex,
		Snapshot:   g.snapshotIndex,
		LogBytes:   g.logBytes,
		Voters:     g.namesOf(g.confState.GetVoters()),
		Learners:   g.namesOf(g.confState.GetLearners()),
		Disk:       formatDiskID(g.host.store.id),
		Leaderless: g.leaderless(),
		Stats:      g.stats,
	}
	slices.Sort(status.Voters)
	switch raftStatus.RaftState {
	case raft.StateLeader:
		status.Role = RoleLeader
		status.Replicas = g.replicaStatus(&raftStatus)
	case raft.StateCandidate, raft.StatePreCandidate:
		status.Role = RoleCandidate
	}
	if g.diskErr != nil {
		status.Stalled = g.diskErr.Error()
	}
	return status
}

// replicaStatus returns the state of all replicas as known to this one, the leader, sorted by member and disk
// ID.
func (g *group) replicaStatus(raftStatus *raft.Status) []ReplicaStatus {
	var replicas []ReplicaStatus
	last, _ := g.storage.LastIndex() // never fails for a MemoryStorage
	for id, progress := range raftStatus.Progress {
		replicas = append(replicas, ReplicaStatus{
			Member:     g.memberNames[id],
			Disk:       formatDiskID(id),
			Learner:    progress.IsLearner,
			LagEntries: last - min(progress.Match, last),
			Active:     progress.RecentActive || id == g.host.store.id,
		})
	}
	slices.SortFunc(replicas, func(a, b ReplicaStatus) int {
		return cmp.Or(cmp.Compare(a.Member, b.Member), cmp.Compare(a.Disk, b.Disk))
	})
	return replicas
}

// Leads reports whether this member leads a group.
func (h *Host) Leads(group string) bool { return h.Status(group).Role == RoleLeader }

// ReadStale answers a query from this member's own replica, which may lag behind the leader. It returns false
// if this member has no replica, the replica does not answer in time, or the query fails.
func (h *Host) ReadStale(group string, query []byte) (any, bool) {
	g := h.group(group)
	if g == nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	result, err := g.call(ctx, func(out chan outcome) {
		answer, err := g.stateMachine.Read(query)
		out <- outcome{answer, err}
	})
	return result, err == nil
}
