// Package lease decides which member owns a singleton role: at most one at a time, by a lease that is granted
// in a replicated log (Gray and Cheriton, "Leases", SOSP 1989), with a fencing token that only rises
// (Kleppmann, "How to do distributed locking", 2016; Chubby calls it a sequencer).
//
// The package is pure: no I/O, clock, goroutines or locks; callers serialize their calls. The caller passes
// the time of its monotonic clock as a duration since an origin of its choice. Clocks of different members
// may run fast or slow by Settings.Drift and are never compared.
//
// It has two parts. Table is the replicated state machine: it applies Acquire, Renew and Release in log
// order, without a clock, each only if it names the current grant (compare-and-set). Candidate is the state
// of one member that competes for the role: it says whether this member owns the role now, when the member
// has to renew, and when it may take over from another.
//
// A lease holder measures its lease from the time at which it proposed the command, not from the arrival of
// the result. Any other member measures from the time at which it observed the grant, which is later, and
// adds the drift of both clocks to its wait. The holder therefore stops by itself before another member's
// Acquire can be committed, whichever messages were lost or late and whichever process was paused. A side
// effect that the holder sent before it stopped may still arrive afterwards; it carries the holder's token,
// and the receiver rejects tokens lower than the highest that it has received (Fence).
package lease

import (
	"fmt"
	"time"
)

// Settings are the settings of a lease. All members must use the same values: a member with a shorter TTL or
// a lower Drift than the holder's takes over before the holder has stopped. The defaults are those of the
// client proxy's configuration.
type Settings struct {
	// TTL is how long a grant lasts unless it is renewed; 2 s by default. A shorter TTL frees the role of a
	// failed holder sooner, but puts more commands into the log: a holder renews three times per TTL.
	TTL time.Duration
	// Drift bounds the relative rate error of every member's clock: 0.05, the default, allows 5% fast or slow.
	// A higher value makes other members wait longer before they take over. At least 0 and below 0.5.
	Drift float64
	// ElectionTimeout is the election timeout of the Raft group that commits the commands. TTL must be longer,
	// or an election in the group would end the lease.
	ElectionTimeout time.Duration
}

// maxDrift is the exclusive upper bound of Drift: at 0.5 the drift of two clocks within a TTL adds up to the
// whole TTL.
const maxDrift = 0.5

// Check returns an error if the settings can't prevent two members from owning a role at the same time.
func (s Settings) Check() error {
	switch {
	case s.Drift < 0 || s.Drift >= maxDrift:
		return fmt.Errorf("drift %g is out of range; it must be at least 0 and below 0.5", s.Drift)
	case s.TTL <= s.ElectionTimeout:
		return fmt.Errorf("lease %v is not above the election timeout %v: an election in the Raft group would "+
			"end it", s.TTL, s.ElectionTimeout)
	case time.Duration(2*s.Drift*float64(s.TTL)) >= s.TTL:
		return fmt.Errorf("lease %v is not above twice the clock drift within it", s.TTL)
	}
	return nil
}

// takeoverDelay returns how long another member waits after it has observed a grant: long enough on the
// fastest clock for the lease to have expired on the slowest, plus a nanosecond for the rounding.
func (s Settings) takeoverDelay() time.Duration {
	return time.Duration(float64(s.TTL)*(1+s.Drift)/(1-s.Drift)) + 1
}

// Grant is the ownership of a role as committed in the log. The zero Grant means that the role has never had
// an owner.
type Grant struct {
	Holder   string `json:"holder"`  // name of the member; "" if nobody owns the role
	Token    uint64 `json:"token"`   // fencing token: log index of the Acquire that made the grant; never falls
	Renewals uint64 `json:"renewed"` // number of renewals of this grant; its release counts as one more
}

// olderThan reports whether g precedes other in the log. Grants are ordered by token, then by renewals.
func (g Grant) olderThan(other Grant) bool {
	return g.Token < other.Token || g.Token == other.Token && g.Renewals < other.Renewals
}
