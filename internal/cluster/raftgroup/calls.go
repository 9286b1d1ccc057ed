package raftgroup

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"cresshub/internal/cluster/placement"
)

// Propose has a command committed by a group, wherever its leader is, and returns what became of it as JSON.
// After ErrUnknown the command may have been applied; any other error says that it was not and will not be.
func (h *Host) Propose(ctx context.Context, group string, data []byte) (json.RawMessage, error) {
	return h.callAnyMember(ctx, request{Kind: "propose", Group: group, From: h.opts.Name, Data: data})
}

// Read answers a query from a state that holds all that was committed when the call began.
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
	return h.callAnyMember(ctx, request{Kind: "read", Group: group, From: h.opts.Name, Data: query})
}

// callAnyMember tries members until one does what is asked: this one, the leader last told of, the members
// that rank first for the group, then all.
func (h *Host) callAnyMember(ctx context.Context, req request) (json.RawMessage, error) {
	lastErr := ErrNotLeader
	attempted := map[string]bool{}
	order := h.candidates(req.Group)
	for attempt := 0; attempt < 2*len(order)+2 && ctx.Err() == nil; attempt++ {
		name := h.leaderHint(req.Group)
		if name == "" || attempted[name] {
			name = ""
			for _, member := range order {
				if !attempted[member] {
					name = member
					break
				}
			}
			if name == "" {
				return nil, lastErr
			}
		}
		attempted[name] = true
		var resp response
		attemptCtx, cancel := ctx, context.CancelFunc(func() {})
		if req.Kind != "propose" { // asking twice does no harm: one that does not answer is left for the next
			attemptCtx, cancel = context.WithTimeout(ctx, h.opts.ElectionTimeout/2)
		}
		err := h.callMember(attemptCtx, name, req, &resp)
		cancel()
		if err == nil {
			h.setLeaderHint(req.Group, name)
			return resp.Result, nil
		}
		h.setLeaderHint(req.Group, resp.Leader)
		if resp.Leader != "" {
			delete(attempted, resp.Leader)
			if name == resp.Leader {
				attempted[name] = true
			}
		}
		switch {
		case req.Kind == "propose" && errors.Is(err, ErrUnknown):
			return nil, err
		case !errors.Is(err, ErrNotLeader):
			lastErr = err
		}
	}
	if ctx.Err() != nil && req.Kind == "propose" && errors.Is(lastErr, ErrNotLeader) {
		return nil, ErrNotLeader // no try got further than being sent away
	}
	return nil, lastErr
}

// candidates is the members worth asking for a group, the likeliest first.
func (h *Host) candidates(group string) []string {
	h.mu.Lock()
	live := livePeers(h.peers)
	replicaHere := h.groups[group] != nil
	h.mu.Unlock()
	members := make([]placement.Member, 0, len(live))
	for _, p := range live {
		members = append(members, p.Member)
	}
	var out []string
	if replicaHere {
		out = append(out, h.opts.Name)
	}
	for _, m := range placement.Choose(group, members, nil, len(members)) {
		if !slices.Contains(out, m.Name) {
			out = append(out, m.Name)
		}
	}
	return out
}

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

// callMember has one member do what is asked; an error of the way there is ErrUnknown for a proposal that
// may have arrived.
func (h *Host) callMember(ctx context.Context, name string, req request, resp *response) error {
	if name == h.opts.Name {
		*resp = h.handleRequest(ctx, req)
		return resp.err()
	}
	h.mu.Lock()
	at := slices.IndexFunc(h.peers, func(p Peer) bool { return p.Name == name })
	address := ""
	if at >= 0 {
		address = h.peers[at].Address
	}
	h.mu.Unlock()
	if address == "" {
		return ErrNotLeader
	}
	if err := h.net.call(ctx, address, req, resp); err != nil {
		if errors.Is(err, errNotSent) {
			return ErrNotLeader
		}
		return ErrUnknown
	}
	return resp.err()
}

// handleRequest does what a member asks of this one.
func (h *Host) handleRequest(ctx context.Context, req request) response {
	if req.Kind == "vote" {
		if err := h.handleBootstrapVote(req); err != nil {
			return response{Err: err.Error()}
		}
		return response{}
	}
	g := h.group(req.Group)
	if g == nil {
		return response{Err: ErrNotLeader.Error(), Leader: ""}
	}
	var result any
	var err error
	switch req.Kind {
	case "propose":
		if !h.isMember(req.From) {
			return response{Err: fmt.Sprintf("%q is no member in this member's view", req.From)}
		}
		result, err = g.propose(ctx, req.Data)
	case "read":
		result, err = g.readIndex(ctx, req.Data)
	case "roster":
		result, err = g.roster(ctx)
	default:
		err = fmt.Errorf("%q is no call", req.Kind)
	}
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

// isMember tells whether a member is in the view.
func (h *Host) isMember(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return name == h.opts.Name || slices.ContainsFunc(h.peers, func(p Peer) bool { return p.Name == name })
}

// leader is the name of the member that a replica takes for the leader; "" where it knows none.
func (g *group) leader() string {
	out := make(chan string, 1)
	if g.enqueue(func() { out <- g.memberNames[g.rawNode.BasicStatus().Lead] }) != nil {
		return ""
	}
	select {
	case name := <-out:
		return name
	case <-g.done:
	case <-time.After(time.Second):
	}
	return ""
}
