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

// beat sends a heartbeat to machine after machine until one acknowledges it, and tells whether one did
// before the next heartbeat is due.
func (s *Server) sendHeartbeat(h *heartbeat, first ...string) bool {
	body, err := json.Marshal(h)
	if err != nil {
		s.fleet.TB.Error(err)
		return false
	}
	return s.callAny(controlclient.Call{Method: "PUT", Target: "/api/servers/" + s.ID, Body: body}, first)
}

// tell makes a call at machine after machine, those named first, until one acknowledges it.
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

// known tells whether heartbeats were acknowledged for so long.
func (s *Server) acknowledgedFor(long time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.firstAcked.IsZero() && time.Since(s.firstAcked) > long
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

// DelayedHeartbeat is a heartbeat that is long on its way.
type DelayedHeartbeat struct{ heartbeat *heartbeat }

// DelayHeartbeat returns a heartbeat that arrives only when it is delivered.
func (s *Server) DelayHeartbeat() DelayedHeartbeat { return DelayedHeartbeat{s.heartbeat("ready")} }

// Deliver has a late heartbeat arrive at a machine, and tells whether it was acknowledged.
func (s *Server) Deliver(late DelayedHeartbeat, m *Machine) bool {
	return s.sendHeartbeat(late.heartbeat, m.Control())
}
