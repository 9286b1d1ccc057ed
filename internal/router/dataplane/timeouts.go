package dataplane

import (
	"sync"
	"time"
)

const (
	// minPrefillTimeout is how long a server may take at least to read a prompt.
	minPrefillTimeout = time.Second
	// prefillTimeoutFactor is how many times as long as usual it may take.
	prefillTimeoutFactor = 3
	// prefillTimeoutDivisor of the time left may be spent on reading: the call that writes has to follow.
	prefillTimeoutDivisor = 2
	// prefillTimeWeight is the weight of all earlier times beside that of a new one.
	prefillTimeWeight = 7
	// minResponseTimeout is how long a server may be silent at least before a request that may be repeated goes
	// to another one.
	minResponseTimeout = 1500 * time.Millisecond
	// responseTimeoutTargets is how many times the target of its route it may take, responseTimeoutFactor how
	// many times as long as the decision reckoned with.
	responseTimeoutTargets = 2
	responseTimeoutFactor  = 3
	// minStreamTimeout and streamTimeoutGaps of the route's longest pause, whichever is more, is how long a
	// stream may pause before another server takes it up.
	minStreamTimeout  = time.Second
	streamTimeoutGaps = 3
)

// prefillTimeout is how long a server may take to read a prompt before the request goes on without.
func prefillTimeout(expected, left time.Duration) time.Duration {
	return min(max(prefillTimeoutFactor*expected, minPrefillTimeout), left/prefillTimeoutDivisor)
}

// responseTimeout is how long a server may be silent before its answer begins; all the time there is where no
// other one could make it in time.
func responseTimeout(target, expected, left time.Duration) time.Duration {
	timeout := max(responseTimeoutTargets*target, responseTimeoutFactor*expected, minResponseTimeout)
	if left < timeout+timeout/2 {
		return left
	}
	return timeout
}

// streamTimeout is how long a stream may pause before another server takes it up.
func streamTimeout(gap time.Duration) time.Duration {
	return max(streamTimeoutGaps*gap, minStreamTimeout)
}

// prefillTimes learns how long servers take to read prompts, by service. It is safe for concurrent use.
type prefillTimes struct {
	mu   sync.Mutex
	mean map[string]time.Duration
}

func newPrefillTimes() *prefillTimes { return &prefillTimes{mean: map[string]time.Duration{}} }

// record takes in how long a reading took, or how long it was waited for in vain.
func (t *prefillTimes) record(service string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before, known := t.mean[service]
	if !known {
		before = took
	}
	t.mean[service] = (before*prefillTimeWeight + took) / (prefillTimeWeight + 1)
}

// expected is how long a reading usually takes, 0 where that is not known.
func (t *prefillTimes) expected(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mean[service]
}
