// Package drain decides how a proxy drains: which connections of clients close when, so that clients find
// another proxy. A drain is temporary (lame duck, as in the Google SRE book), by an operator's call, or
// final, once the process shuts down. Idle connections close first, so that clients move on before
// requests are rejected; a request that has arrived always gets its response.
//
// It is a pure state machine: the caller (package ingress) passes in the time and does what Plan says. A
// State is an immutable value, which any goroutine may read.
package drain

import "time"

// Times are how long after the beginning of a drain each of its steps begins.
type Times struct {
	CloseIdle    time.Duration // connections close that have been idle since the drain began
	AcceptFor    time.Duration // new connections are no longer accepted; at a shutdown only
	CloseAll     time.Duration // all idle connections close, also those that became idle since
	ClosePartial time.Duration // connections with an incomplete request close; at a shutdown by CloseAll
}

// State is which drains are on and since when. In the zero State none is.
type State struct {
	lameDuckSince time.Time // zero where there is no temporary drain
	shutdownSince time.Time // zero before the shutdown
}

// LameDuck returns the state after an operator's call, which begins or ends the temporary drain. To begin it
// again changes nothing, and nothing undoes End.
func (s State) LameDuck(on bool, now time.Time) State {
	switch {
	case !on:
		s.lameDuckSince = time.Time{}
	case s.lameDuckSince.IsZero():
		s.lameDuckSince = now
	}
	return s
}

// Shutdown returns the state after a signal to shut down; only the first one counts.
func (s State) Shutdown(now time.Time) State {
	if s.shutdownSince.IsZero() {
		s.shutdownSince = now
	}
	return s
}

// Serving reports whether no drain is on.
func (s State) Serving() bool { return s.lameDuckSince.IsZero() && s.shutdownSince.IsZero() }

// ShuttingDown reports whether the process shuts down.
func (s State) ShuttingDown() bool { return !s.shutdownSince.IsZero() }

// Plan is what the caller has to do in a state at one moment. The zero Plan asks for nothing.
type Plan struct {
	// IdleBefore is the time before which the connections that are to close became idle; zero if none are.
	IdleBefore time.Time
	// PartialBefore is the same for the beginning of requests that are still incomplete.
	PartialBefore time.Time
	// StopAccepting says that new connections are no longer accepted.
	StopAccepting bool
	// LastResponse says that the next response on each connection is its last, even if another request has
	// already arrived there.
	LastResponse bool
	// MayExit says that the process may exit once no connection is open.
	MayExit bool
}

// Plan returns what is to be done now. Where both drains are on, the one that has got further counts.
func (s State) Plan(now time.Time, times Times) Plan {
	var plan Plan
	for _, since := range []time.Time{s.lameDuckSince, s.shutdownSince} {
		if since.IsZero() {
			continue
		}
		age := now.Sub(since)
		if age >= times.CloseIdle && since.After(plan.IdleBefore) {
			plan.IdleBefore = since
		}
		if age >= times.CloseAll {
			plan.IdleBefore, plan.LastResponse = now, true
		}
		if age >= times.ClosePartial {
			plan.PartialBefore = now
		}
	}
	if s.ShuttingDown() {
		age := now.Sub(s.shutdownSince)
		if age >= times.CloseAll { // the process may be killed before a later request has its response
			plan.PartialBefore = now
		}
		plan.StopAccepting = age >= times.AcceptFor
		plan.MayExit = age >= times.CloseAll && age >= times.AcceptFor
	}
	return plan
}
