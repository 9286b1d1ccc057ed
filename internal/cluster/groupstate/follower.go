package groupstate

import "time"

// Follower decides whether a member uses the published endpoint list or asks discovery by itself. It is pure:
// time is the caller's monotonic clock, which must not go back. The age of a list counts from when this
// member observed that it was published or confirmed, as clocks of different members are not compared. A
// Follower is not safe for concurrent use.
type Follower struct {
	maxAge     time.Duration
	jitter     time.Duration
	version    uint64        // of the last publication accepted
	observedAt time.Duration // when that was observed
}

// NewFollower returns a follower that waits for the first publication as long as for any later one. jitter is
// this member's own addition to maxAge, drawn between 0 and maxAge, so that a fleet without an owner doesn't
// ask discovery all at once.
func NewFollower(now, maxAge, jitter time.Duration) *Follower {
	return &Follower{maxAge: maxAge, jitter: jitter, observedAt: now}
}

// Observe takes in the published list as this member's replica has it, and reports whether it is new.
// localIndex is discovery's number of the list that this member uses: a published one behind that isn't
// accepted, as servers that have left would come back.
func (f *Follower) Observe(now time.Duration, view EndpointView, localIndex int64) bool {
	if view.Version <= f.version || view.DiscoveryIndex < localIndex {
		return false
	}
	f.version, f.observedAt = view.Version, now
	return true
}

// Fresh reports whether the published list is young enough to be used.
func (f *Follower) Fresh(now time.Duration) bool { return now-f.observedAt <= f.maxAge+f.jitter }

// Age returns the time since the last publication was observed, or since the start if there was none.
func (f *Follower) Age(now time.Duration) time.Duration { return now - f.observedAt }

// Version returns the version of the last publication accepted, 0 for none.
func (f *Follower) Version() uint64 { return f.version }
