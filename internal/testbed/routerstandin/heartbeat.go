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
	// largestAck is the largest body, in bytes, with which an answer acknowledges.
	largestAck = 4 << 10
	// departureTime is how long a server that leaves waits for an acknowledgement at most.
	departureTime = 4 * time.Second
	// afterDrain is how much longer than the drain bound a server serves.
	afterDrain = 300 * time.Millisecond
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

func (s *Server) heartbeat() heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.postmark++
	beat := heartbeat{Service: s.options.Service, Address: s.Address(), Zone: s.options.Zone,
		Version: s.options.Version, Slots: s.options.Slots, State: "ready", Postmark: s.postmark}
	if s.leaving {
		beat.State = "draining"
	}
	if s.engine != nil {
		beat.Stage, beat.Models = s.engine.currentStage(), servedModels
	}
	return beat
}

// sendHeartbeats tells the fleet of the server until it ends, and takes its leave if it departs.
func (s *Server) sendHeartbeats() {
	ctx, cancel := s.untilEnded()
	defer cancel()
	caller := &controlCaller{controls: s.options.Controls, loses: s.options.LosesAnswers}
	for ctx.Err() == nil && !s.hasDeparted() {
		wait := s.options.Beat
		if !s.beat(ctx, caller) {
			wait = caller.nextPause()
		}
		s.sleep(wait)
	}
	if s.hasDeparted() {
		s.sayFarewell(ctx, caller)
	}
}

// beat sends one heartbeat and tells whether it was acknowledged.
func (s *Server) beat(ctx context.Context, caller *controlCaller) bool {
	told := s.heartbeat()
	body, _ := json.Marshal(told)
	call := controlclient.Call{Method: "PUT", Target: serversPath + s.id, Body: body,
		Header: http1.Header{jsonType()}}
	answer := caller.call(ctx, heartbeatTimeout, call)
	if answer == nil || answer.Status/100 != 2 || len(answer.Body) > largestAck {
		return false
	}
	if told.State == "draining" {
		s.noteAcknowledged(hostOf(caller.chosen))
	}
	var forward struct {
		To string `json:"forward_to"`
	}
	if json.Unmarshal(answer.Body, &forward) == nil && forward.To != "" {
		caller.chosen = forward.To
	}
	return true
}

func (s *Server) noteAcknowledged(machine string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.acknowledgedAt.IsZero() {
		s.acknowledgedAt, s.acknowledgedBy = time.Now(), machine
		close(s.acknowledged)
	}
}

// Leave ends the server in good order: it says so, serves on for drain, and takes its leave. It returns
// whether its departure was acknowledged.
func (s *Server) Leave(drain time.Duration) bool {
	began := time.Now()
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.hurry <- struct{}{}
	patience := time.NewTimer(departureTime)
	defer patience.Stop()
	acknowledged := false
	select {
	case <-s.acknowledged:
		acknowledged = true
		s.serveOn(drain + afterDrain)
	case <-patience.C:
	case <-s.ended:
	}
	s.options.Observations.serverLeft(began, acknowledged)
	close(s.departed)
	s.beating.Wait()
	s.end(false)
	return acknowledged
}

func (s *Server) hasDeparted() bool {
	select {
	case <-s.departed:
		return true
	default:
		return false
	}
}

// sayFarewell tells the fleet that the server ends; without an answer it ends all the same.
func (s *Server) sayFarewell(ctx context.Context, caller *controlCaller) {
	call := controlclient.Call{Method: "DELETE", Target: serversPath + s.id}
	for began := time.Now(); time.Since(began) < departureTime && ctx.Err() == nil; {
		if caller.call(ctx, heartbeatTimeout, call) != nil {
			return
		}
		s.serveOn(caller.nextPause())
	}
}

// serveOn waits, unless the server ends.
func (s *Server) serveOn(d time.Duration) {
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
	case <-s.hurry:
	case <-s.departed:
	case <-s.ended:
	}
}
