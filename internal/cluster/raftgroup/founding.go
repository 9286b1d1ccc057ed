package raftgroup

import (
	"context"
	"fmt"
	"slices"

	"cresshub/internal/cluster/placement"
)

// found founds a group that nobody has. It is founded once: by the member that ranks first among the live
// ones, after a majority of all members known (Expect at least) gave it their vote for good, each on disk.
// A group grows from its founder alone, and promises nothing until it has three voters.
func (h *Host) found(name string) {
	h.mu.Lock()
	peers, have := slices.Clone(h.peers), h.groups[name] != nil
	h.mu.Unlock()
	if have {
		return
	}
	live := livePeers(peers)
	if len(live) < h.opt.Expect || first(name, live) != h.opt.Name {
		return
	}
	votes := 0
	for _, p := range live {
		var a answer
		ctx, cancel := context.WithTimeout(context.Background(), h.opt.Election)
		err := h.net.call(ctx, p.Address, call{Kind: "vote", Group: name, From: h.opt.Name, ID: h.store.id}, &a)
		cancel()
		if err != nil || a.Err != "" {
			h.log.Debug("ledger: no vote to found the group", "group", name, "member", p.Name, "err", err,
				"says", a.Err)
			if a.Err == errHeld.Error() {
				return // somebody has it: it is not founded again
			}
			continue
		}
		votes++
	}
	if need := max(len(peers), h.opt.Expect)/2 + 1; votes < need {
		return
	}
	if _, err := h.open(name, true); err != nil {
		h.log.Error("ledger: the group could not be founded", "group", name, "err", err)
		return
	}
	h.log.Info("ledger: founded the group", "group", name, "votes", votes)
}

func livePeers(peers []Peer) []Peer {
	return slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool {
		return !p.Live || p.Replica == 0 || p.Address == ""
	})
}

func first(group string, live []Peer) string {
	ms := make([]placement.Member, 0, len(live))
	for _, p := range live {
		ms = append(ms, p.Member)
	}
	placement.Rank(group, ms)
	if len(ms) == 0 {
		return ""
	}
	return ms[0].Name
}

// vote answers a candidate who would found a group.
func (h *Host) vote(c call) error {
	h.mu.Lock()
	live, have := livePeers(h.peers), h.groups[c.Group] != nil
	h.mu.Unlock()
	if have {
		return errHeld
	}
	if !slices.Contains(h.opt.Groups, c.Group) || first(c.Group, live) != c.From {
		return errNotFirst
	}
	key, id := "vote/"+c.Group, fmt.Sprintf("%016x", c.ID)
	switch h.store.value(key) {
	case id:
		return nil
	case "":
		return h.store.setValue(key, id)
	}
	return errVoted
}
