package scheduler

import (
	"math"
	"time"
)

const (
	lateGain  = 0.3             // weight of a sample
	lateDecay = 2 * time.Second // in which a value falls to 1/e

	// An answer is not late within lateToleranceFactor times the expected time, or within minLateToleranceMs.
	lateToleranceFactor = 0.5
	minLateToleranceMs  = 20.0
)

// lateness is an exponentially weighted mean of how many ms later than expected the first signs of a server's
// answers came: slow links and slow engines show in no load that a server reports. It decays with time, so
// that the server gets requests again.
type lateness struct {
	value float64 // ms at the time below
	at    time.Duration
}

// add adds a sample; both values are in ms, and an early answer counts as 0.
func (l *lateness) add(now time.Duration, late, expected float64) {
	late = max(0, late-max(lateToleranceFactor*expected, minLateToleranceMs))
	current := l.now(now)
	l.value, l.at = current+lateGain*(late-current), now
}

// now returns the lateness in ms.
func (l *lateness) now(now time.Duration) float64 {
	if l.value == 0 {
		return 0
	}
	return l.value * math.Exp(-float64(now-l.at)/float64(lateDecay))
}
