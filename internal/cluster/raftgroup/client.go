package raftgroup

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"cresshub/internal/cluster/placement"
)

// Propose has a command committed by a group, wherever its leader is, and returns the state machine's result
// as JSON. It does not retry a command whose outcome is unknown. After ErrOutcomeUnknown the command may have been
// applied; any other error says that it was not and will not be. It may be called from any goroutine.
func (h *Host) Propose(ctx context.Context, group string, data []byte) (json.RawMessage, error) {
	return h.callAnyMember(ctx, request{Kind: kindPropose, Group: group, From: h.opts.Name, Data: data})
}

// Read answers a query linearizably: from a state with everything that was committed when the call began. A
// replica on this member is asked first, then the others. The result is JSON. It may be called from any
// goroutine.
func (h *Host) Read(ctx context.Context, group string, query []byte) (json.RawMessage, error) {
	if g := h.group(group); g != nil {
		// A ReadIndex message to the leader may get lost.
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

// callAnyMember sends a request to one member after the other until one answers it: to the leader as last
// hinted, else to the next candidate. A member is asked again only where another one names it as leader. A
// proposal goes to no further member once its outcome is unknown, as it might be applied twice.
func (h *Host) callAnyMember(ctx context.Context, req request) (json.RawMessage, error) {
	lastErr := ErrNotLeader
	candidates := h.candidates(req.Group)
	attempted := map[string]bool{}
	maxAttempts := 2*len(candidates) + 2 // members may go on naming each other
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

// nextCandidate is the hinted leader, else the first candidate, that was not attempted; "" if all were.
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

// attempt sends a request to one member. Requests other than proposals are idempotent: a member that does not
// answer one within half an election timeout is given up for the next.
func (h *Host) attempt(ctx context.Context, name string, req request) (response, error) {
	if req.Kind != kindPropose {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, h.opts.ElectionTimeout/2)
		defer cancel()
	}
	return h.callMember(ctx, name, req)
}

// candidates are the members to ask about a group, the likeliest to have a replica first.
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

// leaderHint is the member that last led a group as far as this one knows; "" if it doesn't.
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

// callMember has one member, which may be this one, answer a request. A failure on the way is ErrNotLeader
// where the request was certainly not received, else ErrOutcomeUnknown.
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

// addressOf is where a member of the view listens; "" if it is not in the view or doesn't listen.
func (h *Host) addressOf(name string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i := slices.IndexFunc(h.peers, func(peer Peer) bool { return peer.Name == name }); i >= 0 {
		return h.peers[i].Address
	}
	return ""
}
