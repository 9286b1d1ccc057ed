package raftgroup

import (
	"context"
	"encoding/json"
	"slices"

	"go.etcd.io/raft/v3"
)

// Roster is the replicas of a group, as its leader lists them.
type Roster struct {
	Disks   []uint64 `json:"disks"`   // replica IDs of voters and learners
	Applied uint64   `json:"applied"` // the leader's applied index
}

// roster lists the group's replicas, on its leader; ErrNotLeader elsewhere.
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

// removeStrays removes replicas that left their group while they were unreachable: no leader sends to them
// any more, so that they never receive the change. A replica without a leader asks the other members for
// the roster, and goes where a leader that applied more does not list it.
func (h *Host) removeStrays() {
	for _, name := range h.opts.Groups {
		g := h.group(name)
		if g == nil {
			continue
		}
		st := h.Status(name)
		if st.Role == roleNone || !st.Leaderless {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), h.opts.ElectionTimeout)
		raw, err := h.callAnyMember(ctx, request{Kind: kindRoster, Group: name, From: h.opts.Name})
		cancel()
		var r Roster
		if err != nil || json.Unmarshal(raw, &r) != nil || slices.Contains(r.Disks, h.store.id) ||
			r.Applied <= st.Applied {
			continue
		}
		_ = g.enqueue(func() { g.removed = true }) // attempted again at the next look where it is busy
	}
}
