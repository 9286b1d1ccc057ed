package routerstandin

import (
	"context"
	"encoding/json"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/router/controlclient"
)

const (
	// heartbeatTimeout is when a heartbeat without an acknowledgement is sent to another proxy.
	heartbeatTimeout = time.Second
	// maxAckBytes is the largest body, in bytes, with which an answer acknowledges.
	maxAckBytes = 4 << 10
	// departureTimeout is how long a server that leaves waits for an acknowledgement at most.
	departureTimeout = 4 * time.Second
	// drainMargin is how much longer than the drain bound a server serves.
	drainMargin = 300 * time.Millisecond
)

// heartbeat is the body of a heartbeat.
type heartbeat struct {
	Service  string        `json:"depot"`
	Address  string        `json:"address"`
	Zone     string        `json:"district"`
	Version  string        `json:"edition"`
	Slots    int           `json:"bays"`
	State    string        `json:"state"`
	ColdMs   int           `json:"cold_ms"`
	Stage    string        `json:"stage,omitempty"`
	Models   []servedModel `json:"models,omitempty"`
	Postmark int64         `json:"postmark"`
}

func (s *Server) nextHeartbeat() heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.postmark++
	next := heartbeat{Service: s.options.Service, Address: s.Address(), Zone: s.options.Zone,
		Version: s.options.Version, Slots: s.options.Slots, State: "ready", Postmark: s.postmark}
	if s.draining {
		next.State = "draining"
	}
	if s.engine != nil {
		next.Stage, next.Models = s.engine.currentStage(), servedModels
	}
	return next
}

// heartbeatLoop tells the fleet of the server until it ends, and takes its leave if it departs.
func (s *Server) heartbeatLoop() {
	ctx, cancel := s.untilEnded()
	defer cancel()
	caller := &controlCaller{addresses: s.options.ControlAddresses, dropResponse: s.options.DropResponse}
	for ctx.Err() == nil && !s.isDeregistering() {
		wait := s.options.HeartbeatInterval
		if !s.sendHeartbeat(ctx, caller) {
			wait = caller.nextBackoff()
		}
		s.sleep(wait)
	}
	if s.isDeregistering() {
		s.sendDeregistration(ctx, caller)
	}
}

// sendHeartbeat sends one heartbeat and tells whether it was acknowledged.
func (s *Server) sendHeartbeat(ctx context.Context, caller *controlCaller) bool {
	sent := s.nextHeartbeat()
	body, _ := json.Marshal(sent)
	call := controlclient.Call{Method: "PUT", Target: serversPath + s.id, Body: body,
		Header: http1.Header{jsonType()}}
	answer := caller.call(ctx, heartbeatTimeout, call)
	if answer == nil || answer.Status/100 != 2 || len(answer.Body) > maxAckBytes {
		return false
	}
	if sent.State == "draining" {
		s.recordDrainAck(hostOf(caller.chosen))
	}
	var forward struct {
		To string `json:"forward_to"`
	}
	if json.Unmarshal(answer.Body, &forward) == nil && forward.To != "" {
		caller.chosen = forward.To
	}
	return true
}

func (s *Server) recordDrainAck(machine string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ackedAt.IsZero() {
		s.ackedAt, s.ackedBy = time.Now(), machine
		close(s.drainAcked)
	}
}

// Shutdown ends the server in good order: it says so, serves on for drain, and takes its leave. It returns
// whether its departure was acknowledged.
func (s *Server) Shutdown(drain time.Duration) bool {
	began := time.Now()
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.heartbeatNow <- struct{}{}
	ackTimeout := time.NewTimer(departureTimeout)
	defer ackTimeout.Stop()
	acknowledged := false
	select {
	case <-s.drainAcked:
		acknowledged = true
		s.serveFor(drain + drainMargin)
	case <-ackTimeout.C:
	case <-s.ended:
	}
	s.options.Observations.recordDrain(began, acknowledged)
	close(s.deregister)
	s.heartbeats.Wait()
	s.end(false)
	return acknowledged
}

func (s *Server) isDeregistering() bool {
	select {
	case <-s.deregister:
		return true
	default:
		return false
	}
}

// sendDeregistration tells the fleet that the server ends; without an answer it ends all the same.
func (s *Server) sendDeregistration(ctx context.Context, caller *controlCaller) {
	call := controlclient.Call{Method: "DELETE", Target: serversPath + s.id}
	for began := time.Now(); time.Since(began) < departureTimeout && ctx.Err() == nil; {
		if caller.call(ctx, heartbeatTimeout, call) != nil {
			return
		}
		s.serveFor(caller.nextBackoff())
	}
}

// serveFor waits, unless the server ends.
func (s *Server) serveFor(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ended:
	}
}

// untilEnded returns a context that ends with the server.
func (s *Server) untilEnded() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		select {
		case <-s.ended:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// sleep waits, unless the server ends, departs or has news to tell.
func (s *Server) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.heartbeatNow:
	case <-s.deregister:
	case <-s.ended:
	}
}
