package raftgroup

import (
	"context"
	"encoding/json"
	"slices"

	"go.etcd.io/raft/v3"
)

// Roster lists the replicas of a group as its leader knows them. Members exchange it as JSON.
type Roster struct {
	ReplicaIDs []uint64 `json:"disks"`   // of voters and learners
	Applied    uint64   `json:"applied"` // the leader's applied index
}

// roster lists the group's replicas if this replica is the leader; otherwise the error is ErrNotLeader. It
// may be called from any goroutine.
func (g *group) roster(ctx context.Context) (any, error) {
	return g.call(ctx, func(out chan outcome) {
		if g.rawNode.BasicStatus().RaftState != raft.StateLeader {
			out <- outcome{err: ErrNotLeader}
			return
		}
		roster := Roster{Applied: g.appliedIndex}
		roster.ReplicaIDs = append(append(roster.ReplicaIDs, g.confState.GetVoters()...),
			g.confState.GetLearners()...)
		out <- outcome{result: roster}
	})
}

// removeStaleReplicas removes replicas of this member that were removed from their group while they were
// unreachable. Leaders no longer send to such a replica, so it never receives the membership change that
// removed it. Called by maintainGroups.
func (h *Host) removeStaleReplicas() {
	for _, name := range h.opts.Groups {
		g := h.group(name)
		if g != nil && h.isStale(name) {
			_ = g.enqueue(func() { g.removed = true }) // if the group is busy, the next round tries again
		}
	}
}

// isStale reports whether this member's replica was removed from its group without learning of it: it
// receives nothing from a leader, and a leader with a higher applied index does not list it. A leader whose
// applied index is not higher may not have applied yet that this replica was added.
func (h *Host) isStale(name string) bool {
	status := h.Status(name)
	if status.Role == RoleNone || !status.Leaderless {
		return false
	}
	roster, err := h.requestRoster(name)
	return err == nil && !slices.Contains(roster.ReplicaIDs, h.store.id) && roster.Applied > status.Applied
}

// requestRoster asks the members for the roster of a group until the group's leader answers.
func (h *Host) requestRoster(name string) (Roster, error) {
	ctx, cancel := context.WithTimeout(context.Background(), h.opts.ElectionTimeout)
	defer cancel()
	var roster Roster
	raw, err := h.callAnyMember(ctx, request{Kind: kindRoster, Group: name, From: h.opts.Name})
	if err == nil {
		err = json.Unmarshal(raw, &roster)
	}
	return roster, err
}
