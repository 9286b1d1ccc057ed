package groupstate

import "time"

// Follower decides whether a member uses the published endpoint list or asks discovery by itself. It is pure:
// the caller passes the time of its monotonic clock, which must not decrease. The age of a list is measured
// from the time at which this member observed its publication or confirmation, as clocks of different members
// are not compared. A Follower is not safe for concurrent use.
type Follower struct {
	maxAge     time.Duration
	jitter     time.Duration
	version    uint64        // of the last publication accepted
	observedAt time.Duration // when that was observed
}

// NewFollower returns a follower that waits for the first publication as long as for any later one. jitter is
// added to maxAge; each member draws its own between 0 and maxAge, so that in a fleet without an owner the
// members don't all ask discovery at the same time.
func NewFollower(now, maxAge, jitter time.Duration) *Follower {
	return &Follower{maxAge: maxAge, jitter: jitter, observedAt: now}
}

// Observe records the published list that this member has read, and reports whether it is a new publication
// or confirmation. localIndex is discovery's version number of the list that this member uses: a published
// list with a lower one isn't accepted, as it would bring back servers that have left.
func (f *Follower) Observe(now time.Duration, view EndpointView, localIndex int64) bool {
	if view.Version <= f.version || view.DiscoveryIndex < localIndex {
		return false
	}
	f.version, f.observedAt = view.Version, now
	return true
}

// Fresh reports whether the published list is recent enough to be used.
func (f *Follower) Fresh(now time.Duration) bool { return now-f.observedAt <= f.maxAge+f.jitter }

// Age returns the time since the last publication was observed, or since the start if there was none.
func (f *Follower) Age(now time.Duration) time.Duration { return now - f.observedAt }

// Version returns the version of the last publication accepted, 0 for none.
func (f *Follower) Version() uint64 { return f.version }
