// Package drain is the one state machine by which a proxy sends its clients away, be it for a while or for
// good. It is pure: whoever keeps a State hands in the time and does what Plan says.
package drain

import "time"

// Times are counted from the moment a drain began.
type Times struct {
	CloseIdle    time.Duration // connections that rested when it began close
	AcceptFor    time.Duration // new connections are taken until then, where the process ends
	CloseAll     time.Duration // all that rest close, also those that came since
	ClosePartial time.Duration // those with an incomplete request close too; at the end with CloseAll
}

// State is how far a proxy is with sending its clients away. The zero State serves.
type State struct {
	lameSince time.Time // since when clients are sent away for a while
	endSince  time.Time // since when for good
}

// LameDuck returns the state after an operator's call: clients are sent away for a while, or taken again. An
// on while it is on changes nothing, and nothing undoes End.
func (s State) LameDuck(on bool, now time.Time) State {
	switch {
	case !on:
		s.lameSince = time.Time{}
	case s.lameSince.IsZero():
		s.lameSince = now
	}
	return s
}

// End returns the state after the signal to end; only the first one counts.
func (s State) End(now time.Time) State {
	if s.endSince.IsZero() {
		s.endSince = now
	}
	return s
}

// Serving tells whether clients are taken.
func (s State) Serving() bool { return s.lameSince.IsZero() && s.endSince.IsZero() }

// Ending tells whether the process is to end.
func (s State) Ending() bool { return !s.endSince.IsZero() }

// Plan is what a state means at one moment.
type Plan struct {
	// IdleBefore: connections that rest since before this moment are to close; zero for none.
	IdleBefore time.Time
	// PartialBefore: so are those whose request began before this moment and is not whole; zero for none.
	PartialBefore time.Time
	// StopAccepting tells that new connections are no longer taken.
	StopAccepting bool
	// LastResponse tells that a client's next answer is its last one, also where more of it waits to be read.
	LastResponse bool
	// MayExit tells that the process may end once it holds no connection.
	MayExit bool
}

// Plan returns what is to be done at a moment. Where both drains are on, the one that is further counts.
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
		if age >= t.CloseAll { // what comes later could be cut by whoever ends the process for good
			p.PartialBefore = now
		}
		p.StopAccepting, p.MayExit = age >= t.AcceptFor, age >= t.CloseAll && age >= t.AcceptFor
	}
	return p
}
