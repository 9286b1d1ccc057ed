package raftgroup

import (
	"context"
	"encoding/json"
	"slices"

	"go.etcd.io/raft/v3"
)

// Roster is the replicas of a group, as its leader lists them. It crosses between members as JSON.
type Roster struct {
	Disks   []uint64 `json:"disks"`   // replica IDs of voters and learners
	Applied uint64   `json:"applied"` // the leader's applied index
}

// roster lists the group's replicas, on its leader; ErrNotLeader elsewhere. It may be called from any
// goroutine.
func (g *group) roster(ctx context.Context) (any, error) {
	return g.call(ctx, func(out chan outcome) {
		if g.rawNode.BasicStatus().RaftState != raft.StateLeader {
			out <- outcome{err: ErrNotLeader}
			return
		}
		roster := Roster{Applied: g.appliedIndex}
		roster.Disks = append(append(roster.Disks, g.confState.GetVoters()...), g.confState.GetLearners()...)
		out <- outcome{result: roster}
	})
}

// removeStaleReplicas removes replicas of this member that left their group while they were unreachable. No
// leader sends to such a replica any more, so that it never receives the change that removed it. Called by
// maintainGroups.
func (h *Host) removeStaleReplicas() {
	for _, name := range h.opts.Groups {
		g := h.group(name)
		if g != nil && h.isStale(name) {
			_ = g.enqueue(func() { g.removed = true }) // attempted again at the next look where it is busy
		}
	}
}

// isStale reports whether this member's replica of a group was removed from it without learning so: it
// receives nothing of a leader, and a leader that applied more than it does not list it. A leader that
// applied as much or less may not know yet that this replica was added.
func (h *Host) isStale(name string) bool {
	status := h.Status(name)
	if status.Role == RoleNone || !status.Leaderless {
		return false
	}
	roster, err := h.requestRoster(name)
	return err == nil && !slices.Contains(roster.Disks, h.store.id) && roster.Applied > status.Applied
}

// requestRoster asks the members for the roster of a group, which its leader answers.
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
