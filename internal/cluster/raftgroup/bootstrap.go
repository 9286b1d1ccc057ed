package raftgroup

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"cresshub/internal/cluster/placement"
)

// Why a vote to bootstrap a group is denied. They cross between members as their texts.
var (
	errGroupExists    = errors.New("the group is there already")
	errAlreadyVoted   = errors.New("another member has the vote to found the group")
	errNotFirstRanked = errors.New("the candidate is not first in this member's view")
)

// bootstrap makes a group that no member has. Only the live member that ranks first for the group does, and
// only with the votes of a majority of all known members (of BootstrapExpect, if those are more). A vote is
// stored and never given to another candidate, so that a group is bootstrapped only once in a fleet. The
// group begins with this replica, grows from it, and accepts no proposals until it has minVoters.
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
	votes, err := h.collectBootstrapVotes(name, live)
	if err != nil || votes < max(len(peers), h.opts.BootstrapExpect)/2+1 {
		return
	}
	if _, err := h.openReplica(name, true); err != nil {
		h.log.Error("ledger: bootstrap failed", "group", name, "err", err)
		return
	}
	h.log.Info("ledger: group bootstrapped", "group", name, "votes", votes)
}

// collectBootstrapVotes requests the votes of live members, this one among them, and returns how many voted.
// The error is errGroupExists if one of them has the group.
func (h *Host) collectBootstrapVotes(name string, live []Peer) (int, error) {
	votes := 0
	for _, p := range live {
		var resp response
		ctx, cancel := context.WithTimeout(context.Background(), h.opts.ElectionTimeout)
		req := request{Kind: kindVote, Group: name, From: h.opts.Name, ID: h.store.id}
		err := h.net.call(ctx, p.Address, req, &resp)
		cancel()
		if err == nil && resp.Err == "" {
			votes++
			continue
		}
		h.log.Debug("ledger: no bootstrap vote", "group", name, "member", p.Name, "err", err, "says", resp.Err)
		if resp.Err == errGroupExists.Error() {
			return 0, errGroupExists
		}
	}
	return votes, nil
}

// handleBootstrapVote answers a member that asks for this one's vote.
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

// livePeers are the peers that take part now and can have replicas.
func livePeers(peers []Peer) []Peer {
	return slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool {
		return !p.Live || p.ReplicaID == 0 || p.Address == ""
	})
}

// firstRanked is the live member that ranks first for a group; "" if none is live.
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
