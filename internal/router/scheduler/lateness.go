package scheduler

import (
	"math"
	"time"
)

const (
	latenessGain      = 0.3             // weight of the newest sample in the moving average
	latenessDecayTime = 2 * time.Second // time in which the average falls to 1/e without samples

	// A response is not late if it begins at most lateToleranceFactor times the expected time, or at most
	// minLateToleranceMs, after the expected time.
	lateToleranceFactor = 0.5
	minLateToleranceMs  = 20.0
)

// lateness is an exponentially weighted moving average of how many ms after the expected time the first
// events of a server's responses arrived. It detects slow links and slow engines, which the load reports of a
// server do not show. It decays with time, so that the server gets requests again.
type lateness struct {
	value float64 // ms, as of at
	at    time.Duration
}

// add adds the sample of a response that was expected expectedMs after its call began and came lateMs later.
// An early response, or one that is late within the tolerance, counts as 0.
func (l *lateness) add(now time.Duration, lateMs, expectedMs float64) {
	lateMs = max(0, lateMs-max(lateToleranceFactor*expectedMs, minLateToleranceMs))
	currentMs := l.now(now)
	l.value, l.at = currentMs+latenessGain*(lateMs-currentMs), now
}

// now returns the lateness in ms, decayed to the given time.
func (l *lateness) now(now time.Duration) float64 {
	if l.value == 0 {
		return 0
	}
	return l.value * math.Exp(-float64(now-l.at)/float64(latenessDecayTime))
}
