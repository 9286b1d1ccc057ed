package scheduler

import (
	"math"
	"time"
)

const (
	lateGain            = 0.3 // of a sample
	lateDecay           = 2 * time.Second
	lateToleranceFactor = 0.5  // a call may take so much longer than expected, as a part of it,
	minLateToleranceMs  = 20.0 // and at least so many ms, and is not late
)

// lateness follows how many ms later than expected the first signs of a server's answers came: slow links and
// slow engines show in no figure that a server tells. It loses its say with time, so that the server is tried
// again.
type lateness struct {
	value float64
	at    time.Duration
}

func (l *lateness) add(now time.Duration, late, expected float64) {
	late = max(0, late-max(lateToleranceFactor*expected, minLateToleranceMs))
	current := l.now(now)
	l.value, l.at = current+lateGain*(late-current), now
}

func (l *lateness) now(now time.Duration) float64 {
	if l.value == 0 {
		return 0
	}
	return l.value * math.Exp(-float64(now-l.at)/float64(lateDecay))
}
