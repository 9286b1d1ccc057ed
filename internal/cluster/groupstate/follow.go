package groupstate

import "time"

// Follower decides whether a member takes the list of servers as the owner tells it, or asks discovery by
// itself. It is pure: time is the caller's monotonic clock. A list is as old as it is since this member
// learned that an owner had said anew how the list is; it cannot be told from afar, as clocks are not
// compared.
type Follower struct {
	maxAge     time.Duration
	jitter     time.Duration
	version    uint64
	observedAt time.Duration
}

// NewFollower returns a follower that hopes for an owner's list as long as it would wait for a next one.
// spread is this member's own wait beyond maxAge, drawn from 0 to maxAge, so that a fleet whose owner is
// lost does not ask all at once.
func NewFollower(now, maxAge, jitter time.Duration) *Follower {
	return &Follower{maxAge: maxAge, jitter: jitter, observedAt: now}
}

// Observe tells of the list as this member's store has it, and whether it is new. held is discovery's count
// of changes of the list that this member has: an owner's that is behind it is not taken, for what left the
// list would come back.
func (f *Follower) Observe(now time.Duration, view EndpointView, localIndex int64) bool {
	if view.Version <= f.version || view.Index < localIndex {
		return false
	}
	f.version, f.observedAt = view.Version, now
	return true
}

// Fresh tells whether the owner's list is young enough to go by it.
func (f *Follower) Fresh(now time.Duration) bool { return now-f.observedAt <= f.maxAge+f.jitter }

// Age is how long ago an owner last said how the list is, as far as this member knows; from the start on
// where none did yet.
func (f *Follower) Age(now time.Duration) time.Duration { return now - f.observedAt }

// Version is that of the last list taken, 0 where there was none.
func (f *Follower) Version() uint64 { return f.version }
