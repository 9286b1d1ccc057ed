package raftgroup

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
)

// Status is the state of this member's replica of a group, as the operators' pages show it.
type Status struct {
	Group      string          `json:"group"`
	Role       Role            `json:"role"`
	Leader     string          `json:"leader,omitempty"`
	Term       uint64          `json:"term"`
	Commit     uint64          `json:"commit_index"`
	Applied    uint64          `json:"applied_index"`
	Snapshot   uint64          `json:"snapshot_index"`
	LogBytes   int64           `json:"log_bytes"` // since the snapshot
	Voters     []string        `json:"voters"`
	Learners   []string        `json:"learners,omitempty"`
	Replicas   []ReplicaStatus `json:"replicas,omitempty"` // on the leader
	Disk       string          `json:"disk"`               // ID of this member's replicas
	Leaderless bool            `json:"silent"`             // no message of a leader was received lately
	Stalled    string          `json:"stalled,omitempty"`  // why the last write to disk failed
	Stats      GroupStats      `json:"figures"`
}

// ReplicaStatus is what a leader knows of one replica.
type ReplicaStatus struct {
	Member     string `json:"member"`
	Disk       string `json:"disk"` // replica ID
	Learner    bool   `json:"learner,omitempty"`
	LagEntries uint64 `json:"behind"` // log entries not known to be on its disk
	Active     bool   `json:"active"` // it answered lately
}

// Role is what this member's replica is in its group, as pages and JSON name it.
type Role string

// The roles.
const (
	RoleLeader    Role = "leader"
	RoleFollower  Role = "follower"  // or learner
	RoleCandidate Role = "candidate" // or pre-candidate
	RoleNone      Role = "none"      // no replica here, or one that does not answer
)

// formatDiskID writes a replica ID as pages and the store have it: 16 hexadecimal digits.
func formatDiskID(id uint64) string { return fmt.Sprintf("%016x", id) }

// statusTimeout bounds how long a group's goroutine is waited for.
const statusTimeout = 300 * time.Millisecond

// Status is the state of this member's replica of a group. A replica that doesn't answer in time, or has
// stopped, has role none and says so in Stalled.
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

// replicaStatus returns the state of all replicas as this one, the leader, knows it, sorted by member and ID.
func (g *group) replicaStatus(raftStatus *raft.Status) []ReplicaStatus {
	var replicas []ReplicaStatus
	last, _ := g.storage.LastIndex() // never fails in memory
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

// ReadStale answers a query from this member's own replica, which may lag. It returns false if this member
// has no replica, or the query fails.
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
