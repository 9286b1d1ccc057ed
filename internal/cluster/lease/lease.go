// Package lease decides which member owns a singleton role: at most one at a time, by a lease that is granted
// in a replicated log (Gray and Cheriton, "Leases", SOSP 1989), with a fencing token that only rises
// (Kleppmann, "How to do distributed locking", 2016; Chubby calls it a sequencer).
//
// The package is pure: no I/O, clock or goroutines, and no locks; callers serialize their calls. Time is the
// caller's monotonic clock as a duration since some start of its own. Clocks of different members may drift
// by Settings.Drift each way and are never compared.
//
// It has two sides. Table is the state machine of the log: it applies Acquire, Renew and Release in the order
// of the log, without a clock, each only if it names the current grant (compare and set). Candidate is the
// side of one member: it says whether this member owns the role now, when it has to renew, and when it may
// take over from another.
//
// A lease holder counts its lease from when it proposed the renewal, not from when the result came back.
// Another member counts from when it observed that renewal, which is later, and waits longer by the drift of
// both clocks. So the holder has stopped on its own before another member's Acquire can be in the log,
// whatever messages were lost or late and whichever process was paused. What a holder sent before it stopped
// may still arrive later; it carries the holder's token, and its receiver rejects tokens lower than the
// highest it has seen (Fence).
package lease

import (
	"fmt"
	"time"
)

// Settings of a lease. All members have to use the same: a member with a shorter TTL or a lower Drift than
// the holder's takes over before the holder has stopped. The defaults are those of the client proxy's
// settings.
type Settings struct {
	// TTL is how long a grant lasts unless it is renewed; 2 s by default. A shorter one frees the role of a lost
	// holder sooner, and has more commands in the log: a holder renews three times within it.
	TTL time.Duration
	// Drift bounds the relative error of any member's clock: 0.05, the default, is 5% fast or slow. Others wait
	// the longer before they take over, the higher it is. At least 0 and below 0.5.
	Drift float64
	// ElectionTimeout is that of the Raft group that commits the commands. TTL has to be longer, or a change of
	// the group's leader would end the lease.
	ElectionTimeout time.Duration
}

// maxDrift is above every Drift: with it a clock would stand still beside another.
const maxDrift = 0.5

// Check returns an error if the settings can't keep two members from owning a role at once.
func (s Settings) Check() error {
	switch {
	case s.Drift < 0 || s.Drift >= maxDrift:
		return fmt.Errorf("drift %g is out of range, 0 to 0.5 is allowed", s.Drift)
	case s.TTL <= s.ElectionTimeout:
		return fmt.Errorf("lease %v is not above the election timeout %v: a change of the log's leader would "+
			"end it", s.TTL, s.ElectionTimeout)
	case time.Duration(2*s.Drift*float64(s.TTL)) >= s.TTL:
		return fmt.Errorf("lease %v is not above twice the drift within it", s.TTL)
	}
	return nil
}

// takeoverDelay is how long another member waits after it has observed a grant: long enough on the fastest
// clock for the lease to have ended on the slowest, and a nanosecond more for the rounding.
func (s Settings) takeoverDelay() time.Duration {
	return time.Duration(float64(s.TTL)*(1+s.Drift)/(1-s.Drift)) + 1
}

// Grant says who owns a role, as committed in the log. The zero Grant is that of a role which nobody ever
// owned.
type Grant struct {
	Holder   string `json:"holder"`  // name of the member; "" if nobody owns the role
	Token    uint64 `json:"token"`   // fencing token: index of the log entry that granted it; only rises
	Renewals uint64 `json:"renewed"` // number of renewals of this grant
}

// olderThan reports whether g was replaced by other in the log. Grants are ordered by token, then by
// renewals.
func (g Grant) olderThan(other Grant) bool {
	return g.Token < other.Token || g.Token == other.Token && g.Renewals < other.Renewals
}
