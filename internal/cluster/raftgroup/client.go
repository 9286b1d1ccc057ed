package raftgroup

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"cresshub/internal/cluster/placement"
)

// Propose has a command committed by a group, whichever member leads it, and returns the state machine's
// result as JSON. It does not retry a command whose outcome is unknown. After ErrOutcomeUnknown the command
// may have been applied; after any other error it has not been applied and will not be. It may be called from
// any goroutine.
func (h *Host) Propose(ctx context.Context, group string, data []byte) (json.RawMessage, error) {
	return h.callAnyMember(ctx, request{Kind: kindPropose, Group: group, From: h.opts.Name, Data: data})
}

// Read answers a query linearizably: from a state that includes everything committed when the call began. If
// this member has a replica, that is asked first, then the other members. The result is JSON. It may be
// called from any goroutine.
func (h *Host) Read(ctx context.Context, group string, query []byte) (json.RawMessage, error) {
	if g := h.group(group); g != nil {
		// A ReadIndex message to the leader may be lost: after the timeout the other members are asked.
		localCtx, cancel := context.WithTimeout(ctx, h.opts.ElectionTimeout/2)
		result, err := g.readIndex(localCtx, query)
		cancel()
		if err == nil {
			return json.Marshal(result)
		}
		if ctx.Err() != nil {
			return nil, err
		}
	}
	return h.callAnyMember(ctx, request{Kind: kindRead, Group: group, From: h.opts.Name, Data: query})
}

// callAnyMember sends a request to one member after another until one answers it: to the hinted leader,
// otherwise to the next candidate. A member is asked a second time only if another one names it as the
// leader. Once the outcome of a proposal is unknown, no further member is asked, as the command might be
// applied twice.
func (h *Host) callAnyMember(ctx context.Context, req request) (json.RawMessage, error) {
	lastErr := ErrNotLeader
	candidates := h.candidates(req.Group)
	attempted := map[string]bool{}
	maxAttempts := 2*len(candidates) + 2 // as members may keep naming each other as the leader
	for attempt := 0; attempt < maxAttempts && ctx.Err() == nil; attempt++ {
		name := nextCandidate(h.leaderHint(req.Group), candidates, attempted)
		if name == "" {
			return nil, lastErr
		}
		attempted[name] = true
		resp, err := h.attempt(ctx, name, req)
		if err == nil {
			h.setLeaderHint(req.Group, name)
			return resp.Result, nil
		}
		h.setLeaderHint(req.Group, resp.Leader)
		if resp.Leader != "" && resp.Leader != name {
			delete(attempted, resp.Leader)
		}
		switch {
		case req.Kind == kindPropose && errors.Is(err, ErrOutcomeUnknown):
			return nil, err
		case !errors.Is(err, ErrNotLeader):
			lastErr = err
		}
	}
	if ctx.Err() != nil && req.Kind == kindPropose && errors.Is(lastErr, ErrNotLeader) {
		return nil, ErrNotLeader // no attempt reached a leader
	}
	return nil, lastErr
}

// nextCandidate returns the hinted leader if it was not attempted, else the first candidate that was not, or
// "" if all were.
func nextCandidate(hint string, candidates []string, attempted map[string]bool) string {
	if hint != "" && !attempted[hint] {
		return hint
	}
	for _, member := range candidates {
		if !attempted[member] {
			return member
		}
	}
	return ""
}

// attempt sends a request to one member. Requests other than proposals are idempotent and have a timeout of
// half an election timeout for each member, so that the next one can be asked.
func (h *Host) attempt(ctx context.Context, name string, req request) (response, error) {
	if req.Kind != kindPropose {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, h.opts.ElectionTimeout/2)
		defer cancel()
	}
	return h.callMember(ctx, name, req)
}

// candidates returns the members to ask about a group, those most likely to have a replica first.
func (h *Host) candidates(group string) []string {
	h.mu.Lock()
	live := livePeers(h.peers)
	replicaHere := h.groups[group] != nil
	h.mu.Unlock()
	members := make([]placement.Member, 0, len(live))
	for _, peer := range live {
		members = append(members, peer.Member)
	}
	var names []string
	if replicaHere {
		names = append(names, h.opts.Name)
	}
	for _, member := range placement.Choose(group, members, nil, len(members)) {
		if !slices.Contains(names, member.Name) {
			names = append(names, member.Name)
		}
	}
	return names
}

// leaderHint returns the member that last led a group as far as this one knows, or "" if it knows none.
func (h *Host) leaderHint(group string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaderHints[group]
}

func (h *Host) setLeaderHint(group, name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaderHints[group] = name
}

// callMember sends a request to one member, which may be this one. A network failure is returned as
// ErrNotLeader if the member certainly did not receive the request, and otherwise as ErrOutcomeUnknown.
func (h *Host) callMember(ctx context.Context, name string, req request) (response, error) {
	if name == h.opts.Name {
		resp := h.handleRequest(ctx, req)
		return resp, resp.err()
	}
	address := h.addressOf(name)
	if address == "" {
		return response{}, ErrNotLeader
	}
	var resp response
	if err := h.net.call(ctx, address, req, &resp); err != nil {
		if errors.Is(err, errUnreachable) {
			return resp, ErrNotLeader
		}
		return resp, ErrOutcomeUnknown
	}
	return resp, resp.err()
}

// addressOf returns the host:port of a member of the view, or "" if the member is not in the view or has no
// Host.
func (h *Host) addressOf(name string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i := slices.IndexFunc(h.peers, func(peer Peer) bool { return peer.Name == name }); i >= 0 {
		return h.peers[i].Address
	}
	return ""
}
