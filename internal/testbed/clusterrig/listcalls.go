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
	c := &ListCalls{Members: members, Owner: owned}
	asked := 0
	for _, phase := range []struct {
		into *int
		act  func() error
	}{
		{&c.Start, func() error { return nil }},
		{&c.Quiet, func() error { return sleep(ctx, QuietFor) }},
		{&c.Rolling, func() error {
			for _, m := range r.Members {
				if err := errors.Join(r.Term(m, nil), r.Spawn(ctx, m, Unchanged)); err != nil {
					return err
				}
			}
			return nil
		}},
		{&c.Outage, func() error {
			r.Discovery.Fail(true)
			err := sleep(ctx, OutageFor)
			r.Discovery.Fail(false)
			return errors.Join(err, sleep(ctx, 5*time.Second))
		}},
		{&c.AtOnce, func() error {
			r.Kill(r.Members...)
			return r.SpawnAll(ctx, r.Members)
		}},
	} {
		if err := errors.Join(phase.act(), r.waitReady(ctx, 60*time.Second)); err != nil {
			return nil, err
		}
		now := r.Discovery.Calls()
		*phase.into, asked = now-asked, now
	}
	c.Seconds = time.Since(started).Seconds()
	c.Minute = float64(asked) / c.Seconds * 60
	return c, nil
}
