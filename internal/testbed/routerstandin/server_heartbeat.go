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
	// maxAckBytes bounds the body, in bytes, of an answer that acknowledges.
	maxAckBytes = 4 << 10
	// departureTimeout bounds the wait for the acknowledgement of a drain, and the attempts to deregister.
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
	WarmUpMs int           `json:"cold_ms"`
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

// heartbeatLoop sends heartbeats until the server ends, and deregisters it where it shuts down.
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

// sendHeartbeat sends one heartbeat and reports whether it was acknowledged.
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
	if !s.ack.acknowledged() {
		s.ack = drainAck{time.Now(), machine}
		close(s.drainAcked)
	}
}

// Shutdown ends the server gracefully: it reports that it drains, serves on for drain after the
// acknowledgement, and deregisters. It returns whether the drain was acknowledged. Call it once.
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

// sendDeregistration deregisters the server at the fleet; without an answer it gives up after a while.
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

// sleep waits until the next heartbeat is due: for d, or less where the server ends, shuts down or drains.
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
