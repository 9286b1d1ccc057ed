package agentsim

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/router/controlclient"
	"cresshub/internal/simulation/simnet"
)

// heartbeat is the body of a heartbeat.
type heartbeat struct {
	Service  string `json:"depot"`
	Address  string `json:"address"`
	Zone     string `json:"district"`
	Version  string `json:"edition"`
	Slots    int    `json:"bays"`
	State    string `json:"state"`
	Stage    string `json:"stage,omitempty"`
	Sequence int64  `json:"postmark"`
}

// heartbeat returns the next heartbeat.
func (s *Server) heartbeat(state string) *heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return &heartbeat{Service: serviceName, Address: s.address(), Zone: s.Zone, Version: "v1",
		Slots: serverSlots, State: state, Stage: s.stage, Sequence: s.sequence}
}

// sendHeartbeat sends a heartbeat to one machine after the other until one acknowledges it, and reports
// whether one did.
func (s *Server) sendHeartbeat(h *heartbeat, first ...string) bool {
	body, err := json.Marshal(h)
	if err != nil {
		s.fleet.TB.Error(err)
		return false
	}
	return s.callAny(controlclient.Call{Method: "PUT", Target: "/api/servers/" + s.ID, Body: body}, first)
}

// callAny makes a call at one machine after the other until one acknowledges it, and reports whether one did.
// It begins with those given, then the one that an earlier answer named.
func (s *Server) callAny(call controlclient.Call, first []string) bool {
	targets := slices.Clone(first)
	s.mu.Lock()
	if s.forward != "" && !s.Alternate {
		targets = append(targets, s.forward)
	}
	s.mu.Unlock()
	machines := s.fleet.allMachines()
	s.mu.Lock()
	order := s.random.Perm(len(machines))
	s.mu.Unlock()
	for _, i := range order {
		targets = append(targets, machines[i].Control())
	}
	for _, target := range targets {
		if s.call(target, call) {
			return true
		}
		time.Sleep(retryInterval)
	}
	return false
}

// call makes a call at one machine and reports whether that acknowledged it.
func (s *Server) call(target string, call controlclient.Call) bool {
	answer, err := callFrom(s.network, target, call)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || answer.Status/100 != 2 {
		if target == s.forward {
			s.forward = ""
		}
		return false
	}
	var reply struct {
		Forward string `json:"forward_to"`
	}
	if json.Unmarshal(answer.Body, &reply) == nil && reply.Forward != "" {
		s.forward = reply.Forward
	}
	now := time.Now()
	if !s.lastAcked.IsZero() {
		s.longestGap = max(s.longestGap, now.Sub(s.lastAcked))
	}
	if s.firstAcked.IsZero() {
		s.firstAcked = now
	}
	s.ackedBy, s.lastAcked = target, now
	return true
}

// acknowledgedFor reports whether the first acknowledgement of a heartbeat is longer ago than a duration.
func (s *Server) acknowledgedFor(duration time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.firstAcked.IsZero() && time.Since(s.firstAcked) > duration
}

// callFrom makes a call as a process of the network, within callTimeout.
func callFrom(process *simnet.Process, target string, call controlclient.Call) (*http1.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	dial := func(_ context.Context, address string) (net.Conn, error) {
		return process.Dial(address, callTimeout)
	}
	return controlclient.DoWithDialer(ctx, dial, target, call)
}

// DelayedHeartbeat is a heartbeat in transit.
type DelayedHeartbeat struct{ heartbeat *heartbeat }

// DelayHeartbeat creates the next heartbeat, which arrives when Deliver is called.
func (s *Server) DelayHeartbeat() DelayedHeartbeat { return DelayedHeartbeat{s.heartbeat("ready")} }

// Deliver has a delayed heartbeat arrive at a machine, and reports whether it was acknowledged.
func (s *Server) Deliver(late DelayedHeartbeat, m *Machine) bool {
	return s.sendHeartbeat(late.heartbeat, m.Control())
}
