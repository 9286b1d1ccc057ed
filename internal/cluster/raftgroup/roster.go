package raftgroup

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
)

// Status is what a replica says of its group.
type Status struct {
	Group      string          `json:"group"`
	Role       string          `json:"role"` // leader, follower, candidate; none without a replica here
	Leader     string          `json:"leader,omitempty"`
	Term       uint64          `json:"term"`
	Commit     uint64          `json:"commit_index"`
	Applied    uint64          `json:"applied_index"`
	Snapshot   uint64          `json:"snapshot_index"`
	LogBytes   int64           `json:"log_bytes"` // since the snapshot
	Voters     []string        `json:"voters"`
	Learners   []string        `json:"learners,omitempty"`
	Replicas   []ReplicaStatus `json:"replicas,omitempty"` // on the leader
	Disk       string          `json:"disk"`               // identity of this member's disk
	Leaderless bool            `json:"silent"`             // no leader is heard of
	Stalled    string          `json:"stalled,omitempty"`  // why the disk does not take what is written
	Stats      GroupStats      `json:"figures"`
}

// ReplicaStatus is what a leader knows of one replica.
type ReplicaStatus struct {
	Member  string `json:"member"`
	Disk    string `json:"disk"`
	Learner bool   `json:"learner,omitempty"`
	Behind  uint64 `json:"behind"` // log entries that its disk lacks
	Active  bool   `json:"active"` // heard of lately
}

func formatDiskID(id uint64) string { return fmt.Sprintf("%016x", id) }

// statusTimeout bounds how long a group is waited for to say how it is.
const statusTimeout = 300 * time.Millisecond

// Status says how this member's replica of a group is.
func (h *Host) Status(group string) Status {
	none := Status{Group: group, Role: "none", Leader: h.leaderHint(group), Disk: formatDiskID(h.store.id)}
	g := h.group(group)
	if g == nil {
		return none
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	s, err := g.call(ctx, func(out chan outcome) { out <- outcome{result: g.status()} })
	if err != nil {
		none.Stalled = err.Error()
		return none
	}
	return s.(Status)
}

func (g *group) status() Status {
	st := g.rawNode.Status()
	s := Status{Group: g.name, Role: "follower", Leader: g.memberNames[st.Lead], Term: st.HardState.GetTerm(),
		Commit: st.HardState.GetCommit(), Applied: g.appliedIndex, Snapshot: g.snapshotIndex, LogBytes: g.logBytes,
		Voters: g.namesOf(g.confState.GetVoters()), Learners: g.namesOf(g.confState.GetLearners()), Stats: g.stats,
		Disk: formatDiskID(g.host.store.id), Leaderless: g.leaderless()}
	slices.Sort(s.Voters)
	switch st.RaftState {
	case raft.StateLeader:
		s.Role = "leader"
		last, _ := g.storage.LastIndex()
		for id, p := range st.Progress {
			s.Replicas = append(s.Replicas, ReplicaStatus{Member: g.memberNames[id], Disk: formatDiskID(id),
				Learner: p.IsLearner, Behind: last - min(p.Match, last),
				Active: p.RecentActive || id == g.host.store.id})
		}
		slices.SortFunc(s.Replicas, func(a, b ReplicaStatus) int {
			return cmp.Or(cmp.Compare(a.Member, b.Member), cmp.Compare(a.Disk, b.Disk))
		})
	case raft.StateCandidate, raft.StatePreCandidate:
		s.Role = "candidate"
	}
	if g.diskErr != nil {
		s.Stalled = g.diskErr.Error()
	}
	return s
}

// Leads tells whether this member leads a group.
func (h *Host) Leads(group string) bool { return h.Status(group).Role == "leader" }

// ReadStale answers a query from this member's own state, which may be behind; false where it has none.
func (h *Host) ReadStale(group string, query []byte) (any, bool) {
	g := h.group(group)
	if g == nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	result, err := g.call(ctx, func(out chan outcome) {
		r, err := g.stateMachine.Read(query)
		out <- outcome{r, err}
	})
	return result, err == nil
}

// Roster is who is in a group, as its leader says.
type Roster struct {
	Disks   []uint64 `json:"disks"`
	Applied uint64   `json:"applied"`
}

// roster is a leader's word on who is in the group; any other replica says that it does not lead.
func (g *group) roster(ctx context.Context) (any, error) {
	return g.call(ctx, func(out chan outcome) {
		if g.rawNode.BasicStatus().RaftState != raft.StateLeader {
			out <- outcome{err: ErrNotLeader}
			return
		}
		r := Roster{Applied: g.appliedIndex}
		r.Disks = append(append(r.Disks, g.confState.GetVoters()...), g.confState.GetLearners()...)
		out <- outcome{result: r}
	})
}

// dropStrays finds replicas that were removed from their group and could not be told, as they were away: no
// leader talks to them any more. One asks the others, and goes where a leader that is further does not list
// it.
func (h *Host) dropStrays() {
	for _, name := range h.opts.Groups {
		g := h.group(name)
		if g == nil {
			continue
		}
		st := h.Status(name)
		if st.Role == "none" || !st.Leaderless {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), h.opts.ElectionTimeout)
		raw, err := h.callAnyMember(ctx, request{Kind: "roster", Group: name, From: h.opts.Name})
		cancel()
		var r Roster
		if err != nil || json.Unmarshal(raw, &r) != nil || slices.Contains(r.Disks, h.store.id) ||
			r.Applied <= st.Applied {
			continue
		}
		g.enqueue(func() { g.removed = true })
	}
}
