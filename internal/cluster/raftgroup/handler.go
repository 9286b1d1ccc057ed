package raftgroup

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"
)

// handleRequest handles a request from a member, which may be this one, before ctx ends. Errors are returned
// in the response. It may be called from any goroutine.
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
		return response{Err: fmt.Sprintf("%q is not a member in this member's view", req.From)}
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

// handle handles the requests that need the group's goroutine.
func (g *group) handle(ctx context.Context, req request) (any, error) {
	switch req.Kind {
	case kindPropose:
		return g.propose(ctx, req.Data)
	case kindRead:
		return g.readIndex(ctx, req.Data)
	case kindRoster:
		return g.roster(ctx)
	}
	return nil, fmt.Errorf("unknown request kind %q", req.Kind)
}

// isMember reports whether a member is in the view.
func (h *Host) isMember(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return name == h.opts.Name || slices.ContainsFunc(h.peers, func(peer Peer) bool { return peer.Name == name })
}

// leaderTimeout bounds how long leader waits for the group's goroutine.
const leaderTimeout = time.Second

// leader returns the name of the member that leads the group as far as this replica knows, or "" if it knows
// none or does not answer within leaderTimeout.
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
