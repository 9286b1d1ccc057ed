// Package drain is the one state machine by which a proxy sends its clients away, be it for a while or for
// good. It is pure: whoever keeps a State hands in the time and does what Plan says.
package drain

import "time"

// Times are counted from the moment a drain began.
type Times struct {
	CloseIdle time.Duration // connections that rested when it began close
	Accept    time.Duration // new connections are taken until then, where the process ends
	CloseAll  time.Duration // all that rest close, also those that came since
	CloseHalf time.Duration // so do those whose request has begun and is not whole; at the end with all others
}

// State is how far a proxy is with sending its clients away. The zero State serves.
type State struct {
	lame time.Time // since when clients are sent away for a while
	end  time.Time // since when for good
}

// Lame returns the state after an operator's call: clients are sent away for a while, or taken again. An on
// while it is on changes nothing, and nothing undoes End.
func (s State) Lame(on bool, now time.Time) State {
	switch {
	case !on:
		s.lame = time.Time{}
	case s.lame.IsZero():
		s.lame = now
	}
	return s
}

// End returns the state after the signal to end; only the first one counts.
func (s State) End(now time.Time) State {
	if s.end.IsZero() {
		s.end = now
	}
	return s
}

// Serving tells whether clients are taken.
func (s State) Serving() bool { return s.lame.IsZero() && s.end.IsZero() }

// Ending tells whether the process is to end.
func (s State) Ending() bool { return !s.end.IsZero() }

// Plan is what a state means at one moment.
type Plan struct {
	// Rested: connections that rest since before this moment are to close; zero for none.
	Rested time.Time
	// Half: so are those whose request began before this moment and is not whole; zero for none.
	Half time.Time
	// Refuse tells that new connections are no longer taken.
	Refuse bool
	// Last tells that a client's next answer is its last one, also where more of it waits to be read.
	Last bool
	// Over tells that the process may end once it holds no connection.
	Over bool
}

// Plan returns what is to be done at a moment. Where both drains are on, the one that is further counts.
func (s State) Plan(now time.Time, t Times) Plan {
	var p Plan
	for _, began := range []time.Time{s.lame, s.end} {
		if began.IsZero() {
			continue
		}
		age := now.Sub(began)
		if age >= t.CloseIdle && began.After(p.Rested) {
			p.Rested = began
		}
		if age >= t.CloseAll {
			p.Rested, p.Last = now, true
		}
		if age >= t.CloseHalf {
			p.Half = now
		}
	}
	if !s.end.IsZero() {
		age := now.Sub(s.end)
		if age >= t.CloseAll { // what comes later could be cut by whoever ends the process for good
			p.Half = now
		}
		p.Refuse, p.Over = age >= t.Accept, age >= t.CloseAll && age >= t.Accept
	}
	return p
}
