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

// add adds a sample: an answer that came lateMs after the time that was expected for it, expectedMs after the
// call began. An early or tolerated answer counts as 0.
func (l *lateness) add(now time.Duration, lateMs, expectedMs float64) {
	lateMs = max(0, lateMs-max(lateToleranceFactor*expectedMs, minLateToleranceMs))
	currentMs := l.now(now)
	l.value, l.at = currentMs+lateGain*(lateMs-currentMs), now
}

// now returns the lateness in ms, decayed to the present.
func (l *lateness) now(now time.Duration) float64 {
	if l.value == 0 {
		return 0
	}
	return l.value * math.Exp(-float64(now-l.at)/float64(lateDecay))
}
