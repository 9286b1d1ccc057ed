package raftgroup

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"
)

// handleRequest answers a request of a member, which may be this one, before ctx ends. Errors are in the
// response. It may be called from any goroutine.
func (h *Host) handleRequest(ctx context.Context, req request) response {
	if req.Kind == kindVote {
		if err := h.handleBootstrapVote(req); err != nil {
			return response{Err: err.Error()}
		}
		return response{}
	}
	g := h.group(req.Group)
	if g == nil {
		return response{Err: ErrNotLeader.Error()}
	}
	if req.Kind == kindPropose && !h.isMember(req.From) {
		return response{Err: fmt.Sprintf("%q is no member in this member's view", req.From)}
	}
	result, err := g.handle(ctx, req)
	if err != nil {
		resp := response{Err: err.Error()}
		if errors.Is(err, ErrNotLeader) {
			resp.Leader = g.leader()
		}
		return resp
	}
	raw, err := json.Marshal(result)
	if err != nil {
		return response{Err: err.Error()}
	}
	return response{Result: raw}
}

// handle answers a request that the group's goroutine has a part in.
func (g *group) handle(ctx context.Context, req request) (any, error) {
	switch req.Kind {
	case kindPropose:
		return g.propose(ctx, req.Data)
	case kindRead:
		return g.readIndex(ctx, req.Data)
	case kindRoster:
		return g.roster(ctx)
	}
	return nil, fmt.Errorf("%q is no call", req.Kind)
}

// isMember reports whether a member is in the view.
func (h *Host) isMember(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return name == h.opts.Name || slices.ContainsFunc(h.peers, func(peer Peer) bool { return peer.Name == name })
}

// leaderTimeout bounds how long a group's goroutine is waited for to name the leader.
const leaderTimeout = time.Second

// leader is the member that this replica takes for the leader; "" if it knows none or doesn't answer in time.
func (g *group) leader() string {
	out := make(chan string, 1)
	if g.enqueue(func() { out <- g.memberNames[g.rawNode.BasicStatus().Lead] }) != nil {
		return ""
	}
	select {
	case name := <-out:
		return name
	case <-g.done:
	case <-time.After(leaderTimeout):
	}
	return ""
}
