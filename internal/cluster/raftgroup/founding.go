package raftgroup

import (
	"context"
	"fmt"
	"slices"

	"cresshub/internal/cluster/placement"
)

// bootstrap founds a group that nobody has. It is founded once: by the member that ranks first among the live
// ones, after a majority of all members known (Expect at least) gave it their vote for good, each on disk.
// A group grows from its founder alone, and promises nothing until it has three voters.
func (h *Host) bootstrap(name string) {
	h.mu.Lock()
	peers, exists := slices.Clone(h.peers), h.groups[name] != nil
	h.mu.Unlock()
	if exists {
		return
	}
	live := livePeers(peers)
	if len(live) < h.opts.BootstrapExpect || firstRanked(name, live) != h.opts.Name {
		return
	}
	votes := 0
	for _, p := range live {
		var resp response
		ctx, cancel := context.WithTimeout(context.Background(), h.opts.ElectionTimeout)
		req := request{Kind: "vote", Group: name, From: h.opts.Name, ID: h.store.id}
		err := h.net.call(ctx, p.Address, req, &resp)
		cancel()
		if err != nil || resp.Err != "" {
			h.log.Debug("ledger: no vote to found the group", "group", name, "member", p.Name, "err", err,
				"says", resp.Err)
			if resp.Err == errGroupExists.Error() {
				return // somebody has it: it is not founded again
			}
			continue
		}
		votes++
	}
	if need := max(len(peers), h.opts.BootstrapExpect)/2 + 1; votes < need {
		return
	}
	if _, err := h.openReplica(name, true); err != nil {
		h.log.Error("ledger: the group could not be founded", "group", name, "err", err)
		return
	}
	h.log.Info("ledger: founded the group", "group", name, "votes", votes)
}

func livePeers(peers []Peer) []Peer {
	return slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool {
		return !p.Live || p.ReplicaID == 0 || p.Address == ""
	})
}

func firstRanked(group string, live []Peer) string {
	ranked := make([]placement.Member, 0, len(live))
	for _, p := range live {
		ranked = append(ranked, p.Member)
	}
	placement.Rank(group, ranked)
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0].Name
}

// handleBootstrapVote answers a candidate who would found a group.
func (h *Host) handleBootstrapVote(req request) error {
	h.mu.Lock()
	live, exists := livePeers(h.peers), h.groups[req.Group] != nil
	h.mu.Unlock()
	if exists {
		return errGroupExists
	}
	if !slices.Contains(h.opts.Groups, req.Group) || firstRanked(req.Group, live) != req.From {
		return errNotFirstRanked
	}
	key, id := "vote/"+req.Group, fmt.Sprintf("%016x", req.ID)
	switch h.store.metaValue(key) {
	case id:
		return nil
	case "":
		return h.store.setMetaValue(key, id)
	}
	return errAlreadyVoted
}
