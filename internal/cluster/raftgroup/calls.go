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
	return h.everywhere(ctx, call{Kind: "propose", Group: group, From: h.opt.Name, Data: data})
}

// Read answers a query from a state that holds all that was committed when the call began.
func (h *Host) Read(ctx context.Context, group string, query []byte) (json.RawMessage, error) {
	if g := h.group(group); g != nil {
		soon, cancel := context.WithTimeout(ctx, h.opt.Election/2) // a question to the leader may get lost
		result, err := g.read(soon, query)
		cancel()
		if err == nil {
			return json.Marshal(result)
		}
		if ctx.Err() != nil {
			return nil, err
		}
	}
	return h.everywhere(ctx, call{Kind: "read", Group: group, From: h.opt.Name, Data: query})
}

// everywhere tries members until one does what is asked: this one, the leader last told of, the members that
// rank first for the group, then all.
func (h *Host) everywhere(ctx context.Context, c call) (json.RawMessage, error) {
	last := ErrNotLeader
	tried := map[string]bool{}
	order := h.order(c.Group)
	for try := 0; try < 2*len(order)+2 && ctx.Err() == nil; try++ {
		name := h.hinted(c.Group)
		if name == "" || tried[name] {
			name = ""
			for _, n := range order {
				if !tried[n] {
					name = n
					break
				}
			}
			if name == "" {
				return nil, last
			}
		}
		tried[name] = true
		var a answer
		one, cancel := ctx, context.CancelFunc(func() {})
		if c.Kind != "propose" { // asking twice does no harm: one that does not answer is left for the next
			one, cancel = context.WithTimeout(ctx, h.opt.Election/2)
		}
		err := h.ask(one, name, c, &a)
		cancel()
		if err == nil {
			h.hintAt(c.Group, name)
			return a.Result, nil
		}
		h.hintAt(c.Group, a.Leader)
		if a.Leader != "" {
			delete(tried, a.Leader)
			if name == a.Leader {
				tried[name] = true
			}
		}
		switch {
		case c.Kind == "propose" && errors.Is(err, ErrUnknown):
			return nil, err
		case !errors.Is(err, ErrNotLeader):
			last = err
		}
	}
	if ctx.Err() != nil && c.Kind == "propose" && errors.Is(last, ErrNotLeader) {
		return nil, ErrNotLeader // no try got further than being sent away
	}
	return nil, last
}

// order is the members worth asking for a group, the likeliest first.
func (h *Host) order(group string) []string {
	h.mu.Lock()
	live := livePeers(h.peers)
	here := h.groups[group] != nil
	h.mu.Unlock()
	ms := make([]placement.Member, 0, len(live))
	for _, p := range live {
		ms = append(ms, p.Member)
	}
	var out []string
	if here {
		out = append(out, h.opt.Name)
	}
	for _, m := range placement.Choose(group, ms, nil, len(ms)) {
		if !slices.Contains(out, m.Name) {
			out = append(out, m.Name)
		}
	}
	return out
}

func (h *Host) hinted(group string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hint[group]
}

func (h *Host) hintAt(group, name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hint[group] = name
}

// ask has one member do what is asked; an error of the way there is ErrUnknown for a proposal that may have
// arrived.
func (h *Host) ask(ctx context.Context, name string, c call, a *answer) error {
	if name == h.opt.Name {
		*a = h.serve(ctx, c)
		return a.error()
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
	if err := h.net.call(ctx, address, c, a); err != nil {
		if errors.Is(err, errNotSent) {
			return ErrNotLeader
		}
		return ErrUnknown
	}
	return a.error()
}

// serve does what a member asks of this one.
func (h *Host) serve(ctx context.Context, c call) answer {
	if c.Kind == "vote" {
		if err := h.vote(c); err != nil {
			return answer{Err: err.Error()}
		}
		return answer{}
	}
	g := h.group(c.Group)
	if g == nil {
		return answer{Err: ErrNotLeader.Error(), Leader: ""}
	}
	var result any
	var err error
	switch c.Kind {
	case "propose":
		if !h.knows(c.From) {
			return answer{Err: fmt.Sprintf("%q is no member in this member's view", c.From)}
		}
		result, err = g.propose(ctx, c.Data)
	case "read":
		result, err = g.read(ctx, c.Data)
	case "roster":
		result, err = g.roster(ctx)
	default:
		err = fmt.Errorf("%q is no call", c.Kind)
	}
	if err != nil {
		a := answer{Err: err.Error()}
		if errors.Is(err, ErrNotLeader) {
			a.Leader = g.leader()
		}
		return a
	}
	raw, err := json.Marshal(result)
	if err != nil {
		return answer{Err: err.Error()}
	}
	return answer{Result: raw}
}

// knows tells whether a member is in the view.
func (h *Host) knows(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return name == h.opt.Name || slices.ContainsFunc(h.peers, func(p Peer) bool { return p.Name == name })
}

// leader is the name of the member that a replica takes for the leader; "" where it knows none.
func (g *group) leader() string {
	out := make(chan string, 1)
	if g.do(func() { out <- g.names[g.rn.BasicStatus().Lead] }) != nil {
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
