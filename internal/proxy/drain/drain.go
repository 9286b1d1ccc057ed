// Package drain decides how a proxy drains: which client connections are closed when, so that clients move to
// another proxy. A drain is temporary (lame duck state, as in the Google SRE book), on an operator's call, or
// final, when the process shuts down. Idle connections are closed first, so that clients move on before
// requests are rejected; a request that has arrived completely always gets its response.
//
// The package is a pure state machine: its caller, package ingress, passes in the current time and executes
// the Plan. A State is an immutable value, which any goroutine may read.
package drain

import "time"

// Times are the delays from the start of a drain to each of its steps.
type Times struct {
	CloseIdle    time.Duration // closes connections that have been idle since the drain began
	AcceptFor    time.Duration // stops accepting connections; only in a shutdown
	CloseAll     time.Duration // closes all idle connections, also those that became idle since
	ClosePartial time.Duration // closes connections with an incomplete request; in a shutdown by CloseAll
}

// State records which drains are on, and since when. In the zero State none is.
type State struct {
	lameDuckSince time.Time // zero if there is no temporary drain
	shutdownSince time.Time // zero before the shutdown
}

// LameDuck returns the state after an operator has begun or ended the temporary drain. Beginning it again
// does not restart it, and nothing undoes Shutdown.
func (s State) LameDuck(on bool, now time.Time) State {
	switch {
	case !on:
		s.lameDuckSince = time.Time{}
	case s.lameDuckSince.IsZero():
		s.lameDuckSince = now
	}
	return s
}

// Shutdown returns the state after a signal to shut down; a later signal changes nothing.
func (s State) Shutdown(now time.Time) State {
	if s.shutdownSince.IsZero() {
		s.shutdownSince = now
	}
	return s
}

// Serving reports whether no drain is on.
func (s State) Serving() bool { return s.lameDuckSince.IsZero() && s.shutdownSince.IsZero() }

// ShuttingDown reports whether the process is shutting down.
func (s State) ShuttingDown() bool { return !s.shutdownSince.IsZero() }

// Plan is what the caller has to do at one moment of a drain. The zero Plan requires nothing.
type Plan struct {
	// IdleBefore says that connections that became idle before this time must be closed; zero for none.
	IdleBefore time.Time
	// PartialBefore says that incomplete requests that began before this time must be ended; zero for none.
	PartialBefore time.Time
	// StopAccepting says that new connections are no longer accepted.
	StopAccepting bool
	// LastResponse says that each connection is closed after its next response, even if another request has
	// already arrived on it.
	LastResponse bool
	// MayExit says that the process may exit once no connection is open.
	MayExit bool
}

// Plan returns what has to be done now. If both drains are on, each step is due once it is due in either
// drain.
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
		if age >= times.CloseAll { // the process may be killed before a request completed later has its response
			plan.PartialBefore = now
		}
		plan.StopAccepting = age >= times.AcceptFor
		plan.MayExit = age >= times.CloseAll && age >= times.AcceptFor
	}
	return plan
}
