// Package drain decides how a proxy sends its clients away: for a while, by an operator's lame duck call, or
// for good, once it shuts down. Idle connections close first, so that clients find another proxy before
// requests are refused; a request that has begun always gets its response.
//
// It is a pure state machine: whoever keeps a State (package ingress) passes in the time and does what Plan
// says. A State is a value, which any goroutine may read.
package drain

import "time"

// Times are how long after the beginning of a drain each step follows.
type Times struct {
	CloseIdle    time.Duration // connections close that were idle when it began
	AcceptFor    time.Duration // new connections are no longer accepted; at a shutdown alone
	CloseAll     time.Duration // all idle connections close, also those that came since
	ClosePartial time.Duration // incomplete requests close too; at a shutdown with CloseAll at the latest
}

// State tells which drains are on and since when. The zero State serves.
type State struct {
	lameSince time.Time // of the lame duck state; zero where it is off
	endSince  time.Time // of the shutdown; zero before it
}

// LameDuck returns the state after an operator's call, which begins or ends the drain for a while. Beginning
// it again changes nothing, and nothing undoes End.
func (s State) LameDuck(on bool, now time.Time) State {
	switch {
	case !on:
		s.lameSince = time.Time{}
	case s.lameSince.IsZero():
		s.lameSince = now
	}
	return s
}

// End returns the state after a signal to shut down; only the first one counts.
func (s State) End(now time.Time) State {
	if s.endSince.IsZero() {
		s.endSince = now
	}
	return s
}

// Serving reports whether no drain is on.
func (s State) Serving() bool { return s.lameSince.IsZero() && s.endSince.IsZero() }

// Ending reports whether the process shuts down.
func (s State) Ending() bool { return !s.endSince.IsZero() }

// Plan is what a state means at one moment.
type Plan struct {
	// IdleBefore: connections that have been idle since before this time are to close; zero for none.
	IdleBefore time.Time
	// PartialBefore: so are those with an incomplete request that began before this time; zero for none.
	PartialBefore time.Time
	// StopAccepting: new connections are no longer accepted.
	StopAccepting bool
	// LastResponse: the next response on each connection is its last, also where a further request has come.
	LastResponse bool
	// MayExit: the process may exit once no connection is open.
	MayExit bool
}

// Plan returns what is to be done at a moment. Where both drains are on, the one that has got further counts.
func (s State) Plan(now time.Time, t Times) Plan {
	var p Plan
	for _, began := range []time.Time{s.lameSince, s.endSince} {
		if began.IsZero() {
			continue
		}
		age := now.Sub(began)
		if age >= t.CloseIdle && began.After(p.IdleBefore) {
			p.IdleBefore = began
		}
		if age >= t.CloseAll {
			p.IdleBefore, p.LastResponse = now, true
		}
		if age >= t.ClosePartial {
			p.PartialBefore = now
		}
	}
	if !s.endSince.IsZero() {
		age := now.Sub(s.endSince)
		if age >= t.CloseAll { // the process may be killed before a later request has its response
			p.PartialBefore = now
		}
		p.StopAccepting, p.MayExit = age >= t.AcceptFor, age >= t.CloseAll && age >= t.AcceptFor
	}
	return p
}
