package raftgroup

import (
	"context"
	"errors"
	"slices"

	"cresshub/internal/cluster/placement"
)

// bootstrapVotePrefix, followed by the name of a group, is the key under which the store keeps this member's
// vote for the group. The value is the candidate's replica ID as formatted by formatDiskID.
const bootstrapVotePrefix = "vote/"

// Reasons to deny a vote to bootstrap a group. Members send each other their texts.
var (
	errGroupExists    = errors.New("the group is there already")
	errAlreadyVoted   = errors.New("another member has the vote to found the group")
	errNotFirstRanked = errors.New("the candidate is not first in this member's view")
)

// bootstrap creates a group that no member has a replica of. Only the live member that ranks first for the
// group does so, and only with the votes of a majority of all known members (a majority of BootstrapExpect,
// if that is more than are known). A vote is stored and never given to another candidate, so that a group is
// bootstrapped only once in a fleet. The group begins with this replica as its only one and accepts no
// proposals until it has minVoters. Called by maintainGroups.
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

// collectBootstrapVotes requests the votes of the live members, including this one, and returns the number of
// votes granted. The error is errGroupExists if one of them has a replica of the group.
func (h *Host) collectBootstrapVotes(name string, live []Peer) (int, error) {
	votes := 0
	for _, peer := range live {
		resp, err := h.requestBootstrapVote(name, peer.Address)
		if err == nil && resp.Err == "" {
			votes++
			continue
		}
		h.log.Debug("ledger: no bootstrap vote", "group", name, "member", peer.Name, "err", err, "says",
			resp.Err)
		if resp.Err == errGroupExists.Error() {
			return 0, errGroupExists
		}
	}
	return votes, nil
}

func (h *Host) requestBootstrapVote(name, address string) (resp response, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), h.opts.ElectionTimeout)
	defer cancel()
	req := request{Kind: kindVote, Group: name, From: h.opts.Name, ID: h.store.id}
	err = h.net.call(ctx, address, req, &resp)
	return resp, err
}

// handleBootstrapVote handles a member's request for this member's vote. It returns nil if the vote is
// granted, which is on the synced disk by then, or else the reason why it is denied. A candidate that asks
// again is granted the same vote again.
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
	key, candidate := bootstrapVotePrefix+req.Group, formatDiskID(req.ID)
	switch h.store.metaValue(key) {
	case candidate:
		return nil
	case "":
		return h.store.setMetaValue(key, candidate)
	}
	return errAlreadyVoted
}

// livePeers returns the peers that are live and can have replicas.
func livePeers(peers []Peer) []Peer {
	return slices.DeleteFunc(slices.Clone(peers), func(peer Peer) bool {
		return !peer.Live || peer.ReplicaID == 0 || peer.Address == ""
	})
}

// firstRanked returns the name of the live member that ranks first for a group, or "" if none is live.
func firstRanked(group string, live []Peer) string {
	ranked := make([]placement.Member, 0, len(live))
	for _, peer := range live {
		ranked = append(ranked, peer.Member)
	}
	placement.Rank(group, ranked)
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0].Name
}
