package clusterrig

import (
	"context"
	"errors"
	"time"
)

// ListCalls counts the calls of a set of members on discovery, by phase.
type ListCalls struct {
	Members int     `json:"members"`
	Owner   bool    `json:"owner"`
	Start   int     `json:"start"`    // until every member is ready
	Quiet   int     `json:"quiet"`    // in QuietFor
	Rolling int     `json:"rolling"`  // while every member is restarted in turn
	Outage  int     `json:"outage"`   // while discovery fails for OutageFor, and some seconds more
	AtOnce  int     `json:"at_once"`  // after all were killed at once, until every member is ready
	Seconds float64 `json:"seconds"`  // of all phases
	Minute  float64 `json:"a_minute"` // calls per minute over all phases
}

// How long those phases of ListCalls last that don't end by themselves.
const (
	QuietFor  = 10 * time.Second
	OutageFor = 8 * time.Second
)

const (
	// afterOutage is how long calls are counted on after an outage.
	afterOutage = 5 * time.Second
	// phaseReadyTimeout bounds how long after a phase all members may take to be ready.
	phaseReadyTimeout = time.Minute
)

// CountListCalls counts the members' calls on discovery, with an owner that fetches for all or without one.
func CountListCalls(ctx context.Context, o Options, members int, owned bool) (*ListCalls, error) {
	o.Members, o.Zones, o.Sink = members, 3, true
	o.FleetTOML = DefaultFleetTOML()
	if owned {
		o.ExtraTOML = ShortLeaseTOML
	}
	started := time.Now()
	r, err := Start(ctx, o)
	if err != nil {
		return nil, err
	}
	defer r.discard()
	calls := &ListCalls{Members: members, Owner: owned}
	before := 0
	for _, phase := range []struct {
		into *int
		act  func(context.Context) error
	}{
		{&calls.Start, func(context.Context) error { return nil }},
		{&calls.Quiet, func(ctx context.Context) error { return sleep(ctx, QuietFor) }},
		{&calls.Rolling, r.restartInTurn},
		{&calls.Outage, r.failDiscovery},
		{&calls.AtOnce, r.restartAtOnce},
	} {
		if err := errors.Join(phase.act(ctx), r.waitReady(ctx, phaseReadyTimeout)); err != nil {
			return nil, err
		}
		now := r.Discovery.Calls()
		*phase.into, before = now-before, now
	}
	calls.Seconds = time.Since(started).Seconds()
	calls.Minute = float64(before) / calls.Seconds * 60
	return calls, nil
}

// restartInTurn restarts every member, one after the other.
func (r *Rig) restartInTurn(ctx context.Context) error {
	for _, m := range r.Members {
		if err := errors.Join(r.Term(m, nil), r.Spawn(ctx, m, Unchanged)); err != nil {
			return err
		}
	}
	return nil
}

// failDiscovery lets discovery fail for OutageFor, and waits while members come back to it.
func (r *Rig) failDiscovery(ctx context.Context) error {
	r.Discovery.Fail(true)
	err := sleep(ctx, OutageFor)
	r.Discovery.Fail(false)
	return errors.Join(err, sleep(ctx, afterOutage))
}

// restartAtOnce kills all members at once and starts them again.
func (r *Rig) restartAtOnce(ctx context.Context) error {
	r.Kill(r.Members...)
	return r.SpawnAll(ctx, r.Members)
}
