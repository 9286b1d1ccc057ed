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
	Postmark int64  `json:"postmark"`
}

// heartbeat returns the next heartbeat.
func (s *Server) heartbeat(state string) *heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.postmark++
	return &heartbeat{Service: serviceName, Address: s.address(), Zone: s.Zone, Version: "v1",
		Slots: serverSlots, State: state, Stage: s.stage, Postmark: s.postmark}
}

// beat sends a heartbeat to machine after machine until one acknowledges it, and tells whether one did
// before the next heartbeat is due.
func (s *Server) beat(h *heartbeat, first ...string) bool {
	body, err := json.Marshal(h)
	if err != nil {
		s.fleet.TB.Error(err)
		return false
	}
	return s.tell(controlclient.Call{Method: "PUT", Target: "/api/servers/" + s.ID, Body: body}, first)
}

// tell makes a call at machine after machine, those named first, until one acknowledges it.
func (s *Server) tell(call controlclient.Call, first []string) bool {
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
		time.Sleep(retryPause)
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
	var told struct {
		Forward string `json:"forward_to"`
	}
	if json.Unmarshal(answer.Body, &told) == nil && told.Forward != "" {
		s.forward = told.Forward
	}
	now := time.Now()
	if !s.heardAt.IsZero() {
		s.longestGap = max(s.longestGap, now.Sub(s.heardAt))
	}
	if s.firstHeard.IsZero() {
		s.firstHeard = now
	}
	s.caller, s.heardAt = target, now
	return true
}

// known tells whether heartbeats were acknowledged for so long.
func (s *Server) known(long time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.firstHeard.IsZero() && time.Since(s.firstHeard) > long
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

// Late is a heartbeat that is long on its way.
type Late struct{ heartbeat *heartbeat }

// SendLate returns a heartbeat that arrives only when it is delivered.
func (s *Server) SendLate() Late { return Late{s.heartbeat("ready")} }

// Deliver has a late heartbeat arrive at a machine, and tells whether it was acknowledged.
func (s *Server) Deliver(late Late, m *Machine) bool { return s.beat(late.heartbeat, m.Control()) }
